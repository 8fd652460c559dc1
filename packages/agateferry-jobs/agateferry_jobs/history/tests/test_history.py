import json
from datetime import UTC, datetime

import testtools

from agateferry_jobs.cell import events
from agateferry_jobs.history import Cause, collect_jobs, read_lines, split_by_cause
from agateferry_jobs.history.causes import late_seconds, lost_accelerator_seconds
from agateferry_jobs.history.lines import lines_about_job
from agateferry_jobs.history.losses import (
    Preemptions,
    losses_by,
    preemptions,
    size_key,
    window_key,
)


def text(at_ms, event, source="core-1", **fields):
    timestamp = datetime.fromtimestamp(at_ms / 1000, UTC).isoformat()
    return f"{source} " + json.dumps(
        {"number": event.number, "event": event.text, "timestamp": timestamp, **fields}
    )


def run(at_ms, event, number=1, subtask="0.0.0", **fields):
    return text(at_ms, event, job="j", subtask=subtask, run=number, **fields)


ACCEPTED = text(
    0, events.JOB_ACCEPTED, job="j", queue="q", objective_ms=3000, steps=["1x5c6m8gG@~900"]
)
ONCE_STOPPED = [
    ACCEPTED,
    run(1000, events.RUN_STARTED, worker="w1"),
    run(1800, events.RUN_STOPPING, reason="room", for_job="u", for_rank=1),
    run(2000, events.RUN_ENDED, how="stopped"),
    run(4000, events.RUN_STARTED, 2, worker="w2"),
    run(6000, events.RUN_ENDED, 2, how="done"),
    text(6000, events.JOB_ENDED, job="j", state="completed"),
]


class LineTests(testtools.TestCase):
    def test_lines_of_several_processes_are_sorted_by_time_and_other_text_is_skipped(self):
        texts = [ONCE_STOPPED[1], "Traceback", "{no json", '{"number": 1}', ACCEPTED]
        lines = read_lines(texts)
        self.assertEqual([0, 1000], [line.at_ms for line in lines])
        self.assertEqual("core-1", lines[0].source)

    def test_a_job_has_its_own_lines_and_those_of_runs_that_it_preempted(self):
        lines = read_lines([*ONCE_STOPPED, text(5, events.JOB_ACCEPTED, job="other")])
        self.assertEqual(7, len(list(lines_about_job(lines, "j"))))
        self.assertEqual(1, len(list(lines_about_job(lines, "u"))))


class CauseTests(testtools.TestCase):
    def jobs(self, texts):
        return collect_jobs(read_lines(texts))

    def test_a_crashed_worker_is_about_each_job_that_ran_there(self):
        crash = text(2000, events.WORKER_CRASHED, worker="w1", subtasks=["j.0.0.0", "k.0.0.1"])
        lines = read_lines([ACCEPTED, crash, text(3000, events.WORKER_LEFT, worker="w2")])
        self.assertEqual(2, len(list(lines_about_job(lines, "j"))))
        self.assertEqual(1, len(list(lines_about_job(lines, "k"))))
        self.assertEqual([], list(lines_about_job(lines, "0")))

    def test_a_lost_run_says_what_became_of_its_worker(self):
        lines = [*ONCE_STOPPED[:2], run(2000, events.RUN_ENDED, how="lost", loss="crashed")]
        causes = split_by_cause(collect_jobs(read_lines(lines))["j"], 2000)
        self.assertIn("lost: lost, crashed", [cause.name for cause in causes])

    def test_the_time_of_a_job_is_split_by_cause(self):
        job = self.jobs(ONCE_STOPPED)["j"]
        expected = [
            Cause("waited to start", 1000),
            Cause("lost: stopped, room for rank 1", 1000),
            Cause("waited to start again", 2000),
            Cause("worked", 2000),
        ]
        self.assertEqual(expected, split_by_cause(job, 9000))

    def test_causes_are_those_of_the_subtask_that_ends_last(self):
        texts = [
            ACCEPTED,
            run(0, events.RUN_STARTED, subtask="0.0.0"),
            run(500, events.RUN_ENDED, subtask="0.0.0", how="done"),
            run(200, events.RUN_STARTED, subtask="0.0.1"),
        ]
        causes = split_by_cause(self.jobs(texts)["j"], 9000)
        self.assertEqual([Cause("waited to start", 200), Cause("no end was seen", 8800)], causes)

    def test_a_job_that_never_started_has_one_cause(self):
        self.assertEqual(
            [Cause("never started", 9000)], split_by_cause(self.jobs([ACCEPTED])["j"], 9000)
        )

    def test_only_late_jobs_count_as_late_seconds(self):
        jobs = self.jobs(ONCE_STOPPED).values()
        self.assertEqual(2, late_seconds(jobs, 9000)[("q", "worked")])
        self.assertEqual({}, late_seconds(self.jobs([ACCEPTED]).values(), 3000))

    def test_lost_runs_count_in_proportion_to_their_accelerators(self):
        wasted = lost_accelerator_seconds(self.jobs(ONCE_STOPPED).values())
        self.assertEqual({("q", "lost: stopped, room for rank 1"): 8}, wasted)


class LossTests(testtools.TestCase):
    """One queue with four jobs of team a, and one of team b that is twice as large and late."""

    def setUp(self):
        super().setUp()
        texts = [
            text(
                at_ms,
                events.JOB_ACCEPTED,
                job=id,
                queue="q",
                team=team,
                objective_ms=3000,
                steps=[f"{count}x8000c6m1g@~1000"],
            )
            for id, at_ms, team, count in (
                ("a1", 0, "a", 1),
                ("a2", 100, "a", 1),
                ("a3", 2100, "a", 1),
                ("a4", 4100, "a", 1),
                ("b1", 2200, "b", 2),
            )
        ]
        texts += [text(2500, events.JOB_ENDED, job=id, state="completed") for id in ("a1", "a2")]
        texts += [text(5000, events.JOB_ENDED, job=id, state="completed") for id in ("a3", "a4")]
        texts += [
            text(2300, events.RUN_STARTED, job="b1", subtask="0.0.0", run=1, worker="w"),
            text(
                7900,
                events.RUN_STOPPING,
                job="b1",
                subtask="0.0.0",
                run=1,
                reason="room",
                for_job="a3",
                for_rank=1,
            ),
            text(8300, events.RUN_ENDED, job="b1", subtask="0.0.0", run=1, how="stopped"),
            text(9000, events.JOB_ENDED, job="b1", state="completed"),
        ]
        self.jobs = list(collect_jobs(read_lines(texts)).values())

    def losses(self, key):
        return {loss.name: loss for loss in losses_by(self.jobs, key, 9000)}

    def test_a_job_counts_by_its_declared_work(self):
        """The mean is 19.2 core-seconds; jobs of 16 and 32 count as 0.883 and 1.467."""
        loss = self.losses(lambda job: job.queue)["q"]
        self.assertEqual((5, 1), (loss.jobs, loss.late))
        self.assertAlmostEqual(1.467 / (4 * 0.883 + 1.467), loss.lost_share, places=3)

    def test_groups_are_teams_windows_and_sizes(self):
        teams = self.losses(lambda job: job.team)
        self.assertEqual((0.0, 1.0), (teams["a"].lost_share, teams["b"].lost_share))
        self.assertEqual("lost: stopped, room for rank 1", teams["b"].main_cause)
        windows = self.losses(window_key(self.jobs))
        self.assertEqual({"0 to 2 s": 2, "2 to 4 s": 2, "4 to 6 s": 1}, counts(windows))
        sizes = self.losses(size_key(self.jobs))
        self.assertEqual({"q, largest": 1, "q, large": 1, "q, other": 3}, counts(sizes))
        self.assertEqual(1.0, sizes["q, largest"].lost_share)

    def test_preempted_runs_are_counted_by_both_queues(self):
        expected = Preemptions("q", "q", 1, 1, 1, lost_s=6, redone_s=6)
        self.assertEqual([expected], preemptions(self.jobs))


def counts(losses):
    return {name: loss.jobs for name, loss in losses.items()}
