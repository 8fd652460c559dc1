import testtools

from agateferry_standins.worker.messages import LeaseRequest
from agateferry_standins.worker.start_log import StartLog


def member(number, members=2, attempt=1, request_id="z.1"):
    return LeaseRequest(
        f"{request_id}.{attempt}.{number}", request_id, attempt, number, members, job="forecast"
    )


class StartLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.log = StartLog()

    def test_a_gang_that_holds_and_runs_whole_is_no_partial_gang(self):
        for number in (0, 1):
            self.log.held(member(number))
        for number in (0, 1):
            self.log.started(member(number), "k")
            self.log.finished(member(number), "k")
        self.assertEqual([], self.log.partial_gangs())

    def test_a_start_before_all_hold_is_found(self):
        self.log.held(member(0))
        self.log.started(member(0), "k")
        self.assertEqual([("z.1", 1)], self.log.partial_gangs())

    def test_a_member_that_finishes_without_the_last_one_is_found(self):
        for number in (0, 1):
            self.log.held(member(number))
        self.log.started(member(0), "k")
        self.assertEqual([], self.log.partial_gangs())
        self.log.finished(member(0), "k")
        self.assertEqual([("z.1", 1)], self.log.partial_gangs())

    def test_a_second_start_under_another_request_id_is_found_by_the_key(self):
        self.log.started(member(0, members=1), "k")
        self.assertEqual([], self.log.duplicated(frozenset({"forecast"})))
        self.log.started(member(0, members=1, request_id="y.9"), "k")
        self.assertEqual([("forecast", "k", 0)], self.log.duplicated(frozenset({"forecast"})))
        self.assertEqual([], self.log.duplicated(frozenset({"barn-count"})))
