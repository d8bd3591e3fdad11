"""Hosts that lost their links spread their requests over those that help."""

from __future__ import annotations

import collections

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.links import forwarders as forwarders_lib
from hoistmoor.core.relay.links import link as link_lib

NOW = 100.0
Result = forwarders_lib.ForwardResult
# Largest load of a host that helps, relative to the mean over all of them.
MAX_RELATIVE_LOAD = 6.0


def make_forwarders(own: int, hosts: int) -> forwarders_lib.Forwarders:
    own_host = relay_parts.make_host(own)
    made = forwarders_lib.Forwarders(own_host.name, own_host.zone)
    made.set_hosts(relay_parts.make_host(number) for number in range(hosts))
    return made


@pytest.mark.parametrize("hosts", [7, 60, 300])
def test_hosts_of_a_cut_failure_domain_share_the_others(hosts: int) -> None:
    cut = [
        number
        for number in range(hosts)
        if relay_parts.make_host(number).zone == "z0"
    ]
    load: collections.Counter[str] = collections.Counter()
    for own in cut:
        selector = make_forwarders(own, hosts)
        for number in cut:
            name = relay_parts.make_host(number).name
            selector.record_result(name, Result.LINKS_LOST, NOW)
        for _ in range(20):
            host = selector.pick(NOW)
            assert host is not None
            assertions.assert_that(host.zone, matchers.NotEquals("z0"))
            selector.record_sent(host.name)
            load[host.name] += 1
    mean = load.total() / (hosts - len(cut))
    assertions.assert_that(
        max(load.values()), matchers.LessThan(MAX_RELATIVE_LOAD * mean)
    )


def test_a_host_that_reports_many_forwarded_requests_is_spared() -> None:
    selector = make_forwarders(0, 7)
    first = selector.pick(NOW)
    assert first is not None
    selector.record_result(first.name, Result.SENT, NOW, reported=50)
    second = selector.pick(NOW)
    assert second is not None
    assertions.assert_that(second.name, matchers.NotEquals(first.name))


def test_the_host_that_reached_a_server_is_asked_where_others_did_not() -> None:
    selector = make_forwarders(0, 7)
    first = selector.usable(NOW)[0]
    last = selector.usable(NOW)[-1]
    selector.record_sent(last.name)
    link = link_lib.ServerLink()
    assertions.assert_that(selector.pick_for(link, NOW), matchers.Equals(first))
    link.record_unreached(NOW)
    link.record_reached(last.name, NOW + 0.1)
    assertions.assert_that(
        selector.pick_for(link, NOW + 0.2), matchers.Equals(last)
    )


@pytest.mark.parametrize(
    "result",
    [
        Result.SILENT,
        Result.LINKS_LOST,
        Result.BUSY,
        Result.STOPPING,
        Result.UNSUPPORTED,
    ],
)
def test_a_host_that_cannot_help_is_left_alone_for_a_while(
    result: forwarders_lib.ForwardResult,
) -> None:
    selector = make_forwarders(0, 2)
    assertions.assert_that(selector.has_any(NOW), matchers.Is(True))
    selector.record_result("h1", result, NOW)
    assertions.assert_that(selector.has_any(NOW), matchers.Is(False))
    assertions.assert_that(selector.has_any(NOW + 60.0), matchers.Is(True))


def test_hosts_of_an_earlier_version_and_the_own_one_are_not_asked() -> None:
    selector = forwarders_lib.Forwarders("h0", "z0")
    selector.set_hosts(
        [
            relay_parts.make_host(0),
            relay_parts.make_host(1, forwards=False),
        ]
    )
    assertions.assert_that(selector.has_any(NOW), matchers.Is(False))
