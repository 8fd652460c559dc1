import subprocess
import sys

import testtools

from agateferry_standins.deployment.ports import BLOCK_SIZE, ReservedPorts

PORTS = 36
"""The ports of a plan of nine daemons."""
HOLD = f"""
from agateferry_standins.deployment.ports import ReservedPorts
held = [ReservedPorts({PORTS}) for _ in range(30)]
print(*(port for each in held for port in each.numbers), flush=True)
input()
"""


class ReservedPortsTests(testtools.TestCase):
    def test_ports_differ_also_where_they_need_several_blocks(self):
        count = 2 * BLOCK_SIZE + 1
        self.assertEqual(count, len(set(ReservedPorts(count).numbers)))

    def test_pairs_drawn_at_once_share_no_port(self):
        """Plans once released their ports before the daemons bound them; 57 of 1,000 pairs met."""
        for _ in range(100):
            first, second = ReservedPorts(PORTS), ReservedPorts(PORTS)
            self.assertEqual(set(), set(first.numbers) & set(second.numbers))

    def test_another_process_gets_other_ports(self):
        command = [sys.executable, "-c", HOLD]
        pipe = subprocess.PIPE
        with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
            theirs = {int(text) for text in process.stdout.readline().split()}
            ours = [ReservedPorts(PORTS) for _ in range(30)]
            process.communicate("\n")
        self.assertEqual(30 * PORTS, len(theirs))
        self.assertEqual(set(), theirs & {port for each in ours for port in each.numbers})

    def test_a_block_can_be_reserved_again_once_it_is_released(self):
        for _ in range(700):
            ReservedPorts(1).release()
