"""Checks that relays follow the reports of backend servers.

Requests of a relay during a fault of the relay or of a link are not checked:
the report may not have arrived, or the relay may have restarted since.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    import soak

    Line = dict[str, Any]

# Seconds until a relay must follow a departure and a requested rest.
LEAVING_DELAY = 2.0
REST_DELAY = 0.5
MAX_REQUESTS_IN_REST = 2


def find_violations(
    calls: Mapping[str, soak.RequestRecord],
    runs: list[Line],
    declined: list[Line],
    spans: list[soak.FaultPeriod],
) -> list[str]:
    """Returns each case of a relay ignoring the report of a server.

    Args:
        calls: Requests of callers by their ids.
        runs: Executions on backend servers.
        declined: Requests that backend servers declined.
        spans: Periods of faults of relays and links.
    """
    return [
        *_check_departures(calls, runs, spans),
        *_check_rests(calls, runs, declined, spans),
    ]


def _check_departures(
    calls: Mapping[str, soak.RequestRecord],
    runs: list[Line],
    spans: list[soak.FaultPeriod],
) -> Iterable[str]:
    announcements: dict[tuple[str, str, int], float] = {}
    for run in runs:
        call = calls.get(run["run"])
        if call is None or not (call.is_complete and call.status == 200):
            continue
        if "Server-Leaving" in run["says"]:
            key = (call.relay, run["server"], run["born"])
            ended = announcements.get(key, call.ended_at)
            announcements[key] = min(ended, call.ended_at)
    for run in runs:
        call = calls.get(run["run"])
        if call is None:
            continue
        announced_at = announcements.get(
            (call.relay, run["server"], run["born"])
        )
        if announced_at is None or call.sent_at <= announced_at + LEAVING_DELAY:
            continue
        if not _is_disturbed(spans, call.relay, announced_at, run["at"]):
            yield (
                f"{call.request_id} reached {run['server']} from {call.relay},"
                f" {call.sent_at - announced_at:.3f} s after the relay"
                " forwarded the server's departure"
            )


def _check_rests(
    calls: Mapping[str, soak.RequestRecord],
    runs: list[Line],
    declined: list[Line],
    spans: list[soak.FaultPeriod],
) -> Iterable[str]:
    arrivals: dict[tuple[str, str], list[float]] = {}
    for line in [*runs, *declined]:
        call = calls.get(line.get("run") or line["declined"])
        if call is not None:
            key = (call.relay, line["server"])
            arrivals.setdefault(key, []).append(line["at"])
    for line in declined:
        call = calls.get(line["declined"])
        if call is None:
            continue
        first, last = line["at"] + REST_DELAY, line["at"] + line["rest"]
        times = arrivals[call.relay, line["server"]]
        count = sum(first < at < last for at in times)
        if count > MAX_REQUESTS_IN_REST and not _is_disturbed(
            spans, call.relay, line["at"], last
        ):
            yield (
                f"{line['server']} asked {call.relay} for a rest of"
                f" {line['rest']:.3f} s and received {count} requests"
            )


def _is_disturbed(
    spans: list[soak.FaultPeriod], relay: str, first: float, last: float
) -> bool:
    return any(
        span.relay in ("all", relay)
        and not span.kind.startswith("store")
        and span.started_at < last
        and span.ended_at > first
        for span in spans
    )
