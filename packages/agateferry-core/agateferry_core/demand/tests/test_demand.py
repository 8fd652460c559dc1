import testtools

from agateferry_core.demand import Adjacency, Demand, Shape


class DemandTests(testtools.TestCase):
    def test_the_default_demand_is_one_task_without_accelerators(self):
        self.assertEqual(
            (1, 0, Adjacency.ANY), (Demand().members, Demand().accelerators, Demand().adjacency)
        )

    def test_equal_shapes_are_interchangeable(self):
        self.assertEqual({Shape(8)}, {Shape(8), Shape(8)})
