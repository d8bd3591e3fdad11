"""Tests that CI tolerates the listed test failures and no others."""

from __future__ import annotations

import importlib.util
import pathlib
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import types

SCRIPT = pathlib.Path(__file__).parents[2] / ".ci" / "known_red.py"
LISTED = "tests/a.py::test_one[x y] | a lost wake-up | 7\n"
SUMMARY = "FAILED tests/a.py::test_one[x y] - assert 1 == 2\n"
TOTALS = "1 failed, 3 passed in 0.1s\n"


@pytest.fixture
def known_red() -> types.ModuleType:
    """Loads the script as a module."""
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_listed_failure_passes_and_is_printed(
    known_red: types.ModuleType,
) -> None:
    lines = known_red.judge(SUMMARY + TOTALS, LISTED)
    assertions.assert_that(lines, matchers.Equals([LISTED.strip()]))


def test_one_line_may_list_several_tests(known_red: types.ModuleType) -> None:
    listed = "tests/a.py::test_one[x y]; tests/b.py::test_two | a race | 7\n"
    output = SUMMARY + "FAILED tests/b.py::test_two\n" + TOTALS
    lines = known_red.judge(output, listed)
    assertions.assert_that(lines, matchers.Equals([listed.strip()]))


@pytest.mark.parametrize(
    ("output", "listed"),
    [
        (SUMMARY + TOTALS, ""),
        (SUMMARY + "FAILED tests/b.py::test_two\n", LISTED),
        ("ERROR tests/a.py - ImportError\n" + SUMMARY, LISTED),
        ("INTERNALERROR> boom\n", LISTED),
        ("Killed\n", LISTED),
        (SUMMARY, "tests/a.py::test_one[x y] | no issue\n"),
        (SUMMARY, LISTED * 4),
    ],
)
def test_any_other_output_fails(
    known_red: types.ModuleType, output: str, listed: str
) -> None:
    with pytest.raises(known_red.KnownRedError):
        known_red.judge(output, listed)
