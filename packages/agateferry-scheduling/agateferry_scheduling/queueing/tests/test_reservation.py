import testtools

from agateferry_core.demand import Adjacency
from agateferry_scheduling.estimates import Estimates
from agateferry_scheduling.queueing.reservation import reserve
from agateferry_scheduling.scheduler.tests.support import make_scheduler, queue, request


class ReservationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.zone = make_scheduler(racks=2)
        for number, run_ms in enumerate((9_000, 8_000, 4_000, 3_000)):
            queue(self.zone, request(f"a{number}", accelerators=8, run_ms=run_ms))
        self.gang = request("g", members=2, accelerators=8, adjacency=Adjacency.RACK)
        self.estimates = Estimates()

    def test_the_rack_that_is_expected_to_be_free_first_is_reserved(self):
        reservation = reserve(self.zone.zone.topology, self.estimates, self.gang, 0)
        racks = {self.zone.zone.topology.workers[n].worker.rack for n in reservation.workers}
        self.assertEqual((4_000, 1), (reservation.start_ms, len(racks)))
        [name] = list(reservation.workers)[:1]
        self.assertTrue(reservation.blocks(name, 4_001))
        self.assertFalse(reservation.blocks(name, 4_000))
        self.assertFalse(reservation.blocks("elsewhere", 9_000))

    def test_learned_run_times_move_the_expected_start(self):
        for _ in range(20):
            self.estimates.learn(request("x", run_ms=1_000), 10_000)
        reservation = reserve(self.zone.zone.topology, self.estimates, self.gang, 0)
        self.assertTrue(39_000 < reservation.start_ms < 41_000)
