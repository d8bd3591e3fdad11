"""Session tokens, pins, and selection of versions and home hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.sessions import pins
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.sessions import tokens
from hoistmoor.core.table import model

if TYPE_CHECKING:
    import random

TOKEN = tokens.SessionToken("agents", "s1", "thai", "thai@3", 5.0)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def make_table(**weights: float) -> model.Table:
    rows = [
        model.Version(
            "thai", name, "llm", model.Stage.ACTIVE, weight, 1, 1, 0.9, 10, 1
        )
        for name, weight in weights.items()
    ]
    grant = model.Grant("agents", "thai", model.ANY_VERSION, 0.9)
    return model.Table(
        versions={row.key: row for row in rows}, grants={grant.key: grant}
    )


def choose_versions(table: model.Table, count: int = 4_000) -> list[str | None]:
    return [
        rendezvous.choose_version(table, "agents", f"s{n}", "thai")
        for n in range(count)
    ]


def test_a_token_signed_with_an_older_secret_is_valid() -> None:
    value = tokens.sign(TOKEN, ["old"])
    found = tokens.verify(value, "agents", ["new", "old"])
    assertions.assert_that(found, matchers.Equals(TOKEN))


@hypothesis.given(st.integers(0, 400), st.integers(1, 255))
@SETTINGS
def test_a_modified_token_is_never_valid(index: int, change: int) -> None:
    value = tokens.sign(TOKEN, ["secret"])
    index = len(tokens.PREFIX) + index % (len(value) - len(tokens.PREFIX))
    character = chr((ord(value[index]) + change) % 256)
    changed = value[:index] + character + value[index + 1 :]
    try:
        found = tokens.verify(changed, "agents", ["secret"])
    except tokens.SessionTokenError:
        return
    # The last base64 character has unused bits: changing them has no effect.
    assertions.assert_that(found, matchers.Equals(TOKEN))


@pytest.mark.parametrize(
    ("account", "secrets"), [("others", ["secret"]), ("agents", ["another"])]
)
def test_token_of_another_account_or_secret_is_refused(
    account: str, secrets: list[str]
) -> None:
    value = tokens.sign(TOKEN, ["secret"])
    with pytest.raises(tokens.SessionTokenError):
        tokens.verify(value, account, secrets)


def test_sessions_are_distributed_by_weight() -> None:
    chosen = choose_versions(make_table(a=3.0, b=1.0))
    assertions.assert_that(
        abs(chosen.count("thai@a") / len(chosen) - 0.75),
        matchers.LessThan(0.03),
    )


def test_a_weight_change_moves_as_few_sessions_as_possible() -> None:
    before = choose_versions(make_table(a=1.0, b=1.0))
    after = choose_versions(make_table(a=1.0, b=2.0))
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assertions.assert_that(set(moved), matchers.Equals({"thai@a"}))
    assertions.assert_that(len(moved) / 4_000, matchers.LessThan(0.2))


def test_draining_and_candidate_versions_get_no_new_sessions() -> None:
    table = make_table(a=1.0, b=1.0, c=1.0)
    stages = {"a": model.Stage.DRAINING, "b": model.Stage.CANDIDATE}
    versions = {
        key: attrs.evolve(row, stage=stages.get(row.version, row.stage))
        for key, row in table.versions.items()
    }
    chosen = choose_versions(attrs.evolve(table, versions=versions), 200)
    assertions.assert_that(set(chosen), matchers.Equals({"thai@c"}))


def test_one_home_host_remains_when_a_host_joins_or_leaves() -> None:
    hosts = [rendezvous.HomeHost(f"h{n}", f"d{n % 3}") for n in range(9)]
    for n in range(200):
        home_hosts = rendezvous.home_hosts(hosts, "agents", f"s{n}")
        domains = {home_hosts[0][1:], home_hosts[1][1:]}
        assertions.assert_that(domains, matchers.HasLength(2))
        for removed in hosts:
            remaining = [host for host in hosts if host != removed]
            remaining_homes = rendezvous.home_hosts(
                remaining, "agents", f"s{n}"
            )
            assertions.assert_that(
                set(home_hosts) & set(remaining_homes),
                matchers.Not(matchers.Equals(set())),
            )


PINS = st.builds(
    pins.Pin,
    st.just("agents"),
    st.just("s1"),
    st.just("thai"),
    st.sampled_from(["thai@1", "thai@2", "thai@3"]),
    st.integers(0, 3),
    st.integers(0, 2),
)


@hypothesis.given(st.lists(PINS, min_size=1), st.randoms())
@SETTINGS
def test_preferred_pin_is_the_same_in_any_order(
    copies: list[pins.Pin], shuffler: random.Random
) -> None:
    shuffled = list(copies)
    shuffler.shuffle(shuffled)
    assertions.assert_that(
        pins.preferred_pin(shuffled),
        matchers.Equals(pins.preferred_pin(copies)),
    )


def test_pin_map_keeps_the_first_pin_and_evicts_the_oldest() -> None:
    pin_map = pins.PinMap(capacity=2)
    first = pins.Pin("agents", "s1", "thai", "thai@2", 7)
    pin_map.keep(first)
    conflicting = attrs.evolve(first, version="thai@1", revision=6)
    assertions.assert_that(pin_map.keep(conflicting), matchers.Equals(first))
    for session in ("s2", "s3"):
        pin_map.keep(attrs.evolve(first, session=session))
    assertions.assert_that(pin_map.find(first.key), matchers.Is(None))
    assertions.assert_that(pin_map.evicted, matchers.Equals(1))
