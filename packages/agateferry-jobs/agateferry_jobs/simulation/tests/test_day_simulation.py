from dataclasses import replace

import testtools

from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.plan import Stop
from agateferry_jobs.simulation.day_simulation import TIME_STEP_MS, DaySimulation
from agateferry_jobs.simulation.drawing import SimulatedJob
from agateferry_jobs.simulation.faults import LeaderAbsence, Slowness
from agateferry_jobs.simulation.loads import BATCH, CALM, GANGS
from agateferry_jobs.simulation.policies import ABLATIONS, FirstFit, LeaderPolicy

LOAD = replace(CALM, workers=2, duration_s=1.0)
WHOLE_WORKER = Resources(cpu=8_000, mem_mb=16_000, gpu=8)


def job(id="j", count=1, kind=GANGS, work_ms=2_000, fails_at=(), **step):
    step.setdefault("need", WHOLE_WORKER)
    spec = JobSpec("payload", (StepSpec(count, estimated_ms=work_ms, **step),))
    return SimulatedJob(id, kind, "team-0", 0, spec, (work_ms,) * count, fails_at)


def ended(*jobs, load=LOAD, policy=None):
    """Return when each job ended, in ms."""
    day = DaySimulation(load, jobs, policy or LeaderPolicy(), seed=1).run()
    return {outcome.job.id: outcome.ended_ms for outcome in day.outcomes}


class StopWorkerOnce:
    """Stop all runs of one worker at one moment, and plan as the leader does otherwise."""

    def __init__(self, at_ms):
        self._at_ms = at_ms

    def plan(self, ledger, fleet, now_ms):
        if now_ms != self._at_ms:
            return LeaderPolicy().plan(ledger, fleet, now_ms)
        worker = next(worker for worker in fleet.by_service["pool"] if worker.runs)
        plan = Plan()
        for allocated_run in worker.runs:
            run = allocated_run.job.subtasks[allocated_run.subtask].active
            plan.stops.append(Stop((allocated_run.job.id, allocated_run.subtask), run, "x", 0))
        return plan


class WorkTests(testtools.TestCase):
    def test_a_job_takes_as_long_as_its_work(self):
        self.assertAlmostEqual(2_000, ended(job())["j"], delta=2 * TIME_STEP_MS)

    def test_a_gang_across_racks_takes_three_times_as_long(self):
        load = replace(LOAD, workers=9)
        gang = job(count=9, is_gang=True, same_rack=True)
        self.assertAlmostEqual(6_000, ended(gang, load=load)["j"], delta=3 * TIME_STEP_MS)

    def test_a_job_that_fails_runs_again(self):
        self.assertAlmostEqual(3_000, ended(job(fails_at=(0.5,)))["j"], delta=4 * TIME_STEP_MS)

    def test_a_stopped_run_starts_from_its_checkpoint_or_from_the_beginning(self):
        policy = StopWorkerOnce(1_000)
        saved = ended(job(saves_checkpoints=True), policy=policy)["j"]
        lost = ended(job(), policy=policy)["j"]
        self.assertTrue(lost - saved > 300, (lost, saved))
        self.assertTrue(lost >= 3_000, lost)

    def test_a_slow_worker_takes_longer_and_a_hung_run_is_stopped(self):
        slow = replace(LOAD, workers=1, slowness=(Slowness(0, 60, 1.0, 5.0),))
        self.assertAlmostEqual(10_000, ended(job(), load=slow)["j"], delta=3 * TIME_STEP_MS)
        hung = replace(LOAD, workers=1, slowness=(Slowness(0, 5, 1.0, 0.0),))
        self.assertTrue(6_000 < ended(job(), load=hung)["j"] < 9_000)


class LeaderAbsenceTests(testtools.TestCase):
    def test_runs_go_on_and_their_ends_are_known_once_there_is_a_leader_again(self):
        load = replace(LOAD, workers=1, absences=(LeaderAbsence(1.0, 4.0),))
        self.assertAlmostEqual(5_000, ended(job(), load=load)["j"], delta=2 * TIME_STEP_MS)

    def test_a_job_that_comes_meanwhile_is_accepted_by_the_next_leader(self):
        load = replace(LOAD, workers=1, absences=(LeaderAbsence(1.0, 4.0),))
        late = replace(job(), arrival_ms=2_000)
        self.assertAlmostEqual(7_000, ended(late, load=load)["j"], delta=2 * TIME_STEP_MS)


class RefusedStartTests(testtools.TestCase):
    def test_a_refused_start_is_repeated_until_one_is_carried_out(self):
        """Each refusal is known within 1.2 s and 50 ms later at most; no work is lost."""
        load = replace(LOAD, workers=1, refused_start_share=0.5)
        ends_ms = set()
        for seed in range(8):
            day = DaySimulation(load, [job()], LeaderPolicy(), seed).run()
            ends_ms.add(day.outcomes[0].ended_ms)
            self.assertEqual(0.0, day.wasted_core_s)
        self.assertEqual(2_000, min(ends_ms))
        self.assertTrue(any(2_500 <= ended_ms <= 3_300 for ended_ms in ends_ms), ends_ms)


class AblationTests(testtools.TestCase):
    def test_each_policy_without_a_part_completes_a_job(self):
        for name, policy in ABLATIONS.items():
            self.assertAlmostEqual(2_000, ended(job(), policy=policy)["j"], delta=100, msg=name)


class FirstFitTests(testtools.TestCase):
    def test_jobs_start_in_the_order_of_acceptance(self):
        load = replace(LOAD, workers=1)
        first, second = job("a", kind=BATCH), job("b")
        ends = ended(first, second, load=load, policy=FirstFit())
        self.assertLess(ends["a"], ends["b"])

    def test_a_gang_is_started_whole(self):
        load = replace(LOAD, workers=2)
        ends = ended(job("a"), job("b", count=2, is_gang=True), load=load, policy=FirstFit())
        self.assertAlmostEqual(4_000, ends["b"], delta=4 * TIME_STEP_MS)
