"""Session affinity across table edits and failures of hosts."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest
import session_hosts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import refusals
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import session_affinity

STAGES = st.sampled_from(list(model.Stage))
TABLES = st.tuples(
    st.dictionaries(st.sampled_from("abc"), STAGES),
    st.dictionaries(
        st.sampled_from("abc"), st.floats(0.1, 9.0), min_size=1, max_size=3
    ),
)
FIRST = session_hosts.table_of(1, {}, a=1.0, b=1.0)
EDITED = session_hosts.table_of(2, {}, a=1.0, b=90.0)


@pytest.fixture
def network() -> session_hosts.Network:
    network = session_hosts.Network()
    for name in ("h1", "h2", "h3", "h4"):
        network.add(name, FIRST)
    return network


@hypothesis.given(st.lists(TABLES, max_size=5), st.sampled_from("ab"))
@hypothesis.settings(derandomize=True, deadline=None)
def test_token_keeps_its_version_across_table_edits(
    edits: list[tuple[dict[str, model.Stage], dict[str, float]]], version: str
) -> None:
    key = f"thai@{version}"

    async def run() -> None:
        network = session_hosts.Network()
        network.add("h1", FIRST)
        token = network.hosts["h1"].make_token(
            session_hosts.ACCOUNT, "s1", session_hosts.MODEL, key
        )
        for revision, (stages, weights) in enumerate(edits, start=2):
            in_force = session_hosts.table_of(revision, stages, **weights)
            network.add(f"h{revision}", in_force)
            pin = await network.request_pin(f"h{revision}", token)
            row = in_force.table.versions.get(key)
            gone = row is None or row.stage is model.Stage.WITHDRAWN
            if gone:
                assert pin.status is session_affinity.PinStatus.MOVED
                assert pin.version != key
                assert pin.moved_from == key
            else:
                assert pin.status is session_affinity.PinStatus.KEEP
                assert pin.version == key

    asyncio.run(run())


@hypothesis.given(st.integers(0, 500), st.integers(0, 4), st.integers(0, 4))
@hypothesis.settings(derandomize=True, deadline=None)
def test_concurrent_first_requests_agree_across_an_edit(
    session: int, slow: int, edited: int
) -> None:
    async def run() -> None:
        network = session_hosts.Network(loop_iterations=slow)
        for number in range(5):
            in_force = EDITED if number >= edited else FIRST
            network.add(f"h{number}", in_force)
        found = await asyncio.gather(
            *(network.request_pin(f"h{n}", f"s{session}") for n in range(5))
        )
        later = await network.request_pin("h0", f"s{session}")
        versions = {pin.version for pin in (*found, later)}
        assertions.assert_that(versions, matchers.HasLength(1))

    asyncio.run(run())


async def test_pin_survives_weight_edits_and_the_failure_of_a_home_host(
    network: session_hosts.Network,
) -> None:
    moved = 0
    for number in range(60):
        session = f"s{number}"
        before = await network.request_pin("h1", session)
        hosts = network.hosts["h1"].hosts
        home, _ = rendezvous.home_hosts(hosts, session_hosts.ACCOUNT, session)
        # The table is edited, and one of the two home hosts loses its pins.
        del network.hosts[home]
        kept = network.hosts
        network.hosts = {}
        for name, host in kept.items():
            network.add(name, EDITED)
            network.hosts[name].pins = host.pins
        network.add(home, EDITED)
        after = await network.request_pin(home, session)
        chosen = rendezvous.choose_version(
            EDITED.table, session_hosts.ACCOUNT, session, session_hosts.MODEL
        )
        moved += chosen != before.version
        assertions.assert_that(after.version, matchers.Equals(before.version))
        for name in sorted(network.hosts):
            network.add(name, FIRST)
    # This many sessions would have moved without the stored copies.
    assertions.assert_that(moved, matchers.GreaterThan(10))


async def test_session_is_served_while_home_hosts_are_unreachable(
    network: session_hosts.Network,
) -> None:
    network.unreachable = set(network.hosts)
    found = [
        await network.request_pin(host, "s1") for host in sorted(network.hosts)
    ]
    versions = {pin.version for pin in found}
    assertions.assert_that(versions, matchers.HasLength(1))


async def test_session_moves_once_from_a_withdrawn_version(
    network: session_hosts.Network,
) -> None:
    before = await network.request_pin("h1", "s1")
    name = str(before.version).partition("@")[2]
    stages = {name: model.Stage.WITHDRAWN}
    withdrawn = session_hosts.table_of(2, stages, a=1.0, b=1.0, c=1.0)
    for host in network.hosts.values():
        host.on_table(withdrawn)
    moved = await network.request_pin("h2", "s1")
    edited = session_hosts.table_of(3, stages, a=9.0, b=9.0, c=0.1)
    for host in network.hosts.values():
        host.on_table(edited)
    again = [
        await network.request_pin(host, "s1") for host in sorted(network.hosts)
    ]
    assertions.assert_that(
        moved.version, matchers.Not(matchers.Equals(before.version))
    )
    assertions.assert_that(
        {pin.version for pin in again}, matchers.Equals({moved.version})
    )


async def test_draining_version_keeps_its_sessions(
    network: session_hosts.Network,
) -> None:
    before = await network.request_pin("h1", "s1")
    name = str(before.version).partition("@")[2]
    stages = {name: model.Stage.DRAINING}
    drained = session_hosts.table_of(2, stages, a=1.0, b=1.0)
    for host in network.hosts.values():
        host.on_table(drained)
    after = await network.request_pin("h3", "s1")
    fresh = {
        (await network.request_pin("h3", f"n{number}")).version
        for number in range(20)
    }
    assertions.assert_that(after.version, matchers.Equals(before.version))
    assertions.assert_that(
        fresh, matchers.Not(matchers.Contains(after.version))
    )


@pytest.mark.parametrize("header", ["hms1.x", "hms1.", "a\nb", "x" * 300])
async def test_bad_header_is_refused(
    network: session_hosts.Network, header: str
) -> None:
    found = await network.hosts["h1"].resolve_pin(
        session_hosts.ACCOUNT, header, session_hosts.MODEL, "new"
    )
    assertions.assert_that(
        found.reason, matchers.Equals(refusals.Reason.BAD_HEADER)
    )


async def test_auto_session_is_pinned_at_other_hosts(
    network: session_hosts.Network,
) -> None:
    account = session_hosts.ACCOUNT
    first = await network.hosts["h1"].resolve_pin(account, "s1", "auto", "new")
    kept = await network.hosts["h1"].pin_version(
        account, "s1", "auto", "thai@b"
    )
    rival = await network.hosts["h2"].pin_version(
        account, "s1", "auto", "thai@a"
    )
    later = await network.hosts["h3"].resolve_pin(account, "s1", "auto", "new")
    assertions.assert_that(first.version, matchers.Is(None))
    assertions.assert_that(
        {kept, rival, later.version}, matchers.Equals({"thai@b"})
    )


async def test_hosts_disagree_across_an_edit_without_the_home_hosts(
    network: session_hosts.Network,
) -> None:
    network.unreachable = set(network.hosts)
    network.hosts["h2"].on_table(EDITED)
    differ = 0
    for number in range(50):
        one = await network.request_pin("h1", f"s{number}")
        other = await network.request_pin("h2", f"s{number}")
        differ += one.version != other.version
    assertions.assert_that(differ, matchers.GreaterThan(5))
