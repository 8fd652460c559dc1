import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_service.endpoints.app import AnnounceBody, announce_message
from agateferry_service.endpoints.tests.test_app import BODY
from agateferry_service.entry.models import SubmitBody
from agateferry_service.http.bodies import _parse, _seconds_to_ms, canonical_json

LEASE = {"lease": "z.1.1.0", "state": "running", "progress": 0.5, "checkpoint_step": 3}
ANNOUNCE = BODY | {
    "usage": {"age_ms": 5, "slots_used": 1, "accelerators_used": 2},
    "leases": [LEASE],
}
SUBMIT = {"team": "count-team", "job": "barn-count", "payload": "barn 12", "deadline_ms": 5_000}
LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(LEAVES, lambda each: st.lists(each) | st.dictionaries(st.text(), each))
NUMBERS = st.sampled_from([-1, 2**31, 2**53 + 1, 2**63, 2**64, 10**30])


class MalformedBodyTests(testtools.TestCase):
    """A malformed body of the own interface is an error for its sender, and raises nothing."""

    def check(self, model, data):
        parsed = _parse(model, data)
        if parsed.is_error():
            self.assertIn(parsed.error.status_code, (400, 422))
            return
        canonical_json(data)
        if model is AnnounceBody:
            announce_message("worker-1", parsed.ok).SerializeToString()

    @given(st.sampled_from([AnnounceBody, SubmitBody]), st.binary())
    def test_any_bytes(self, model, data):
        self.check(model, data)

    @given(st.sampled_from([AnnounceBody, SubmitBody]), VALUES)
    def test_any_value(self, model, value):
        self.check(model, json.dumps(value).encode())

    @given(st.sampled_from([(AnnounceBody, ANNOUNCE), (SubmitBody, SUBMIT)]), st.data())
    def test_a_valid_body_with_one_other_value(self, valid, data):
        model, body = valid
        name = data.draw(st.sampled_from(sorted(body)))
        changed = body | {name: data.draw(NUMBERS | VALUES)}
        self.check(model, json.dumps(changed).encode())

    @given(st.sampled_from(sorted(LEASE)), NUMBERS | LEAVES)
    def test_a_lease_with_one_other_value(self, name, value):
        body = ANNOUNCE | {"leases": [LEASE | {name: value}]}
        self.check(AnnounceBody, json.dumps(body).encode())

    def test_deep_nesting(self):
        for data in (b"[" * 100_000, b'{"leases": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"):
            for model in (AnnounceBody, SubmitBody):
                self.check(model, data)

    @given(st.text() | st.sampled_from(["inf", "-inf", "nan", "1e999", "9" * 400, "-1", "1e400"]))
    def test_any_time_to_wait(self, value):
        self.assertGreaterEqual(_seconds_to_ms(value), 0)
