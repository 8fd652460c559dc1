"""Base class of the tests of verbs, with a fake host and captured output."""

import contextlib
import io
import json

import testtools

from agateferry_cli.main import main
from agateferry_cli.verbs.tests.fake_host import FakeHost


class VerbCase(testtools.TestCase):
    def host(self, answers):
        host = FakeHost(answers)
        host.__enter__()
        self.addCleanup(host.__exit__)
        return host

    def run_verb(self, *argv):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = main([str(arg) for arg in argv])
            except SystemExit as exc:
                code = exc.code
        self.out, self.err = out.getvalue(), err.getvalue()
        return int(code)

    def json_out(self):
        return json.loads(self.out)
