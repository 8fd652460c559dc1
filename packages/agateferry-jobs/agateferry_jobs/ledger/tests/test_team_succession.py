import testtools

from agateferry_jobs.ledger.team_succession import match_teams


def teams(**keys):
    return {name: frozenset(each.encode() for each in some.split()) for name, some in keys.items()}


class TeamSuccessionTests(testtools.TestCase):
    """A team was taken for another one that had got its name."""

    def check(self, expected, before, after, **absent):
        self.assertEqual(expected, match_teams(before, after, teams(**absent)))

    def test_a_team_goes_on_under_its_name_with_one_of_its_keys(self):
        self.check({"a": "a"}, teams(a="1 2"), teams(a="2 3", b="1"))

    def test_a_renamed_team_goes_on_where_most_of_its_keys_are(self):
        self.check({"a": "c"}, teams(a="1 2 3"), teams(b="1", c="2 3"))

    def test_two_teams_exchange_their_names(self):
        self.check({"a": "b", "b": "a"}, teams(a="1", b="2"), teams(a="2", b="1"))

    def test_of_merged_teams_the_one_with_the_name_goes_on(self):
        self.check({"b": "b"}, teams(a="1", b="2"), teams(b="1 2"))

    def test_of_merged_teams_with_a_new_name_the_one_with_most_keys_goes_on(self):
        self.check({"b": "c"}, teams(a="1", b="2 3"), teams(c="1 2 3"))

    def test_a_team_goes_on_whose_keys_are_all_replaced_by_new_ones(self):
        self.check({"a": "a"}, teams(a="1"), teams(a="2"))

    def test_a_name_that_goes_to_keys_of_another_team_is_another_team(self):
        self.check({"b": "b"}, teams(a="1", b="2 3"), teams(a="3", b="2"))

    def test_a_name_whose_team_got_another_name_is_another_team(self):
        self.check({"a": "b"}, teams(a="1"), teams(a="2", b="1"))

    def test_a_team_returns_with_one_of_its_last_keys(self):
        self.check({"a": "a"}, teams(), teams(a="1 3"), a="1 2")

    def test_a_name_that_is_used_anew_with_other_keys_is_another_team(self):
        self.check({}, teams(), teams(a="3"), a="1 2")

    def test_a_team_without_keys_goes_on_under_its_name(self):
        self.check({"a": "a"}, teams(a=""), teams(a="1"))
        self.check({"a": "a"}, teams(a="1"), teams(a=""))
