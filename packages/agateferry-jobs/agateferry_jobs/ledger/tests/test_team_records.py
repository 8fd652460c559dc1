"""What the ledger keeps under a team's name, while manifests change the teams."""

from unittest import mock

import msgspec
import testtools
from msgspec.structs import replace

from agateferry_jobs.ledger import Ledger, commands, team_records
from agateferry_jobs.ledger.team_records import RECENT_CHANGES, Caller, digest_of
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.planning.ranks import GUARANTEED_RANK, rank_jobs
from agateferry_jobs.support.builders import job_command

HOST, PATH = "host", "/jobs/j"
QUEUE = Queue("queue", HOST, "/jobs/", "pool", 3000)
NEW_STATE = ("teams", "cancelled_in")
"""The fields of the state that earlier versions lack."""


def manifest(version, moves_teams=True, **keys):
    teams = tuple(Team(name, tuple(some.split()), 0, 8) for name, some in keys.items())
    return commands.PutManifest(Manifest(version, (QUEUE,), (Service("pool"),), teams), moves_teams)


def job(id="j", team="a", key="k", version=1, **fields):
    address = {"host": HOST, "path": f"/jobs/{id}", "manifest_version": version}
    return replace(job_command(id, **fields), team=team, key=digest_of(key), **address)


def cancellation(team="a", key="k", version=1):
    return commands.CancelJob("j", 1, HOST, PATH, team, 1_000, digest_of(key), version)


class TeamRecordCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()

    def apply(self, *given):
        for command in given:
            self.ledger.apply(1, commands.encode(command))

    def may_access(self, key, team, version, id="j"):
        caller = Caller(team, digest_of(key), version)
        return self.ledger.may_access(caller, self.ledger.jobs[id])

    @property
    def former_keys(self):
        return self.ledger.state.teams.former_keys


class MovedRecordTests(TeamRecordCase):
    """The jobs of a renamed team lost their guarantee, or counted for another one with its name."""

    def rank_of(self, id):
        return rank_jobs(self.ledger.jobs.values(), self.ledger.manifest)[id]

    def test_a_renamed_team_keeps_its_guarantee_and_its_room(self):
        self.apply(manifest(1, a="k"), job(priority=0), manifest(2, c="k"))
        self.assertEqual(GUARANTEED_RANK, self.rank_of("j"))
        self.assertEqual(0, self.ledger.stored_sizes.of_team("a"))
        self.assertEqual(self.ledger.stored_sizes.total, self.ledger.stored_sizes.of_team("c"))

    def test_a_team_that_gets_the_name_doesnt_share_its_guarantee_with_earlier_jobs(self):
        self.apply(manifest(1, a="k", b="l"), job(priority=0), manifest(2, b="l"))
        self.apply(manifest(3, a="m", b="l"), job("j2", key="m", version=3, priority=0))
        self.assertNotEqual(GUARANTEED_RANK, self.rank_of("j"))
        self.assertEqual(GUARANTEED_RANK, self.rank_of("j2"))
        self.assertEqual(self.ledger.stored_sizes.total // 2, self.ledger.stored_sizes.of_team("a"))

    def test_a_team_that_returns_has_its_guarantee_again(self):
        self.apply(manifest(1, a="k", b="l"), job(priority=0), manifest(2, b="l"))
        self.assertNotEqual(GUARANTEED_RANK, self.rank_of("j"))
        self.apply(manifest(3, a="k", b="l"))
        self.assertEqual(GUARANTEED_RANK, self.rank_of("j"))

    def test_a_command_that_was_checked_under_an_earlier_name_counts_for_the_team(self):
        self.apply(manifest(1, a="k", b="l"), manifest(2, a="l", b="k"), job())
        self.assertEqual("b", self.ledger.jobs["j"].team)
        self.assertFalse(self.may_access("l", "a", 2))
        self.assertTrue(self.may_access("k", "b", 2))

    def test_a_name_for_a_team_that_left_is_that_of_no_other(self):
        self.apply(manifest(1, **{"a": "k", "a#1": "l"}), job(), manifest(2, **{"a#1": "l"}))
        self.apply(job("j2", team="a#1", key="l", version=2), manifest(3, **{"a": "m", "a#1": "l"}))
        names = [each.team for each in self.ledger.jobs.values()]
        self.assertEqual("a#1", names[1])
        self.assertNotIn(names[0], ("a", "a#1"))


class FormerKeyTests(TeamRecordCase):
    """The record of keys that left their teams grew without bound."""

    def test_they_are_kept_while_a_job_needs_them(self):
        self.apply(manifest(1, a="k l"), job())
        for version in range(2, 3 * RECENT_CHANGES):
            self.apply(manifest(version, a="l", b="k"))
        self.assertTrue(self.may_access("k", "b", version))

    def test_they_are_dropped_once_nothing_needs_them(self):
        self.apply(manifest(1, a="first last"))
        for version in range(2, 3 * RECENT_CHANGES):
            self.apply(manifest(version, a=f"k{version} last"))
        self.assertEqual(RECENT_CHANGES, len(self.former_keys["a"]))
        self.assertEqual(RECENT_CHANGES, len(self.ledger.state.teams.changes))

    def test_a_cancellation_keeps_those_of_its_version(self):
        self.apply(manifest(1, a="k l"), cancellation())
        for version in range(2, 3 * RECENT_CHANGES):
            self.apply(manifest(version, a="l", b="k"))
        self.apply(job(team="b", version=version))
        self.assertEqual({}, self.ledger.jobs)

    def test_no_more_are_kept_than_the_limit(self):
        with mock.patch.object(team_records, "MAX_FORMER_KEYS", 3):
            self.apply(manifest(1, a="k1 last"), job(key="k1"))
            for version in range(2, 8):
                self.apply(manifest(version, a=f"k{version} last"))
        self.assertEqual([4, 5, 6], list(self.former_keys["a"].values()))

    def test_no_key_is_stored_outside_the_manifest(self):
        self.apply(manifest(1, a="secret-key l"), job(key="secret-key"), manifest(2, a="l"))
        self.ledger.state.manifest = None
        self.assertNotIn(b"secret-key", self.ledger.snapshot())
        self.assertNotIn(b"secret-key", commands.encode(job(key="secret-key")))


class EarlierVersionTests(TeamRecordCase):
    """Hosts that read a log and hosts that read a snapshot of an earlier version differed."""

    def setUp(self):
        super().setUp()
        earlier_job = replace(job(), key=msgspec.UNSET, manifest_version=msgspec.UNSET)
        self.earlier = (
            manifest(1, moves_teams=False, a="k l", b="o"),
            earlier_job,
            manifest(2, moves_teams=False, a="k", b="o l"),
        )
        self.later = (
            manifest(3, a="m", b="o l", c="k"),
            job("j2", team="c", version=3),
            manifest(4, a="m k", b="o", d="l"),
        )

    def restored(self):
        """Return the ledger of a host that read a snapshot of an earlier version."""
        ledger = Ledger()
        for command in self.earlier:
            ledger.apply(1, commands.encode(command))
        stored = msgspec.msgpack.decode(ledger.snapshot())
        for field in NEW_STATE:
            del stored[field]
        for each in stored["jobs"].values():
            del each["manifest_version"]
        ledger.restore(msgspec.msgpack.encode(stored))
        return ledger

    def test_the_same_commands_give_the_same_state(self):
        restored = self.restored()
        self.apply(*self.earlier, *self.later)
        for command in self.later:
            restored.apply(1, commands.encode(command))
        self.assertEqual(self.ledger.snapshot(), restored.snapshot())

    def test_a_job_of_an_earlier_version_is_followed_from_then_on(self):
        self.apply(*self.earlier, *self.later)
        self.assertTrue(self.may_access("k", "a", 4))
        self.assertFalse(self.may_access("o", "b", 4))

    def test_a_job_whose_team_had_left_before_is_nobodys(self):
        self.apply(*self.earlier[:2], manifest(2, moves_teams=False, b="o"))
        self.assertFalse(self.may_access("o", "b", 2))
        self.apply(manifest(3, a="new", b="o"))
        self.assertFalse(self.may_access("new", "a", 3))

    def test_a_command_without_a_version_counts_as_of_the_one_in_force(self):
        self.apply(manifest(1, a="k", b="l"), manifest(2, a="l", b="k"))
        self.apply(replace(job(), key=msgspec.UNSET, manifest_version=msgspec.UNSET))
        self.assertTrue(self.may_access("l", "a", 2))
