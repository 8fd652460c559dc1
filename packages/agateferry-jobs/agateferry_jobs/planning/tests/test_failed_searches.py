import testtools

from agateferry_jobs.planning.failed_searches import FailedSearches, SearchKey


class FailedSearchesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.failures = FailedSearches()
        self.searches = 0

    def search(self, key, result=None):
        def find():
            self.searches += 1
            return result

        return self.failures.search(key, find)

    def test_a_final_failure_holds_whatever_changes(self):
        key = SearchKey(("pool", 4), is_final=True)
        self.search(key)
        self.failures.record_change()
        self.assertIsNone(self.search(key, "worker"))
        self.assertEqual(1, self.searches)

    def test_another_failure_holds_until_the_next_change(self):
        key = SearchKey(("pool", 4), is_final=False)
        self.search(key)
        self.assertIsNone(self.search(key, "worker"))
        self.failures.record_change()
        self.assertEqual("worker", self.search(key, "worker"))
        self.assertEqual(2, self.searches)

    def test_searches_with_other_inputs_and_those_without_a_key_are_made(self):
        self.search(SearchKey(("pool", 4), is_final=True))
        for key in (SearchKey(("pool", 2), is_final=True), None, None):
            self.search(key)
        self.assertEqual(4, self.searches)
