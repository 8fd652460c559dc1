import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from agateferry_state.records import (
    Accepted,
    Kind,
    RecordPut,
    RecordStore,
    Schema,
    parse_put,
    read_content,
)


class ParsePutTests(testtools.TestCase):
    def problems(self, kind="job", name="barn-count", **body):
        whole = {"schema": "v2", "replaces": 0, "content": {}} | body
        return str(parse_put(kind, name, whole).error)

    def test_a_valid_put_is_parsed(self):
        body = {"schema": "v1", "replaces": 3, "content": {"urgent": True}}
        expected = RecordPut(Kind.JOB, "barn-count", Schema.V1, 3, {"urgent": True}, "ada")
        self.assertEqual(expected, parse_put("job", "barn-count", body, "ada").ok)

    def test_an_unknown_schema_lists_the_known_ones(self):
        self.assertIn("schema: 'v3' is not one of v1, v2", self.problems(schema="v3"))

    def test_an_unknown_kind_lists_the_known_ones(self):
        self.assertIn("kind: 'jobs' is not one of team, job, config", self.problems(kind="jobs"))

    def test_a_version_must_be_a_number(self):
        for replaces in (True, "1", -1, 2**60, None, 1.0):
            self.assertIn("replaces: needs the version number", self.problems(replaces=replaces))

    def test_invalid_names_are_rejected(self):
        for name in ("", "A", "../x", "a b", "x" * 64):
            self.assertIn("name: needs 1 to 63", self.problems(name=name))

    def test_the_configuration_has_only_one_valid_name(self):
        self.assertIn("must be scheduling", self.problems(kind="config", name="other"))

    def test_an_evacuation_is_named_after_a_zone(self):
        content = {"evacuated": True}
        for name in ("a.b", "a_b", "x" * 64):
            found = self.problems(kind="evacuation", name=name, content=content)
            self.assertIn("name: ", found)
        body = {"schema": "v2", "replaces": 0, "content": content}
        self.assertTrue(parse_put("evacuation", "vestland-1", body).is_ok())

    def test_a_body_must_be_an_object(self):
        self.assertIn("needs a JSON object", str(parse_put("job", "j", [1]).error))

    def test_unknown_fields_get_a_suggestion(self):
        rejection_text = self.problems(content={"urgenci": "long"}, replace=1)
        self.assertIn("replace: is not known; did you mean replaces?", rejection_text)
        rejection_text = self.problems(content={"urgenci": "long"})
        self.assertIn("urgenci: is not known; did you mean urgency?", rejection_text)


class ReadContentTests(testtools.TestCase):
    def rejection(self, kind, content, schema=Schema.V2):
        result = read_content(kind, schema, content, None)
        self.assertTrue(result.is_error(), content)
        return str(result.error)

    def test_huge_and_negative_numbers_are_rejected(self):
        for value in (0, -1, 10**30, 1.5, "5", True, None):
            self.assertIn("declared_run_ms", self.rejection(Kind.JOB, {"declared_run_ms": value}))

    def test_impossible_demands_and_shapes_are_rejected(self):
        demand = {"members": 1000, "accelerators": 1000}
        self.assertIn("members x accelerators", self.rejection(Kind.JOB, {"demand": demand}))
        self.assertIn("members x accelerators", self.rejection(Kind.JOB, demand, Schema.V1))
        shapes = [{"zone": "a", "shapes": [{"accelerators": 0}]}]
        self.assertIn("guarantees.0.shapes.0", self.rejection(Kind.TEAM, {"guarantees": shapes}))

    def test_duplicate_zones_are_rejected(self):
        duplicate_zones = [{"zone": "a"}, {"zone": "a"}]
        self.assertIn(
            "name a zone twice",
            self.rejection(Kind.TEAM, {"guarantees": duplicate_zones}),
        )

    def test_weights_must_add_up_to_one(self):
        weights = {"completion_time": 0.9, "fragmentation": 0.9}
        self.assertIn("add up to 1", self.rejection(Kind.CONFIG, {"weights": weights}))

    def test_numbers_that_are_not_finite_are_rejected(self):
        for value in (float("nan"), float("inf")):
            self.assertIn("not plain JSON", self.rejection(Kind.TEAM, {"weight": value}))

    def test_a_large_content_is_rejected(self):
        self.assertIn("at most 65536", self.rejection(Kind.JOB, {"urgency": "x" * 70_000}))

    def test_an_evacuation_states_whether_the_zone_is_evacuated(self):
        self.assertIn("evacuated", self.rejection(Kind.EVACUATION, {}))
        requested_by = {"evacuated": True, "requested_by": "x" * 129}
        self.assertIn("requested_by", self.rejection(Kind.EVACUATION, requested_by))

    def test_all_problems_are_reported_at_once(self):
        rejection_text = self.rejection(Kind.JOB, {"urgency": "soon", "max_attempts": 0})
        self.assertIn("urgency: 'soon'", rejection_text)
        self.assertIn("max_attempts: 0", rejection_text)


JSON_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["urgent", "rack", "v1", "vestland-1", "scheduling"])
)
FIELD_NAMES = st.sampled_from(
    ["urgency", "demand", "members", "guarantees", "zone", "shapes", "weights", "weight", "content"]
) | st.text(max_size=8)
JSON_DOCUMENTS = st.recursive(
    JSON_SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(FIELD_NAMES, inner, max_size=4),
    max_leaves=12,
)


class AnyInputTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.sampled_from(["job", "team", "config", "x"]), st.text(max_size=4), JSON_DOCUMENTS)
    def test_any_invalid_body_is_rejected_without_an_exception(self, kind, name, body):
        self.assertTrue(parse_put(kind, name, body).is_error())

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.sampled_from(list(Kind)), st.sampled_from(list(Schema)), JSON_DOCUMENTS)
    def test_any_content_is_rejected_or_can_be_put(self, kind, schema, content):
        name = "scheduling" if kind is Kind.CONFIG else "one"
        parsed = parse_put(kind, name, {"schema": schema, "replaces": 0, "content": content})
        if parsed.is_ok():
            self.assertIsInstance(RecordStore().put(parsed.ok), Accepted)
        else:
            self.assertNotEqual("", str(parsed.error))

    def test_deep_nesting_is_rejected(self):
        deep = content = {}
        for _ in range(5_000):
            content["demand"] = {}
            content = content["demand"]
        body = {"schema": "v2", "replaces": 0, "content": deep}
        self.assertTrue(parse_put("job", "one", body).is_error())
