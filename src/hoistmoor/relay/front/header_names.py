"""Headers between callers, the relay and backend servers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

# Of one connection only (RFC 9110, 7.6.1), or set anew for each.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class HeaderNames:
    """Names of the headers that the relay reads or sets.

    Attributes:
        request_id: The caller's id of its attempt; echoed by servers.
        deadline_ms: Milliseconds left, told by callers and to servers.
        key_scheme: Word before the key in ``Authorization``.
        account: Name of the client account, told to servers.
        expected_server: Id of the server that may run the request.
        signature: Proof that an answer is a server's own.
        not_run: Says that the server did not run the request.
        load: A server's running and waiting requests, and its slots.
        limit: Requests a second that a server takes from all hosts together.
        model: Model asked for.
        tokens: Tokens of the prompt, and new tokens at most.
        prefix: Parts of the prompt, as ``name:tokens`` with commas.
        confidence: A model's opinion of its answer, 0 to 100.
        urgency: Rank at a server, 0 to 9; 0 is first.
        session: The caller's name for a session.
        last_event: Newest event of a stream that the caller has.
        stripped: Further headers that callers may not set, in lower case.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    key_scheme: str = "Bearer"
    account: str = "X-Account"
    expected_server: str = "X-Expected-Server"
    signature: str = "X-Answer-Signature"
    not_run: str = "X-Not-Run"
    load: str = "X-Load"
    limit: str = "X-Server-Limit"
    model: str = "X-Model"
    tokens: str = "X-Tokens"
    prefix: str = "X-Prompt-Parts"
    confidence: str = "X-Confidence"
    urgency: str = "X-Urgency"
    session: str = "X-Session"
    last_event: str = "Last-Event-Id"
    stripped: frozenset[str] = frozenset()

    @property
    def set_here(self) -> frozenset[str]:
        """Names, in lower case, that a caller's request loses."""
        own = (self.account, self.expected_server, self.urgency)
        return frozenset(
            {"authorization", *(name.lower() for name in own)}
            | self.stripped
            | HOP_BY_HOP
        )


# Digits, with a fraction or none; no sign, no exponent, no word for infinity.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}")
LONGEST_SHOWN = 40  # Characters of an unreadable value that are kept.


def parse_report(
    headers: Mapping[str, str], names: HeaderNames
) -> server_lib.ServerReport:
    """Returns what a server tells of itself with an answer."""
    load = parse_load(headers.get(names.load))
    text = headers.get(names.limit)
    if text is None:
        return server_lib.ServerReport(load)
    if _DECIMAL.fullmatch(text) is None:
        shown = text[:LONGEST_SHOWN] or "nothing"
        return server_lib.ServerReport(load, unreadable_limit=shown)
    return server_lib.ServerReport(load, float(text))


def parse_load(text: str | None) -> server_lib.LoadReport | None:
    """Returns a load report, or None if there is none that can be read."""
    numbers = _numbers(text)
    if len(numbers) != 3:
        return None
    running, waiting, slots = numbers
    return server_lib.LoadReport(running, waiting, slots)


def parse_confidence(text: str | None) -> float | None:
    """Returns a confidence, or None if there is none that can be read."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


def parse_prompt(
    model: str | None, tokens: str | None, parts: str | None
) -> requests.Prompt | None:
    """Returns what is told of a prompt; None for other requests."""
    if model is None:
        return None
    numbers = _numbers(tokens)
    if len(numbers) != 2:
        numbers = (0, 0)
    return requests.Prompt(model, numbers[0], numbers[1], _parts(parts))


def parse_number(text: str | None) -> int | None:
    """Returns a whole number, or None if there is none that can be read."""
    numbers = _numbers(text)
    return numbers[0] if len(numbers) == 1 else None


def _numbers(text: str | None) -> tuple[int, ...]:
    try:
        return tuple(int(word) for word in (text or "").split(","))
    except ValueError:
        return ()


def _parts(text: str | None) -> tuple[requests.PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        name, _, size = word.strip().partition(":")
        if not name or not size.isdigit():
            return ()
        parts.append(requests.PromptPart(name, int(size)))
    return tuple(parts)
