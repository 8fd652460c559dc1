import testtools

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.queueing import Queue, is_large
from agateferry_scheduling.queueing.fairness import TeamShares
from agateferry_scheduling.scheduler.tests.support import request


class QueueTests(testtools.TestCase):
    def test_requests_with_the_same_key_form_a_group_in_submission_order(self):
        queue = Queue()
        group = queue.add(request("x1", at_ms=1))
        queue.add(request("x2", at_ms=2))
        self.assertEqual(["x1", "x2"], list(group.requests))
        queue.remove("x1")
        self.assertEqual("x2", group.head().request_id)
        self.assertEqual((1, 1), (len(queue), queue.count_by_team["a"]))

    def test_every_group_gets_its_turn(self):
        queue = Queue()
        for number in range(5):
            queue.add(request(f"x{number}", job=f"j{number}"))
        seen = {g.key.job for _ in range(4) for g in queue.next_groups(False, "a", 1)}
        self.assertEqual(5, len(seen))

    def test_an_older_request_that_is_queued_again_goes_first(self):
        queue = Queue()
        queue.add(request("x2", at_ms=2))
        self.assertEqual("x1", queue.add(request("x1", at_ms=1)).head().request_id)

    def test_skipped_groups_come_first_next_time(self):
        queue = Queue()
        for number in range(4):
            queue.add(request(f"x{number}", job=f"j{number}"))
        first = [group.key.job for group in queue.next_groups(False, "a", 2)]
        second = [group.key.job for group in queue.next_groups(False, "a", 3)]
        self.assertEqual((["j0", "j1"], ["j0", "j2", "j3"]), (first, second))

    def test_expired_requests_are_removed(self):
        queue = Queue()
        queue.add(request("x1", deadline_ms=10))
        queue.add(request("x2", deadline_ms=20))
        self.assertEqual(["x1"], [gone.request_id for gone in queue.pop_expired(15)])
        self.assertEqual(1, len(queue))

    def test_the_oldest_large_request_is_found(self):
        queue = Queue()
        queue.add(request("small", at_ms=1))
        queue.add(request("new", at_ms=3, members=2, accelerators=8))
        queue.add(request("old", at_ms=2, accelerators=8))
        self.assertEqual("old", queue.oldest_large().request_id)
        queue.remove("old")
        queue.remove("new")
        self.assertIs(None, queue.oldest_large())

    def test_urgent_work_is_never_large(self):
        self.assertFalse(is_large(request("u", urgency=Urgency.URGENT, accelerators=8)))


class TeamSharesTests(testtools.TestCase):
    def test_the_dominant_share_counts_by_weight(self):
        shares = TeamShares()
        shares.weights = {"a": 2.0, "b": 1.0}
        for name in "ab":
            shares.charge(name, Demand(members=2, accelerators=4), 1)
        self.assertEqual((0.25, 0.5), tuple(shares.dominant_share(name, 16, 16) for name in "ab"))
        shares.charge("b", Demand(members=2, accelerators=4), -1)
        self.assertEqual(0.0, shares.dominant_share("b", 16, 16))

    def test_waiting_outweighs_a_larger_share(self):
        shares = TeamShares()
        self.assertTrue(shares.rank(0.5, 3 * 3_600_000) < shares.rank(0.0, 0))
