"""Expect the tests that KNOWN-RED.txt lists to fail; one that passes must leave the list.

An entry begins with a test's id, such as `packages/.../test_x.py::XTests::test_y`. With `, now and then`
after the id the test may pass as well. Entries of measures have no id, nor have those of tests that
still run as all others do.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
NOW_AND_THEN = ", now and then"


def pytest_collection_modifyitems(items):
    """Mark the listed tests."""
    listed = _listed_tests(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in listed:
            seen, must_fail = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=seen, strict=must_fail))


def _listed_tests(text):
    """Return what was seen and whether it must be seen, by the id of each test that the list names."""
    rows = [line.split(" | ") for line in text.splitlines() if not line.startswith("#")]
    named = [row for row in rows if len(row) > 2 and "::" in row[0]]
    return {
        row[0].removesuffix(NOW_AND_THEN): (row[2], not row[0].endswith(NOW_AND_THEN))
        for row in named
    }
