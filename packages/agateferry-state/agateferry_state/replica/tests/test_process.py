import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import pytest
import testtools
from testtools.content import text_content

from agateferry_core.support import free_port, wait_until

MAX_ELECTION_S = 4.0
"""The start of the processes, one election timeout, and a second one if the votes are split.

A voter that heard from no leader greets the others only after 5 s.
"""
MEMBER = Path(__file__).with_name("member_process.py")


class Process:
    """One member in a process of its own, controlled through its standard input."""

    def __init__(self, name, folder, addresses):
        self._command = [sys.executable, str(MEMBER), name, str(folder), *addresses]
        self.name = name
        self.log_path = folder.with_suffix(".log")

    def start(self):
        with self.log_path.open("a") as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
                text=True,
            )

    def call(self, line):
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()
        while not (answer := self._process.stdout.readline()).startswith("{"):
            if not answer:
                raise EOFError(f"{self.name} has ended")
        return json.loads(answer)

    def send_signal(self, number):
        self._process.send_signal(number)

    def kill(self):
        self._process.kill()
        self._process.communicate()

    def stop(self):
        if self._process.poll() is None:
            self._process.communicate(timeout=20)
        return self._process.returncode


class ProcessCase(testtools.TestCase):
    """Run members of a group as processes; tests put them into `members`."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.members = []
        self.addOnException(lambda _: self.show_logs())

    def show_logs(self):
        """Add the members' logs to a failure, which may not come again."""
        for member in self.members:
            text = member.log_path.read_text(errors="replace")
            self.addDetail(f"log of {member.name}", text_content(text))

    def start_member(self, name, addresses):
        member = Process(name, self.folder / name, addresses)
        member.start()
        self.addCleanup(member.kill)
        self.members.append(member)

    def wait_for_voters(self, count):
        wait_until(
            lambda: any(m.call("status")["voters"] == count for m in self.members),
            f"{count} voters",
        )

    def leader(self, members):
        found = []
        wait_until(lambda: self.find_leader(members, found), "a leader")
        return found[-1]

    def find_leader(self, members, found):
        found.extend(member for member in members if member.call("status")["leads"])
        return bool(found)

    def propose(self, text, members):
        """Propose to the leader; retry at the next one if it no longer leads."""
        while True:
            leader = self.leader(members)
            answer = leader.call(f"propose {text}")
            if answer.get("error") != "not-leader":
                self.assertIn("index", answer)
                return leader

    def all_hold(self, texts):
        return all(member.call("status")["texts"] == texts for member in self.members)


@pytest.mark.process
class ProcessTests(ProcessCase):
    def setUp(self):
        super().setUp()
        addresses = [f"{name}=127.0.0.1:{free_port()}" for name in "abc"]
        for name in "abc":
            self.start_member(name, addresses)
        self.wait_for_voters(3)

    def test_kill_9_of_the_leader_loses_no_acknowledged_command(self):
        accepted = []
        for turn in range(2):
            for n in range(20):
                accepted.append(f"{turn}-{n}")
                leader = self.propose(accepted[-1], self.members)
            leader.kill()
            others = [member for member in self.members if member is not leader]
            self.assertEqual(accepted, self.leader(others).call("read")["texts"])
            leader.start()
            wait_until(lambda: self.all_hold(accepted), "all hold the accepted commands")

    def test_a_paused_leader_serves_no_stale_reads(self):
        leader = self.propose("before", self.members)
        others = [member for member in self.members if member is not leader]
        leader.send_signal(signal.SIGSTOP)
        self.propose("meanwhile", others)
        leader.send_signal(signal.SIGCONT)
        answer = leader.call("read")
        self.assertIn(answer.get("texts"), (None, ["before", "meanwhile"]))
        wait_until(lambda: self.all_hold(["before", "meanwhile"]), "the paused leader catches up")

    def test_a_planned_stop_exits_with_status_0(self):
        leader = self.leader(self.members)
        self.assertEqual(0, leader.stop())
        others = [member for member in self.members if member is not leader]
        self.propose("after", others)


@pytest.mark.process
class RestartOfAllTests(ProcessCase):
    """All processes are killed at once; all members but one joined after the group was formed."""

    def setUp(self):
        super().setUp()
        addresses = {name: f"{name}=127.0.0.1:{free_port()}" for name in "abc"}
        for count, name in enumerate("abc", start=1):
            self.start_member(name, sorted({addresses["a"], addresses[name]}))
            self.wait_for_voters(count)

    def test_members_that_the_settings_do_not_name_take_part_in_the_first_election(self):
        """Hosts once forgot the addresses of members that joined later, until these greeted."""
        self.propose("kept", self.members)
        for member in self.members:
            member.kill()
        for member in self.members:
            member.start()
        started_s = time.monotonic()
        self.assertEqual(["kept"], self.leader(self.members).call("read")["texts"])
        self.assertLess(time.monotonic() - started_s, MAX_ELECTION_S)
