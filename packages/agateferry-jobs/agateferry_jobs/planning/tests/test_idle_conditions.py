"""When the bound on waits by choice applies: by load, by the clocks of leaders and by the room."""

from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning.tests.test_idle_jobs import (
    OBSERVED_MS,
    WHOLE_WORKER,
    PlayCase,
)
from agateferry_jobs.support.builders import SUBTASK_RESOURCES


class LongRunningTests(PlayCase):
    """The rule holds for long-running subtasks however full the service is (RULES, LOST)."""

    def new_busy_play(self):
        """Return a play of which 10 of 16 workers are in use."""
        play = self.new_play("abcd", 4)
        busy = [f"a{n}" for n in range(4)] + [f"b{n}" for n in range(4)] + ["c0", "c1"]
        self.run_on(play, "load", busy, WHOLE_WORKER, 0)
        return play

    def start_ms(self, play, step, priority):
        self.submit(play, "lasting", step, priority)
        return play.wait_until_started("lasting", OBSERVED_MS)

    def test_a_subtask_does_not_wait_for_its_data_rack_beside_a_busy_service(self):
        """Guards against twice the expected duration of a subtask that has no end."""
        step = StepSpec(
            1, SUBTASK_RESOURCES, estimated_ms=10_000, data_rack="a", is_long_running=True
        )
        waits_ms = {p: self.start_ms(self.new_busy_play(), step, p) for p in (0, 1, 2)}
        self.assert_in_time(waits_ms)

    def test_a_gang_does_not_wait_for_a_rack_beside_a_busy_service(self):
        """Guards against a wait until the job is hopeless beside 8 free workers for 3 subtasks."""
        step = StepSpec(
            3,
            Resources(cpu=16_000, mem_mb=100, gpu=4),
            estimated_ms=10_000,
            is_gang=True,
            same_rack=True,
            is_long_running=True,
        )
        waits_ms = {}
        for priority in (0, 1, 2):
            play = self.new_play("abcd", 5)
            busy = [f"{rack}{n}" for rack in "abcd" for n in range(3)]
            self.run_on(play, "load", busy, WHOLE_WORKER, 0)
            waits_ms[priority] = self.start_ms(play, step, priority)
        self.assert_in_time(waits_ms)

    def test_a_subtask_of_the_least_urgent_does_not_leave_workers_empty_beside_a_busy_service(self):
        """Guards against a wait for a share of a slack that grows with a declared duration."""
        play = self.new_play("a", 20)
        self.run_on(play, "load", [f"a{n}" for n in range(18)], Resources(12_000, 100, 6), 0)
        step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=60_000, is_long_running=True)
        self.assert_in_time({"headroom": self.start_ms(play, step, 2)})

    def test_a_subtask_does_not_wait_for_a_gang_s_reservation_beside_a_busy_service(self):
        """Guards against free workers that are kept for a gang that cannot start."""
        play = self.new_play("a", 10)
        self.run_on(play, "load", [f"a{n}" for n in range(7)], WHOLE_WORKER, 0)
        gang = StepSpec(10, WHOLE_WORKER, estimated_ms=30_000, is_gang=True)
        self.submit(play, "gang", gang, 1, age_ms=5_000)
        step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=30_000, is_long_running=True)
        self.assert_in_time({"reservation": self.start_ms(play, step, 1)})


class ClockTests(PlayCase):
    """The wall clocks of two leaders differ by as much as one of them has jumped."""

    def test_a_time_that_a_leader_with_a_fast_clock_recorded_does_not_prolong_a_wait(self):
        """Guards against a bound that only begins once this clock has caught up."""
        waits_ms = {}
        for ahead_ms in (1_500, 10_000):
            play = self.new_play("abcd", 3)
            self.run_on(play, "load", ["a0", "b0", "c0", "d0"], SUBTASK_RESOURCES, 0)
            step = StepSpec(3, WHOLE_WORKER, estimated_ms=9_000, is_gang=True, same_rack=True)
            self.submit(play, "gang", step, 1, age_ms=-ahead_ms)
            waits_ms[ahead_ms] = self.wait_of(play, "gang")
        self.assert_in_time(waits_ms)


class RoomTests(PlayCase):
    """A bound that does not ask for room ends waits where the rule does not hold."""

    def test_a_gang_that_fits_once_waits_for_its_rack(self):
        """Guards against runs of three times the length where a rack is free 1 s later.

        All cores of 12 of 16 workers are in use, but only a quarter of the weighted cores.
        """
        play = self.new_play("abcd", 4)
        rest = [f"{r}{n}" for r in "bcd" for n in range(1, 4)]
        for id in rest:
            self.run_on(play, f"l{id}", [id], Resources(16_000, 100, 1), 0)
        for id in ("a1", "a2", "a3"):
            self.run_on(play, f"s{id}", [id], Resources(16_000, 100, 1), 0, run_ms=3_000)
        step = StepSpec(4, WHOLE_WORKER, estimated_ms=9_000, is_gang=True, same_rack=True)
        self.submit(play, "gang", step, 1)
        self.assertEqual(3_000, play.wait_until_started("gang", OBSERVED_MS))
        self.assertEqual({"a"}, {id[0] for id in play.workers_of("gang")})
