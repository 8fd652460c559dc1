import testtools

from agateferry_core.clock import ManualClock, SystemClock


class ManualClockTests(testtools.TestCase):
    def test_advances_by_the_given_time(self):
        clock = ManualClock(5)
        clock.advance(10)
        self.assertEqual(15, clock.now_ms())

    def test_a_wall_jump_leaves_the_monotonic_reading_alone(self):
        clock = ManualClock(5)
        clock.jump_wall(-1000)
        self.assertEqual((5, -995), (clock.now_ms(), clock.wall_ms()))

    def test_refuses_to_go_back(self):
        with testtools.ExpectedException(ValueError):
            ManualClock().advance(-1)


class SystemClockTests(testtools.TestCase):
    def test_never_goes_back(self):
        clock = SystemClock()
        first = clock.now_ms()
        self.assertGreaterEqual(clock.now_ms(), first)
