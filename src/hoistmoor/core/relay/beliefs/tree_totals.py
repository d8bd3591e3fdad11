"""Totals over all hosts, exchanged along the tree in which hosts copy topics.

A host reports the total of its own subtree to its source (see
``replication.SourceSelector``), and the response contains the total of all
other hosts. No total includes the receiving host's own part, whichever way it
travelled.
"""

from __future__ import annotations

from typing import Generic, TYPE_CHECKING, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Seconds after which a host's report expires. A host reports several times
# within that period, so one that stays silent is down or uses another source.
REPORT_TTL = 1.5

_T = TypeVar("_T")


@attrs.frozen
class _Report(Generic[_T]):
    total: _T
    at: float

    def is_fresh(self, now: float) -> bool:
        return now - self.at <= REPORT_TTL


class TreeTotals(Generic[_T]):
    """Reports of other hosts, and their totals."""

    def __init__(self, combine: Callable[[Iterable[_T]], _T]) -> None:
        """Creates totals without any report.

        Args:
            combine: Returns the total of any number of reports.
        """
        self._combine = combine
        self._reports: dict[str, _Report[_T]] = {}
        self._source_report: _Report[_T] | None = None

    def set_subtree(self, host: str, total: _T, now: float) -> None:
        """Replaces the report of a host that copies from this one.

        Args:
            host: Name of the host.
            total: Total of the host and of all hosts below it in the tree.
            now: Monotonic time.
        """
        self._reports[host] = _Report(total, now)

    def set_source(self, total: _T, now: float) -> None:
        """Replaces the source's total of all hosts outside this subtree."""
        self._source_report = _Report(total, now)

    def total_for_source(self, own: _T, now: float) -> _T:
        """Returns the total of this host and its subtree."""
        return self._combine([own, *self._fresh_reports(now)])

    def total_for(self, host: str, own: _T, now: float) -> _T:
        """Returns the total for a copying host, without its own subtree."""
        return self._combine(
            [
                own,
                *self._fresh_source_report(now),
                *self._fresh_reports(now, host),
            ]
        )

    def total_of_others(self, now: float) -> _T | None:
        """Returns the total of all other hosts; None without any report."""
        known = [*self._fresh_source_report(now), *self._fresh_reports(now)]
        return self._combine(known) if known else None

    def _fresh_source_report(self, now: float) -> list[_T]:
        report = self._source_report
        return [report.total] if report and report.is_fresh(now) else []

    def _fresh_reports(self, now: float, excluded_host: str = "") -> list[_T]:
        return [
            report.total
            for host, report in self._reports.items()
            if host != excluded_host and report.is_fresh(now)
        ]
