"""Selection of a backend server from a pool by delayed load reports.

The better of two random servers is selected ("power of two choices"). With
delayed reports, a full scan would send all hosts to the same server. Servers
of other failure domains are considered only if the local ones are busy.
Servers that probably have a prefix of the prompt cached get a bonus.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.routing import hashing
    from hoistmoor.core.routing import servers

BUSY_LOAD = 0.75  # Load at which servers of other domains are considered.
MAX_PROBES = 3  # Maximum number of servers probed for their load before a call.
FRESH_REPORT_S = 5.0  # Age up to which a load report makes a probe unnecessary.
AFFINITY_BONUS = 0.5  # Bonus for a fully cached prompt, in shares of capacity.

Scores = tuple[tuple[str, float], ...]


def score(server: servers.ServerState) -> float:
    """Returns the load with one more call as a share of capacity.

    Servers of other failure domains are charged a penalty. Lower is better.
    """
    return (server.load + 1) / server.row.concurrency + server.remote_penalty


def pick_server(
    pool: servers.ServerPool,
    excluded: frozenset[str],
    rng: hashing.RandomGenerator,
) -> tuple[servers.ServerState | None, Scores]:
    """Draws two ready servers and returns the better one.

    Args:
        pool: Pool to select from.
        excluded: Names of servers that must not be selected.
        rng: Random number generator.

    Returns:
        The server, or None if none is ready, and the scores of the servers
        considered.
    """
    if excluded:
        return _pick_by_scan(pool, excluded)
    near, far = pool.local.members, pool.remote.members
    if not near:
        return _better_of_two(far, rng)
    server, weighed = _better_of_two(near, rng)
    if weighed[0][1] < BUSY_LOAD or not far:
        return server, weighed
    other, other_weighed = _better_of_two(far, rng)
    weighed = weighed + other_weighed
    if server is None or other is None:
        return server or other, weighed
    return (server if score(server) <= score(other) else other), weighed


def _better_of_two(
    ready: list[servers.ServerState], draws: hashing.RandomGenerator
) -> tuple[servers.ServerState | None, Scores]:
    size = len(ready)
    if size == 0:
        return None, ()
    first = ready[draws.randbelow(size)]
    first_score = score(first)
    if size == 1:
        return first, ((first.name, first_score),)
    index = draws.randbelow(size - 1)
    second = ready[index]
    if second is first:
        second = ready[-1]
    second_score = score(second)
    if second_score < first_score:
        first, second = second, first
        first_score, second_score = second_score, first_score
    return first, ((first.name, first_score), (second.name, second_score))


def _pick_by_scan(
    pool: servers.ServerPool, excluded: frozenset[str]
) -> tuple[servers.ServerState | None, Scores]:
    """Selects the best server by a full scan, used only for rare retries."""
    ready = [
        server
        for server in (*pool.local.members, *pool.remote.members)
        if server.name not in excluded
    ]
    if not ready:
        return None, ()
    best = min(ready, key=lambda server: (score(server), server.name))
    return best, ((best.name, score(best)),)


def prefer_cached(
    pool: servers.ServerPool,
    holders: tuple[str, ...],
    held_share: float,
    least_loaded: servers.ServerState,
    excluded: frozenset[str],
) -> servers.ServerState:
    """Returns a server with a cached prefix if its score is best.

    Args:
        pool: Pool to select from.
        holders: Names of servers that probably have the prefix cached.
        held_share: Cached share of the prompt, 0 to 1.
        least_loaded: Best server by load; returned unless a holder is better.
        excluded: Names of servers that must not be selected.
    """
    best, best_score = least_loaded, score(least_loaded)
    if least_loaded.name in holders:
        best_score -= AFFINITY_BONUS * held_share
    for name in holders:
        server = pool.servers.get(name)
        if server is None or name in excluded or not server.is_ready:
            continue
        holder_score = score(server) - AFFINITY_BONUS * held_share
        if holder_score < best_score:
            best, best_score = server, holder_score
    return best


def servers_to_probe(
    pool: servers.ServerPool,
    chosen: servers.ServerState,
    excluded: frozenset[str],
    rng: hashing.RandomGenerator,
    now: float,
) -> tuple[str, ...]:
    """Returns the servers to probe for their load before a call.

    Args:
        pool: Pool of ``chosen``.
        chosen: The server selected for the call.
        excluded: Names of servers that must not be selected.
        rng: Random number generator.
        now: Current time.

    Returns:
        The names of ``chosen`` and of other random servers. Empty if the load
        of ``chosen`` is known, or if its calls are too short for a report of
        them to arrive in time.
    """
    if chosen.has_short_calls:
        return ()
    if chosen.report is not None and chosen.report.at >= now - FRESH_REPORT_S:
        return ()
    names = {chosen.name: None}
    for _ in range(MAX_PROBES - 1):
        members = pool.local.members or pool.remote.members
        if members:
            name = members[rng.randbelow(len(members))].name
            names[name] = None
    return tuple(name for name in names if name not in excluded)


def pick_least_loaded(
    pool: servers.ServerPool, names: tuple[str, ...]
) -> servers.ServerState | None:
    """Returns the ready server of ``names`` with the lowest score, if any."""
    found = [pool.servers[name] for name in names if name in pool.servers]
    ready = [server for server in found if server.is_ready]
    return min(ready, key=score, default=None)
