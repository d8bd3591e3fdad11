"""Selects a backend server for one attempt.

A prompt goes to the engine that is expected to finish it first, considering the
engine's outstanding work and the prompt tokens that it has cached. All hosts
rank the engines for a shared prompt prefix in the same order, without
coordination, and treat the first one as its cache holder. Besides that engine,
only a small random sample is considered for each request: hosts learn of one
another's work with a delay, and if all of them compared all engines, they would
all select the same one.

Other requests go to the server with the shortest expected completion, too,
preferring this host's failure domain if the loads are similar. How fast a
server is now counts for both (see ``servers.speed``).
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import speed as speed_lib
from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.placement import interference
    from hoistmoor.core.relay.servers import server as server_lib

# Additional load, as a fraction of a server's slots, that a server in this
# host's failure domain may have and still be preferred.
REMOTE_BIAS = 0.1
# Penalty for engines distant from the request's class: the work of an engine at
# the far end of the line is scaled by one plus this factor.
CLASS_DISTANCE_FACTOR = 2.0
# Factor on the work of an engine in another failure domain. A model request
# carries its whole prompt. This value saves a quarter of the bytes between
# failure domains (mean of 15 test days with faults) and makes no answer
# late; 3.0 saves a third, but long prompts wait longer.
REMOTE_FACTOR = 2.0
# Exponent of the penalty for occupied slots. An engine starts as many requests
# at once as it has slots and queues the others. With all slots taken its work
# counts twice, with twice as many requests 17 times. Outstanding work alone
# does not show that 64 short answers of a small model wait for 16 slots.
OCCUPANCY_EXPONENT = 4.0
# Exponent of the preference for engines close to the class when sampling.
PROXIMITY_EXPONENT = 3.0
# Engines sampled for a request, besides the one that has its prompt cached.
SAMPLE_SIZE = 4
# Random load, as a fraction of a server's slots, that spreads the choices of
# hosts which see the same loads.
TIE_NOISE = 0.02
_DRAW_RANGE = 1 << 16


def pick(
    ready: list[server_lib.ServerState],
    zone: str,
    now: float,
    draws: hashing.RandomGenerator,
    speeds: speed_lib.ServiceSpeeds | None = None,
) -> server_lib.ServerState | None:
    """Returns the server for a plain request, or None if there is none.

    Args:
        ready: Candidate servers.
        zone: Failure domain of this host.
        now: Monotonic time.
        draws: Source of randomness.
        speeds: Speeds of the service's servers; None if they are equal.
    """
    known = speeds or speed_lib.ServiceSpeeds()
    return min(
        ready,
        key=lambda server: _cost(server, zone, now, draws, known),
        default=None,
    )


def pick_engine(
    ready: list[server_lib.ServerState],
    request: requests.RelayRequest,
    model: str,
    zone: str,
    distances: dict[str, float],
    mean_work: float,
    draws: hashing.RandomGenerator,
    now: float,
    speeds: speed_lib.ServiceSpeeds | None = None,
    choice: interference.Choice | None = None,
) -> server_lib.ServerState | None:
    """Returns the engine for a model request, or None if there is none.

    Args:
        ready: Candidate engines.
        request: The request; it has a prompt.
        model: The requested model.
        zone: Failure domain of this host.
        distances: Distance of each engine to the request's class.
        mean_work: Mean work of a request, for engines not used yet.
        draws: Source of randomness.
        now: Monotonic time.
        speeds: Speeds of the service's engines; None if they are equal.
        choice: Pauses of streams to consider; None for none.
    """
    known = speeds or speed_lib.ServiceSpeeds()
    prompt = request.prompt
    if not ready or prompt is None:
        return None
    if choice is not None:
        ready, distances = choice.narrow(ready, distances)
    proximity = {
        identity: (1.0 + CLASS_DISTANCE_FACTOR * distance)
        ** -PROXIMITY_EXPONENT
        for identity, distance in distances.items()
    }
    usual_seconds = known.seconds_of(mean_work)
    candidates = _sample(
        ready,
        {
            server.entry.identity: proximity[server.entry.identity]
            / known.slowdown(
                server.speed, server.entry.version, usual_seconds, now
            )
            for server in ready
        },
        draws,
    )
    cache_holder = None
    if prompt.shared_tokens:
        key = f"{prompt.subject} {model}"
        cache_holder = _cache_holder(ready, key, proximity)
        candidates.append(cache_holder)
    cached_work = prompt.shared_tokens * request.weight(model)

    def work_until_done(server: server_lib.ServerState) -> float:
        outstanding = server.total_work(mean_work, now)
        own = request.work(model)
        if server is cache_holder:
            own -= cached_work
        class_factor = (
            1.0 + CLASS_DISTANCE_FACTOR * distances[server.entry.identity]
        )
        domain_factor = REMOTE_FACTOR if server.entry.zone != zone else 1.0
        slowdown = known.slowdown(
            server.speed,
            server.entry.version,
            known.seconds_of(outstanding + own),
            now,
        )
        factor = class_factor * domain_factor * slowdown
        queueing = 1.0 + math.pow(server.occupancy(now), OCCUPANCY_EXPONENT)
        work = (outstanding + own) * factor * queueing
        return work + (choice.pause_cost(server, slowdown) if choice else 0.0)

    return min(candidates, key=work_until_done)


def _sample(
    ready: list[server_lib.ServerState],
    weights: dict[str, float],
    draws: hashing.RandomGenerator,
) -> list[server_lib.ServerState]:
    """Returns a weighted random sample of servers."""
    if len(ready) <= SAMPLE_SIZE:
        return list(ready)
    # Only a few hosts may send to a server with a rate limit, each rarely. When
    # sampled like the others, one of 90 got less than half of its limit.
    limited = [server for server in ready if server.limit.rate is not None]

    def sort_key(server: server_lib.ServerState) -> float:
        uniform = (draws.randbelow(_DRAW_RANGE) + 1) / _DRAW_RANGE
        return -math.log(uniform) / weights[server.entry.identity]

    return heapq.nsmallest(SAMPLE_SIZE, ready, key=sort_key) + limited


def _cache_holder(
    ready: list[server_lib.ServerState], key: str, proximity: dict[str, float]
) -> server_lib.ServerState:
    """Returns the server that is expected to have a shared prefix cached."""
    weights = tuple(
        (server.entry.identity, proximity[server.entry.identity])
        for server in ready
    )
    identity = hashing.weighted_rendezvous(key, weights)
    return next(server for server in ready if server.entry.identity == identity)


def _cost(
    server: server_lib.ServerState,
    zone: str,
    now: float,
    draws: hashing.RandomGenerator,
    speeds: speed_lib.ServiceSpeeds,
) -> float:
    bias = REMOTE_BIAS if server.entry.zone != zone else 0.0
    noise = TIE_NOISE * draws.randbelow(_DRAW_RANGE) / _DRAW_RANGE
    ahead = server.reported_occupancy(now)
    slowdown = speeds.slowdown(
        server.speed, server.entry.version, speeds.seconds_of(ahead), now
    )
    # The slots work off what is outstanding together, and one of them the
    # request itself.
    own = 1.0 - 1.0 / max(1, server.entry.slots)
    return (ahead + own) * slowdown + bias + noise
