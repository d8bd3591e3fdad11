"""Metrics sent to statsd over UDP, and the list of all metrics."""

from __future__ import annotations

import enum

import attrs
import statsd

from hoistmoor.core import refusals
from hoistmoor.core.security import calls
from hoistmoor.utils import addresses

PREFIX = "hoistmoor"


class Kind(enum.StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    TIMING = "timing"  # Milliseconds.
    GAUGE = "gauge"


@attrs.frozen
class Metric:
    """Description of a metric.

    Attributes:
        name: Name without the prefix ``hoistmoor.``.
        kind: Type of the metric.
        meaning: What it counts or measures.
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

_GENERAL = (
    Metric("request.accepted", Kind.COUNTER, "Requests received by the entry."),
    Metric(
        "request.served", Kind.COUNTER, "Requests with a complete response."
    ),
    Metric(
        "request.cancelled",
        Kind.COUNTER,
        "Callers that disconnected before the end.",
    ),
    Metric("request.time", Kind.TIMING, "From arrival to the last byte."),
    Metric(
        "request.first_byte",
        Kind.TIMING,
        "Until the first byte of the response.",
    ),
    Metric("request.queued", Kind.TIMING, "Time in the admission queue."),
    Metric("attempt.sent", Kind.COUNTER, "Attempts sent to backend servers."),
    Metric("attempt.time", Kind.TIMING, "Duration of an attempt."),
    Metric(
        "attempt.late_frame",
        Kind.COUNTER,
        "Frames received after an attempt ended.",
    ),
    Metric(
        "cascade.escalated",
        Kind.COUNTER,
        "Responses escalated for low quality.",
    ),
    Metric("session.moved", Kind.COUNTER, "Sessions moved to another version."),
    Metric("once.claim", Kind.COUNTER, "Claims appended to the log."),
    Metric(
        "once.stored_answer", Kind.COUNTER, "Stored responses returned again."
    ),
    Metric("once.ticket", Kind.COUNTER, "Tickets issued."),
    Metric("bill.written", Kind.COUNTER, "Bills written to the log."),
    Metric("bill.held", Kind.COUNTER, "Bills held by a peer."),
    Metric("table.revision", Kind.GAUGE, "Revision of the active table."),
    Metric("log.append_time", Kind.TIMING, "Duration of an append."),
    Metric("log.failed", Kind.COUNTER, "Failed calls to the log."),
    Metric("peers.alive", Kind.GAUGE, "Hosts considered alive."),
    Metric("steward.acting", Kind.GAUGE, "1 while this steward is active."),
    Metric("steward.order", Kind.COUNTER, "Orders sent to engines."),
)

_REFUSALS = tuple(
    Metric(f"refusal.{reason}", Kind.COUNTER, f"Refusals: {rule.remedy}")
    for reason, rule in refusals.RULES.items()
)

_RETRIES = tuple(
    Metric(f"retry.{reason}", Kind.COUNTER, f"Retried attempts: {reason}.")
    for reason in RETRY_REASONS
)

_PEERS = tuple(
    Metric(
        f"peer.refused.{why}", Kind.COUNTER, f"Refused calls of peers: {why}."
    )
    for why in calls.RejectionReason
)

METRICS = {
    metric.name: metric
    for metric in (*_GENERAL, *_REFUSALS, *_RETRIES, *_PEERS)
}


class Metrics:
    """Sends metrics; does nothing without an address.

    UDP datagrams without a receiver are lost, which is harmless. All names must
    be listed in ``METRICS``, which a test checks.

    Args:
        address: ``ip:port`` of statsd; empty to send nothing.
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
        """Sends a duration in milliseconds."""
        if self.client:
            self.client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Sends the current value of a gauge."""
        if self.client:
            self.client.gauge(name, value)

    def refusal(self, reason: refusals.Reason) -> None:
        """Counts a refusal under its reason."""
        self.count(f"refusal.{reason}")

    def retry(self, reason: refusals.Reason) -> None:
        """Counts a retried attempt under its reason."""
        self.count(f"retry.{reason}")

    def peer_refusal(self, why: calls.RejectionReason) -> None:
        """Counts a refused call of a peer under its reason."""
        self.count(f"peer.refused.{why}")

    def close(self) -> None:
        """Closes the socket."""
        if self.client:
            self.client.close()
