"""Chooses a backend server for one attempt.

A prompt goes to the engine that will be done with it first: by the work that
it has, and by what it need not read again. Every host ranks the engines for a
shared part in the same order, with no word between them, and takes the first
as the one that has it cached. Besides that one only a few engines are looked
at, drawn anew for each request: what other hosts have under way is known late,
and hosts that all looked at all engines would all choose the same one. Other
requests go to the least loaded server, one in this failure domain if it is
about as good.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.servers import server as server_lib

FAR_BIAS = 0.1  # Load, in shares of a server, that a near server may have more.
# Times as much work that an engine at the far end of the line seems to have.
APART = 2.0
# Times as busy that an engine in another failure domain seems to be. A model
# request carries its whole prompt; this saves a quarter of the bytes between
# failure domains (mean of 15 played days with disturbances) and costs no
# answer its time; at 3.0 a third is saved and long prompts wait more.
FAR_FACTOR = 2.0
# An engine begins as many requests at once as it has slots, and what is beyond
# them waits: with all slots taken it seems twice as busy, with twice as many
# requests 17 times. The work of short answers of a small model alone does not
# show that 64 of them wait where 16 have a slot.
CROWD_POWER = 4.0
NEAR_POWER = 3.0  # How much more often a near engine is drawn than a far one.
# Engines drawn for a request, besides the one that has its prompt cached.
DRAWN = 4
TIE_NOISE = 0.02  # Shares of a server; spreads hosts that see the same loads.
_DRAWS = 1 << 16


def pick(
    ready: list[server_lib.ServerState],
    zone: str,
    now: float,
    draws: hashing.Draws,
) -> server_lib.ServerState | None:
    """Returns the server for a plain request, or None if there is none.

    Args:
        ready: Servers that may get it.
        zone: Failure domain of this host.
        now: Steady time.
        draws: Source of randomness.
    """
    return min(
        ready, key=lambda each: _cost(each, zone, now, draws), default=None
    )


def pick_engine(
    ready: list[server_lib.ServerState],
    request: requests.RelayRequest,
    model: str,
    zone: str,
    distances: dict[str, float],
    mean_work: float,
    draws: hashing.Draws,
    now: float,
) -> server_lib.ServerState | None:
    """Returns the engine for a model request, or None if there is none.

    Args:
        ready: Engines that may get it.
        request: The request; it has a prompt.
        model: Model that is to answer.
        zone: Failure domain of this host.
        distances: How far each engine stands from the request's class.
        mean_work: Usual work of a request, for engines not used yet.
        draws: Source of randomness.
        now: Steady time.
    """
    prompt = request.prompt
    if not ready or prompt is None:
        return None
    nearness = {
        name: (1.0 + APART * distance) ** -NEAR_POWER
        for name, distance in distances.items()
    }
    candidates = _draw(ready, nearness, draws)
    holder = None
    if prompt.shared_tokens:
        key = f"{prompt.subject} {model}"
        holder = _holder(ready, key, nearness)
        candidates.append(holder)
    cached = prompt.shared_tokens * request.weight(model)

    def work_until_done(server: server_lib.ServerState) -> float:
        waiting = server.waiting_work(mean_work, now)
        own = request.work(model)
        if server is holder:
            own -= cached
        apart = 1.0 + APART * distances[server.entry.identity]
        far = FAR_FACTOR if server.entry.zone != zone else 1.0
        busy = apart * far * max(1.0, server.health.pace)
        crowd = 1.0 + math.pow(server.crowding(now), CROWD_POWER)
        return (waiting + own) * busy * crowd

    return min(candidates, key=work_until_done)


def _draw(
    ready: list[server_lib.ServerState],
    nearness: dict[str, float],
    draws: hashing.Draws,
) -> list[server_lib.ServerState]:
    """Returns a few servers, near ones more often."""
    if len(ready) <= DRAWN:
        return list(ready)
    # Only a few hosts may send to a server that has named a limit, each
    # seldom. Drawn like any other, one of 90 got less than half of its limit.
    limited = [each for each in ready if each.limit.rate is not None]

    def key(server: server_lib.ServerState) -> float:
        uniform = (draws.below(_DRAWS) + 1) / _DRAWS
        return -math.log(uniform) / nearness[server.entry.identity]

    return heapq.nsmallest(DRAWN, ready, key=key) + limited


def _holder(
    ready: list[server_lib.ServerState], key: str, nearness: dict[str, float]
) -> server_lib.ServerState:
    """Returns the server that has the parts of a prompt cached."""
    weights = tuple(
        (each.entry.identity, nearness[each.entry.identity]) for each in ready
    )
    name = hashing.weighted_pick(key, weights)
    return next(each for each in ready if each.entry.identity == name)


def _cost(
    server: server_lib.ServerState, zone: str, now: float, draws: hashing.Draws
) -> float:
    far = FAR_BIAS if server.entry.zone != zone else 0.0
    noise = TIE_NOISE * draws.below(_DRAWS) / _DRAWS
    pace = max(1.0, server.health.pace)
    return server.fullness(now) * pace + far + noise
