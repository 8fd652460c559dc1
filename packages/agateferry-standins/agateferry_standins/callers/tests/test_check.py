import hashlib

import testtools

from agateferry_standins.callers.check import wrong_parts
from agateferry_standins.callers.messages import JobKind, RequestRecord

SINGLE = JobKind("barn-count", "keepers")
GANG = JobKind("forecast", "season", members=2)


def answer(text, **more):
    body = {"id": "z.1", "job": "barn-count", "team": "keepers", "state": "finished"}
    body |= {"answer": text, "digest": hashlib.sha256(text.encode()).hexdigest()}
    return body | more


def record(kind=SINGLE):
    return RequestRecord("k", kind, "e", request_id="z.1")


class WrongPartsTests(testtools.TestCase):
    def test_its_own_whole_answer_is_right(self):
        self.assertEqual([], wrong_parts(record(), answer("e")))

    def test_another_callers_answer_is_found(self):
        self.assertEqual(1, len(wrong_parts(record(), answer("f"))))
        self.assertEqual(1, len(wrong_parts(record(), answer("e", id="z.2"))))
        self.assertEqual(1, len(wrong_parts(record(), answer("e", team="other"))))

    def test_a_cut_answer_is_found(self):
        self.assertEqual(1, len(wrong_parts(record(), answer("e", digest="00"))))

    def test_a_gang_without_a_member_is_found(self):
        right = answer('["e", "e"]', job="forecast", team="season")
        self.assertEqual([], wrong_parts(record(GANG), right))
        short = answer('["e"]', job="forecast", team="season")
        self.assertEqual(1, len(wrong_parts(record(GANG), short)))

    def test_an_end_without_answer_is_right(self):
        cancelled = answer("", state="cancelled", answer=None, digest=None)
        self.assertEqual([], wrong_parts(record(), cancelled))
