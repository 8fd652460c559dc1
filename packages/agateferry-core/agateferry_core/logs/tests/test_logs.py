import testtools

from agateferry_core.logs.logs import EVENTS_BY_NUMBER, Event


class EventTests(testtools.TestCase):
    def test_a_number_has_only_one_text(self):
        self.addCleanup(EVENTS_BY_NUMBER.pop, 999001, None)
        Event(999001, "one", "")
        with testtools.ExpectedException(ValueError):
            Event(999001, "two", "")
