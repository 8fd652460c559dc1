"""What a caller is told whose submission is repeated by its entry after an answer was lost.

An entry sends a call again when no answer comes. In between, the key, the route or the manifest may
have changed, so that the leader rejects a submission which another leader has accepted.
"""

import random

import msgspec
import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs import metrics
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.support import MemoryReplica, ModelWorker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

LEASE_MS = 8_000
CALL_TIMEOUT_MS = 2_500
SPEC = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
TARGET = messages.CallTarget("host", "/jobs/0000000000000001", "key")
QUEUE = Queue("queue", "host", "/jobs/", "pool", 3000)
FIRST = Manifest(
    1, (QUEUE,), (Service("pool"),), (Team("team", ("key", "other-key")), Team("rival", ("rival",)))
)
SEEDS = range(1, 41)

REVOKED = (Team("team", ("other-key",)), Team("rival", ("rival",)))
MOVED = (Team("team", ("other-key",)), Team("rival", ("rival", "key")))
REJECTING = {
    "key revoked": msgspec.structs.replace(FIRST, version=2, teams=REVOKED),
    "key of another team": msgspec.structs.replace(FIRST, version=2, teams=MOVED),
    "route removed": msgspec.structs.replace(FIRST, version=2, queues=()),
    "route without ids": msgspec.structs.replace(
        FIRST, version=2, queues=(msgspec.structs.replace(QUEUE, prefix=TARGET.path),)
    ),
}


class LossyClient(LeaderClient):
    """A client whose calls reach a leader in memory; `script` decides the fate of each attempt.

    "order" loses an attempt on its way, "answer" loses its answer, "" loses nothing. `between` is
    called after each attempt that was lost.
    """

    def __init__(self, clock, leader, script, between):
        super().__init__(clock, 0)
        self.add_hosts(("here",))
        self.leader_in_memory = leader
        self.script = list(script)
        self.between = between
        self.attempts = 0

    async def _attempt(self, host, call, timeout_ms):
        self.attempts += 1
        fate = self.script.pop(0) if self.script else ""
        if fate == "order":
            await self.between()
            return messages.OutcomeUnknown("lost")
        wire = msgspec.msgpack.decode(messages.encode(call), type=messages.Call)
        reply = await self.leader_in_memory.handle(wire)
        if fate == "answer":
            await self.between()
            return messages.OutcomeUnknown("lost")
        return reply


class LostAnswerCase(testtools.TestCase):
    def play(self, script, change, *later):
        """Submit with lost attempts and a change between them; return the replies and the ledger.

        `later` are further calls, each sent by itself after the submission.
        """

        async def main(loop):
            ledger = Ledger()
            replica = MemoryReplica(ledger)
            leader = Leader(replica, ledger, loop, lambda w: ModelWorker(loop, w.born), LEASE_MS)
            replica.lead()
            await leader.handle(messages.InstallManifest(FIRST))

            async def between():
                ledger.restore(ledger.snapshot())
                if change is not None:
                    await change(leader)

            client = LossyClient(loop, leader, script, between)
            try:
                replies = [await client.call(messages.Submit(TARGET, SPEC), CALL_TIMEOUT_MS)]
                replies += [await client.call(call, CALL_TIMEOUT_MS) for call in later]
                return replies, ledger
            finally:
                await leader.close()

        return run_virtual(main)

    def install(self, manifest):
        async def change(leader):
            await leader.handle(messages.InstallManifest(manifest))

        return change


class AcceptedBeforeTests(LostAnswerCase):
    """A caller got 401 for a job that had been accepted and ran."""

    def test_a_submission_that_was_accepted_is_never_rejected(self):
        for name, manifest in REJECTING.items():
            (reply,), ledger = self.play(["answer"], self.install(manifest))
            self.assertIn("0000000000000001", ledger.jobs, name)
            self.assertEqual(messages.Done(), reply, name)

    def test_a_job_that_was_cancelled_meanwhile_had_been_accepted(self):
        target = msgspec.structs.replace(TARGET, key="other-key")

        async def cancel(leader):
            await leader.handle(messages.Cancel(target))
            await leader.handle(messages.InstallManifest(REJECTING["key revoked"]))

        (reply,), _ = self.play(["answer"], cancel)
        self.assertEqual(messages.Done(), reply)

    def test_a_callers_new_attempt_with_a_revoked_key_is_rejected(self):
        """Guards against keys that stay in use after they were revoked."""
        again = messages.Submit(TARGET, SPEC)
        change = self.install(REJECTING["key revoked"])
        replies, _ = self.play(["answer"], change, again)
        self.assertEqual([messages.Done(), messages.InvalidApiKey()], replies)

    def test_the_same_holds_if_an_answer_to_the_new_attempt_is_lost(self):
        again = messages.Submit(TARGET, SPEC)
        change = self.install(REJECTING["key revoked"])
        replies, _ = self.play(["answer", "", "answer"], change, again)
        self.assertNotIsInstance(replies[1], messages.Done)


class NotAcceptedTests(LostAnswerCase):
    def test_a_revoked_key_gets_nothing_accepted_by_a_repeated_attempt(self):
        for name in ("key revoked", "route removed", "route without ids"):
            (reply,), ledger = self.play(["order"], self.install(REJECTING[name]))
            self.assertEqual({}, ledger.jobs, name)
            self.assertNotIsInstance(reply, messages.Done, name)

    def test_an_attempt_that_may_still_arrive_is_not_called_rejected(self):
        """The network may hold an attempt up until the next one has been answered."""
        (reply,), _ = self.play(["order"], self.install(REJECTING["key revoked"]))
        self.assertIsInstance(reply, messages.OutcomeUnknown)

    def test_a_first_attempt_is_rejected_at_once(self):
        call = messages.Submit(msgspec.structs.replace(TARGET, key="wrong"), SPEC)
        replies, _ = self.play([], None, call)
        self.assertEqual([messages.Done(), messages.InvalidApiKey()], replies)

    def test_a_rejection_after_a_lost_attempt_is_counted(self):
        counter = metrics.CALL_RETRIES.labels("rejected-after-unknown")
        before = counter._value.get()
        self.play(["order"], self.install(REJECTING["key revoked"]))
        self.assertEqual(before + 1, counter._value.get())


class OtherCallsTests(LostAnswerCase):
    def test_a_cancellation_that_had_its_effect_is_not_rejected(self):
        """A caller got 401 for a cancellation that had ended its job."""
        calls = (messages.Cancel(TARGET),)
        change = self.install(REJECTING["key revoked"])
        replies, ledger = self.play(["", "answer"], change, *calls)
        self.assertTrue(ledger.jobs["0000000000000001"].is_cancelled)
        self.assertIsInstance(replies[1], messages.OutcomeUnknown)

    def test_a_query_has_no_effect_and_is_rejected_at_once(self):
        change = self.install(REJECTING["key revoked"])
        replies, _ = self.play(["", "answer"], change, messages.GetStatus(TARGET))
        self.assertEqual(messages.InvalidApiKey(), replies[1])


class SeededTests(LostAnswerCase):
    """All orders of lost attempts and changes: no rejection of what was accepted."""

    def test_no_accepted_submission_is_rejected(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            script = [rng.choice(("order", "answer", "answer", "")) for _ in range(4)]
            versions = iter(range(2, 100))

            async def change(leader, rng=rng, versions=versions):
                if rng.random() < 0.7:
                    manifest = rng.choice([FIRST, *REJECTING.values()])
                    newer = msgspec.structs.replace(manifest, version=next(versions))
                    await leader.handle(messages.InstallManifest(newer))

            (reply,), ledger = self.play(script, change)
            is_accepted = "0000000000000001" in ledger.jobs
            allowed = (messages.Done,) if is_accepted else ()
            kind = (*allowed, messages.OutcomeUnknown) if script[0] != "" else messages.Reply
            self.assertIsInstance(reply, kind, f"seed {seed}: {script}")
