"""Hosts that lose their links to the backend servers while others keep theirs.

Guards against a host that takes the failure of its own links for the end of the
servers. In an observed failure, three of seven hosts lost all links. They
served 0 of 82 requests, and their reports of ended servers made the other hosts
refuse all requests for four seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import link_proxy
import partitioned_cluster
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.relay.links import forward_headers

if TYPE_CHECKING:
    import pytest as pytest_lib

HOSTS = 5
CUT = (0, 1)
SOUND = (2, 3, 4)
SETTLING_ROUNDS = 4  # Rounds of requests in which a cut may go unnoticed.
ROUNDS = 4


def assert_all_served(calls: list[partitioned_cluster.Call]) -> None:
    """Asserts that each request received its complete response."""
    assertions.assert_that(
        [call for call in calls if not call.is_whole], matchers.Equals([])
    )


def assert_promises_kept(cluster: partitioned_cluster.Cluster) -> None:
    """Asserts at most one run, and none of what was refused as not run."""
    assertions.assert_that(cluster.broken_promises(), matchers.Equals([]))


@pytest.mark.parametrize("how", link_proxy.CUTS)
async def test_callers_of_a_partitioned_host_are_served(
    monkeypatch: pytest_lib.MonkeyPatch, how: str
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        assert_all_served(await cluster.call_all(range(HOSTS), 2))
        cluster.cut(CUT, how)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_links_lost(CUT)
        assert_all_served(await cluster.call_all(range(HOSTS), ROUNDS))
        await cluster.heal()
        await cluster.until_links_work()
        assert_all_served(await cluster.call_all(range(HOSTS), ROUNDS))
        assert_promises_kept(cluster)


async def test_a_partitioned_host_does_not_report_servers_as_ended(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        assert_all_served(await cluster.call_all(range(HOSTS), 2))
        streams = await cluster.begin_streams(CUT)
        cluster.cut(CUT, link_proxy.RESET)
        cluster.let_streams_proceed()
        await streams
        for _ in range(SETTLING_ROUNDS):
            await cluster.call_all(CUT, 1)
            await cluster.exchange_state()
            assert_all_served(await cluster.call_all(SOUND, 1))
        ended = [
            server
            for relay in cluster.relays
            for server in relay.state.router.fleet
            if server.has_ended
        ]
        assertions.assert_that(ended, matchers.Equals([]))


@pytest.mark.parametrize("how", [link_proxy.HANG, link_proxy.RESET])
async def test_requests_are_refused_as_not_run_if_no_host_reaches_a_server(
    monkeypatch: pytest_lib.MonkeyPatch, how: str
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        assert_all_served(await cluster.call_all(range(HOSTS), 1))
        cluster.cut(range(HOSTS), how)
        await cluster.call_all(range(HOSTS), SETTLING_ROUNDS)
        await cluster.until_links_lost(range(HOSTS))
        await cluster.call_all(range(HOSTS), SETTLING_ROUNDS)
        before = cluster.attempts()
        refused = await cluster.call_all(range(HOSTS), ROUNDS)
        assertions.assert_that(
            {call.status for call in refused}, matchers.Equals({503})
        )
        assertions.assert_that(
            all(call.headers.get("Retry-After") for call in refused),
            matchers.Is(True),
        )
        # At once: nothing was tried that could only time out.
        assertions.assert_that(cluster.attempts(), matchers.Equals(before))
        await cluster.heal()
        await cluster.until_links_work()
        await cluster.call_all(range(HOSTS), SETTLING_ROUNDS)
        assert_all_served(await cluster.call_all(range(HOSTS), ROUNDS))
        assert_promises_kept(cluster)


@pytest.mark.parametrize("how", link_proxy.CUTS)
async def test_a_host_cut_from_half_of_the_servers_uses_all(
    monkeypatch: pytest_lib.MonkeyPatch, how: str
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        assert_all_served(await cluster.call_all(range(HOSTS), 1))
        lost = ["desk-0", "desk-1", "llm-0", "llm-1"]
        cluster.cut(CUT, how, lost)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_forwarding_known(CUT, lost)
        cluster.forget_runs()
        assert_all_served(await cluster.call_all(CUT, 4 * ROUNDS))
        used = {server.name for server in cluster.servers if server.arrived}
        assertions.assert_that(
            used & set(lost[:2]), matchers.Equals(set(lost[:2]))
        )
        assert_promises_kept(cluster)


async def test_a_caller_cannot_pose_as_a_relay(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        cluster.cut(CUT, link_proxy.RESET)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_links_lost(CUT)
        forged = {
            forward_headers.QUESTION: "desk-0",
            forward_headers.SERVER: "desk-0",
        }
        assert_all_served(
            [
                await cluster.call(host, "look", **forged)
                for host in (CUT[0], SOUND[0])
            ]
        )


async def test_a_caller_that_leaves_ends_the_run_behind_the_other_host(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        cluster.cut(CUT, link_proxy.RESET)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_links_lost(CUT)
        streams = await cluster.begin_streams([CUT[0]])
        streams.cancel()
        await cluster.until_closed(1)


async def test_a_stream_goes_on_when_the_forwarding_host_stops(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        cluster.cut(CUT, link_proxy.RESET)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_links_lost(CUT)
        streams = await cluster.begin_streams([CUT[0]])
        (host,) = cluster.busy_forwarding_hosts(CUT[0])
        await cluster.stop_relay(host)
        cluster.let_streams_proceed()
        assert_all_served(await streams)
        assert_promises_kept(cluster)


async def test_hosts_of_an_earlier_version_are_not_asked_to_forward(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        for relay in cluster.relays:
            cluster.mark_as_older(relay, SOUND[0])
        cluster.cut(CUT, link_proxy.RESET)
        await cluster.call_all(CUT, SETTLING_ROUNDS)
        await cluster.until_links_lost(CUT)
        assert_all_served(await cluster.call_all(CUT, ROUNDS))
        asked = {host for cut in CUT for host in cluster.forwarding_hosts(cut)}
        assertions.assert_that(asked - {SOUND[0]}, matchers.Equals(asked))
        assertions.assert_that(len(asked), matchers.GreaterThan(0))


async def test_what_was_confirmed_holds_after_all_lose_power(
    monkeypatch: pytest_lib.MonkeyPatch,
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        assert_all_served(await cluster.call_all(range(HOSTS), 1))
        streams = await cluster.begin_streams(range(HOSTS))
        await cluster.exchange_state()
        revisions = {relay.state.revision for relay in cluster.relays}
        await cluster.restart_all()
        cluster.let_streams_proceed()
        await streams
        restarted = {relay.state.revision for relay in cluster.relays}
        assertions.assert_that(restarted, matchers.Equals(revisions))
        assert_all_served(await cluster.call_all(range(HOSTS), ROUNDS))
        assert_promises_kept(cluster)
