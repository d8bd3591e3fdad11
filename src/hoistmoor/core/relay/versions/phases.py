"""The phases of a roll-out, and which one follows.

No host holds a lease on a roll-out. Each phase is a record on the store,
written on the condition that nothing was written there since the writer read
it, so the first record has won for everyone. Any host may write the next one;
they take turns only to save calls.
"""

from __future__ import annotations

import enum

import attrs
import xxhash

from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.versions import evidence as evidence_lib

SPREAD_AT = 0.6  # Part of the time allowed after which all requests move.
COMPLETE_AT = 0.85  # Part of it after which the old version is given up.
MIN_PROOF = 12  # Answers of the target, of all hosts, before all requests move.
# Seconds after its last record of counts that a host has its turn.
ACTOR_LIFE = 8.0
TURN = 0.6  # Seconds that each host waits for those before it.


class Phase(enum.StrEnum):
    """How far a roll-out has come."""

    TRIAL = "trial"
    SPREAD = "spread"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def is_final(self) -> bool:
        """Whether nothing may follow it."""
        return self in (Phase.COMPLETE, Phase.REVERTED)

    @property
    def rank(self) -> int:
        """How far it is; of two hosts' words the further one holds."""
        return tuple(Phase).index(self)


@attrs.frozen
class Order:
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        target: The version that all requests are to go to.
        duration: Seconds allowed.
        number: Serial of the place of the order's record; rises with each
            order.
    """

    service: str
    target: str
    duration: float
    number: int

    @property
    def place(self) -> topics.Place:
        """Place of the order's record."""
        return topics.place_of(self.number)

    def says_as(self, other: Order) -> bool:
        """Returns whether it orders the same as another one."""
        return self == attrs.evolve(other, number=self.number)


@attrs.frozen
class PhaseRecord:
    """A phase that a roll-out has reached, as the store keeps it.

    Attributes:
        service: The service.
        target: The version that is rolled out.
        number: Number of the order.
        phase: How far it has come.
    """

    service: str
    target: str
    number: int
    phase: Phase

    def is_of(self, order: Order) -> bool:
        """Returns whether it is a phase of an order's roll-out.

        The copy that a store comes back from has the order where it was, and
        phases that were written before.
        """
        return (self.service, self.target) == (
            order.service,
            order.target,
        ) and _is_same_order(self.number, order.number)

    def is_behind(self, other: PhaseRecord) -> bool:
        """Returns whether another record of the same target goes further."""
        if _is_same_order(self.number, other.number):
            return self.phase.rank < other.phase.rank
        return self.number < other.number


def _is_same_order(number: int, other: int) -> bool:
    return topics.place_of(number).offset == topics.place_of(other).offset


def next_phase(
    phase: Phase,
    pooled: dict[str, evidence_lib.RouteEvidence],
    elapsed: float,
    *,
    is_doubted: bool = False,
) -> Phase | None:
    """Returns the phase that should follow now, or None to wait.

    Args:
        phase: The one that was reached.
        pooled: Counts of all hosts, by route.
        elapsed: Part of the time allowed that is over, from 0.
        is_doubted: Whether the target was found bad before. It gets no more
            work since then, so nothing can speak for it.
    """
    if phase.is_final:
        return None
    if is_doubted or evidence_lib.is_bad(pooled):
        return Phase.REVERTED
    if evidence_lib.is_doubtful(pooled):
        return None
    proved = sum(route.target.answers for route in pooled.values())
    if phase is Phase.TRIAL and elapsed >= SPREAD_AT and proved >= MIN_PROOF:
        return Phase.SPREAD
    if phase is Phase.SPREAD and elapsed >= COMPLETE_AT:
        return Phase.COMPLETE
    return None


def turn_of(host: str, hosts: list[str], number: int) -> float:
    """Returns the seconds that ``host`` waits before it writes a phase."""
    return rank_of(host, hosts, number) * TURN


def rank_of(host: str, hosts: list[str], number: int) -> int:
    """Returns the place of ``host`` in the order of turns, from 0."""

    def digest(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{number} {name}".encode())

    return sorted({*hosts, host}, key=digest).index(host)
