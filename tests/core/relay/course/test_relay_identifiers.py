"""Identifiers of any length and with any bytes."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.course import identifiers
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import part_evidence

KEPT = ["", "5c1e07a2", "f" * 64, "é" * 64]
REPLACED = ["f" * 65, "x" * 16000, "\udcff\udcfe", "a\udc80"]


@pytest.mark.parametrize("identifier", KEPT)
def test_a_short_identifier_is_kept(identifier: str) -> None:
    found = identifiers.bound(identifier)
    assertions.assert_that(found, matchers.Equals(identifier))


@pytest.mark.parametrize("identifier", REPLACED, ids=range(len(REPLACED)))
def test_any_other_identifier_is_bounded_text(identifier: str) -> None:
    found = identifiers.bound(identifier)
    assertions.assert_that(found.isascii(), matchers.Is(True))
    limit = identifiers.MAX_CHARACTERS + 1
    assertions.assert_that(len(found), matchers.LessThan(limit))
    # Another host that has only the bounded one knows it by the same name.
    assertions.assert_that(identifiers.bound(found), matchers.Equals(found))
    assertions.assert_that(
        identifiers.bound(identifier + "a"),
        matchers.Not(matchers.Equals(found)),
    )


def test_evidence_of_earlier_versions_names_the_same_parts() -> None:
    long_part = "f" * 100
    bounded = identifiers.bound(long_part)
    parts = crashing_parts.CrashingParts()
    told = part_evidence.PartQuarantine("llm", (long_part, "a"), ("s1",))
    parts.merge(crashing_parts.PartChanges(quarantines=(told,)), 100.0)
    state = parts.quarantine_of(
        "llm", ("a", bounded, "own"), lambda _: frozenset(), 101.0
    )
    assert state is not None
    assertions.assert_that(
        state.quarantine.parts, matchers.Equals((bounded, "a"))
    )
    assertions.assert_that(
        state.key, matchers.Equals(crashing_parts.key_of(told))
    )
