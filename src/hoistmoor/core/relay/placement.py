"""Chooses a backend server for one attempt.

A prompt goes to the engine that will be done with it first: by the work that
it has, and by what it need not read again. Every host ranks the engines for a
shared part in the same order, with no word between them, and takes the first
as the one that has it cached. Other requests go to the least loaded server,
one in this failure domain if it is about as good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from hoistmoor.core.relay import fleet
    from hoistmoor.core.relay import requests
    from hoistmoor.core.routing import hashing

FAR_BIAS = 0.1  # Load, in shares of a server, that a near server may have more.
# Times as much work that an engine at the far end of the line seems to have.
APART = 2.0
TIE_NOISE = 0.02  # Shares of a server; spreads hosts that see the same loads.
_DRAWS = 1 << 16


def pick(
    ready: list[fleet.ServerState],
    zone: str,
    now: float,
    draws: hashing.Draws,
) -> fleet.ServerState | None:
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
    ready: list[fleet.ServerState],
    request: requests.RelayRequest,
    model: str,
    distances: dict[str, float],
    mean_work: float,
    now: float,
) -> fleet.ServerState | None:
    """Returns the engine for a model request, or None if there is none.

    Args:
        ready: Engines that may get it.
        request: The request; it has a prompt.
        model: Model that is to answer.
        distances: How far each engine stands from the request's class.
        mean_work: Usual work of a request, for engines not used yet.
        now: Steady time.
    """
    prompt = request.prompt
    if not ready or prompt is None:
        return None
    key = f"{prompt.subject} {model}"
    cached = prompt.shared_tokens * request.weight(model)
    holder = min(ready, key=lambda each: _rank(key, each.entry.server_id))

    def work_until_done(server: fleet.ServerState) -> float:
        usual = server.mean_work or mean_work
        waiting = server.work + usual * server.others_now(now)
        own = request.work(model)
        if server is holder:
            own -= cached
        apart = 1.0 + APART * distances[server.entry.server_id]
        return (waiting + own) * apart * max(1.0, server.health.pace)

    return min(ready, key=work_until_done)


def _cost(
    server: fleet.ServerState, zone: str, now: float, draws: hashing.Draws
) -> float:
    far = FAR_BIAS if server.entry.zone != zone else 0.0
    noise = TIE_NOISE * draws.below(_DRAWS) / _DRAWS
    pace = max(1.0, server.health.pace)
    return server.load(now) * pace + far + noise


def _rank(key: str, server_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{key} {server_id}".encode())
