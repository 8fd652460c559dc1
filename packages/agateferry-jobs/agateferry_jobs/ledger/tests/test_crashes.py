from agateferry_jobs.ledger import Ledger, Run, WorkerState, commands
from agateferry_jobs.ledger.commands import CrashReport, LossCause, RunOutcome
from agateferry_jobs.ledger.crashes import (
    CRASH_RETENTION_MS,
    LONG_RUN_MS,
    SILENCE_RESOLUTION_MS,
    WIDE_FAILURE_WINDOW_MS,
)
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import CrashEvidence
from agateferry_jobs.ledger.tests.test_ledger import LedgerCase
from agateferry_jobs.support import job_command, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES


class CrashCase(LedgerCase):
    def join(self, *ids, rack="r1"):
        for id in ids:
            self.apply(commands.NoteWorker(worker(id, rack)))

    def start_on(self, job, on, subtask="0.0.0", number=1, at_ms=0, **options):
        self.apply(job_command(job, **options))
        run = Run(number, on, 1)
        self.apply(commands.StartRuns((commands.RunStart(job, subtask, run),), at_ms))

    def crash(self, id, at_ms=100, since_ms=100, uncertain=(), rack="r1"):
        """Let a worker start again under another id at its address."""
        report = CrashReport(id, 1, since_ms, uncertain)
        return self.apply(
            commands.NoteWorker(worker(id, rack, state=WorkerState.GONE), at_ms, report)
        )

    def end_lost(self, job, on, loss, number=1, at_ms=0):
        run = Run(number, on, 1)
        end = commands.RunEnded(job, "0.0.0", run, RunOutcome.LOST, loss=loss)
        self.apply(commands.EndRuns((end,), at_ms))

    def evidence(self, job, subtask="0.0.0"):
        return [crash.evidence for crash in self.ledger.jobs[job].crashes.get(subtask, ())]

    def is_alone(self, job):
        return [crash.is_alone for crash in self.ledger.jobs[job].crashes["0.0.0"]]


class CrashRecordTests(CrashCase):
    """Which runs a crashed worker counts against, and which it does not."""

    def test_all_runs_on_a_crashed_worker_are_recorded_alike(self):
        self.join("w1", "w2")
        self.start_on("a", "w1")
        self.start_on("b", "w1")
        self.start_on("c", "w2")
        self.crash("w1")
        self.assertEqual([CrashEvidence.CRASHED], self.evidence("a"))
        self.assertEqual([CrashEvidence.CRASHED], self.evidence("b"))
        self.assertEqual([], self.evidence("c"))
        self.assertEqual([False], self.is_alone("a"))

    def test_the_only_job_on_a_worker_is_alone(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.crash("w1")
        self.assertEqual([True], self.is_alone("a"))

    def test_the_only_job_that_was_suspected_before_is_alone(self):
        self.join("w1", "w2")
        self.start_on("a", "w1")
        self.start_on("other", "w1")
        self.crash("w1")
        self.end_lost("a", "w1", LossCause.CRASHED)
        self.start_on("a", "w2", number=2)
        self.start_on("fresh", "w2")
        self.crash("w2")
        self.assertEqual([False, True], self.is_alone("a"))
        self.assertEqual([False], self.is_alone("fresh"))

    def test_a_repeated_report_counts_once(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.assertTrue(self.crash("w1"))
        self.assertFalse(self.crash("w1"))
        self.assertEqual(1, len(self.evidence("a")))

    def test_a_worker_that_starts_again_under_its_id_counts_once(self):
        self.join("w1")
        self.start_on("a", "w1")
        note = commands.NoteWorker(worker("w1", born=2), 100, CrashReport("w1", 1, 100))
        self.apply(note)
        self.apply(note)
        self.assertEqual(1, len(self.evidence("a")))

    def test_a_draining_or_deregistered_worker_has_not_crashed(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.apply(commands.NoteWorker(worker("w1", state=WorkerState.GONE), 100))
        self.end_lost("a", "w1", LossCause.LEFT)
        self.assertEqual([], self.evidence("a"))

    def test_a_run_that_ended_before_is_not_recorded(self):
        self.join("w1")
        self.start_on("a", "w1", attempts=5)
        self.end("a", "0.0.0", RunOutcome.FAILED)
        self.crash("w1")
        self.assertEqual([], self.evidence("a"))

    def test_a_run_that_may_not_have_begun_is_a_possible_cause_only(self):
        self.join("w1")
        self.start_on("a", "w1", at_ms=50)
        self.start_on("b", "w1", at_ms=150)
        self.crash("w1", since_ms=100, uncertain=(("a", "0.0.0"), ("b", "0.0.0")))
        self.assertEqual([CrashEvidence.POSSIBLE], self.evidence("a"))
        self.assertEqual([], self.evidence("b"), "it was ordered after the worker had crashed")

    def test_a_run_that_worked_for_long_is_a_possible_cause_only(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.crash("w1", at_ms=LONG_RUN_MS, since_ms=LONG_RUN_MS)
        self.assertEqual([CrashEvidence.POSSIBLE], self.evidence("a"))

    def test_a_long_running_subtask_that_worked_for_long_is_cleared(self):
        step = StepSpec(1, SUBTASK_RESOURCES, is_long_running=True)
        self.join("w1", "w2")
        self.apply(job_command("a", step))
        self.start_on("a", "w1")
        self.crash("w1")
        self.end_lost("a", "w1", LossCause.CRASHED)
        self.start_on("a", "w2", number=2)
        self.crash("w2", at_ms=LONG_RUN_MS, since_ms=LONG_RUN_MS)
        self.assertEqual([], self.evidence("a"))

    def test_a_subtask_that_is_done_is_cleared(self):
        self.join("w1")
        self.apply(job_command("a", StepSpec(2, SUBTASK_RESOURCES)))
        self.start_on("a", "w1")
        self.crash("w1")
        self.end_lost("a", "w1", LossCause.CRASHED)
        self.start_on("a", "w2", number=2)
        done = commands.RunEnded("a", "0.0.0", Run(2, "w2", 1), RunOutcome.DONE)
        self.apply(commands.EndRuns((done,), 0))
        self.assertEqual([], self.evidence("a"))


class SilenceTests(CrashCase):
    """A worker that was only silent has not crashed; one that came back anew has."""

    def silence(self, at_ms):
        self.join("w1")
        self.start_on("a", "w1")
        self.end_lost("a", "w1", LossCause.SILENT, at_ms=at_ms)

    def test_silence_is_no_crash(self):
        self.silence(8_000)
        self.assertEqual([CrashEvidence.SILENT], self.evidence("a"))
        self.assertEqual([True], self.is_alone("a"))

    def test_a_new_incarnation_shows_that_a_silent_worker_had_crashed(self):
        self.silence(8_000)
        self.crash("w1", at_ms=10_000)
        self.assertEqual([CrashEvidence.CRASHED], self.evidence("a"))

    def test_a_new_incarnation_much_later_shows_nothing(self):
        self.silence(8_000)
        self.crash("w1", at_ms=8_001 + SILENCE_RESOLUTION_MS)
        self.assertEqual([CrashEvidence.SILENT], self.evidence("a"))


class WideFailureTests(CrashCase):
    """Workers that crash together, as when a rack loses power, accuse none of their jobs."""

    def excused(self, job="any"):
        """Return the crashed workers that a wider failure took, if the job ran there."""
        wide = self.ledger.wide_failures()
        return {c.worker for c in self.ledger.state.crashes if wide.excuse(job, (c.worker, 1))}

    def test_workers_on_which_the_same_job_ran_are_none(self):
        """A job of many deadly subtasks took so many workers that it looked like a rack's loss."""
        self.join(*(f"w{n}" for n in range(24)))
        self.apply(job_command("a", StepSpec(6, SUBTASK_RESOURCES)))
        for n in range(6):
            self.start_on("a", f"w{n}", subtask=f"0.0.{n}")
        for n in range(6):
            self.crash(f"w{n}")
        self.assertEqual(set(), self.excused("a"))
        self.assertEqual(6, len(self.excused("other")))

    def test_many_workers_at_once_are_a_wider_failure(self):
        self.join(*(f"w{n}" for n in range(24)))
        for n in range(3):
            self.crash(f"w{n}", at_ms=1000 + n * WIDE_FAILURE_WINDOW_MS // 2)
        self.assertEqual({"w0", "w1", "w2"}, self.excused())

    def test_two_workers_or_crashes_far_apart_are_none(self):
        self.join(*(f"w{n}" for n in range(24)))
        for n in range(4):
            self.crash(f"w{n}", at_ms=n * (WIDE_FAILURE_WINDOW_MS + 1))
        self.assertEqual(set(), self.excused())

    def test_in_a_large_fleet_a_rack_is_enough(self):
        self.join(*(f"w{n}" for n in range(250)))
        self.join(*(f"x{n}" for n in range(20)), rack="r2")
        for n in range(12):
            self.crash(f"x{n}", rack="r2")
        self.assertEqual(12, len(self.excused()))
        for n in range(12):
            self.crash(f"w{n}", at_ms=5_000)
        self.assertEqual(12, len(self.excused()))

    def test_crashes_that_a_suspected_job_explains_are_none(self):
        self.join(*(f"w{n}" for n in range(24)))
        for n in range(6):
            self.start_on(f"j{n}", f"w{n}")
            self.crash(f"w{n}", at_ms=n * (WIDE_FAILURE_WINDOW_MS + 1))
            self.end_lost(f"j{n}", f"w{n}", LossCause.CRASHED)
            self.start_on(f"j{n}", f"w{n + 6}", number=2)
        for n in range(6, 12):
            self.crash(f"w{n}", at_ms=60_000)
        self.assertEqual(set(), self.excused())

    def test_old_crashes_are_dropped(self):
        self.join("w1", "w2")
        self.crash("w1")
        self.crash("w2", at_ms=101 + CRASH_RETENTION_MS)
        self.assertEqual(["w2"], [crash.worker for crash in self.ledger.state.crashes])


class GiveUpTests(CrashCase):
    def test_a_job_that_is_given_up_has_failed_with_its_reason(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.assertTrue(self.apply(commands.GiveUpJob("a", "0.0.0", "why", 5)))
        self.assertFalse(self.apply(commands.GiveUpJob("a", "0.0.0", "again", 6)))
        job = self.ledger.jobs["a"]
        self.assertEqual((True, "why", 5), (job.is_failed, job.failure, job.ended_ms))

    def test_the_others_that_were_there_are_exonerated(self):
        self.join("w1", "w2")
        self.start_on("a", "w1")
        self.start_on("b", "w1")
        self.start_on("c", "w2")
        self.crash("w1")
        self.crash("w2")
        self.apply(commands.GiveUpJob("a", "0.0.0", "why", 5))
        self.assertEqual([], self.evidence("b"))
        self.assertEqual([CrashEvidence.CRASHED], self.evidence("c"))

    def test_a_snapshot_keeps_the_crashes(self):
        self.join("w1")
        self.start_on("a", "w1")
        self.crash("w1")
        restored = Ledger()
        restored.restore(self.ledger.snapshot())
        self.assertEqual(self.ledger.state, restored.state)
        self.assertEqual(1, len(restored.jobs["a"].crashes["0.0.0"]))
