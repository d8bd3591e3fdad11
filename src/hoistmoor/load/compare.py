"""Measures the latency that an entry adds to direct calls.

Direct calls and calls through the entry alternate sequentially in one run, so
that both are measured under the same machine conditions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.load import calls
from hoistmoor.load import histogram

if TYPE_CHECKING:
    from hoistmoor.load import caller as caller_lib

_PERCENTILES = (50.0, 99.0)


@attrs.frozen
class CallPair:
    """A call to a backend server and its counterpart through an entry.

    Attributes:
        direct_url: Base URL of the backend server.
        direct: The direct call.
        entry_url: Base URL of the entry.
        through: The call through the entry.
    """

    direct_url: str
    direct: calls.Call
    entry_url: str
    through: calls.Call


@attrs.define
class Comparison:
    """Latencies of both paths.

    Attributes:
        kind: Kind of the calls.
        direct: Latencies of direct calls.
        through: Latencies through the entry.
        failed_pairs: Pairs in which either call was not served; they are
            excluded.
    """

    kind: str
    direct: histogram.Histogram = attrs.field(factory=histogram.Histogram)
    through: histogram.Histogram = attrs.field(factory=histogram.Histogram)
    failed_pairs: int = 0

    def lines(self) -> list[str]:
        """Returns the comparison as text."""
        head = (
            f"{self.kind}: {self.through.count} pairs, "
            f"{self.failed_pairs} failed"
        )
        return [head, *map(self._line, _PERCENTILES)]

    def _line(self, percentile: float) -> str:
        direct, through = (
            self.direct.value_at(percentile),
            self.through.value_at(percentile),
        )
        return (
            f"  p{percentile:<4g} direct {direct:8.3f} ms"
            f"  through {through:8.3f} ms"
            f"  adds {through - direct:7.3f} ms"
            f"  ratio {through / max(direct, 1e-3):5.2f}"
        )


async def compare(
    pair: CallPair, caller: caller_lib.HttpCaller, count: int, warm_up: int = 20
) -> Comparison:
    """Sends alternating pairs of calls and returns their latencies.

    Args:
        pair: The calls.
        caller: Sends the calls.
        count: Number of measured pairs.
        warm_up: Unmeasured pairs sent first, which open the connections.
    """
    comparison = Comparison(pair.through.kind)
    for serial in range(-warm_up, count):
        direct = await caller.send_with_key(
            serial, pair.direct_url, pair.direct, ""
        )
        # Callers request a ticket ahead of the call, so the time for it is
        # not measured.
        key = await caller.make_key(serial, pair.entry_url, pair.through)
        through = await caller.send_with_key(
            serial, pair.entry_url, pair.through, key
        )
        if serial >= 0:
            _record_pair(comparison, direct, through)
    return comparison


def _record_pair(
    comparison: Comparison,
    direct: calls.RequestResult,
    through: calls.RequestResult,
) -> None:
    if not (direct.served and through.served):
        comparison.failed_pairs += 1
        return
    comparison.direct.add(direct.latency_ms)
    comparison.through.add(through.latency_ms)
