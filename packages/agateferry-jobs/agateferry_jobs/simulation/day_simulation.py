"""Simulate one day: the policy plans and the workers run, in fixed steps of virtual time."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.cell.leader import TICK_MS
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.planning import Fleet, Plan, WorkerHealth
from agateferry_jobs.planning.paces import PaceTracker, Progress
from agateferry_jobs.simulation.cell_setup import setup_commands
from agateferry_jobs.simulation.drawing import SimulatedJob
from agateferry_jobs.simulation.faults import FaultSchedule
from agateferry_jobs.simulation.loads import Load
from agateferry_jobs.simulation.policies import Policy
from agateferry_jobs.simulation.running_group import RunningGroup
from agateferry_jobs.simulation.stranded import StrandedGpus

TIME_STEP_MS = 50
"""The step of virtual time in which the simulation advances."""
TAIL_S = 25
"""How long the simulation goes on after the last arrivals, so that late jobs can end."""
REFUSAL_DELAY_RANGE_MS = (500, 1_200)
"""After how long the leader knows that a start without an answer will not be carried out."""
POLL_INTERVAL_MS = 1_500
"""How often workers report the progress of their runs."""
CROSS_RACK_SLOWDOWN = 3
"""How many times as long a gang takes that needs one rack but spans several."""


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """When a job completed, in ms from the start of the day; None if it did not."""

    job: SimulatedJob
    ended_ms: int | None


@dataclass(slots=True)
class DayResult:
    """The result of a simulated day.

    `wasted_gpu_s` is lost work in accelerator-seconds. `wasted_core_s` is the same in core-seconds,
    in which an accelerator counts as several, see `Resources.weighted_cores`. `stranded_gpus` is
    the mean number of accelerators that no waiting subtask could use, see `StrandedGpus`.
    """

    outcomes: list[JobOutcome]
    wasted_gpu_s: float
    stops: int
    cross_rack_starts: int
    wasted_core_s: float = 0.0
    stranded_gpus: float = 0.0


class DaySimulation:
    """Simulate one day of a load under a policy."""

    def __init__(self, load: Load, jobs: Sequence[SimulatedJob], policy: Policy, seed: int) -> None:
        self._load = load
        self._future_jobs = list(jobs)
        self._jobs = {job.id: job for job in jobs}
        self._policy = policy
        self._rng = random.Random(seed)
        self._ledger = Ledger()
        self._paces = PaceTracker(self._ledger)
        self._progress: dict[RunKey, Progress] = {}
        """What the workers have reported of the runs."""
        self._groups: list[RunningGroup] = []
        self._failed: dict[str, int] = {}
        self._unreported: list[tuple[RunningGroup, commands.RunOutcome]] = []
        """Groups that ended since the last plan; without a leader there is none."""
        self._wasted_gpu_s = 0.0
        self._wasted_core_s = 0.0
        self._stops = 0
        self._cross_rack_starts = 0
        self._now_ms = 0
        self._speeds: dict[str, float] = {}
        self._unreachable: set[str] = set()
        self._evacuated: set[str] = set()
        self._stranded = StrandedGpus()
        self._has_leader = True
        self._racks = {
            f"w{number:03d}": f"r{number // load.workers_per_rack}"
            for number in range(load.workers)
        }
        self._faults = FaultSchedule(
            self._racks, load.slowness, load.outages, load.absences, load.evacuations, load.zones
        )
        speed_rng = random.Random(seed)
        self._own_speeds = {id: speed_rng.choice(load.worker_speeds) for id in self._racks}

    def run(self) -> DayResult:
        """Simulate the day and return its result."""
        for command in setup_commands(self._load, self._racks):
            self._apply(command)
        end_ms = round((self._load.duration_s + TAIL_S) * MS_PER_S)
        is_changed = True
        for self._now_ms in range(0, end_ms, TIME_STEP_MS):
            is_changed |= self._update_faults()
            is_changed |= self._submit_due_jobs()
            is_changed |= self._advance_all()
            if self._now_ms % POLL_INTERVAL_MS == 0:
                self._poll()
            if self._has_leader and (is_changed or self._now_ms % TICK_MS == 0):
                self._report_ends()
                self._update_evacuations()
                self._plan()
                is_changed = False
        return DayResult(
            [JobOutcome(job, self._ended_ms(job)) for job in self._jobs.values()],
            self._wasted_gpu_s,
            self._stops,
            self._cross_rack_starts,
            self._wasted_core_s,
            self._stranded.mean,
        )

    def _ended_ms(self, job: SimulatedJob) -> int | None:
        stored = self._ledger.jobs[job.id]
        return stored.ended_ms if stored.is_completed else None

    def _apply(self, command: commands.Command) -> None:
        self._ledger.apply(1, commands.encode(command))

    def _submit_due_jobs(self) -> bool:
        if not self._has_leader:
            return False
        due = [job for job in self._future_jobs if job.arrival_ms <= self._now_ms]
        self._future_jobs = self._future_jobs[len(due) :]
        for job in due:
            kind = job.kind
            self._apply(
                commands.AcceptJob(
                    job.id,
                    kind.name,
                    "pool",
                    job.team,
                    kind.priority,
                    kind.attempts,
                    self._now_ms,
                    job.spec,
                )
            )
        return bool(due)

    def _update_faults(self) -> bool:
        """Update what the faults of this moment affect; return whether the leader may notice."""
        before = (self._unreachable, self._has_leader, self._evacuated)
        speeds = self._faults.speeds(self._now_ms)
        self._speeds = {id: speed * self._own_speeds[id] for id, speed in speeds.items()}
        self._unreachable = self._faults.unreachable(self._now_ms)
        self._has_leader = self._faults.has_leader(self._now_ms)
        self._evacuated = self._faults.evacuated_zones(self._now_ms)
        return before != (self._unreachable, self._has_leader, self._evacuated)

    def _update_evacuations(self) -> None:
        """Evacuate and readmit zones, which only a cell with a leader can do."""
        recorded = set(self._ledger.state.evacuations)
        for zone in sorted(self._evacuated - recorded):
            self._apply(commands.EvacuateZone(zone, self._now_ms))
        for zone in sorted(recorded - self._evacuated):
            self._apply(commands.ReadmitZone(zone, self._now_ms))

    def _advance_all(self) -> bool:
        """Advance all running groups by one time step; return whether any ended."""
        ended = [group for group in self._groups if self._advance(group)]
        self._groups = [group for group in self._groups if group not in ended]
        return bool(ended)

    def _poll(self) -> None:
        """Learn the progress of all runs on workers that can be reached."""
        self._progress = {
            (group.job.id, name): Progress(run, 100 * group.done_ms / group.work_ms, self._now_ms)
            for group in self._groups
            for name, run in group.members.items()
            if group.stops_at_ms is None and run.worker not in self._unreachable
        }

    def _advance(self, group: RunningGroup) -> bool:
        """Advance a group by one time step; return whether it ended."""
        workers = {run.worker for run in group.members.values()}
        is_unreachable = bool(workers & self._unreachable)
        group.advance(TIME_STEP_MS, min(self._speeds[worker] for worker in workers))
        if group.is_hung and self._has_leader and not is_unreachable:
            self._stop(group)
        outcome = group.outcome(self._now_ms)
        if outcome is None or (is_unreachable and outcome is not commands.RunOutcome.REFUSED):
            return False
        if outcome is commands.RunOutcome.FAILED:
            self._failed[group.job.id] = self._failed.get(group.job.id, 0) + 1
        self._end(group, outcome)
        return True

    def _end(self, group: RunningGroup, outcome: commands.RunOutcome) -> None:
        """Count the work that is lost by an end, and record the end with the next plan."""
        if outcome not in (commands.RunOutcome.DONE, commands.RunOutcome.REFUSED):
            need = group.job.spec.steps[0].need
            lost_s = (group.ran_ms if not group.saved_ms else 0.0) * len(group.members) / MS_PER_S
            self._wasted_gpu_s += lost_s * need.gpu
            self._wasted_core_s += lost_s * need.weighted_cores
        self._unreported.append((group, outcome))

    def _report_ends(self) -> None:
        """Record in the ledger the ends that workers have listed."""
        for group, outcome in self._unreported:
            self._report_end(group, outcome)
        self._unreported = []

    def _report_end(self, group: RunningGroup, outcome: commands.RunOutcome) -> None:
        checkpoint = str(round(group.saved_ms)) if group.saved_ms else ""
        ends = tuple(
            commands.RunEnded(group.job.id, name, run, outcome, checkpoint)
            for name, run in group.members.items()
        )
        self._apply(commands.EndRuns(ends, self._now_ms))

    def _stop(self, group: RunningGroup) -> None:
        if group.stops_at_ms is None:
            self._stops += 1
            group.stops_at_ms = self._now_ms + self._rng.randint(*self._load.stop_duration_ms)

    def _plan(self) -> None:
        stopping: set[RunKey] = {
            (group.job.id, name)
            for group in self._groups
            if group.stops_at_ms is not None
            for name in group.members
        }
        cold = self._faults.cold(self._now_ms)
        health = {
            id: WorkerHealth(answers=id not in self._unreachable, is_cold=id in cold)
            for id in self._racks
        }
        fleet = Fleet.from_ledger(self._ledger, health, stopping)
        if self._paces.is_due(self._now_ms):
            self._paces.update(self._progress, self._now_ms)
        fleet.set_paces(self._paces.paces)
        plan = self._policy.plan(self._ledger, fleet, self._now_ms)
        if self._now_ms % MS_PER_S == 0 and self._future_jobs:
            self._stranded.sample(self._ledger, fleet, plan)
        for stop in plan.stops:
            for group in self._groups:
                if group.job.id == stop.key[0] and stop.key[1] in group.members:
                    self._stop(group)
        self._start(plan)

    def _start(self, plan: Plan) -> None:
        if not plan.starts:
            return
        self._apply(commands.StartRuns(tuple(plan.starts), self._now_ms))
        starts_by_group: dict[tuple[str, str], list[commands.RunStart]] = {}
        for start in plan.starts:
            is_gang = self._jobs[start.job].kind.is_gang
            group_name = gang_of(start.subtask) if is_gang else start.subtask
            starts_by_group.setdefault((start.job, group_name), []).append(start)
        for starts in starts_by_group.values():
            self._groups.append(self._group(starts))

    def _group(self, starts: Sequence[commands.RunStart]) -> RunningGroup:
        job = self._jobs[starts[0].job]
        step = job.spec.steps[0]
        racks = {self._racks[start.run.worker] for start in starts}
        spans_racks = step.same_rack and len(racks) > 1
        self._cross_rack_starts += spans_racks
        work_ms = job.work_ms[int(starts[0].subtask.rpartition(".")[2])]
        failed = self._failed.get(job.id, 0)
        fails_at = job.fails_at[failed] * work_ms if failed < len(job.fails_at) else None
        done_ms = float(starts[0].checkpoint or 0)
        return RunningGroup(
            job,
            {start.subtask: start.run for start in starts},
            work_ms,
            done_ms,
            fails_at,
            CROSS_RACK_SLOWDOWN if spans_racks else 1,
            restore_ms=self._load.restore_ms if done_ms else 0.0,
            refused_at_ms=self._refused_at_ms(),
        )

    def _refused_at_ms(self) -> int | None:
        share = self._load.refused_start_share
        if not share or self._rng.random() >= share:
            return None
        return self._now_ms + self._rng.randint(*REFUSAL_DELAY_RANGE_MS)
