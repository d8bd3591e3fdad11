"""A short seeded run of the soak, and the seeds that ever failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import soak
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import pathlib

SECONDS = 5.0  # Of disturbances; calm follows.

# Each seed that ever failed, with its cause.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_a_short_soak_breaks_nothing(
    tmp_path: pathlib.Path, seed: int
) -> None:
    found = await soak.play(seed, SECONDS, 2, tmp_path)
    assertions.assert_that(found, matchers.Equals([]))
