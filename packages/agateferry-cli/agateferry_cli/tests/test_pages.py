import importlib.util
import json
import re
import tempfile
from pathlib import Path

import testtools

from agateferry_cli.client.failures import MEANINGS, ExitCode
from agateferry_cli.main import VERBS
from agateferry_service.settings import load_settings
from agateferry_service.settings.table import SETTINGS
from agateferry_state.records import Kind, Schema, read_content

ROOT = Path(__file__).resolve().parents[4]
DECLARATION = re.compile(r"^[A-Z0-9_]+ = Event\(", re.MULTILINE)
TEST_ID = re.compile(r"`(\w+)/([\w/]+\.py)::(\w+)(?:::(\w+))?`")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def page(name):
    return (ROOT / name).read_text(encoding="utf-8")


def package_folder(name):
    """Return the folder of a package; the translation for the users' platform has its own."""
    parent = "platform" if name == "platform" else f"packages/agateferry-{name}"
    return ROOT / parent / f"agateferry_{name}"


def load_tool(name):
    spec = importlib.util.spec_from_file_location(f"tool_{name}", ROOT / "tools" / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class EventsPageTests(testtools.TestCase):
    def test_lists_what_the_code_declares(self):
        self.assertEqual(load_tool("events").page(), page("docs/events.md"))

    def test_events_are_declared_in_events_modules_only(self):
        for path in sorted((ROOT / "packages").rglob("*.py")):
            if path.name != "events.py" and "tests" not in path.parts:
                text = path.read_text(encoding="utf-8")
                self.assertIsNone(DECLARATION.search(text), str(path))


class MetricsPageTests(testtools.TestCase):
    def test_lists_what_the_code_declares(self):
        self.assertEqual(load_tool("metrics").page(), page("docs/metrics.md"))


class SettingsPageTests(testtools.TestCase):
    def test_has_the_rows_of_the_table(self):
        self.assertEqual(load_tool("settings").page(), page("docs/settings.md"))

    def test_names_every_setting_with_its_default(self):
        text = page("docs/settings.md")
        for setting in SETTINGS:
            start = f"| `{setting.key}` | "
            self.assertIn(start, text)
            if setting.default is not None:
                self.assertIn(f"{start}`{str(setting.default).lower()}`", text)


class CommandPageTests(testtools.TestCase):
    def test_lists_the_exit_codes(self):
        rows = [f"| {int(code)} | {MEANINGS[code]} |" for code in ExitCode]
        self.assertEqual(rows, re.findall(r"^\| \d+ \|.*$", page("docs/cli.md"), re.MULTILINE))

    def test_names_every_verb(self):
        text = page("docs/cli.md")
        for verb, inner in VERBS.items():
            for name in inner if isinstance(inner, dict) else [None]:
                self.assertIn(f"`agateferry {verb}{f' {name}' if name else ''}", text)


class LinkTests(testtools.TestCase):
    def test_links_between_pages_have_targets(self):
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        for path in sorted(pages):
            for target in LINK.findall(path.read_text(encoding="utf-8")):
                self.assertTrue((path.parent / target).exists(), f"{path.name}: {target}")


class ProofsPageTests(testtools.TestCase):
    def test_names_tests_that_exist(self):
        names = TEST_ID.findall(page("docs/PROOFS.md"))
        self.assertNotEqual([], names)
        for package, path, subject, test in names:
            text = (package_folder(package) / path).read_text(encoding="utf-8")
            self.assertIn(f"class {subject}(", text, path)
            if test:
                self.assertRegex(text, rf"def {test}\(", f"{path}::{subject}")


class QuickstartTests(testtools.TestCase):
    def test_its_settings_are_valid(self):
        text, *_ = re.findall(r"```toml\n(.*?)```", page("docs/quickstart.md"), re.DOTALL)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.toml"
            path.write_text(text, encoding="utf-8")
            self.assertTrue(load_settings(path).is_ok())

    def test_its_records_are_valid(self):
        contents = re.findall(r"echo '(.*?)' > (team|job)\.json", page("docs/quickstart.md"))
        self.assertEqual(["team", "job"], [kind for _, kind in contents])
        for text, kind in contents:
            result = read_content(Kind(kind), Schema.V2, json.loads(text), None)
            self.assertTrue(result.is_ok(), text)
