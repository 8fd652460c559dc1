import testtools

from agateferry_core.logs.logs import REGISTRY, Event


class EventTests(testtools.TestCase):
    def test_a_number_stands_for_one_text(self):
        self.addCleanup(REGISTRY.pop, 999001, None)
        Event(999001, "one", "")
        with testtools.ExpectedException(ValueError):
            Event(999001, "two", "")
