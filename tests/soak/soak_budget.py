"""Checks the bounds on work that relays may cause at backend servers.

The records of the servers decide: a request counts when a server reads it, so
that one which waited in the kernel of a stopped server counts when the server
goes on.
"""

from __future__ import annotations

import bisect
import collections
from typing import Any, TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    import soak

RETRY_RATIO = 0.9
RETRY_WINDOW = 10.0  # Seconds.
RETRY_SLACK = 54
# Seconds by which a server may work longer than the caller waits, and after
# which a further arrival of a request counts as sent late.
TIME_TOLERANCE = 0.5
MAX_LATE = 20
MAX_LATE_FRACTION = 0.2
MAX_EXTRA_ATTEMPTS = 3
REST_DELAY = 0.5  # Seconds until a relay must keep to a rest.
MAX_REQUESTS_IN_REST = 2
# Seconds without a fault of its own after which a relay is bound by the limits
# on time and on rests.
STABLE_SECONDS = 3.0


@attrs.frozen
class Arrival:
    """A request as a backend server recorded it.

    Attributes:
        request_id: Id of the request.
        at: Monotonic time at which the server read it.
        server: Name of the server.
        born: Start time of the server's incarnation.
        sender: Name of the relay that sent it.
        seconds: Time in seconds that the server was given; None if the request
            named none.
        rest: Seconds of rest for which the server asked; 0 if it asked for
            none.
        was_declined: Whether the server declined it without running it.
    """

    request_id: str
    at: float
    server: str
    born: int
    sender: str
    seconds: float | None
    rest: float = 0.0
    was_declined: bool = False


def from_lines(
    lines: Iterable[dict[str, Any]], senders: Mapping[str, str]
) -> list[Arrival]:
    """Returns the arrivals in order of time.

    Args:
        lines: Records of all servers.
        senders: Names of the relays by the addresses from which they connect.
    """
    arrivals = [
        Arrival(
            str(line.get("run") or line["declined"]),
            line["at"],
            line["server"],
            line["born"],
            senders[line["from"]],
            int(line["left_ms"]) / 1000 if line["left_ms"] else None,
            line["rest"],
            "declined" in line,
        )
        for line in lines
    ]
    return sorted(arrivals, key=lambda each: each.at)


class BudgetCheck:
    """Compares the arrivals at the servers with the bounds.

    Attributes:
        calls: Requests of callers by their ids.
        arrivals: Arrivals in order of time.
    """

    def __init__(
        self,
        calls: Mapping[str, soak.RequestRecord],
        arrivals: list[Arrival],
        spans: list[soak.FaultPeriod],
    ) -> None:
        """Creates the check.

        Args:
            calls: Requests of callers by their ids.
            arrivals: Arrivals in order of time.
            spans: Periods of faults.
        """
        self.calls = calls
        self.arrivals = [each for each in arrivals if each.request_id in calls]
        self._spans = spans
        self._by_request: dict[str, list[Arrival]] = collections.defaultdict(
            list
        )
        for each in self.arrivals:
            self._by_request[each.request_id].append(each)

    def find_violations(self) -> list[str]:
        """Returns each bound that was exceeded."""
        return [
            *self._check_retries(),
            *self._check_attempts(),
            *self._check_time(),
            *self._check_rests(),
        ]

    def figures(self) -> str:
        """Returns how close the run came to each bound."""
        worst = max(self._retry_windows(), key=lambda each: each[0] / each[1])
        late, allowed = self._count_late()
        return (
            f"retries {worst[0]} of {worst[1]:.0f} allowed,"
            f" {self._extra_attempts()} requests over their attempts,"
            f" {late} arrivals with too much time of {allowed} late ones,"
            f" in rests {self._rest_counts()}"
        )

    def _check_retries(self) -> Iterable[str]:
        for count, allowed, end, service in self._retry_windows():
            if count > allowed:
                yield (
                    f"{count} retries reached {service} in the"
                    f" {RETRY_WINDOW} s until {end:.3f}, {allowed:.0f} allowed"
                )
                return

    def _retry_windows(self) -> list[tuple[int, float, float, str]]:
        """Returns retries, bound, end and service of each window."""
        windows = [(0, float(RETRY_SLACK), 0.0, "")]
        services = {each.server.rsplit("-", 1)[0] for each in self.arrivals}
        for service in services:
            sent = sorted(
                call.sent_at
                for call in self.calls.values()
                if service == ("i-llm" if call.kind == "stream" else "i-desk")
            )
            repeats = [
                arrival.at
                for arrivals in self._by_request.values()
                for arrival in arrivals[1:]
                if arrival.server.startswith(service)
            ]
            repeats.sort()
            for index, end in enumerate(repeats):
                begin = end - RETRY_WINDOW
                count = index + 1 - bisect.bisect_left(repeats, begin)
                requests = max(
                    _count_between(sent, begin - shift, end - shift)
                    for shift in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
                )
                allowed = RETRY_RATIO * requests + RETRY_SLACK
                windows.append((count, allowed, end, service))
        return windows

    def _check_attempts(self) -> Iterable[str]:
        count = self._extra_attempts()
        if count > MAX_EXTRA_ATTEMPTS:
            yield f"{count} requests ran on more servers than allowed"

    def _extra_attempts(self) -> int:
        newest: dict[str, int] = {}
        for each in self.arrivals:
            newest[each.server] = max(newest.get(each.server, 0), each.born)
        count = 0
        for request_id, arrivals in self._by_request.items():
            call = self.calls[request_id]
            # Servers that ended or were cut off meanwhile do not count.
            servers = {
                each.server
                for each in arrivals
                if not each.was_declined
                and each.born == newest[each.server]
                and not self._is_any_disturbed(each.at, call.ended_at)
            }
            count += len(servers) > call.max_attempts
        return count

    def _check_time(self) -> Iterable[str]:
        bad, counted = self._count_late()
        if bad > MAX_LATE and bad > MAX_LATE_FRACTION * counted:
            yield (
                f"{bad} of {counted} late arrivals had more time than was left"
            )

    def _count_late(self) -> tuple[int, int]:
        """Returns arrivals with too much time, and these and all late ones."""
        bad = counted = 0
        for request_id, arrivals in self._by_request.items():
            call = self.calls[request_id]
            first = arrivals[0]
            for each in arrivals:
                began = each.at - STABLE_SECONDS
                if self._is_disturbed(each.sender, began, each.at):
                    continue
                is_late = each.at > first.at + TIME_TOLERANCE
                has_too_much = self._has_too_much_time(call, first, each)
                bad += has_too_much
                counted += is_late or has_too_much
        return bad, counted

    def _has_too_much_time(
        self, call: soak.RequestRecord, first: Arrival, arrival: Arrival
    ) -> bool:
        if arrival.seconds is None:
            return True
        if arrival.seconds > call.seconds + TIME_TOLERANCE:
            return True
        if arrival.at <= first.at + TIME_TOLERANCE:
            return False
        ends = arrival.at + arrival.seconds - TIME_TOLERANCE
        first_ends = first.at + (first.seconds or 0.0)
        return ends > first_ends and ends > call.sent_at + call.seconds

    def _check_rests(self) -> Iterable[str]:
        for line, count in self._rests():
            if count > MAX_REQUESTS_IN_REST:
                yield (
                    f"{line.server} asked {line.sender} for a rest of"
                    f" {line.rest:.3f} s and received {count} requests"
                )

    def _rest_counts(self) -> list[int]:
        counts = (count for _, count in self._rests())
        return sorted((each for each in counts if each), reverse=True)[:5]

    def _rests(self) -> Iterable[tuple[Arrival, int]]:
        """Yields each rest and the requests that came within it."""
        times: dict[tuple[str, str, int], list[float]]
        times = collections.defaultdict(list)
        for each in self.arrivals:
            times[each.sender, each.server, each.born].append(each.at)
        for each in self.arrivals:
            begin, end = each.at + REST_DELAY, each.at + each.rest
            # A relay that had given up the request has not read the answer.
            was_read = each.at < self.calls[each.request_id].ended_at
            if (
                begin >= end
                or not was_read
                or self._is_disturbed(
                    each.sender, each.at - STABLE_SECONDS, end
                )
            ):
                continue
            key = (each.sender, each.server, each.born)
            yield each, _count_between(times[key], begin, end)

    def _is_disturbed(self, relay: str, first: float, last: float) -> bool:
        """Returns whether a relay or its links to servers had a fault."""
        return any(
            span.started_at < last
            and span.ended_at > first
            and (
                span.kind.startswith("link")
                if span.relay == "all"
                else span.relay == relay and not span.kind.startswith("store")
            )
            for span in self._spans
        )

    def _is_any_disturbed(self, first: float, last: float) -> bool:
        """Returns whether any server may have ended or been cut off."""
        return any(
            span.started_at < last
            and span.ended_at > first
            and span.kind.startswith(("crash", "backend", "link", "cut"))
            for span in self._spans
        )


def _count_between(times: list[float], first: float, last: float) -> int:
    return bisect.bisect_left(times, last) - bisect.bisect_right(times, first)
