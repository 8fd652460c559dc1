import testtools

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.placement.choice import Candidate, choose
from agateferry_scheduling.placement.stranding import stranded_by
from agateferry_scheduling.scheduler.tests.support import worker
from agateferry_scheduling.topology import Topology


class ChoiceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.topology = Topology("z")
        for number in range(4):
            self.topology.join(worker(f"w{number}", f"r{number // 2}"))

    def candidates(self, *rooms):
        states = self.topology.workers.values()
        return [
            Candidate(state, room, float(cost))
            for state, (room, cost) in zip(states, rooms, strict=True)
            if room
        ]

    def test_a_single_task_goes_where_it_costs_least(self):
        found = choose(self.candidates((1, 5), (1, 3), (1, 4), (0, 0)), Demand())
        self.assertEqual({"w1": 1}, found)

    def test_a_gang_keeps_to_one_rack_if_one_has_room(self):
        rooms = self.candidates((1, 0), (0, 0), (2, 9), (2, 8))
        self.assertEqual({"w3": 2, "w2": 1}, choose(rooms, Demand(members=3)))

    def test_a_gang_spreads_only_if_it_may(self):
        rooms = self.candidates((2, 1), (2, 1), (2, 1), (1, 1))
        self.assertEqual(6, sum(choose(rooms, Demand(members=6)).values()))
        rack = Demand(members=6, adjacency=Adjacency.RACK)
        self.assertIs(None, choose(rooms, rack))

    def test_no_part_of_a_gang_is_placed(self):
        self.assertIs(None, choose(self.candidates((1, 1), (1, 1), (0, 0), (0, 0)), Demand(3)))

    def test_breaking_a_second_worker_strands_accelerators(self):
        demand = Demand(accelerators=4)
        self.topology.workers["w0"].take(demand, 1)
        self.topology.free_accelerators -= 4
        self.assertEqual(0, stranded_by(self.topology, demand, {"w0": 1}, 0))
        self.assertEqual(8, stranded_by(self.topology, demand, {"w1": 1}, 0))
