from unittest import mock

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency, Worker
from agateferry_scheduling.guarantees.layout import Layout
from agateferry_scheduling.placement import choice
from agateferry_scheduling.scheduler import finder
from agateferry_scheduling.scheduler.messages import PendingRequest, Team
from agateferry_scheduling.topology import Topology
from agateferry_scheduling.traces.records import (
    Cancelled,
    EvacuationSet,
    Submitted,
    TeamsSet,
    WorkerDown,
    WorkerLeft,
    WorkerUp,
)
from agateferry_scheduling.traces.replay import Policy, replay

WORKERS = 6
TEAMS = (
    Team("a", (Shape(8, Adjacency.WORKER, 1),)),
    Team("b", (Shape(16, Adjacency.RACK, 1),)),
    Team("c", (Shape(4, Adjacency.WORKER, 2),)),
    Team("d"),
)


def worker(number):
    return Worker(f"w{number}", "z", f"r{number // 3}", 8, 32, 64_000, 8)


demands = st.builds(
    Demand,
    members=st.sampled_from((1, 1, 1, 2, 3)),
    accelerators=st.sampled_from((0, 1, 2, 4, 8)),
    cpu_cores=st.sampled_from((1, 4)),
    memory_mb=st.just(500),
    adjacency=st.sampled_from(Adjacency),
)
submissions = st.tuples(
    st.just("submit"),
    st.sampled_from("abcd"),
    demands,
    st.sampled_from(Urgency),
    st.booleans(),
    st.booleans(),
    st.integers(1, 600),
)
others = st.tuples(
    st.sampled_from(("cancel", "down", "up", "left", "evacuate")), st.integers(0, 30)
)
steps = st.lists(st.one_of(submissions, submissions, submissions, others), max_size=40)


def make_records(plan):
    records = [TeamsSet(0, TEAMS), *(WorkerUp(0, worker(n)) for n in range(WORKERS))]
    for number, step in enumerate(plan):
        at_ms = (number + 1) * 2_000
        records.append(make_record(step, at_ms, number))
    return records


def make_record(step, at_ms, number):
    match step:
        case ("submit", name, demand, urgency, preemptible, checkpointable, run_s):
            pending = PendingRequest(
                f"q{number}", name, "j", urgency, demand, run_s * 1_000, at_ms,
                preemptible=preemptible, checkpointable=checkpointable,
            )  # fmt: skip
            return Submitted(at_ms, pending, run_s * 700)
        case ("cancel", which):
            return Cancelled(at_ms, f"q{which}")
        case ("evacuate", which):
            return EvacuationSet(at_ms, which % 2 == 0)
        case ("down", which):
            return WorkerDown(at_ms, f"w{which % WORKERS}")
        case ("left", which):
            return WorkerLeft(at_ms, f"w{which % WORKERS}")
        case ("up", which):
            return WorkerUp(at_ms, worker(which % WORKERS))


def submit_whole_workers(team, preemptible=False):
    """Submit requests for whole workers of one team, more than there are workers."""
    demand = Demand(1, 8, 1, 500)
    step = ("submit", team, demand, Urgency.NORMAL, preemptible, False, 500)
    return [step] * 8


class InvariantTests(testtools.TestCase):
    @seed(1)
    @settings(max_examples=120, deadline=None, database=None)
    @given(steps)
    def test_guarantees_gangs_and_capacity_hold_after_every_step(self, plan):
        report = replay(make_records(plan), Policy.FAIR)
        self.assertIs(None, report.broken)

    @seed(3)
    @settings(max_examples=120, deadline=None, database=None)
    @given(st.lists(submissions, max_size=40))
    def test_a_team_reclaims_its_guarantee_within_the_bound(self, plan):
        report = replay(make_records(plan), Policy.FAIR)
        self.assertEqual((None, 0), (report.broken, report.reclaims_late))

    @seed(2)
    @settings(max_examples=60, deadline=None, database=None)
    @given(steps)
    def test_the_baseline_keeps_gangs_whole_and_workers_within_capacity(self, plan):
        self.assertIs(None, replay(make_records(plan), Policy.BASELINE).broken)


class PlantedFaultTests(testtools.TestCase):
    def test_pinned_work_within_guarantees_is_detected(self):
        def everything_free(layout, state):
            return state.free()

        with mock.patch.object(Layout, "slack", everything_free):
            report = replay(make_records(submit_whole_workers("d")), Policy.FAIR)
        self.assertIn("overlap", report.broken)

    def test_a_gang_that_starts_in_part_is_detected(self):
        whole = choice.choose

        def in_part(candidates, demand):
            counts = whole(candidates, demand)
            return dict(list(counts.items())[:1]) if counts else None

        gang = ("submit", "d", Demand(2, 8, 1, 500), Urgency.NORMAL, True, False, 5)
        with mock.patch.object(finder, "choose", in_part):
            report = replay(make_records([gang]), Policy.FAIR)
        self.assertIn("starts with members [0]", report.broken)

    def test_a_worker_over_its_capacity_is_detected(self):
        def allocate_without_counting(topology, allocation):
            topology.allocations[allocation.request.request_id] = allocation

        with mock.patch.object(Topology, "allocate", allocate_without_counting):
            report = replay(make_records(submit_whole_workers("d", preemptible=True)), Policy.FAIR)
        self.assertIn("over its capacity", report.broken)
