import testtools

from agateferry_jobs.workers.end_cursor import EndCursor
from agateferry_jobs.workers.port import FinishedRun


def finished(*numbers):
    return [FinishedRun(number, ("j", f"0.0.{number}"), 1, "done", "") for number in numbers]


class EndCursorTests(testtools.TestCase):
    """An end that is acknowledged too early is never listed again, so it would be lost."""

    def setUp(self):
        super().setUp()
        self.cursor = EndCursor()

    def commit(self, *numbers, held=()):
        """Commit the new ones of the ends that are listed; return their numbers."""
        listed = finished(*numbers)
        new = self.cursor.take_new(listed, lambda each: each.number in held)
        self.cursor.advance(listed)
        return [each.number for each in new]

    def test_committed_ends_can_be_acknowledged_and_are_not_new_again(self):
        self.assertEqual([1, 2], self.commit(1, 2))
        self.assertEqual(2, self.cursor.position)
        self.assertEqual([3], self.commit(2, 3))

    def test_an_end_that_is_held_back_is_not_acknowledged_and_later_ones_are_committed_once(self):
        self.assertEqual([1, 3], self.commit(1, 2, 3, held=[2]))
        self.assertEqual(1, self.cursor.position)
        self.assertEqual([4], self.commit(2, 3, 4, held=[2]))
        self.assertEqual(1, self.cursor.position)
        self.assertEqual([2], self.commit(2, 3, 4))
        self.assertEqual(4, self.cursor.position)
        self.assertEqual((), self.cursor.held)

    def test_the_position_never_falls(self):
        self.commit(1, 2, 3)
        self.commit(1)
        self.commit()
        self.assertEqual(3, self.cursor.position)
