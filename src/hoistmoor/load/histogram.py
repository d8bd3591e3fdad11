"""Latency histograms with microsecond resolution."""

from __future__ import annotations

from hdrh import histogram as hdrh

_MIN_US = 1
_MAX_US = 600_000_000  # 10 minutes.
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000.0


class Histogram:
    """Latencies in milliseconds, stored in microseconds."""

    def __init__(self) -> None:
        self.counts = hdrh.HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)

    def add(self, ms: float) -> None:
        """Records a latency in milliseconds."""
        us = max(_MIN_US, min(_MAX_US, int(ms * _US_PER_MS)))
        self.counts.record_value(us)

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self.counts.get_total_count())

    def value_at(self, percentile: float) -> float:
        """Returns the latency in milliseconds at a percentile."""
        return float(
            self.counts.get_value_at_percentile(percentile) / _US_PER_MS
        )
