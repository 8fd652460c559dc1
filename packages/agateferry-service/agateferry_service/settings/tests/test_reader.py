import dataclasses
import json
import tempfile
import tomllib
from pathlib import Path

import hypothesis
import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_service.settings import Settings, load_settings
from agateferry_service.settings.table import SECTIONS, SETTINGS, keys_of

HOST = """
[host]
name = "a1"
zone = "vestland-1"
data_folder = "data/a1"

[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
endpoints = "127.0.0.1:7003"
peers = "127.0.0.1:7004"

[[peers]]
name = "a1"
zone = "vestland-1"
peers = "127.0.0.1:7004"
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
records_voter = true
"""


class SettingsFileCase(testtools.TestCase):
    def load(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "host.toml"
        path.write_text(text, encoding="utf-8")
        return load_settings(path)

    def settings(self, text):
        return self.load(text).default_with(lambda error: self.fail(str(error)))

    def problems(self, text):
        result = self.load(text)
        self.assertTrue(result.is_error())
        return [str(problem).split(": ", 1)[1] for problem in result.error.problems]


class LoadSettingsTests(SettingsFileCase):
    def test_missing_keys_get_their_defaults(self):
        settings = self.settings(HOST)
        self.assertEqual(("127.0.0.1", 7001), dataclasses.astuple(settings.listen.callers))
        self.assertEqual(2_000, settings.timeouts.worker_heartbeat_ms)
        self.assertEqual(Path("data/a1"), settings.host.data_folder)
        self.assertIsNone(settings.recording.trace_file)

    def test_the_data_classes_have_the_keys_of_the_table(self):
        settings = self.settings(HOST)
        for section in SECTIONS:
            value = getattr(settings, section)
            value = value[0] if section == "peers" else value
            names = tuple(field.name for field in dataclasses.fields(value))
            self.assertEqual(keys_of(section), names)
        self.assertEqual(
            (*SECTIONS, "warnings"), tuple(f.name for f in dataclasses.fields(Settings))
        )

    def test_the_error_of_an_unknown_key_suggests_a_similar_one(self):
        self.assertEqual(
            ["limits.max_body_byte = 5: is not known; did you mean max_body_bytes?"],
            self.problems(HOST + "[limits]\nmax_body_byte = 5\n"),
        )

    def test_the_error_of_an_unknown_section_suggests_a_similar_one(self):
        (problem,) = self.problems(HOST + "[timeout]\nrpc_ms = 5\n")
        self.assertIn("did you mean timeouts?", problem)

    def test_all_problems_are_reported_at_once(self):
        problems = self.problems(
            HOST.replace("127.0.0.1:7003", "here:7003")
            + '[limits]\nmax_wait_ms = "5"\nmax_body_bytes = 5\n[log]\nlevel = "loud"\n'
        )
        self.assertEqual(
            [
                "listen.endpoints = 'here:7003': "
                "needs an IP address and a port, such as 127.0.0.1:7400",
                "limits.max_body_bytes = 5: needs a whole number from 1024 to 67108864 (bytes)",
                "limits.max_wait_ms = '5': needs a whole number from 0 to 600000 (ms)",
                "log.level = 'loud': needs one of debug, info, warning, error",
            ],
            problems,
        )

    def test_a_missing_key_is_named(self):
        problems = self.problems(HOST.replace('name = "a1"\nzone = "vestland-1"\npeers', "peers"))
        self.assertEqual(["peers[0].name", "peers[0].zone"], [p.split(":")[0] for p in problems])

    def test_an_old_key_works_with_a_warning(self):
        settings = self.settings(HOST.replace("data_folder", "data_dir"))
        self.assertEqual(Path("data/a1"), settings.host.data_folder)
        (warning,) = settings.warnings
        self.assertIn("host.data_dir is an old name; use host.data_folder", warning)

    def test_an_old_key_together_with_the_new_one_is_an_error(self):
        (problem,) = self.problems(HOST.replace("[listen]", 'data_dir = "x"\n[listen]'))
        self.assertIn("host.data_dir = 'x': is the old name of host.data_folder", problem)

    def test_broken_toml_names_the_line(self):
        (problem,) = self.problems("[host\n")
        self.assertIn("line 1", problem)

    def test_a_missing_file_is_an_error(self):
        result = load_settings(Path("no-such-folder/host.toml"))
        self.assertIn("cannot be read", str(result.error))


class CheckTests(SettingsFileCase):
    def check(self, expected, old, new):
        self.assertIn(expected, "\n".join(self.problems(HOST.replace(old, new))))

    def test_the_host_must_be_a_peer(self):
        self.check("host.name = 'b1': needs an entry", '[host]\nname = "a1"', '[host]\nname = "b1"')

    def test_the_zone_must_be_that_of_the_peer(self):
        old = 'zone = "vestland-1"\ndata'
        self.check("host.zone = 'x': must be vestland-1", old, 'zone = "x"\ndata')

    def test_a_host_with_a_disk_needs_a_folder(self):
        self.check("host.data_folder = None: needs a folder", 'data_folder = "data/a1"', "")

    def test_addresses_are_unique(self):
        self.check("'127.0.0.1:7001': is used 2 times", "127.0.0.1:7002", "127.0.0.1:7001")

    def test_a_peer_has_an_address_to_connect_to(self):
        old = 'peers = "127.0.0.1:7004"\ncallers'
        self.check("other hosts can connect to, for a1", old, 'peers = "0.0.0.0:7004"\ncallers')

    def test_records_need_a_voter(self):
        self.check("peers.records_voter = true on 0", "records_voter = true", "")

    def test_a_zone_needs_a_disk(self):
        self.check("one host of zone vestland-1", "records_voter = true", "disk = false")

    def test_timeouts_fit_each_other(self):
        slow = "[replication]\nheartbeat_ms = 900\n[timeouts]\nworker_silence_ms = 400\n[listen]"
        self.check("replication.election_timeout_ms = 1000: needs 1800", "[listen]", slow)
        self.check("timeouts.worker_silence_ms = 400: needs 4000", "[listen]", slow)


class AnyInputTests(SettingsFileCase):
    VALUES = (
        st.booleans()
        | st.integers(-(2**63), 2**63 - 1)
        | st.text(st.characters(codec="ascii", exclude_categories=["Cc"]), max_size=20)
        | st.lists(st.integers(0, 9), max_size=2)
    )

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(SETTINGS), VALUES)
    def test_any_value_is_accepted_or_its_section_is_named(self, setting, value):
        document = tomllib.loads(HOST)
        table = document.setdefault(setting.section, {})
        (table[0] if isinstance(table, list) else table)[setting.key] = value
        lines = []
        for section, table in document.items():
            lines.append(f"[[{section}]]" if isinstance(table, list) else f"[{section}]")
            fields = table[0] if isinstance(table, list) else table
            lines += [f"{key} = {json.dumps(one)}" for key, one in fields.items()]
        result = self.load("\n".join(lines))
        if result.is_error():
            self.assertIn(setting.section, str(result.error))
