"""Membership guarantees under message loss, partitions, pauses and crashes."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import membership_network
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.membership import digests
from hoistmoor.core.membership import freshness
from hoistmoor.core.membership import gossip
from hoistmoor.core.membership import machine
from hoistmoor.core.membership import members
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import servers
from hoistmoor.core.membership import view

if TYPE_CHECKING:
    from collections.abc import Callable

_DEAD = view.MemberState.DEAD
_SERVER = "10.9.0.1:9000"
_BOUND = 60.0  # Seconds of virtual time.

Network = membership_network.Network


@pytest.fixture
def network() -> Network:
    started = Network()
    started.start_all(16)
    return started


def _names(network: Network) -> list[str]:
    return list(network.hosts)


def _hosts_in_domain(network: Network, number: int) -> list[str]:
    return [
        name
        for name in network.hosts
        if network.machine(name).members.own_view.failure_domain
        == f"domain-{number}"
    ]


def _is_fresh(network: Network, name: str) -> bool:
    return network.machine(name).assess_freshness(network.now).is_fresh


def _all(network: Network, check: Callable[[str], bool]) -> bool:
    return all(check(name) for name in network.running())


def _check_precedence_never_decreases(network: Network) -> None:
    for simulated in network.hosts.values():
        newest: dict[str, tuple[int, int, int]] = {}
        for effect in simulated.effects:
            if isinstance(effect, messages.HostChanged):
                host = effect.host
                previous = newest.get(host.name, host.precedence)
                assertions.assert_that(
                    host.precedence, matchers.Not(matchers.LessThan(previous))
                )
                newest[host.name] = host.precedence


def test_a_crashed_host_is_declared_dead_everywhere(network: Network) -> None:
    network.crash("entry-003")
    network.run_until(
        lambda: _all(
            network, lambda name: network.state(name, "entry-003") is _DEAD
        ),
        _BOUND,
    )
    others = [name for name in network.running() if name != "entry-003"]
    assertions.assert_that(
        {network.state(a, b) for a in others for b in others},
        matchers.Equals({view.MemberState.ALIVE}),
    )


def test_no_host_stays_dead_after_message_loss(network: Network) -> None:
    network.loss = 0.3
    network.run(_BOUND)
    network.loss = 0.0
    network.run_until(network.all_alive, _BOUND)
    _check_precedence_never_decreases(network)


def _lossy_network_causes_few_suspicions(network: Network) -> None:
    network.loss = 0.1
    network.run(_BOUND)
    suspicions = sum(
        isinstance(effect, messages.HostChanged)
        and effect.host.state is view.MemberState.SUSPECT
        for host in network.hosts.values()
        for effect in host.effects
    )
    assertions.assert_that(suspicions, matchers.LessThan(500))


def test_indirect_pings_prevent_suspicions_under_message_loss(
    network: Network,
) -> None:
    _lossy_network_causes_few_suspicions(network)


def _partition_heals(network: Network) -> None:
    side = _hosts_in_domain(network, 2)
    network.partition(*side)
    network.run(_BOUND)
    assertions.assert_that(
        network.state("entry-000", side[0]), matchers.Equals(_DEAD)
    )
    network.heal()
    network.run_until(network.all_alive, _BOUND)
    _check_precedence_never_decreases(network)


def test_a_disconnected_failure_domain_rejoins(network: Network) -> None:
    digests: list[messages.Digest] = []
    network.on_digest = lambda _a, _b, digest: digests.append(digest)
    _partition_heals(network)
    max_updates = max(len(digest.members) for digest in digests)
    assertions.assert_that(max_updates, matchers.LessThan(20))


def _resumed_host_refutes_death(network: Network) -> None:
    network.pause("entry-005")
    network.run(_BOUND)
    assertions.assert_that(
        network.state("entry-000", "entry-005"), matchers.Equals(_DEAD)
    )
    assert not _is_fresh(network, "entry-005")
    network.resume("entry-005")
    network.run_until(network.all_alive, _BOUND)


def test_a_resumed_host_refutes_its_death(
    network: Network,
) -> None:
    _resumed_host_refutes_death(network)


def _outdated_log_reply_does_not_count(network: Network) -> None:
    network.run(5.0)
    network.pause("entry-005")
    network.run(_BOUND)
    network.resume("entry-005")  # Its backlog includes a reply from the log.
    assert not _is_fresh(network, "entry-005")
    network.run(2.0)
    assert _is_fresh(network, "entry-005")


def test_a_log_reply_from_before_a_pause_does_not_count(
    network: Network,
) -> None:
    _outdated_log_reply_does_not_count(network)


def _resumed_host_declares_no_host_dead(network: Network) -> None:
    network.pause("entry-005")
    network.run(_BOUND)
    network.resume("entry-005")
    network.run(_BOUND)
    declared_dead = {
        effect.host.name
        for effect in network.hosts["entry-005"].effects
        if isinstance(effect, messages.HostChanged)
        and effect.host.state is _DEAD
    }
    assertions.assert_that(declared_dead, matchers.Equals(set()))


def test_a_resumed_host_declares_no_host_dead(network: Network) -> None:
    network.loss = 0.1
    _resumed_host_declares_no_host_dead(network)


def test_a_leaving_server_becomes_known_despite_message_loss(
    network: Network,
) -> None:
    network.loss = 0.3
    network.deliver("entry-000", messages.ServerLeaving(_SERVER, 4))
    network.run_until(
        lambda: _all(
            network,
            lambda name: network.machine(name).servers.is_leaving(_SERVER, 4),
        ),
        _BOUND,
    )


def _returned_server_stays_cleared(network: Network) -> None:
    network.deliver("entry-000", messages.ServerLeaving(_SERVER, 4))
    network.run(5.0)
    for name in network.running():
        network.deliver(name, messages.ServerLive(_SERVER, 5))
    network.deliver("entry-001", messages.ServerLeaving(_SERVER, 4))
    network.run(_BOUND)
    assert not any(
        network.machine(name).servers.is_leaving(_SERVER, None)
        for name in network.running()
    )


def test_an_outdated_update_on_a_returned_server_is_ignored(
    network: Network,
) -> None:
    _returned_server_stays_cleared(network)


def _disconnected_host_is_stale(network: Network) -> None:
    network.run(2.0)
    network.partition("entry-007")
    network.log_is_up = lambda name: name != "entry-007"
    network.run(5.0)
    assertions.assert_that(
        network.machine("entry-007").assess_freshness(network.now).why,
        matchers.Equals(freshness.Reason.CUT_OFF),
    )
    network.run(_BOUND)
    assert not _is_fresh(network, "entry-007")
    others = [name for name in network.running() if name != "entry-007"]
    assert all(_is_fresh(network, name) for name in others)


def test_a_disconnected_host_accepts_no_new_work(network: Network) -> None:
    _disconnected_host_is_stale(network)


def test_all_hosts_stay_fresh_while_the_log_is_down(network: Network) -> None:
    network.run(8.0)
    network.log_is_up = lambda _name: False
    for _ in range(30):
        network.run(1.0)
        assert _all(network, lambda name: _is_fresh(network, name))


def test_the_smaller_side_of_a_partition_stays_stale(network: Network) -> None:
    network.log_is_up = lambda _name: False
    network.partition(*_hosts_in_domain(network, 1))
    network.run(20.0)
    # Longer than ``forget_after``: the hosts of the other side are forgotten
    # but must still count towards the majority.
    for _ in range(15):
        network.run(60.0)
        fresh = {name for name in network.running() if _is_fresh(network, name)}
        assertions.assert_that(
            fresh,
            matchers.Equals(
                {*_names(network)} - {*_hosts_in_domain(network, 1)}
            ),
        )


def test_a_newer_table_is_fetched_from_peers_without_the_log(
    network: Network,
) -> None:
    for name in network.running():
        network.deliver(name, messages.TableActivated(6))
    network.log_is_up = lambda _name: False
    network.run(8.0)
    network.deliver("entry-004", messages.TableActivated(7))
    network.run_until(
        lambda: _all(
            network, lambda name: network.machine(name).tables.own_revision == 7
        ),
        _BOUND,
    )
    assert _all(network, lambda name: _is_fresh(network, name))


def test_a_host_that_cannot_fetch_a_newer_table_is_stale(
    network: Network,
) -> None:
    network.log_is_up = lambda _name: False
    network.run(6.0)
    network.deliver("entry-004", messages.TableActivated(7))
    network.crash("entry-004")
    digest = network.machine("entry-004").digest_for("entry-000", network.now)
    network.deliver("entry-000", messages.DigestReceived(digest))
    network.run(3.0)
    assertions.assert_that(
        network.machine("entry-000").assess_freshness(network.now).why,
        matchers.Equals(freshness.Reason.BEHIND),
    )


def test_hosts_that_left_do_not_count_towards_the_majority(
    network: Network,
) -> None:
    network.log_is_up = lambda _name: False
    leaving = _names(network)[:10]  # A majority, one after the other.
    for name in leaving:
        network.deliver(name, messages.Leave())
        network.run(2.0)
        network.crash(name)
    network.run(_BOUND)
    for name in network.running():
        known = {host.name for host in network.machine(name).members.peers()}
        assertions.assert_that(known & {*leaving}, matchers.Equals(set()))
        assert _is_fresh(network, name)


def _new_host_joins(network: Network) -> None:
    network.run(20.0)  # The digests hold no more updates on the others.
    network.start(membership_network.make_view(20), "entry-000")
    network.run_until(network.all_alive, _BOUND)


def test_a_new_host_and_the_others_discover_each_other(
    network: Network,
) -> None:
    _new_host_joins(network)


def test_a_restarted_host_replaces_its_old_incarnation(
    network: Network,
) -> None:
    network.crash("entry-002")
    network.start(membership_network.make_view(2, incarnation=9), "entry-000")
    network.run_until(
        lambda: _all(
            network,
            lambda name: (
                getattr(
                    network.machine(name).members.get("entry-002"),
                    "incarnation",
                    0,
                )
                % 10
                == 9
            ),
        ),
        _BOUND,
    )
    network.run_until(network.all_alive, _BOUND)
    _check_precedence_never_decreases(network)


def _apply_in_any_order(
    self: members.Members, update: messages.MemberNews, now: float
) -> Any:
    known = self.get(update.name)
    if known is None:
        return self._add(update, now)
    if update.precedence == known.precedence:
        return None
    changed = members._merge(known, update, now)
    self._store(changed)
    return changed


# Each mutation disables one mechanism, so that its scenario must fail.
_MUTATIONS = {
    "no refutation": (
        gossip.Gossip,
        "_refute",
        lambda self, update: None,
        _resumed_host_refutes_death,
    ),
    "no precedence of updates": (
        members.Members,
        "apply",
        _apply_in_any_order,
        _partition_heals,
    ),
    "no pings to dead hosts": (
        machine.Membership,
        "_ping_dead",
        lambda self, now: None,
        _partition_heals,
    ),
    "no detection of own pauses": (
        machine.Membership,
        "_reset_after_pause",
        lambda self, now: None,
        _outdated_log_reply_does_not_count,
    ),
    "no sync of views": (
        digests.DigestWriter,
        "write_sync_reply",
        lambda self, to, _hashes, now: self.write(to, now),
        _new_host_joins,
    ),
    "no indirect pings": (
        machine.Membership,
        "_choose_helpers",
        lambda self, target, now: (),
        _lossy_network_causes_few_suspicions,
    ),
    "no majority check": (
        freshness,
        "reaches_majority",
        lambda evidence: True,
        _disconnected_host_is_stale,
    ),
    "no server incarnations": (
        servers.LeavingServers,
        "_is_superseded",
        lambda self, update: False,
        _returned_server_stays_cleared,
    ),
}


@pytest.mark.parametrize("mutation", _MUTATIONS)
def test_scenarios_detect_a_missing_mechanism(
    mutation: str, network: Network, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, name, replacement, scenario = _MUTATIONS[mutation]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        scenario(network)
