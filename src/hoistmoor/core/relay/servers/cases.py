"""What is held against one request: the ends of servers that ran it."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import runs as runs_lib

# Servers that a request has ended, as its run had begun, until it is refused.
# One may be chance; a third one would cost a service of six half its servers.
CONVICTING_STARTS = 2
# Seconds from a run's begin to the server's end within which it may be the
# cause; a request that ends a server does so as it begins to run.
AT_BEGIN = 1.0
MOST_STRIKES = 8  # Newest ones that are kept of a request.

# How likely a request is the cause of a server's end: whether it is refused,
# whether its run had just begun there, and at how many ends it was.
Weight = tuple[bool, bool, int]
NO_WEIGHT: Weight = (False, False, 0)


@attrs.frozen
class Suspect:
    """What is held against one request, as hosts tell it.

    Attributes:
        fingerprint: Of the request.
        strikes: How far its run had come, by the identity of the server that
            ended; the newest last.
        void: Servers whose ends count no more, as it was answered since.
        is_refused: Whether it was convicted.
        age: Seconds since its newest strike.
    """

    fingerprint: str
    strikes: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    void: tuple[str, ...] = ()
    is_refused: bool = False
    age: float = 0.0


@attrs.define(eq=False)
class Case:
    """One suspect, as this host knows it.

    Attributes:
        fingerprint: Of the request.
        strikes: As in ``Suspect``.
        learnt: Steady time at which each strike was learnt, by its server.
        void: As in ``Suspect``.
        is_refused: Whether it was convicted.
        newest: Steady time of its newest strike.
        serial: Grows with each change, over all cases.
    """

    fingerprint: str
    newest: float
    strikes: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    learnt: dict[str, float] = attrs.field(factory=dict)
    void: set[str] = attrs.field(factory=set)
    is_refused: bool = False
    serial: int = 0

    @property
    def counted(self) -> list[str]:
        """Servers whose ends are held against it."""
        return [each for each in self.strikes if each not in self.void]

    @property
    def starts(self) -> list[str]:
        """Those of them that ended as its run had begun."""
        return [
            each
            for each in self.counted
            if self.strikes[each] is runs_lib.Stage.BEGUN
        ]

    def clear(self, servers: set[str]) -> None:
        """Voids the ends of some servers; without any left it is innocent."""
        self.void |= servers
        if not self.counted:
            self.is_refused = False

    def confirms(self, told: Suspect) -> bool:
        """Returns whether what convicted it elsewhere counts here."""
        counted = set(told.strikes) - self.void
        return told.is_refused and len(counted) >= CONVICTING_STARTS

    def add(self, server: str, stage: runs_lib.Stage, now: float) -> bool:
        """Takes a strike; returns whether it is new, or weighs more."""
        known = self.strikes.get(server)
        if known is runs_lib.Stage.BEGUN or known is stage:
            return False
        if known is not None and stage is not runs_lib.Stage.BEGUN:
            return False
        self.strikes[server] = stage
        self.learnt.setdefault(server, now)
        if len(self.strikes) > MOST_STRIKES:
            oldest = next(iter(self.strikes))
            del self.strikes[oldest], self.learnt[oldest]
            self.void.discard(oldest)
        return True

    def weight(self, server: str) -> Weight:
        """Returns how likely it is the cause of a server's end."""
        is_start = self.strikes[server] is runs_lib.Stage.BEGUN
        return self.is_refused, is_start, len(self.counted)

    def told(self, now: float) -> Suspect:
        """Returns it as it is told to other hosts."""
        return Suspect(
            self.fingerprint,
            dict(self.strikes),
            tuple(sorted(self.void)),
            self.is_refused,
            now - self.newest,
        )


def strike_of(run: runs_lib.Run, now: float) -> runs_lib.Stage | None:
    """Returns what a run says when its server ends; None for nothing."""
    is_at_begin = run.lasted(now) <= AT_BEGIN
    if run.stage is runs_lib.Stage.GIVING and not is_at_begin:
        return None
    if run.stage is runs_lib.Stage.BEGUN and not is_at_begin:
        return runs_lib.Stage.WAITING
    return run.stage
