"""Tests placement with delayed reports, leaving servers and outliers."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import affinity
from hoistmoor.core.routing import fleet
from hoistmoor.core.routing import hashing
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import placement

POOL = "small@v1"
NO_SERVERS: frozenset[str] = frozenset()
FAILED = messages.AttemptResult(ok=False, seconds=1.0)


def _fleet(servers: int = 8, domain: str = "bangna") -> fleet.Fleet:
    backends = fleet.Fleet(domain)
    backends.on_table(
        routing_rows.table(
            routing_rows.DEFAULT_VERSIONS,
            servers=servers,
        )
    )
    return backends


def _pick_server(
    backends: fleet.Fleet, excluded: frozenset[str] = NO_SERVERS
) -> str | None:
    pool = backends.pools[POOL]
    server, _ = placement.pick_server(
        pool, excluded, hashing.RandomGenerator.from_seed(9)
    )
    return server.name if server else None


actions = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ("fail", "done", "slow", "declined", "leave", "return", "load")
        ),
        strategies.integers(0, 5),
        strategies.floats(0.0, 20.0),
    ),
    max_size=80,
)
RESULTS = {
    "fail": FAILED,
    "done": messages.AttemptResult(ok=True, seconds=1.0, tokens=10),
    "slow": messages.AttemptResult(ok=True, seconds=90.0, tokens=10),
    "declined": messages.AttemptResult(ok=False, declined=True),
}


@settings(derandomize=True, deadline=None, max_examples=200)
@given(actions=actions)
def test_at_most_half_of_a_pool_is_ejected(actions: list) -> None:
    backends = _fleet(servers=6)
    now = 100.0
    for action, number, elapsed in actions:
        now += elapsed
        name, address = f"llm-{number}", f"10.0.0.{number}:80"
        if action in RESULTS:
            backends.on_finished(name, POOL, RESULTS[action], now)
        elif action == "load":
            backends.on_load(
                routing_rows.report(name, now, running=elapsed // 4)
            )
        else:
            backends.set_leaving(address, is_leaving=action == "leave")
        backends.end_rests(now)
        _check_pools(backends)


def _check_pools(backends: fleet.Fleet) -> None:
    for pool in backends.pools.values():
        states = list(pool.servers.values())
        ejected = [s for s in states if s.health.is_ejected]
        assert len(ejected) <= len(states) // 2
        ready = {s.name for s in (*pool.local.members, *pool.remote.members)}
        assert ready == {s.name for s in states if s.is_ready}
        assert not any(s.is_leaving for s in states)


def test_failing_server_is_ejected_and_readmitted() -> None:
    backends = _fleet()
    for _ in range(3):
        backends.on_finished("llm-0", POOL, FAILED, 10.0)
    drawn = {_pick_server(backends, frozenset({"llm-1"})) for _ in range(50)}
    assertions.assert_that(drawn, matchers.Not(matchers.Contains("llm-0")))
    backends.end_rests(14.9)
    assert backends.by_name["llm-0"].health.is_ejected
    backends.end_rests(15.1)
    assert not backends.by_name["llm-0"].health.is_ejected
    backends.on_finished("llm-0", POOL, FAILED, 16.0)
    assertions.assert_that(
        backends.by_name["llm-0"].health.ejected_until, matchers.Equals(26.0)
    )


def test_duration_is_compared_per_version() -> None:
    backends = _fleet()
    short = messages.AttemptResult(ok=True, seconds=1.0, tokens=100)
    long = messages.AttemptResult(ok=True, seconds=9.0, tokens=100)
    for _ in range(30):
        backends.on_finished("llm-0", "small@v1", short, 1.0)
        backends.on_finished("llm-1", "large@v1", long, 1.0)
    assert not backends.by_name["llm-1"].health.is_ejected
    for _ in range(30):
        backends.on_finished("llm-1", "small@v1", long, 1.0)
    assert backends.by_name["llm-1"].health.is_ejected


def test_own_calls_correct_a_delayed_report() -> None:
    backends = _fleet(servers=2)
    backends.on_load(routing_rows.report("llm-0", 9.0, running=3))
    for at in (8.0, 9.5, 10.0):
        backends.on_started("llm-0", at)
    backends.on_load(routing_rows.report("llm-0", 9.0, running=3))
    # The report includes one start; the two later ones are added to it.
    assertions.assert_that(backends.by_name["llm-0"].load, matchers.Equals(5))
    backends.on_finished("llm-0", POOL, RESULTS["done"], 10.5)
    assertions.assert_that(backends.by_name["llm-0"].load, matchers.Equals(4))


def test_hosts_do_not_all_select_one_server() -> None:
    """Checks the spread of one call each of 50 hosts with equal reports."""
    sent: collections.Counter[str | None] = collections.Counter()
    for host in range(50):
        backends = _fleet(servers=20, domain="elsewhere")
        for i in range(20):
            load = 0 if i == 0 else 1
            backends.on_load(routing_rows.report(f"llm-{i}", 1.0, running=load))
        pool = backends.pools[POOL]
        server, _ = placement.pick_server(
            pool, NO_SERVERS, hashing.RandomGenerator.from_seed(host)
        )
        sent[server.name if server else None] += 1
    assertions.assert_that(max(sent.values()), matchers.LessThan(15))


def test_server_is_leaving_until_a_new_incarnation() -> None:
    backends = _fleet(servers=1)
    backends.on_load(routing_rows.report("llm-0", 1.0))
    backends.set_leaving("10.0.0.0:80", is_leaving=True)
    backends.on_load(routing_rows.report("llm-0", 2.0))
    assert _pick_server(backends) is None
    backends.on_load(routing_rows.report("llm-0", 3.0, incarnation=2))
    assertions.assert_that(_pick_server(backends), matchers.Equals("llm-0"))
    backends.on_load(routing_rows.report("llm-0", 4.0, incarnation=1))
    backends.on_load(
        routing_rows.report("llm-0", 5.0, incarnation=2, state="leaving")
    )
    assert _pick_server(backends) is None


def test_prefix_index_is_bisected_and_invalidated_by_a_gap() -> None:
    index = affinity.PrefixIndex()
    index.on_event(messages.CacheEvent("a", 0, stored=(1, 2, 3)), 0.0)
    assertions.assert_that(
        index.find_longest((1, 2, 3, 4), 1.0), matchers.Equals((0.75, ("a",)))
    )
    index.on_event(messages.CacheEvent("a", 2, stored=(9,)), 1.0)
    assertions.assert_that(
        index.find_longest((1, 2, 3, 4), 1.0), matchers.Equals((0.0, ()))
    )
    assertions.assert_that(
        index.find_longest((9,), 1.0), matchers.Equals((1.0, ("a",)))
    )
    assertions.assert_that(
        index.find_longest((9,), 500.0)[1], matchers.Equals(())
    )
