import os

import testtools

from agateferry_core.logs import LineWriter


class LineWriterTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.writer = LineWriter(self.descriptor)

    def write(self, line):
        self.writer.write(line + "\n")
        self.writer.flush()

    def read(self):
        return os.read(self.reader, 4_000_000).decode()

    def test_whole_lines_are_written(self):
        self.write("one")
        self.write("two")
        self.assertEqual("one\ntwo\n", self.read())

    def test_a_stalled_reader_does_not_block_the_writer_and_learns_how_many_lines_were_dropped(
        self,
    ):
        for _ in range(1000):
            self.write("x" * 1000)
        self.assertGreater(self.writer.dropped, 0)
        dropped = self.writer.dropped
        text = self.read()
        for number in range(20):
            self.write(f"later {number}")
            text += self.read()
        self.assertIn(f'"lines": {dropped}', text)
        self.assertIn("later 19", text)
