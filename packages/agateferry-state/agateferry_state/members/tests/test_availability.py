import testtools

from agateferry_state.members.availability import LAYOUTS, Layout, Network, availability


class AvailabilityTests(testtools.TestCase):
    def test_multiplies_the_availabilities_along_a_path(self):
        network = Network()
        network.add("backbone", 0.98)
        network.add("left", 0.95, "backbone")
        network.add("right", 0.95, "backbone")
        found = availability(network, "left", lambda up: "right" in up)
        self.assertAlmostEqual(0.95 * 0.98 * 0.95, found)

    def test_counts_only_reachable_components(self):
        network = Network()
        network.add("gateway", 0.5)
        network.add("near", 1.0, "gateway")
        network.add("far", 0.5, "gateway")
        self.assertAlmostEqual(0.25, availability(network, "near", lambda up: "far" in up))

    def test_a_cell_of_three_needs_two_hosts(self):
        layout = Layout("cell", ((True,) * 3, (), ()))
        expected = 1 - (0.9**3 + 3 * 0.9**2 * 0.1)
        self.assertAlmostEqual(expected, layout.unavailability(host=0.9, link=0.5))

    def test_voters_outside_the_zone_help_if_hosts_fail_more_often_than_links(self):
        cell, spare = (next(x for x in LAYOUTS if x.name == n) for n in NAMES)
        self.assertLess(spare.unavailability(0.99, 0.999), cell.unavailability(0.99, 0.999))
        self.assertGreater(spare.unavailability(0.999, 0.99), cell.unavailability(0.999, 0.99))


NAMES = ("cell of 3 in the zone", "cell of 3 and 2 outside")
