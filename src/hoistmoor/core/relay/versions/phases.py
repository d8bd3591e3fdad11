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
from hoistmoor.core.relay.versions import exposure as exposure_lib
from hoistmoor.core.relay.versions import verdicts

# Fractions of the duration between which the share of the target version grows
# to all requests, once it is found sound.
SPREAD_AT = 0.6
ALL_AT = 0.75
COMPLETE_AT = 0.85  # Fraction after which the old version is retired.
# Fraction after which a target in trial that is likely bad is withdrawn.
DECIDE_AT = 0.9
# Seconds after its last counts record for which a host takes part in the turns.
ACTIVE_SECONDS = 8.0
TURN_SECONDS = 0.6  # Seconds that a host waits for each host ahead of it.
UNKNOWN_EXPOSURE = exposure_lib.Exposure()


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


# The phase that follows, the fraction of the duration at which it begins, and
# the verdict it requires. A target that spreads was proved on each route.
_NEXT_PHASES = {
    Phase.TRIAL: (Phase.SPREAD, SPREAD_AT, verdicts.Verdict.SOUND),
    Phase.SPREAD: (Phase.COMPLETE, COMPLETE_AT, verdicts.Verdict.LIKELY_SOUND),
}


def _is_same_order(number: int, other: int) -> bool:
    return (
        topics.place_from_serial(number).offset
        == topics.place_from_serial(other).offset
    )


def next_phase(
    phase: Phase,
    pooled: dict[str, evidence_lib.RouteEvidence],
    elapsed: float,
    exposure: exposure_lib.Exposure = UNKNOWN_EXPOSURE,
    *,
    is_doubted: bool = False,
) -> Phase | None:
    """Returns the phase to enter now, or None to wait.

    Args:
        phase: Current phase.
        pooled: Counts of all hosts, by route.
        elapsed: Fraction of the duration that has passed, from 0.
        exposure: Requests that the target has got and may get.
        is_doubted: Whether the target was found bad before. It has received no
            requests since then, so its counts cannot improve.
    """
    if phase.is_final:
        return None
    verdict = verdicts.judge(pooled)
    if is_doubted or verdict is verdicts.Verdict.BAD:
        return Phase.REVERTED
    is_last_chance = _is_last_chance(phase, elapsed, exposure)
    if is_last_chance and verdict is verdicts.Verdict.LIKELY_BAD:
        return Phase.REVERTED
    following, begin, required = _NEXT_PHASES[phase]
    if phase is Phase.TRIAL and exposure.allows_all:
        # With few requests, a trial alone would prove no route in time.
        required = verdicts.Verdict.LIKELY_SOUND
    if elapsed >= begin and verdict >= required:
        return following
    return None


def _is_last_chance(
    phase: Phase, elapsed: float, exposure: exposure_lib.Exposure
) -> bool:
    """Returns whether a target that is likely bad must be withdrawn."""
    if phase is Phase.TRIAL:
        return elapsed >= DECIDE_AT
    return not exposure.allows(exposure_lib.REACTION_SECONDS)


def target_share(phase: Phase, trial_share: float, elapsed: float) -> float:
    """Returns the fraction of sessions that use the target version.

    It depends on the age of the order alone, so that hosts agree on it. A phase
    that begins late has a higher share from its start.

    Args:
        phase: Current phase.
        trial_share: Fraction of the sessions during the trial.
        elapsed: Fraction of the duration that has passed, from 0.
    """
    if phase is not Phase.SPREAD:
        return trial_share
    progress = (elapsed - SPREAD_AT) / (ALL_AT - SPREAD_AT)
    return trial_share + (1.0 - trial_share) * min(1.0, max(0.0, progress))


def turn_delay(host: str, hosts: list[str], number: int) -> float:
    """Returns the delay in seconds before ``host`` writes a phase."""
    return turn_rank(host, hosts, number) * TURN_SECONDS


def turn_rank(host: str, hosts: list[str], number: int) -> int:
    """Returns the rank of ``host`` in the order of turns, from 0."""

    def digest(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{number} {name}".encode())

    return sorted({*hosts, host}, key=digest).index(host)
