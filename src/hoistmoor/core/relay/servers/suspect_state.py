"""Evidence against one request: the servers that ended while running it.

An end is a crash or any other termination of a server's incarnation.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import runs as runs_lib

# A request is quarantined once this many servers have ended just as a run of it
# had begun. A single end may be a coincidence. With three, two simultaneous
# attempts at two hosts ended all of six servers, and all of 48 requests beside
# them were lost in four of five runs. With two, they ended four servers, and no
# request was lost (3 real relays, engines that reset connections).
STARTS_TO_QUARANTINE = 2
# Seconds from the start of a run within which it may be the cause of a server's
# end. A request that crashes a server does so as it begins to run.
MAX_START_SECONDS = 1.0
MAX_ENDS = 8  # Latest ends that are stored for a request.

# Likelihood that a request caused a server's end, compared in this order:
# whether it is quarantined, whether its run had just begun there, and at how
# many ends it was present.
Weight = tuple[bool, bool, int]
NO_WEIGHT: Weight = (False, False, 0)


@attrs.frozen
class Suspect:
    """Evidence against one request, as hosts send it to one another.

    Attributes:
        fingerprint: Fingerprint of the request.
        ends: Stage that its run had reached, by identity of the server that
            ended; the latest end is last.
        cleared: Servers whose ends no longer count, because the request has
            been completed since.
        is_quarantined: Whether it is refused.
        age: Seconds since the latest end.
    """

    fingerprint: str
    ends: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    cleared: tuple[str, ...] = ()
    is_quarantined: bool = False
    age: float = 0.0


@attrs.define(eq=False)
class SuspectState:
    """Evidence against one request, as known to this host.

    Attributes:
        fingerprint: Fingerprint of the request.
        latest_end_at: Monotonic time of the latest end.
        ends: See ``Suspect.ends``.
        learned_at: Monotonic time at which this host learned of each end, by
            server.
        cleared: See ``Suspect.cleared``.
        is_quarantined: Whether it is refused.
        serial: Serial of its latest change; increases over all suspects.
    """

    fingerprint: str
    latest_end_at: float
    ends: dict[str, runs_lib.Stage] = attrs.field(factory=dict)
    learned_at: dict[str, float] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    is_quarantined: bool = False
    serial: int = 0

    @property
    def counted_ends(self) -> list[str]:
        """Servers whose ends count against the request."""
        return [server for server in self.ends if server not in self.cleared]

    @property
    def ends_at_start(self) -> list[str]:
        """Servers in ``counted_ends`` that ended just as its run had begun."""
        return [
            server
            for server in self.counted_ends
            if self.ends[server] is runs_lib.Stage.BEGUN
        ]

    def clear(self, servers: set[str]) -> None:
        """Discards some ends; lifts the quarantine if none are left."""
        self.cleared |= servers
        if not self.counted_ends:
            self.is_quarantined = False

    def confirms(self, suspect: Suspect) -> bool:
        """Returns whether another host's quarantine is valid here too."""
        counted = set(suspect.ends) - self.cleared
        return suspect.is_quarantined and len(counted) >= STARTS_TO_QUARANTINE

    def add(self, server: str, stage: runs_lib.Stage, now: float) -> bool:
        """Adds a server's end; returns whether it is new or weighs more."""
        known = self.ends.get(server)
        if known is runs_lib.Stage.BEGUN or known is stage:
            return False
        if known is not None and stage is not runs_lib.Stage.BEGUN:
            return False
        self.ends[server] = stage
        self.learned_at.setdefault(server, now)
        if len(self.ends) > MAX_ENDS:
            oldest = next(iter(self.ends))
            del self.ends[oldest], self.learned_at[oldest]
            self.cleared.discard(oldest)
        return True

    def weight(self, server: str) -> Weight:
        """Returns the likelihood that it caused a server's end."""
        had_just_begun = self.ends[server] is runs_lib.Stage.BEGUN
        return self.is_quarantined, had_just_begun, len(self.counted_ends)

    def to_suspect(self, now: float) -> Suspect:
        """Returns the evidence to send to other hosts."""
        return Suspect(
            self.fingerprint,
            dict(self.ends),
            tuple(sorted(self.cleared)),
            self.is_quarantined,
            now - self.latest_end_at,
        )


def stage_of(run: runs_lib.Run, now: float) -> runs_lib.Stage | None:
    """Returns the stage to record when a run's server ends; None to ignore it.

    The outcome of an abandoned run is unknown, so it counts as weak evidence.
    For example, a small model's response that is dropped in favour of a larger
    model's has begun as well.
    """
    is_at_begin = run.response_duration(now) <= MAX_START_SECONDS
    if run.stage is runs_lib.Stage.GIVING and not is_at_begin:
        return None
    if run.stage is not runs_lib.Stage.BEGUN:
        return run.stage
    if run.was_abandoned or not is_at_begin:
        return runs_lib.Stage.WAITING
    return run.stage
