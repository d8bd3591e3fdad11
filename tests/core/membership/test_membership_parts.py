"""Unit tests of membership components that network tests do not cover."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import membership_network
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.membership import machine
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import ring
from hoistmoor.core.membership import servers
from hoistmoor.core.membership import sizes
from hoistmoor.core.membership import view
from hoistmoor.core.membership import view_hashes
from hoistmoor.peers import digest_codec

_ADDRESS = "10.9.0.1:9000"
_SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)

_text = strategies.text(max_size=40)
_number = strategies.integers(0, 2**32 - 1)
_incarnation = strategies.integers(0, 2**42 - 1)
_member_updates = strategies.builds(
    messages.MemberNews,
    name=_text,
    incarnation=_incarnation,
    version=_number,
    state=strategies.sampled_from(view.MemberState),
    http_address=_text,
    peer_address=_text,
    failure_domain=_text,
    region=_text,
    age=_number,
)
_server_updates = strategies.builds(
    messages.ServerNews, _text, _incarnation, _number
)
_digests = strategies.builds(
    messages.Digest,
    sender=_text,
    incarnation=_incarnation,
    version=_number,
    state=strategies.sampled_from(view.MemberState),
    table_revision=strategies.integers(-1, 2**40),
    view_hash=_number,
    members=strategies.lists(_member_updates, max_size=5).map(tuple),
    servers=strategies.lists(_server_updates, max_size=5).map(tuple),
    part_hashes=strategies.lists(_number, max_size=3).map(tuple),
)


@given(_digests)
@_SETTINGS
def test_digests_round_trip_within_the_size_bounds(
    digest: messages.Digest,
) -> None:
    wire = digest_codec.to_wire(digest)
    assertions.assert_that(
        digest_codec.from_wire(wire), matchers.Equals(digest)
    )
    size_bound = sum(map(sizes.update_size, (*digest.members, *digest.servers)))
    del wire.members[:]
    del wire.servers[:]
    full_size = digest_codec.to_wire(digest).ByteSize()
    assertions.assert_that(
        full_size - wire.ByteSize(),
        matchers.Not(matchers.GreaterThan(size_bound)),
    )


@pytest.mark.parametrize("count", [2, 9, 36, 360])
def test_neighbours_are_few_and_in_other_domains_and_regions(
    count: int,
) -> None:
    hosts = [membership_network.make_view(number) for number in range(count)]
    pinged_by = dict.fromkeys((host.name for host in hosts), 0)
    for own in hosts:
        others = [host for host in hosts if host is not own]
        names = ring.neighbours(own, others)
        chosen = [host for host in others if host.name in names]
        for name in names:
            pinged_by[name] += 1
        assert len(names) <= 11
        if count > 2:
            assert {host.region for host in chosen} - {own.region}
            assert {host.failure_domain for host in chosen} - {
                own.failure_domain
            }
    assertions.assert_that(min(pinged_by.values()), matchers.GreaterThan(0))


@pytest.fixture
def leaving() -> servers.LeavingServers:
    started = servers.LeavingServers(
        view_hashes.PartHashes(), forget_after=600.0
    )
    started.apply(messages.ServerNews(_ADDRESS, 4), 0.0)
    return started


def test_an_old_report_is_kept_until_the_list_confirms(
    leaving: servers.LeavingServers,
) -> None:
    leaving.reconcile(frozenset({_ADDRESS}), 9000.0)  # The list is outdated.
    assert leaving.is_leaving(_ADDRESS, 4)
    leaving.reconcile(frozenset(), 9000.0)
    assert not leaving.is_leaving(_ADDRESS, 4)
    # An update from a peer that has not read the list must not restore it.
    assert not leaving.apply(messages.ServerNews(_ADDRESS, 4, 9000), 9000.0)


def test_only_a_later_incarnation_clears_a_report(
    leaving: servers.LeavingServers,
) -> None:
    assert not leaving.record_live(_ADDRESS, 4)  # A delayed load report.
    assert leaving.is_leaving(_ADDRESS, 4)
    assert not leaving.is_leaving(_ADDRESS, 5)
    assert leaving.record_live(_ADDRESS, 5)
    assert not leaving.is_leaving(_ADDRESS, None)


def test_the_list_alone_reports_leaving_and_returned_servers() -> None:
    started = machine.Membership(membership_network.make_view(0), 1, 0.0)
    for incarnation, is_leaving in ((4, True), (4, False), (5, False)):
        listed = messages.ListedServer(_ADDRESS, incarnation, is_leaving)
        effects = started.handle(
            messages.HostsListed(frozenset(), (), (listed,)), 0.0
        )
        expected = {
            (4, True): (messages.ServerLeft(_ADDRESS, 4),),
            (5, False): (messages.ServerReturned(_ADDRESS, 5),),
        }.get((incarnation, is_leaving), ())
        assertions.assert_that(effects, matchers.Equals(expected))


def test_a_later_process_of_the_same_name_is_reported_not_refuted() -> None:
    own = membership_network.make_view(0)
    started = machine.Membership(own, 1, 0.0)
    update = messages.MemberNews(
        own.name, own.incarnation + 1, 0, view.MemberState.ALIVE
    )
    other = membership_network.make_view(1)
    digest = messages.Digest(
        other.name, 1, 0, view.MemberState.ALIVE, -1, 0, members=(update,)
    )
    effects = started.handle(messages.DigestReceived(digest), 0.0)
    assertions.assert_that(
        effects[0], matchers.Equals(messages.Superseded(own.incarnation + 1))
    )
    assertions.assert_that(started.members.own_view.version, matchers.Equals(0))
