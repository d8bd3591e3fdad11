"""Counters and timings over UDP to statsd, and the list of all of them."""

from __future__ import annotations

import enum

import attrs
import statsd

from hoistmoor.core import refusals
from hoistmoor.core.security import calls
from hoistmoor.utils import addresses

PREFIX = "hoistmoor"


class Kind(enum.StrEnum):
    """How a metric is sent."""

    COUNTER = "counter"
    TIMING = "timing"  # Milliseconds.
    GAUGE = "gauge"


@attrs.frozen
class Metric:
    """One line of the list.

    Attributes:
        name: Name below the prefix ``hoistmoor.``.
        kind: How it is sent.
        meaning: What one unit of it says.
    """

    name: str
    kind: Kind
    meaning: str


RETRY_REASONS = (
    refusals.Reason.BACKEND_UNREACHABLE,
    refusals.Reason.BACKEND_DECLINED,
    refusals.Reason.BACKEND_CUT,
    refusals.Reason.BACKEND_ERROR,
)

_PLAIN = (
    Metric(
        "request.accepted", Kind.COUNTER, "Requests that reached the entry."
    ),
    Metric("request.served", Kind.COUNTER, "Requests with a whole answer."),
    Metric("request.cancelled", Kind.COUNTER, "Callers gone before the end."),
    Metric("request.time", Kind.TIMING, "From arrival to the last byte."),
    Metric("request.first_byte", Kind.TIMING, "Until the answer's first byte."),
    Metric("request.queued", Kind.TIMING, "Time in the admission queue."),
    Metric("attempt.sent", Kind.COUNTER, "Attempts at backend servers."),
    Metric("attempt.time", Kind.TIMING, "Length of one attempt."),
    Metric("attempt.late_frame", Kind.COUNTER, "Frames of ended attempts."),
    Metric("cascade.escalated", Kind.COUNTER, "Answers judged too poor."),
    Metric("session.moved", Kind.COUNTER, "Sessions put on another version."),
    Metric("once.claim", Kind.COUNTER, "Claims put on the log."),
    Metric("once.stored_answer", Kind.COUNTER, "Answers given a second time."),
    Metric("once.ticket", Kind.COUNTER, "Tickets issued."),
    Metric("bill.written", Kind.COUNTER, "Bills on the log."),
    Metric("bill.held", Kind.COUNTER, "Bills held by a peer."),
    Metric("table.revision", Kind.GAUGE, "Revision of the table in force."),
    Metric("log.append_time", Kind.TIMING, "Length of one append."),
    Metric("log.failed", Kind.COUNTER, "Calls to the log that failed."),
    Metric("peers.alive", Kind.GAUGE, "Hosts thought alive."),
    Metric("steward.acting", Kind.GAUGE, "1 while this steward acts."),
    Metric("steward.order", Kind.COUNTER, "Orders sent to engines."),
)

_REFUSALS = tuple(
    Metric(f"refusal.{reason}", Kind.COUNTER, f"Refusals: {rule.remedy}")
    for reason, rule in refusals.RULES.items()
)

_RETRIES = tuple(
    Metric(f"retry.{reason}", Kind.COUNTER, f"Attempts repeated: {reason}.")
    for reason in RETRY_REASONS
)

_PEERS = tuple(
    Metric(f"peer.refused.{why}", Kind.COUNTER, f"Peers' calls refused: {why}.")
    for why in calls.RejectionReason
)

METRICS = {
    metric.name: metric for metric in (*_PLAIN, *_REFUSALS, *_RETRIES, *_PEERS)
}


class Metrics:
    """Sends metrics; does nothing without an address.

    A UDP datagram that nobody reads is lost without harm. Names should stand
    in ``METRICS``; a test holds the sources to that.

    Args:
        address: ``ip:port`` of statsd, or empty.
    """

    def __init__(self, address: str = "") -> None:
        self.client: statsd.StatsClient | None = None
        if address:
            target = addresses.parse(address)
            self.client = statsd.StatsClient(
                target.ip, target.port, prefix=PREFIX, ipv6=":" in target.ip
            )

    def count(self, name: str, n: int = 1) -> None:
        """Adds ``n`` to a counter."""
        if self.client:
            self.client.incr(name, n)

    def timing(self, name: str, ms: float) -> None:
        """Reports a duration in milliseconds."""
        if self.client:
            self.client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Reports a current value."""
        if self.client:
            self.client.gauge(name, value)

    def refusal(self, reason: refusals.Reason) -> None:
        """Counts a refusal under its reason."""
        self.count(f"refusal.{reason}")

    def retry(self, reason: refusals.Reason) -> None:
        """Counts a repeated attempt under its reason."""
        self.count(f"retry.{reason}")

    def peer_refusal(self, why: calls.RejectionReason) -> None:
        """Counts a peer's call that was refused under its reason."""
        self.count(f"peer.refused.{why}")

    def close(self) -> None:
        """Closes the socket."""
        if self.client:
            self.client.close()
