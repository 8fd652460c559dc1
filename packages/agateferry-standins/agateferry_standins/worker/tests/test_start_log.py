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

    def test_a_gang_whose_members_all_run_is_not_partial(self):
        for number in (0, 1):
            self.log.record_lease(member(number))
        for number in (0, 1):
            self.log.record_start(member(number), "k")
            self.log.record_finish(member(number), "k")
        self.assertEqual([], self.log.partial_gangs())

    def test_a_start_before_all_members_hold_leases_is_detected(self):
        self.log.record_lease(member(0))
        self.log.record_start(member(0), "k")
        self.assertEqual([("z.1", 1)], self.log.partial_gangs())

    def test_a_member_that_finishes_before_another_starts_is_detected(self):
        for number in (0, 1):
            self.log.record_lease(member(number))
        self.log.record_start(member(0), "k")
        self.assertEqual([], self.log.partial_gangs())
        self.log.record_finish(member(0), "k")
        self.assertEqual([("z.1", 1)], self.log.partial_gangs())

    def test_a_second_start_under_another_request_id_is_detected_by_the_key(self):
        self.log.record_start(member(0, members=1), "k")
        self.assertEqual([], self.log.duplicated_tasks(frozenset({"forecast"})))
        self.log.record_start(member(0, members=1, request_id="y.9"), "k")
        self.assertEqual([("forecast", "k", 0)], self.log.duplicated_tasks(frozenset({"forecast"})))
        self.assertEqual([], self.log.duplicated_tasks(frozenset({"barn-count"})))
