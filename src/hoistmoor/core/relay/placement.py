"""Chooses a backend server for one attempt.

Prompts that share a part go to the same server while it is not much busier
than the others, so that the part is read once: every host ranks the servers
of a part in the same order, with no word between them. Other requests go to
the least loaded server, one in this failure domain if it is about as good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from hoistmoor.core.relay import fleet
    from hoistmoor.core.routing import hashing

FAR_BIAS = 0.1  # Load, in shares of a server, that a near server may have more.
# A part's server is used up to this multiple of the mean load, and this many
# shares of a server above it (as bounded-load consistent hashing does).
AFFINITY_FACTOR = 1.25
AFFINITY_SLACK = 0.1
TIE_NOISE = 0.02  # Shares of a server; spreads hosts that see the same loads.
_DRAWS = 1 << 16


def pick(
    ready: list[fleet.ServerState],
    subject: str,
    zone: str,
    now: float,
    draws: hashing.Draws,
) -> fleet.ServerState | None:
    """Returns the server for an attempt, or None if there is none.

    Args:
        ready: Servers that may get it.
        subject: Part of the prompt that decides who has it cached, or empty.
        zone: Failure domain of this host.
        now: Steady time.
        draws: Source of randomness.
    """
    if not ready:
        return None
    if subject:
        return _pick_holder(ready, subject, now)
    return min(ready, key=lambda each: _cost(each, zone, now, draws))


def _cost(
    server: fleet.ServerState, zone: str, now: float, draws: hashing.Draws
) -> float:
    far = FAR_BIAS if server.entry.zone != zone else 0.0
    noise = TIE_NOISE * draws.below(_DRAWS) / _DRAWS
    pace = max(1.0, server.health.pace)
    return server.load(now) * pace + far + noise


def _pick_holder(
    ready: list[fleet.ServerState], subject: str, now: float
) -> fleet.ServerState:
    loads = {each.entry.server_id: each.load(now) for each in ready}
    mean = sum(loads.values()) / len(loads)
    bound = AFFINITY_FACTOR * mean + AFFINITY_SLACK
    ranked = sorted(
        ready, key=lambda each: _rank(subject, each.entry.server_id)
    )
    for each in ranked:
        if loads[each.entry.server_id] <= bound:
            return each
    return ranked[0]


def _rank(subject: str, server_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject} {server_id}".encode())
