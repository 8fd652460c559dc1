import os

import testtools

from agateferry_standins.budget import cpu_seconds, memory_mb, peer_bytes


class ResourceUsageTests(testtools.TestCase):
    def test_processor_time_is_read_after_a_name_with_spaces(self):
        fields = " ".join(str(n) for n in range(3, 53))
        ticks = os.sysconf("SC_CLK_TCK")
        self.assertEqual((14 + 15) / ticks, cpu_seconds(f"7 (a b) c) {fields}"))

    def test_memory_is_read_in_megabytes(self):
        self.assertEqual(2.0, memory_mb("Name:\tx\nVmRSS:\t    2048 kB\n"))

    def test_bytes_of_both_directions_are_added(self):
        text = 'agateferry_peer_bytes_total{direction="in"} 5.0\n'
        text += 'agateferry_peer_bytes_total{direction="out"} 7.0\n'
        self.assertEqual(12.0, peer_bytes(text))
        self.assertIsNone(peer_bytes("other 1\n"))
