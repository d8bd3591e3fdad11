"""Causes of crashes among prompts with very many parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import crash_causes

if TYPE_CHECKING:
    import pytest

CRASHES = 40
PARTS = 2000  # As many fit a header of 16 KB.
COMMON = frozenset(f"common{number}" for number in range(PARTS))


def make_crash(number: int) -> crash_causes.Crash:
    """Returns a crash of two requests, both with all common parts."""
    server = f"s{number}"
    own = frozenset(f"{server}-{part}" for part in range(PARTS))
    runs = {f"{server}-a": COMMON | own, f"{server}-b": COMMON}
    return crash_causes.Crash(
        server, float(number), 5.0, runs, frozenset({f"{server}-a"})
    )


def test_thousands_of_parts_at_each_crash_do_not_stop_the_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    comparisons = 0
    compare = crash_causes.Crash.has_together

    def count(crash: crash_causes.Crash, parts: frozenset[str]) -> bool:
        nonlocal comparisons
        comparisons += 1
        return compare(crash, parts)

    monkeypatch.setattr(crash_causes.Crash, "has_together", count)
    causes = crash_causes.find_causes(
        [make_crash(number) for number in range(CRASHES)]
    )
    # Fewer than one for each part, at any number of crashes.
    assertions.assert_that(comparisons, matchers.LessThan(PARTS))
    (cause,) = causes
    assertions.assert_that(cause.parts, matchers.Equals(COMMON))
    assertions.assert_that(cause.is_certain, matchers.Is(True))
    assertions.assert_that(cause.crashes, matchers.HasLength(CRASHES))


def test_parts_that_were_once_apart_are_told_apart() -> None:
    crashes = [make_crash(number) for number in range(CRASHES)]
    apart = crash_causes.Crash(
        "last",
        99.0,
        5.0,
        {"last-a": frozenset({"common7"})},
        frozenset({"last-a"}),
    )
    causes = crash_causes.find_causes([*crashes, apart])
    assertions.assert_that(
        causes[0].parts, matchers.Equals(frozenset({"common7"}))
    )
