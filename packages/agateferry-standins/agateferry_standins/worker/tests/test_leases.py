import testtools

from agateferry_core.clock import ManualClock
from agateferry_standins.worker.leases import LeaseTable
from agateferry_standins.worker.messages import (
    LeaseRequest,
    LeaseState,
    Refusal,
    Task,
    WorkerCapacity,
)
from agateferry_standins.worker.start_log import StartLog


def lease_request(lease="z.1.1.0", member=0, members=1, accelerators=0):
    return LeaseRequest(lease, "z.1", 1, member, members, accelerators, job="barn-count")


class LeaseTableTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.log = StartLog()
        self.table = LeaseTable(WorkerCapacity(), self.clock, self.log)

    def test_a_task_finishes_with_its_echo_after_its_run_time(self):
        lease = self.table.start(lease_request(), Task(50, "hello")).ok
        self.clock.advance(49)
        self.assertEqual([], self.table.advance())
        self.clock.advance(1)
        self.assertEqual([lease], self.table.advance())
        self.assertEqual("hello", lease.as_json()["answer"])
        self.assertEqual(5, lease.as_json()["length"])

    def test_advance_returns_a_lease_whose_end_another_call_observed(self):
        lease = self.table.start(lease_request("L1"), Task(50, "hello")).ok
        self.clock.advance(50)
        self.table.start(lease_request("L2"), Task(50, "other"))
        self.assertTrue(lease.final)
        self.assertEqual([lease], self.table.advance())

    def test_a_repeated_start_has_no_second_effect(self):
        self.table.start(lease_request(), Task(50, "hello"))
        self.table.start(lease_request(), Task(50, "other"))
        self.assertEqual([1], list(self.log.starts.values()))

    def test_a_start_after_release_or_stop_runs_nothing(self):
        self.table.start(lease_request(), Task(0, "x"))
        self.table.release("z.1.1.0")
        self.assertEqual(
            LeaseState.STOPPED, self.table.start(lease_request(), Task(0, "x")).ok.state
        )
        self.table.stop("z.2.1.0")
        again = self.table.start(lease_request("z.2.1.0"), Task(0, "x")).ok
        self.assertEqual(LeaseState.STOPPED, again.state)
        self.assertEqual(1, sum(self.log.starts.values()))

    def test_a_released_lease_is_unknown(self):
        self.table.start(lease_request(), Task(0, "x"))
        self.table.release("z.1.1.0")
        self.assertEqual(Refusal.UNKNOWN_LEASE, self.table.get("z.1.1.0").error)

    def test_a_start_beyond_the_capacity_is_refused(self):
        for i in range(8):
            self.assertTrue(self.table.start(lease_request(f"L{i}"), Task(50, "")).is_ok())
        self.assertEqual(
            Refusal.NO_CAPACITY, self.table.start(lease_request("L8"), Task(1, "")).error
        )
        self.assertEqual(1, self.log.violations["over-capacity"])

    def test_accelerators_are_in_use_until_the_lease_ends(self):
        self.table.reserve(lease_request("L1", accelerators=5), 1000)
        refused = self.table.reserve(lease_request("L2", accelerators=4), 1000)
        self.assertEqual(Refusal.NO_CAPACITY, refused.error)
        self.table.stop("L1")
        self.assertTrue(self.table.reserve(lease_request("L2", accelerators=4), 1000).is_ok())

    def test_a_reservation_expires(self):
        self.table.reserve(lease_request(members=2), 1000)
        self.assertEqual(1000, self.table.next_due_ms())
        self.clock.advance(1000)
        self.assertEqual(1, len(self.table.advance()))
        self.assertEqual(0, self.table.slots_used())
        late = self.table.start(lease_request(members=2), Task(10, ""))
        self.assertEqual(Refusal.NO_CAPACITY, late.error)

    def test_a_leaving_worker_refuses_new_leases_and_starts_reserved_ones(self):
        self.table.reserve(lease_request("L1"), 1000)
        self.table.leaving = True
        self.assertEqual(Refusal.LEAVING, self.table.reserve(lease_request("L2"), 1000).error)
        self.assertEqual(Refusal.LEAVING, self.table.start(lease_request("L3"), Task(1, "")).error)
        self.assertEqual(
            LeaseState.RUNNING, self.table.start(lease_request("L1"), Task(1, "")).ok.state
        )

    def test_a_task_resumes_from_a_checkpoint(self):
        self.table.start(lease_request("L1"), Task(1000, ""))
        self.clock.advance(560)
        self.assertEqual(5, self.table.checkpoint("L1").ok.checkpoint_step)
        resumed = self.table.start(lease_request("L2"), Task(1000, ""), checkpoint_step=5).ok
        self.clock.advance(500)
        self.table.advance()
        self.assertEqual(LeaseState.FINISHED, resumed.state)

    def test_a_throttled_task_takes_longer(self):
        lease = self.table.start(lease_request("L1"), Task(100, "")).ok
        self.clock.advance(50)
        self.table.throttle("L1", 0.5)
        self.assertEqual(150, self.table.next_due_ms())
        self.clock.advance(99)
        self.assertEqual([], self.table.advance())
        self.clock.advance(1)
        self.assertEqual([lease], self.table.advance())

    def test_a_stop_after_the_end_returns_the_finished_lease(self):
        self.table.start(lease_request("L1"), Task(100, ""))
        self.clock.advance(100)
        self.assertEqual(LeaseState.FINISHED, self.table.stop("L1").state)

    def test_a_task_stops_at_its_deadline(self):
        lease = self.table.start(lease_request("L1"), Task(100, ""), deadline_ms=40).ok
        self.clock.advance(40)
        self.table.advance()
        self.assertEqual(LeaseState.STOPPED, lease.state)
        self.assertNotIn("answer", lease.as_json())

    def test_a_task_on_a_failing_worker_fails(self):
        self.table.failing = True
        lease = self.table.start(lease_request("L1"), Task(0, "")).ok
        self.table.advance()
        self.assertEqual(LeaseState.FAILED, lease.state)
        self.assertIn("error", lease.as_json())
