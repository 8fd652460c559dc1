import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_core.repeated_fields import find_repeated_field

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=20,
)


class RepeatedFieldTests(testtools.TestCase):
    """A body with a field that stood twice was accepted by its last value."""

    def test_the_field_is_named_wherever_it_stands(self):
        for body in (
            b'{"version": 1, "version": 2}',
            b'{"version": 1, "versio\\u006e": 1}',
            b'{"unused": [{"a": 1}, {"version": 1, "b": 2, "version": 1}]}',
        ):
            self.assertEqual("version: the field stands twice", find_repeated_field(body))

    def test_a_name_may_stand_in_several_objects(self):
        self.assertEqual("", find_repeated_field(b'{"a": {"a": [{"a": 1}, {"a": 1}]}, "b": "a"}'))

    def test_numbers_of_any_length_and_bytes_that_are_no_text_do_no_harm(self):
        self.assertEqual("", find_repeated_field(b'{"a": ' + b"9" * 10_000 + b', "b": "\xff"}'))

    def test_nesting_that_is_too_deep_is_an_error(self):
        self.assertNotEqual("", find_repeated_field(b"[" * 100_000 + b"]" * 100_000))

    @given(JSON)
    def test_nothing_is_found_in_what_an_encoder_wrote(self, value):
        self.assertEqual("", find_repeated_field(json.dumps(value).encode()))
