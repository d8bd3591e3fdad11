"""What is held against one request: the ends of servers that ran it."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import runs as runs_lib

# Servers that a request has ended, just as its run had begun, until it is
# refused. One may be chance. With three, two tries at two hosts at once ended
# all of six servers and lost all of 48 neighbours in four of five runs; with
# two, four servers and none (3 real relays, engines that reset connections).
STARTS_TO_QUARANTINE = 2
# Seconds from a run's begin to the server's end within which it may be the
# cause; a request that ends a server does so as it begins to run.
AT_BEGIN = 1.0
MOST_ENDS = 8  # Newest ones that are kept of a request.

# How likely a request is the cause of a server's end: whether it is refused,
# whether its run had just begun there, and at how many ends it was.
Weight = tuple[bool, bool, int]
NO_WEIGHT: Weight = (False, False, 0)


@attrs.frozen
class Suspect:
    """What is held against one request, as hosts tell it.

    Attributes:
        fingerprint: Of the request.
        ends: How far its run had come, by the identity of the server that
            ended; the newest last.
        cleared: Servers whose ends count no more, as it was answered since.
        is_quarantined: Whether it is refused.
        age: Seconds since its newest end.
    """

    fingerprint: str
    ends: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    cleared: tuple[str, ...] = ()
    is_quarantined: bool = False
    age: float = 0.0


@attrs.define(eq=False)
class SuspectState:
    """One suspect, as this host knows it.

    Attributes:
        fingerprint: Of the request.
        ends: As in ``Suspect``.
        learnt: Steady time at which each end was learnt, by its server.
        cleared: As in ``Suspect``.
        is_quarantined: Whether it is refused.
        newest: Steady time of its newest end.
        serial: Grows with each change, over all suspects.
    """

    fingerprint: str
    newest: float
    ends: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    learnt: dict[str, float] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    is_quarantined: bool = False
    serial: int = 0

    @property
    def counted(self) -> list[str]:
        """Servers whose ends are held against it."""
        return [each for each in self.ends if each not in self.cleared]

    @property
    def starts(self) -> list[str]:
        """Those of them that ended as its run had begun."""
        return [
            each
            for each in self.counted
            if self.ends[each] is runs_lib.Stage.BEGUN
        ]

    def clear(self, servers: set[str]) -> None:
        """Counts some ends no more; without any left it is not refused."""
        self.cleared |= servers
        if not self.counted:
            self.is_quarantined = False

    def confirms(self, told: Suspect) -> bool:
        """Returns whether what quarantined it elsewhere counts here."""
        counted = set(told.ends) - self.cleared
        return told.is_quarantined and len(counted) >= STARTS_TO_QUARANTINE

    def add(self, server: str, stage: runs_lib.Stage, now: float) -> bool:
        """Takes a server's end; returns whether that is new, or weighs more."""
        known = self.ends.get(server)
        if known is runs_lib.Stage.BEGUN or known is stage:
            return False
        if known is not None and stage is not runs_lib.Stage.BEGUN:
            return False
        self.ends[server] = stage
        self.learnt.setdefault(server, now)
        if len(self.ends) > MOST_ENDS:
            oldest = next(iter(self.ends))
            del self.ends[oldest], self.learnt[oldest]
            self.cleared.discard(oldest)
        return True

    def weight(self, server: str) -> Weight:
        """Returns how likely it is the cause of a server's end."""
        is_start = self.ends[server] is runs_lib.Stage.BEGUN
        return self.is_quarantined, is_start, len(self.counted)

    def told(self, now: float) -> Suspect:
        """Returns it as it is told to other hosts."""
        return Suspect(
            self.fingerprint,
            dict(self.ends),
            tuple(sorted(self.cleared)),
            self.is_quarantined,
            now - self.newest,
        )


def stage_of(run: runs_lib.Run, now: float) -> runs_lib.Stage | None:
    """Returns what a run says when its server ends; None for nothing.

    A small model's answer that was dropped for a larger one had begun too. What
    became of a run that was given up is not known, so it says little.
    """
    is_at_begin = run.lasted(now) <= AT_BEGIN
    if run.stage is runs_lib.Stage.GIVING and not is_at_begin:
        return None
    if run.stage is not runs_lib.Stage.BEGUN:
        return run.stage
    if run.was_given_up or not is_at_begin:
        return runs_lib.Stage.WAITING
    return run.stage
