import testtools

from agateferry_standins.worker.messages import DEFAULT_RUN_MS, Task


class TaskTests(testtools.TestCase):
    def test_plain_text_is_echoed(self):
        self.assertEqual(Task(DEFAULT_RUN_MS, "barn 12"), Task.parse("barn 12"))

    def test_a_json_object_sets_the_fields(self):
        payload = '{"run_ms": 7, "echo": "e", "fail": true, "key": "k"}'
        self.assertEqual(Task(7, "e", True, "k"), Task.parse(payload))

    def test_json_that_is_not_an_object_is_echoed(self):
        self.assertEqual(Task(DEFAULT_RUN_MS, "[1]"), Task.parse("[1]"))
