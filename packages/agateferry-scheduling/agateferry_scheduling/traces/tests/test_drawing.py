import sys
import tempfile
from pathlib import Path
from unittest import mock

import testtools

from agateferry_scheduling.traces.drawing import draw
from agateferry_scheduling.traces.report import Report


class DrawingTests(testtools.TestCase):
    def test_a_picture_is_written(self):
        for ending in ("svg", "png"):
            with tempfile.TemporaryDirectory() as folder:
                drawn = draw(Report("x", "fair"), Path(folder) / f"x.{ending}")
                self.assertTrue(drawn.is_ok() and drawn.ok.stat().st_size > 0)

    def test_a_path_that_cannot_be_written_is_reported(self):
        drawn = draw(Report("x", "fair"), Path("/nowhere/at/all.svg"))
        self.assertIn("cannot write", drawn.error)

    def test_a_missing_library_is_reported(self):
        with mock.patch.dict(sys.modules, {"matplotlib": None}):
            drawn = draw(Report("x", "fair"), Path("x.svg"))
        self.assertIn("pip install matplotlib", drawn.error)
