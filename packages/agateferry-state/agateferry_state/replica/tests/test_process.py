import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
import testtools

from agateferry_core.support import free_port, wait_until

MEMBER = Path(__file__).with_name("member_process.py")


class Process:
    """One member in a process of its own, controlled through its standard input."""

    def __init__(self, name, folder, addresses):
        self._command = [sys.executable, str(MEMBER), name, str(folder), *addresses]
        self.name = name

    def start(self):
        self._process = subprocess.Popen(
            self._command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
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


@pytest.mark.process
class ProcessTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        addresses = [f"{name}=127.0.0.1:{free_port()}" for name in "abc"]
        self.members = []
        for name in "abc":
            member = Process(name, Path(folder.name) / name, addresses)
            member.start()
            self.addCleanup(member.kill)
            self.members.append(member)
        wait_until(
            lambda: any(m.call("status")["voters"] == 3 for m in self.members), "three voters"
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

    def all_hold(self, texts):
        return all(member.call("status")["texts"] == texts for member in self.members)

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
