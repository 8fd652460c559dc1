import hashlib

import testtools

from agateferry_standins.callers.check import find_mismatches
from agateferry_standins.callers.messages import JobKind, RequestRecord

SINGLE = JobKind("barn-count", "keepers")
GANG = JobKind("forecast", "season", members=2)


def answer(text, **more):
    body = {"id": "z.1", "job": "barn-count", "team": "keepers", "state": "finished"}
    body |= {"answer": text, "digest": hashlib.sha256(text.encode()).hexdigest()}
    return body | more


def record(kind=SINGLE):
    return RequestRecord("k", kind, "e", request_id="z.1")


class FindMismatchesTests(testtools.TestCase):
    def test_the_answer_of_the_request_has_no_mismatch(self):
        self.assertEqual([], find_mismatches(record(), answer("e")))

    def test_the_answer_of_another_request_is_detected(self):
        self.assertEqual(1, len(find_mismatches(record(), answer("f"))))
        self.assertEqual(1, len(find_mismatches(record(), answer("e", id="z.2"))))
        self.assertEqual(1, len(find_mismatches(record(), answer("e", team="other"))))

    def test_a_wrong_digest_is_detected(self):
        self.assertEqual(1, len(find_mismatches(record(), answer("e", digest="00"))))

    def test_the_missing_answer_of_a_member_is_detected(self):
        complete = answer('["e", "e"]', job="forecast", team="season")
        self.assertEqual([], find_mismatches(record(GANG), complete))
        incomplete = answer('["e"]', job="forecast", team="season")
        self.assertEqual(1, len(find_mismatches(record(GANG), incomplete)))

    def test_a_cancelled_request_needs_no_answer(self):
        cancelled = answer("", state="cancelled", answer=None, digest=None)
        self.assertEqual([], find_mismatches(record(), cancelled))
