"""Decides whether this host's active table may still be the newest.

A host that can read the log receives every edit. Without the log, it continues
to accept work as long as it reaches a majority of the entry hosts and none of
them has a newer table: the log is then most likely down for all hosts, and no
edit is accepted anywhere.
"""

from __future__ import annotations

import enum

import attrs


class Reason(enum.StrEnum):
    """Reason for a freshness result."""

    LOG_HEARD = "log heard"
    PEERS_HEARD = "log silent, majority of hosts heard"
    ALONE = "log silent, no other host expected"
    CUT_OFF = "log silent, majority of hosts not heard"
    BEHIND = "log silent, a peer has a newer table"


@attrs.frozen
class Freshness:
    """Whether the table is fresh, and the reason."""

    is_fresh: bool
    why: Reason


@attrs.frozen
class Evidence:
    """The observations from which freshness is determined.

    Attributes:
        log_silence: Seconds since the last contact with the log.
        log_bound: Maximum ``log_silence`` for which the log alone decides.
        list_read: Whether the platform's host list has ever been read.
        expected: Number of other hosts that count towards the majority.
        not_dead: Number of expected hosts not known to be dead.
        alive: Number of expected hosts that are alive and not suspected.
        probed: Number of expected hosts, not known to be dead, that were
            pinged recently.
        answered: Number of probed hosts that answered.
        heard_for: Seconds for which a majority has been reachable without
            interruption.
        heard_bound: Minimum ``heard_for``. The few pinged hosts are a sample
            that may overestimate the hosts in reach, and it does so right
            after many hosts have died.
        is_behind: Whether a peer's newer table could not be fetched in time.
    """

    log_silence: float
    log_bound: float
    list_read: bool
    expected: int
    not_dead: int
    alive: int
    probed: int
    answered: int
    heard_for: float
    heard_bound: float
    is_behind: bool


def assess(evidence: Evidence) -> Freshness:
    """Returns whether the table is fresh enough to accept new work."""
    if evidence.log_silence <= evidence.log_bound:
        return Freshness(True, Reason.LOG_HEARD)
    if evidence.is_behind:
        return Freshness(False, Reason.BEHIND)
    if evidence.expected == 0 and evidence.list_read:
        return Freshness(True, Reason.ALONE)
    is_sustained = evidence.heard_for >= evidence.heard_bound
    if is_sustained and reaches_majority(evidence):
        return Freshness(True, Reason.PEERS_HEARD)
    return Freshness(False, Reason.CUT_OFF)


def reaches_majority(evidence: Evidence) -> bool:
    """Returns whether a majority of the expected hosts is reachable.

    The number of reachable hosts is estimated in two ways, and the lower
    estimate is used. Extrapolating from the few recently pinged hosts to all
    that are not known to be dead is fast but imprecise. Counting the hosts that
    are alive in this host's view is precise, as the view combines what all
    reachable hosts have detected, but takes several periods.
    """
    if evidence.probed == 0:
        return False
    sampled = evidence.not_dead * evidence.answered / evidence.probed
    hosts = evidence.expected + 1
    return 2 * (min(sampled, evidence.alive) + 1) > hosts
