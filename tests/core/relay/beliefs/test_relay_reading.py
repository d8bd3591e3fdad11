"""Decision of a host to read the store itself."""

from __future__ import annotations

import math

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import read_policy


@pytest.mark.parametrize(
    ("age", "depth", "expected"),
    [
        (0.8, 0, True),
        (1.0, 0, False),
        (1.0, 1, True),
        (1.4, 2, True),
        (math.inf, 0, False),
    ],
)
def test_allowed_age_grows_with_intermediate_hosts(
    age: float, depth: int, expected: bool
) -> None:
    assertions.assert_that(
        read_policy.is_current(age, depth), matchers.Is(expected)
    )


def test_hosts_in_a_cycle_detect_that_they_are_stale() -> None:
    for depth in range(read_policy.MAX_DEPTH, 100):
        assertions.assert_that(
            read_policy.is_current(1.6, depth), matchers.Is(False)
        )


@pytest.mark.parametrize(
    ("link", "other", "is_first_start", "expected"),
    [
        (20.0, 200.0, False, True),
        (200.0, 200.0, False, False),
        (200.0, 20.0, False, False),
        (0.0, 200.0, False, False),
        (200.0, 20.0, True, True),
    ],
)
def test_starting_host_waits_only_for_a_faster_link(
    link: float, other: float, is_first_start: bool, expected: bool
) -> None:
    found = read_policy.is_worth_waiting_for(
        link, other, is_first_start=is_first_start
    )
    assertions.assert_that(found, matchers.Is(expected))


@pytest.mark.parametrize(
    ("has_all", "is_promising", "waited", "age", "reads_early", "expected"),
    [
        # Starting: waits only for a promising host, and for a limited time.
        (False, False, 0.0, math.inf, False, False),
        (False, True, 0.0, math.inf, False, True),
        (False, True, 0.6, math.inf, False, False),
        # Sources are stale: hosts that read early go first, then all.
        (True, False, 9.0, 1.0, True, False),
        (True, False, 9.0, 1.0, False, True),
        (True, True, 9.0, 1.5, False, False),
    ],
)
def test_waiting_for_other_hosts(
    has_all: bool,
    is_promising: bool,
    waited: float,
    age: float,
    reads_early: bool,
    expected: bool,
) -> None:
    found = read_policy.Situation(
        has_all, is_promising, waited, age, reads_early
    )
    assertions.assert_that(found.should_wait(), matchers.Is(expected))


@pytest.mark.parametrize(
    ("name", "knows_hosts", "was_read", "alone_for", "expected"),
    [
        ("operator", False, False, 0.0, True),
        ("servers", False, False, 9.0, False),
        ("servers", True, True, 0.0, True),
        ("phases", True, False, 0.0, True),
        ("phases", True, True, 0.5, False),
        ("phases", True, True, 1.5, True),
    ],
)
def test_topics_read_from_the_store(
    name: str,
    knows_hosts: bool,
    was_read: bool,
    alone_for: float,
    expected: bool,
) -> None:
    found = read_policy.reads_from_store(
        name, knows_hosts=knows_hosts, was_read=was_read, alone_for=alone_for
    )
    assertions.assert_that(found, matchers.Is(expected))


@pytest.mark.parametrize(
    ("knows_hosts", "is_answered", "is_first", "expected"),
    [
        (False, False, False, read_policy.ALONE),
        (True, True, False, read_policy.RELAXED),
        (True, True, True, read_policy.EAGER),
        (True, False, False, read_policy.EAGER),
    ],
)
def test_backoff_for_an_unavailable_store(
    knows_hosts: bool,
    is_answered: bool,
    is_first: bool,
    expected: read_policy.Backoff,
) -> None:
    found = read_policy.backoff_of(
        knows_hosts=knows_hosts, is_answered=is_answered, is_first=is_first
    )
    assertions.assert_that(found, matchers.Is(expected))
