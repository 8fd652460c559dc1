import testtools

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.placement.choice import Candidate, choose
from agateferry_scheduling.placement.stranding import stranding_change
from agateferry_scheduling.scheduler.tests.support import worker
from agateferry_scheduling.topology import Topology


class ChoiceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.topology = Topology("z")
        for number in range(4):
            self.topology.join(worker(f"w{number}", f"r{number // 2}"))

    def candidates(self, *members_and_costs):
        states = self.topology.workers.values()
        return [
            Candidate(state, members, float(cost))
            for state, (members, cost) in zip(states, members_and_costs, strict=True)
            if members
        ]

    def test_a_single_task_goes_to_the_cheapest_worker(self):
        found = choose(self.candidates((1, 5), (1, 3), (1, 4), (0, 0)), Demand())
        self.assertEqual({"w1": 1}, found)

    def test_a_gang_goes_to_one_rack_if_it_fits_there(self):
        candidates = self.candidates((1, 0), (0, 0), (2, 9), (2, 8))
        self.assertEqual({"w3": 2, "w2": 1}, choose(candidates, Demand(members=3)))

    def test_a_gang_spans_racks_only_if_its_adjacency_allows(self):
        candidates = self.candidates((2, 1), (2, 1), (2, 1), (1, 1))
        self.assertEqual(6, sum(choose(candidates, Demand(members=6)).values()))
        rack = Demand(members=6, adjacency=Adjacency.RACK)
        self.assertIs(None, choose(candidates, rack))

    def test_a_gang_is_never_placed_in_part(self):
        self.assertIs(None, choose(self.candidates((1, 1), (1, 1), (0, 0), (0, 0)), Demand(3)))

    def test_partly_using_a_second_worker_strands_accelerators(self):
        demand = Demand(accelerators=4)
        self.topology.workers["w0"].allocate(demand, 1)
        self.topology.free_accelerators -= 4
        self.assertEqual(0, stranding_change(self.topology, demand, {"w0": 1}, 0))
        self.assertEqual(8, stranding_change(self.topology, demand, {"w1": 1}, 0))
