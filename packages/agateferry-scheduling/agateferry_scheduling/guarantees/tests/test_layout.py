import testtools

from agateferry_core.demand import Adjacency, Demand, Shape, Worker
from agateferry_scheduling.guarantees.check import find_guarantee_violation
from agateferry_scheduling.guarantees.layout import Layout
from agateferry_scheduling.scheduler.messages import Team
from agateferry_scheduling.topology import Topology


class LayoutTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.topology = Topology("z")
        for number in range(4):
            self.topology.join(Worker(f"w{number}", "z", f"r{number // 2}", 8, 32, 64_000, 8))
        self.layout = Layout(self.topology)

    def set_teams(self, *teams):
        self.teams = teams
        self.layout.set_teams(teams)
        self.assertIs(None, find_guarantee_violation(self.topology, self.layout, teams))

    def test_shapes_of_all_teams_are_placed_at_once(self):
        rack = Shape(16, Adjacency.RACK)
        self.set_teams(Team("a", (Shape(8, count=2),)), Team("b", (rack,)))
        self.assertEqual((), self.layout.teams_missing_cells())
        self.assertEqual(32, sum(self.layout.cell_accelerators.values()))

    def test_a_team_whose_shapes_do_not_fit_is_missing(self):
        self.set_teams(Team("a", (Shape(16, Adjacency.RACK, 2),)), Team("b", (Shape(1),)))
        self.assertEqual(("b",), self.layout.teams_missing_cells())

    def test_cells_move_off_lost_workers(self):
        self.set_teams(Team("a", (Shape(8),)))
        [cell] = self.layout.cells
        [name] = cell.placement
        self.topology.remove_worker(name)
        self.layout.refresh()
        self.assertNotIn(name, cell.placement)
        self.assertIs(None, find_guarantee_violation(self.topology, self.layout, self.teams))

    def test_equal_cells_of_two_teams_swap(self):
        self.set_teams(Team("a", (Shape(8, count=2),)), Team("b", (Shape(8, count=2),)))
        cell = next(c for c in self.layout.cells if c.team == "a")
        other = next(c for c in self.layout.cells if c.team == "b")
        placement = dict(other.placement)
        self.assertTrue(self.layout.move(cell, placement))
        self.assertEqual(placement, cell.placement)
        self.assertIs(None, find_guarantee_violation(self.topology, self.layout, self.teams))

    def test_cells_include_a_proportional_share_of_the_worker(self):
        self.set_teams(Team("a", (Shape(4),)))
        [name] = self.layout.cells[0].placement
        state = self.topology.workers[name]
        self.assertEqual(4, self.layout.fitting_in_cells("a", state, Demand(8, 1, 4, 100)))
        self.assertEqual(2, self.layout.fitting_in_cells("a", state, Demand(8, 1, 8, 100)))
        self.assertEqual(0, self.layout.fitting_in_cells("b", state, Demand(1, 1, 1, 100)))


class GuaranteeViolationTests(testtools.TestCase):
    def test_overlapping_cells_are_found(self):
        topology = Topology("z")
        topology.join(Worker("w0", "z", "r0", 8, 32, 64_000, 8))
        teams = (Team("a", (Shape(4),)), Team("b", (Shape(4),)))
        layout = Layout(topology)
        layout.set_teams(teams)
        layout.cells[0].placement = {"w0": 5}
        self.assertIn("shape", find_guarantee_violation(topology, layout, teams))
        layout.cells[0].placement = {"w0": 4}
        layout.cells[1].team = "a"
        self.assertIn("guaranteed shapes", find_guarantee_violation(topology, layout, teams))
