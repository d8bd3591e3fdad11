"""Servers that owe this host responses and have fallen silent.

Answers servers whose processes stand still for seconds: their kernels go on
taking requests, which are read when the process goes on, long after their
callers have been served elsewhere, and with the time that was left when they
were written. What bounds that work is how soon hosts stop sending.

A server counts as quiet once nothing has arrived from it, on any connection,
for longer than it usually takes (a retransmission timeout as in RFC 6298). Its
health path is then requested. While it does not respond to that at once,
others are preferred. One that is slow, as an engine that reads a long prompt,
responds.

Where no other is left, requests are sent all the same: nobody knows when a
server goes on, and it answers what it then finds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.answers import response_times

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib

# Seconds without a response before a server may count as quiet. A process on a
# busy machine may wait that long for its turn.
MIN_PATIENCE = 0.25
# The same as a fraction of the target latency of the route: a response within
# the target needs no other server.
TARGET_FRACTION = 0.5
# Seconds since the latest bytes of a server for which it counts as responding.
RESPONDING_SECONDS = 0.5
# Weights of the newest quiet time in the mean and in the deviation, and the
# deviations beyond the mean that are usual (RFC 6298, section 2).
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
USUAL_DEVIATIONS = 4.0
# Seconds without a response to a probe from which other servers are preferred,
# and from which a server is reported as silent.
SUSPICION_SECONDS = 0.05
CONFIRMATION_SECONDS = 1.0
# Seconds between probes that could not be sent.
PROBE_INTERVAL = 0.5
# Seconds after its latest request for which a server that cannot be probed
# counts as quiet.
FORGETTING_SECONDS = 1.0

# Outcomes of requests that the server has responded to, or whose connection it
# has closed.
_RESPONSES = frozenset(
    {
        response_times.AttemptOutcome.WELL,
        response_times.AttemptOutcome.FAILED,
        response_times.AttemptOutcome.FULL,
        response_times.AttemptOutcome.REPLACED,
    }
)
# Outcomes that leave it open whether the server still responds.
_INCONCLUSIVE = frozenset(
    {
        response_times.AttemptOutcome.SILENT,
        response_times.AttemptOutcome.LEFT,
    }
)


@attrs.define
class SilenceState:
    """What one server owes to this host. All times are monotonic.

    Attributes:
        outstanding: Requests of this host at the server.
        quiet_since: Time since which the server has owed a response and
            nothing has arrived from it; None if it owes none.
        mean: Mean quiet time in seconds; 0 before the first.
        deviation: Mean deviation of the quiet times.
        floor: Seconds that are always allowed for the routes in use.
        probed_at: Time at which the probe that is on its way was sent; None
            if there is none.
        next_probe_at: Time before which no other probe is sent.
        heard_at: Time of the latest bytes from the server.
        ended_at: Time at which the latest request ended.
    """

    outstanding: int = 0
    quiet_since: float | None = None
    mean: float = 0.0
    deviation: float = 0.0
    floor: float = MIN_PATIENCE
    probed_at: float | None = None
    next_probe_at: float = float("-inf")
    heard_at: float = float("-inf")
    ended_at: float = float("-inf")

    @property
    def patience(self) -> float:
        """Seconds after which the server counts as quiet."""
        usual = self.mean + USUAL_DEVIATIONS * self.deviation
        return max(self.floor, usual)

    def is_quiet(self, now: float) -> bool:
        """Returns whether the server has been quiet for unusually long."""
        if self.quiet_since is None:
            return False
        if not self.outstanding and self.probed_at is None:
            return now - self.ended_at < FORGETTING_SECONDS
        return now - self.quiet_since > self.patience

    def is_responding(self, now: float) -> bool:
        """Returns whether bytes have just arrived from the server."""
        return now - self.heard_at < RESPONDING_SECONDS

    def is_suspected(self, now: float) -> bool:
        """Returns whether it has not responded to a probe at once."""
        if self.probed_at is None:
            return False
        return now - self.probed_at > SUSPICION_SECONDS

    def is_silent(self, now: float) -> bool:
        """Returns whether it has not responded to a probe for long."""
        if self.probed_at is None:
            return False
        return now - self.probed_at > CONFIRMATION_SECONDS

    def record_sent(self, target: float, now: float) -> None:
        """Records a request.

        Args:
            target: Target latency of its route in seconds.
            now: Monotonic time.
        """
        owes_nothing = not self.outstanding and not self.is_quiet(now)
        if self.quiet_since is None or owes_nothing:
            self.quiet_since = now
        self.outstanding += 1
        self.floor = max(self.floor, TARGET_FRACTION * target)

    def record_heard(self, now: float) -> None:
        """Records that bytes of a response have arrived."""
        # A stop of the server says nothing about its usual times.
        if self.quiet_since is not None and not self.is_silent(now):
            self._add_sample(now - self.quiet_since)
        self.quiet_since = now if self.outstanding else None
        self.probed_at = None
        self.heard_at = now

    def _add_sample(self, seconds: float) -> None:
        if not self.mean:
            self.mean = seconds
            self.deviation = seconds / 2.0
            return
        error = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    def record_end(
        self, outcome: response_times.AttemptOutcome, now: float
    ) -> None:
        """Records the end of a request."""
        is_open = outcome in _INCONCLUSIVE and self.is_quiet(now)
        self.outstanding -= 1
        self.ended_at = now
        if outcome in _RESPONSES:
            self.record_heard(now)
        elif not self.outstanding and not is_open:
            self.quiet_since = self.probed_at = None


class SilenceTable:
    """Servers that owe responses to this host."""

    def __init__(self) -> None:
        self._owing: dict[str, server_lib.ServerState] = {}

    def record_sent(
        self, server: server_lib.ServerState, target: float, now: float
    ) -> None:
        """Records a request over this host's own link.

        Args:
            server: The server.
            target: Target latency of the route in seconds.
            now: Monotonic time.
        """
        server.silence.record_sent(target, now)
        self._owing[server.entry.identity] = server

    def record_end(
        self,
        server: server_lib.ServerState,
        outcome: response_times.AttemptOutcome,
        now: float,
    ) -> None:
        """Records the end of such a request."""
        server.silence.record_end(outcome, now)
        self._drop_if_settled(server)

    def record_heard(self, server: server_lib.ServerState, now: float) -> bool:
        """Records bytes from a server; returns whether it was silent."""
        was_silent = server.silence.is_silent(now)
        server.silence.record_heard(now)
        self._drop_if_settled(server)
        return was_silent

    def _drop_if_settled(self, server: server_lib.ServerState) -> None:
        if server.silence.quiet_since is None:
            self._owing.pop(server.entry.identity, None)

    def due_probes(self, now: float) -> list[server_lib.ServerState]:
        """Returns the servers to probe now; each has one probe at a time."""
        due = [
            server
            for server in self._owing.values()
            if server.silence.probed_at is None
            and server.silence.is_quiet(now)
            and now >= server.silence.next_probe_at
        ]
        for server in due:
            server.silence.probed_at = now
        return due

    def record_probe_failed(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        """Records that a probe ended without showing anything.

        A server that accepts no connection, or closes it, is judged by that.
        """
        server.silence.probed_at = None
        server.silence.next_probe_at = now + PROBE_INTERVAL
        if not server.silence.outstanding:
            server.silence.quiet_since = None
        self._drop_if_settled(server)
