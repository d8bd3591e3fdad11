"""Runs a short soak with a fixed seed and with every seed that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import soak
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import pathlib

FAULT_PHASE_SECONDS = 5.0  # A phase without faults follows.

# Seeds that failed in the past, each with its cause.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_a_short_soak_breaks_nothing(
    tmp_path: pathlib.Path, seed: int
) -> None:
    violations = await soak.run_seed(seed, FAULT_PHASE_SECONDS, 2, tmp_path)
    assertions.assert_that(violations, matchers.Equals([]))
