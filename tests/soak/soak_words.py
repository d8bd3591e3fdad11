"""Checks that relays heeded what backend servers said of themselves.

What a relay did while it, a link or all was disturbed is left out: a word may
not have reached it, or it may have started anew.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    import soak

    Line = dict[str, Any]

LEAVING_HEARD = 2.0  # Seconds until a relay must have heeded a word.
REST_HEARD = 0.5
MOST_IN_REST = 2  # Requests that may reach a server in its rest.


def broken(
    calls: Mapping[str, soak.Call],
    runs: list[Line],
    declined: list[Line],
    spans: list[soak.Span],
) -> list[str]:
    """Returns each promise to a server that a relay broke.

    Args:
        calls: By the request's id.
        runs: What backend servers ran.
        declined: What they turned away.
        spans: When a relay, a link or all was disturbed.
    """
    return [
        *_after_leaving(calls, runs, spans),
        *_in_rests(calls, runs, declined, spans),
    ]


def _after_leaving(
    calls: Mapping[str, soak.Call], runs: list[Line], spans: list[soak.Span]
) -> Iterable[str]:
    passed_on: dict[tuple[str, str, int], float] = {}
    for run in runs:
        call = calls.get(run["run"])
        if call is None or not (call.is_whole and call.status == 200):
            continue
        if "Server-Leaving" in run["says"]:
            key = (call.relay, run["server"], run["born"])
            ended = passed_on.get(key, call.ended_at)
            passed_on[key] = min(ended, call.ended_at)
    for run in runs:
        call = calls.get(run["run"])
        if call is None:
            continue
        said = passed_on.get((call.relay, run["server"], run["born"]))
        if said is None or call.sent_at <= said + LEAVING_HEARD:
            continue
        if not _disturbed(spans, call.relay, said, run["at"]):
            yield (
                f"{call.request_id} reached {run['server']} from {call.relay},"
                f" which had passed on {call.sent_at - said:.3f} s before that"
                " it leaves"
            )


def _in_rests(
    calls: Mapping[str, soak.Call],
    runs: list[Line],
    declined: list[Line],
    spans: list[soak.Span],
) -> Iterable[str]:
    arrived: dict[tuple[str, str], list[float]] = {}
    for line in [*runs, *declined]:
        call = calls.get(line.get("run") or line["declined"])
        if call is not None:
            key = (call.relay, line["server"])
            arrived.setdefault(key, []).append(line["at"])
    for line in declined:
        call = calls.get(line["declined"])
        if call is None:
            continue
        first, last = line["at"] + REST_HEARD, line["at"] + line["rest"]
        times = arrived[call.relay, line["server"]]
        count = sum(first < at < last for at in times)
        if count > MOST_IN_REST and not _disturbed(
            spans, call.relay, line["at"], last
        ):
            yield (
                f"{line['server']} asked {call.relay} for {line['rest']:.3f} s"
                f" of rest and got {count} requests"
            )


def _disturbed(
    spans: list[soak.Span], relay: str, first: float, last: float
) -> bool:
    return any(
        span.relay in ("all", relay)
        and not span.what.startswith("store")
        and span.first < last
        and span.last > first
        for span in spans
    )
