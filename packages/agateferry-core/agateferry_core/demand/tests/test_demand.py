import testtools

from agateferry_core.demand import Adjacency, Demand, Shape


class DemandTests(testtools.TestCase):
    def test_a_plain_demand_is_one_small_task(self):
        self.assertEqual(
            (1, 0, Adjacency.ANY), (Demand().members, Demand().accelerators, Demand().adjacency)
        )

    def test_equal_shapes_are_interchangeable(self):
        self.assertEqual({Shape(8)}, {Shape(8), Shape(8)})
