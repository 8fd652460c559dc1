import random
from dataclasses import replace
from unittest import mock

import testtools

from agateferry_jobs.ledger import Job, Ledger, commands
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth, fragmentation
from agateferry_jobs.planning.fleet import WorkerAllocation
from agateferry_jobs.planning.fragmentation import (
    MAX_SHAPES,
    MAX_SUBTASKS_COUNTED,
    RECENT_MS,
    LostRoom,
    placement_cost,
    weighted_shapes,
)
from agateferry_jobs.planning.options import DEFAULT_OPTIONS, Placement
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_selection import WorkerSelector
from agateferry_jobs.support import job_command, manifest, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY

HALF_MEMORY = Resources(cpu=3_000, mem_mb=5_100, gpu=1)
"""Two of these never share a worker."""
SMALL = Resources(cpu=700, mem_mb=600, gpu=1)


def job(id, *steps, accepted_ms=0, **fields):
    return Job(id, "queue", "pool", "team", 1, 2, accepted_ms, JobSpec("p", steps), **fields)


def allocation(id, free):
    return WorkerAllocation(worker(id), WorkerHealth(), free, free, 8, WORKER_CAPACITY)


def shapes(*jobs, now_ms=0):
    return dict(weighted_shapes(jobs, lambda job: job.service, now_ms).get("pool", ()))


class WeightedShapesTests(testtools.TestCase):
    def test_weights_follow_the_resources_asked_for_and_add_up_to_one(self):
        found = shapes(job("a", StepSpec(2, SMALL)), job("b", StepSpec(2, HALF_MEMORY)))
        self.assertAlmostEqual(1.0, sum(found.values()))
        self.assertAlmostEqual(8.7 / (8.7 + 11.0), found[SMALL])

    def test_ended_jobs_count_while_they_are_recent(self):
        ended = job("a", StepSpec(1, SMALL), is_completed=True)
        self.assertEqual({SMALL: 1.0}, shapes(ended, now_ms=RECENT_MS))
        self.assertEqual({}, shapes(ended, now_ms=RECENT_MS + 1))

    def test_one_job_of_false_size_counts_as_a_bounded_number_of_subtasks(self):
        true = shapes(job("a", StepSpec(MAX_SUBTASKS_COUNTED, SMALL)))
        self.assertEqual(true, shapes(job("a", StepSpec(10**9, SMALL))))

    def test_the_shapes_are_bounded_in_number(self):
        steps = [StepSpec(1, Resources(cpu=cpu)) for cpu in range(1, 3 * MAX_SHAPES)]
        found = shapes(job("a", *steps))
        self.assertEqual(MAX_SHAPES, len(found))
        self.assertEqual(3 * MAX_SHAPES - 1, max(need.cpu for need in found))

    def test_subtasks_that_need_nothing_have_no_weight(self):
        self.assertEqual({}, shapes(job("a", StepSpec(3, Resources()))))


class LostRoomTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cost = LostRoom({"pool": ((HALF_MEMORY, 0.5), (SMALL, 0.5))})
        self.empty = allocation("w1", WORKER_CAPACITY)
        self.half = allocation("w2", WORKER_CAPACITY.minus(HALF_MEMORY))

    def test_an_empty_worker_loses_more_room_by_what_takes_half_of_its_memory(self):
        """Of the small ones, 8 fit into the empty worker, 7 beside one of the others."""
        self.assertAlmostEqual(0.5 + 0.5 / 8, self.cost.of(HALF_MEMORY, self.empty))
        self.assertAlmostEqual(0.5 / 8, self.cost.of(SMALL, self.half))

    def test_the_room_for_one_amount_of_free_resources_is_computed_once(self):
        with mock.patch.object(fragmentation, "_room_share", return_value=1.0) as room_share:
            for _ in range(3):
                self.cost.of(SMALL, self.empty)
        self.assertEqual(2 * 2, room_share.call_count)

    def test_a_worker_that_reports_no_capacity_costs_nothing(self):
        broken = replace(self.empty, free=Resources(), largest_capacity=Resources())
        self.assertEqual(0.0, self.cost.of(SMALL, broken))

    def test_the_cost_of_any_report_is_bounded(self):
        vast = Resources(10**9, 10**9, 10**9)
        boastful = replace(self.empty, free=vast, largest_capacity=vast)
        self.assertTrue(0.0 <= self.cost.of(SMALL, boastful) <= 1.0)


class CapacityTests(testtools.TestCase):
    """Property: no placement gives a worker more than it has."""

    def test_no_worker_gets_more_than_it_has(self):
        for placement in Placement:
            for seed in range(8):
                self.check(placement, random.Random(seed))

    def check(self, placement, rng):
        ledger = Ledger()
        ledger.apply(1, commands.encode(commands.PutManifest(manifest())))
        for number in range(6):
            incarnation = worker(f"w{number}", rack=f"r{number // 3}")
            ledger.apply(1, commands.encode(commands.NoteWorker(incarnation)))
        for number in range(20):
            step = StepSpec(
                rng.randint(1, 5),
                rng.choice((HALF_MEMORY, SMALL, Resources(1_000, 100, 8))),
                is_gang=rng.random() < 0.5,
                same_rack=rng.random() < 0.5,
            )
            command = job_command(f"j{number}", step, priority=rng.randrange(3))
            ledger.apply(1, commands.encode(command))
        health = dict.fromkeys(ledger.workers, WorkerHealth())
        fleet = Fleet.from_ledger(ledger, health, ())
        options = replace(DEFAULT_OPTIONS, placement=placement)
        plan = Planner(ledger, fleet, 0, options).plan()
        self.assertEqual({}, plan.errors)
        self.assertTrue(plan.starts)
        for each in fleet.by_service["pool"]:
            self.assertTrue(Resources().fits(each.free), (placement, each.free))


class ChoiceTests(testtools.TestCase):
    def chosen(self, placement, need, jobs, *workers):
        cost = placement_cost(placement, jobs, lambda job: job.service, 0)
        ready = ReadySubtasks(jobs[0], "0.0", StepSpec(1, need), ("0.0.0",), 2, 0, 0, 0.0, 0.0)
        fleet = Fleet(workers)
        candidates = fleet.candidates("pool", ready.step)
        options = replace(DEFAULT_OPTIONS, share_workers_after=-1.0)
        selector = WorkerSelector(candidates, ready, {}, options, cost=cost)
        return selector.select_for_subtask().incarnation.id

    def test_a_small_subtask_spares_the_worker_with_room_for_half_of_a_worker(self):
        """The worker with fewer accelerators still has memory for the shape that waits."""
        roomy = allocation("roomy", Resources(cpu=4_000, mem_mb=5_200, gpu=5))
        narrow = allocation("narrow", Resources(cpu=4_000, mem_mb=4_900, gpu=6))
        jobs = [job("a", StepSpec(5, HALF_MEMORY)), job("b", StepSpec(5, SMALL))]
        self.assertEqual("roomy", self.chosen(Placement.FULLEST, SMALL, jobs, roomy, narrow))
        self.assertEqual("narrow", self.chosen(Placement.LOST_ROOM, SMALL, jobs, roomy, narrow))

    def test_a_part_of_a_worker_spares_whole_ones(self):
        cpu_only = allocation("part", WORKER_CAPACITY.minus(Resources(gpu=4)))
        empty = allocation("whole", WORKER_CAPACITY)
        waiting = [job("a", StepSpec(2, Resources(1_000, 100, 8)))]
        for placement in Placement:
            self.assertEqual("part", self.chosen(placement, SMALL, waiting, empty, cpu_only))
