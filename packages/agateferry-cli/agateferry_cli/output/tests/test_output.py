import io

import testtools

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.client.views import RequestView
from agateferry_cli.output import Output, ProgressLine
from agateferry_cli.output.output import format_cell
from agateferry_core.clock import ManualClock


class FakeTerminal(io.StringIO):
    def isatty(self):
        return True


class OutputTests(testtools.TestCase):
    def test_markup_in_a_cell_is_printed_as_plain_text(self):
        out = io.StringIO()
        Output(False, out).table(("name",), [("[bold]x",)], "none")
        self.assertIn("[bold]x", out.getvalue())

    def test_an_empty_table_prints_a_sentence(self):
        out = io.StringIO()
        Output(False, out).table(("name",), [], "There is none.")
        self.assertEqual("There is none.\n", out.getvalue())

    def test_a_failure_prints_its_advice(self):
        err = io.StringIO()
        code = Output(False, err=err).failure(Failure(ExitCode.CONFLICT, "no", "Merge."))
        self.assertEqual((ExitCode.CONFLICT, "agateferry: no\nMerge.\n"), (code, err.getvalue()))

    def test_values_are_formatted_as_cells(self):
        cells = [format_cell(value) for value in (None, True, "a", 3, [], {"a": 1})]
        self.assertEqual(["", "yes", "a", "3", "", '{"a": 1}'], cells)


class ProgressLineTests(testtools.TestCase):
    def test_shows_state_progress_and_elapsed_time(self):
        clock, stream = ManualClock(), FakeTerminal()
        line = ProgressLine(stream, clock)
        clock.advance(2_500)
        line.show(RequestView(id="a.1", state="running", progress=0.5))
        self.assertIn("a.1 running 50%, 2 s", stream.getvalue())

    def test_is_silent_without_a_terminal(self):
        stream = io.StringIO()
        line = ProgressLine(stream, ManualClock())
        line.show(RequestView(id="a.1", state="running"))
        line.clear()
        self.assertEqual("", stream.getvalue())
