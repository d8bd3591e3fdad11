"""Phases of a rollout and the transitions between them.

Rollouts have no leader. Each phase is a record in the store, written with a
compare-and-set on the end of the topic, so the first record wins for all hosts.
Any host may write the next phase; they take turns only to reduce the number of
calls.
"""

from __future__ import annotations

import enum

import attrs
import xxhash

from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.versions import evidence as evidence_lib

SPREAD_AT = 0.6  # Fraction of the duration after which all requests move.
COMPLETE_AT = 0.85  # Fraction after which the old version is retired.
# Target responses, over all hosts, before all requests move.
MIN_TARGET_RESPONSES = 12
# Seconds after its last counts record for which a host takes part in the turns.
ACTIVE_SECONDS = 8.0
TURN_SECONDS = 0.6  # Seconds that a host waits for each host ahead of it.


class Phase(enum.StrEnum):
    """Progress of a rollout."""

    TRIAL = "trial"
    SPREAD = "spread"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def is_final(self) -> bool:
        """Whether no other phase may follow."""
        return self in (Phase.COMPLETE, Phase.REVERTED)

    @property
    def rank(self) -> int:
        """Position in the sequence; if hosts disagree, the higher rank wins."""
        return tuple(Phase).index(self)


@attrs.frozen
class Order:
    """Order by an operator to roll out a version of a service.

    Attributes:
        service: Service to update.
        target: Version to roll out.
        duration: Duration of the rollout in seconds.
        number: Serial number of the position of the order record; increases
            with each order.
    """

    service: str
    target: str
    duration: float
    number: int

    @property
    def place(self) -> topics.Place:
        """Position of the order record."""
        return topics.place_from_serial(self.number)

    def has_same_content(self, other: Order) -> bool:
        """Returns whether both orders differ at most in their number."""
        return self == attrs.evolve(other, number=self.number)


@attrs.frozen
class PhaseRecord:
    """Record in the store of a phase that a rollout has reached.

    Attributes:
        service: Service that is rolled out.
        target: Version that is rolled out.
        number: Number of the rollout order.
        phase: Phase reached.
    """

    service: str
    target: str
    number: int
    phase: Phase

    def belongs_to(self, order: Order) -> bool:
        """Returns whether the record belongs to the rollout of an order.

        Eras are ignored: after the store was restored from a copy, orders keep
        their offsets, and phase records refer to the previous era.
        """
        return (self.service, self.target) == (
            order.service,
            order.target,
        ) and _is_same_order(self.number, order.number)

    def is_behind(self, other: PhaseRecord) -> bool:
        """Returns whether another record of the target is more advanced."""
        if _is_same_order(self.number, other.number):
            return self.phase.rank < other.phase.rank
        return self.number < other.number


def _is_same_order(number: int, other: int) -> bool:
    return (
        topics.place_from_serial(number).offset
        == topics.place_from_serial(other).offset
    )


def next_phase(
    phase: Phase,
    pooled: dict[str, evidence_lib.RouteEvidence],
    elapsed: float,
    *,
    is_doubted: bool = False,
) -> Phase | None:
    """Returns the phase to enter now, or None to wait.

    Args:
        phase: Current phase.
        pooled: Counts of all hosts, by route.
        elapsed: Fraction of the duration that has passed, from 0.
        is_doubted: Whether the target was found bad before. It has received no
            requests since then, so its counts cannot improve.
    """
    if phase.is_final:
        return None
    if is_doubted or evidence_lib.is_bad(pooled):
        return Phase.REVERTED
    if evidence_lib.is_doubtful(pooled):
        return None
    answers = sum(route.target.answers for route in pooled.values())
    if (
        phase is Phase.TRIAL
        and elapsed >= SPREAD_AT
        and answers >= MIN_TARGET_RESPONSES
    ):
        return Phase.SPREAD
    if phase is Phase.SPREAD and elapsed >= COMPLETE_AT:
        return Phase.COMPLETE
    return None


def turn_delay(host: str, hosts: list[str], number: int) -> float:
    """Returns the delay in seconds before ``host`` writes a phase."""
    return turn_rank(host, hosts, number) * TURN_SECONDS


def turn_rank(host: str, hosts: list[str], number: int) -> int:
    """Returns the rank of ``host`` in the order of turns, from 0."""

    def digest(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{number} {name}".encode())

    return sorted({*hosts, host}, key=digest).index(host)
