"""Summarizes the results of a load run by kind of request."""

from __future__ import annotations

import collections

import attrs

from hoistmoor.load import calls
from hoistmoor.load import histogram

_HEADER = (
    f"{'kind':<16}{'sent':>7}{'served':>8}{'p50 ms':>9}{'p95 ms':>9}"
    f"{'p99 ms':>9}  refused"
)


@attrs.define
class KindSummary:
    """The summary of one kind of request.

    Attributes:
        sent: Requests that ended, with any result.
        served: Requests with a complete response.
        latency: Latencies of served requests.
        refusals: Counts of unserved requests by ``reason/outcome``.
        choices: Counts of served requests by version and reason of the choice.
    """

    sent: int = 0
    served: int = 0
    latency: histogram.Histogram = attrs.field(factory=histogram.Histogram)
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    choices: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, result: calls.RequestResult) -> None:
        """Adds the result of a request."""
        self.sent += 1
        if not result.served:
            self.refusals[f"{result.reason}/{result.outcome}"] += 1
            return
        self.served += 1
        self.choices[f"{result.version}: {result.why}"] += 1
        self.latency.add(result.latency_ms)


class Report:
    """The summaries of a whole run."""

    def __init__(self) -> None:
        self.kinds: dict[str, KindSummary] = {}
        self.served_ids: set[str] = set()
        self.frames = 0

    def add(self, result: calls.RequestResult) -> None:
        """Adds the result of a request."""
        self.kinds.setdefault(result.kind, KindSummary()).add(result)
        self.frames += result.frames
        if result.served:
            self.served_ids.add(result.request_id)

    def lines(self) -> list[str]:
        """Returns the report as lines of text."""
        return [_HEADER, *map(_line, sorted(self.kinds.items()))]

    def choice_lines(self) -> list[str]:
        """Returns the versions that served each kind, with the reasons."""
        return [
            f"{kind:<16}{count:>7}  {choice}"
            for kind, summary in sorted(self.kinds.items())
            for choice, count in summary.choices.most_common()
        ]


def _line(item: tuple[str, KindSummary]) -> str:
    kind, summary = item
    p50, p95, p99 = (
        summary.latency.value_at(percentile) for percentile in (50, 95, 99)
    )
    refused = ", ".join(
        f"{reason} {count}" for reason, count in summary.refusals.most_common()
    )
    return (
        f"{kind:<16}{summary.sent:>7}{summary.served:>8}{p50:>9.2f}"
        f"{p95:>9.2f}{p99:>9.2f}  {refused}"
    ).rstrip()
