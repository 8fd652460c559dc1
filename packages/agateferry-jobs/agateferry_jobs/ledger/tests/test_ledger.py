import msgspec
import testtools

from agateferry_jobs.ledger import JobState, Ledger, Run, WorkerState, commands
from agateferry_jobs.ledger.cancellations import AcceptResult, CancelResult
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.support import job_command, manifest, start_of, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES


class LedgerCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.ledger.apply(self.index, commands.encode(command))

    def end(self, job, subtask, outcome, number=1, checkpoint=""):
        run = Run(number, "w1", 1)
        return self.apply(
            commands.EndRuns((commands.RunEnded(job, subtask, run, outcome, checkpoint),), 0)
        )

    def start(self, *starts):
        return self.apply(commands.StartRuns(starts))


class JobTests(LedgerCase):
    def test_a_cancellation_of_a_version_that_stored_no_address_leaves_nothing(self):
        self.assertEqual(CancelResult.AWAITED, self.apply(commands.CancelJob("unknown", 5)))
        self.assertEqual({}, self.ledger.state.cancellations)

    def test_a_job_submitted_twice_is_one_job(self):
        self.assertEqual(AcceptResult.ACCEPTED, self.apply(job_command("j")))
        self.assertEqual(AcceptResult.KNOWN, self.apply(job_command("j")))
        self.assertEqual(JobState.QUEUED, self.ledger.jobs["j"].state)

    def test_completes_when_all_subtasks_are_done(self):
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES)))
        self.start(start_of("j", "0.0.0"), start_of("j", "0.0.1"))
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertEqual(JobState.RUNNING, self.ledger.jobs["j"].state)
        self.end("j", "0.0.1", commands.RunOutcome.DONE)
        self.assertEqual(JobState.COMPLETED, self.ledger.jobs["j"].state)

    def test_only_failed_runs_count_as_attempts(self):
        self.apply(job_command("j", attempts=2))
        outcomes = (
            commands.RunOutcome.LAPSED,
            commands.RunOutcome.FAILED,
            commands.RunOutcome.STOPPED,
            commands.RunOutcome.BROKEN,
            commands.RunOutcome.LOST,
        )
        for number, outcome in enumerate(outcomes, 1):
            self.start(start_of("j", "0.0.0", number))
            self.end("j", "0.0.0", outcome, number)
        self.assertEqual(JobState.RUNNING, self.ledger.jobs["j"].state)
        self.start(start_of("j", "0.0.0", 6))
        self.end("j", "0.0.0", commands.RunOutcome.FAILED, 6)
        self.assertEqual(JobState.FAILED, self.ledger.jobs["j"].state)

    def test_a_cancelled_job_starts_nothing_and_stays_cancelled(self):
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES)))
        self.start(start_of("j", "0.0.0"))
        self.apply(commands.CancelJob("j", 5))
        self.assertEqual((), self.start(start_of("j", "0.0.1")))
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertEqual(JobState.CANCELLED, self.ledger.jobs["j"].state)

    def test_long_running_subtasks_are_never_done(self):
        self.apply(
            job_command("j", StepSpec(1, SUBTASK_RESOURCES, is_long_running=True), attempts=1)
        )
        self.start(start_of("j", "0.0.0"))
        self.end("j", "0.0.0", commands.RunOutcome.FAILED)
        self.start(start_of("j", "0.0.0", 2))
        self.end("j", "0.0.0", commands.RunOutcome.DONE, 2)
        self.assertEqual(JobState.RUNNING, self.ledger.jobs["j"].state)


class RunTests(LedgerCase):
    def test_a_subtask_that_runs_or_is_done_is_not_started_again(self):
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES)))
        self.assertEqual(1, len(self.start(start_of("j", "0.0.0"))))
        self.assertEqual((), self.start(start_of("j", "0.0.0", 2, "w2")))
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertEqual((), self.start(start_of("j", "0.0.0", 2)))

    def test_run_numbers_only_rise(self):
        self.apply(job_command("j"))
        self.start(start_of("j", "0.0.0", 3))
        self.end("j", "0.0.0", commands.RunOutcome.STOPPED, 3)
        self.assertEqual((), self.start(start_of("j", "0.0.0", 3)))

    def test_a_done_run_counts_even_if_reported_after_it_was_lost(self):
        self.apply(job_command("j"))
        self.start(start_of("j", "0.0.0"))
        self.end("j", "0.0.0", commands.RunOutcome.LOST)
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertEqual(JobState.COMPLETED, self.ledger.jobs["j"].state)

    def test_a_failure_reported_after_the_run_was_lost_does_not_count(self):
        self.apply(job_command("j", attempts=1))
        self.start(start_of("j", "0.0.0"))
        self.end("j", "0.0.0", commands.RunOutcome.LOST)
        self.end("j", "0.0.0", commands.RunOutcome.FAILED)
        self.assertEqual(JobState.RUNNING, self.ledger.jobs["j"].state)

    def test_the_newest_checkpoint_is_kept(self):
        self.apply(job_command("j"))
        self.start(start_of("j", "0.0.0"))
        self.end("j", "0.0.0", commands.RunOutcome.STOPPED, 1, "first")
        self.start(start_of("j", "0.0.0", 2))
        self.end("j", "0.0.0", commands.RunOutcome.LOST, 2)
        self.assertEqual("first", self.ledger.jobs["j"].subtasks["0.0.0"].checkpoint)


class GangTests(LedgerCase):
    def setUp(self):
        super().setUp()
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES, is_gang=True), attempts=2))
        self.start(start_of("j", "0.0.0"), start_of("j", "0.0.1"))

    def test_one_done_member_completes_the_gang(self):
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertEqual(JobState.COMPLETED, self.ledger.jobs["j"].state)

    def test_two_failures_in_one_run_count_once(self):
        self.end("j", "0.0.0", commands.RunOutcome.FAILED)
        self.end("j", "0.0.1", commands.RunOutcome.FAILED)
        self.assertEqual(JobState.RUNNING, self.ledger.jobs["j"].state)


class WorkerTests(LedgerCase):
    def test_updates_of_an_incarnation_that_left_are_ignored(self):
        self.apply(commands.NoteWorker(worker("w1")))
        self.apply(commands.NoteWorker(worker("w1", state=WorkerState.GONE)))
        self.assertFalse(self.apply(commands.NoteWorker(worker("w1"))))
        self.assertNotIn("w1", self.ledger.workers)
        self.assertTrue(self.apply(commands.NoteWorker(worker("w1", born=2))))

    def test_a_draining_worker_is_never_ready_again_in_the_same_incarnation(self):
        self.apply(commands.NoteWorker(worker("w1", state=WorkerState.DRAINING)))
        self.apply(commands.NoteWorker(worker("w1")))
        self.assertEqual(WorkerState.DRAINING, self.ledger.workers["w1"].state)


class ManifestTests(LedgerCase):
    def test_the_highest_version_wins_and_an_equal_one_changes_nothing(self):
        self.assertTrue(self.apply(commands.PutManifest(manifest(2, source="first"))))
        self.assertFalse(self.apply(commands.PutManifest(manifest(2, source="other"))))
        self.assertFalse(self.apply(commands.PutManifest(manifest(1))))
        self.assertEqual(b"first", self.ledger.manifest.source)


class SnapshotTests(LedgerCase):
    def test_a_snapshot_holds_everything(self):
        self.apply(commands.PutManifest(manifest()))
        self.apply(commands.NoteWorker(worker("w1")))
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES, is_gang=True)))
        self.start(start_of("j", "0.0.0"), start_of("j", "0.0.1"))
        copy = Ledger()
        copy.restore(self.ledger.snapshot())
        self.assertEqual(self.ledger.state, copy.state)


class RestoredTests(LedgerCase):
    """What left, was withdrawn or ended before a restart must not be in use again after it.

    A host restarts from the log or from a snapshot; late messages of before arrive afterwards.
    """

    def setUp(self):
        super().setUp()
        self.history = []
        self.record(commands.PutManifest(manifest(1)))
        self.record(commands.NoteWorker(worker("w1")))
        self.record(commands.NoteWorker(worker("w2", state=WorkerState.DRAINING)))
        for id in ("done", "cancelled"):
            self.record(job_command(id))
        self.record(commands.StartRuns((start_of("done", "0.0.0"),)))
        end = commands.RunEnded("done", "0.0.0", Run(1, "w1", 1), commands.RunOutcome.DONE)
        self.record(commands.EndRuns((end,), 0))
        self.record(commands.CancelJob("cancelled", 0))
        self.record(commands.NoteWorker(worker("w1", state=WorkerState.GONE)))
        without_keys = msgspec.structs.replace(manifest(2), teams=())
        self.record(commands.PutManifest(without_keys))

    def record(self, command):
        self.history.append(commands.encode(command))
        self.apply(command)

    def restored(self):
        """Return the ledger of a host that read a snapshot, and of one that replayed the log."""
        copy, replayed = Ledger(), Ledger()
        copy.restore(self.ledger.snapshot())
        for index, command in enumerate(self.history, start=1):
            replayed.apply(index, command)
        return copy, replayed

    def find_revivals(self, ledger):
        """Apply late messages of before the restart and return what they brought back."""
        for command in (
            commands.PutManifest(manifest(1)),
            commands.NoteWorker(worker("w1")),
            commands.NoteWorker(worker("w2")),
            commands.StartRuns((start_of("done", "0.0.0", 2), start_of("cancelled", "0.0.0"))),
        ):
            ledger.apply(99, commands.encode(command))
        is_revived = {
            "key": ledger.manifest.team_of("key") is not None,
            "worker that left": "w1" in ledger.workers,
            "draining worker": ledger.workers["w2"].state is WorkerState.READY,
            "job that ended": any(job.subtasks for job in ledger.jobs.values()),
        }
        return {what for what, revived in is_revived.items() if revived}

    def test_nothing_is_in_use_again(self):
        for ledger in self.restored():
            self.assertEqual(set(), self.find_revivals(ledger))

    def test_planted_faults_are_found(self):
        for field, empty, expected in (
            ("gone", {}, {"worker that left"}),
            ("manifest", None, {"key"}),
            ("workers", {}, {"draining worker"}),
        ):
            copy, _ = self.restored()
            setattr(copy.state, field, empty)
            self.assertEqual(expected, self.find_revivals(copy))
