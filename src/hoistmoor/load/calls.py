"""Requests that the load generator sends, and their results."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from hoistmoor.core import outcomes

# Placeholder in a prompt for the number of the request.
SERIAL_PLACEHOLDER = "{serial}"


class KeyUse(enum.StrEnum):
    """How a call is protected against running twice."""

    NONE = "none"  # No key: only the receiving entry may run it.
    OWN = "own"  # A key chosen by the caller and claimed on the log.
    TICKET = "ticket"  # A ticket issued by the entry beforehand.


@attrs.frozen
class Call:
    """A request as a caller would send it.

    Attributes:
        kind: Short name for reports.
        method: HTTP method.
        path: Path at an entry.
        body: JSON body; None for none.
        bearer: The client account's key; never written to a log or history.
        key_use: How the call is protected against running twice.
        deadline: Seconds after which the response is of no use; 0 for the
            default of the entry.
        session: Session token or id; empty for none.
    """

    kind: str
    method: str
    path: str
    body: dict[str, Any] | None
    bearer: str = attrs.field(repr=False)
    key_use: KeyUse = KeyUse.NONE
    deadline: float = 0.0
    session: str = ""

    def with_serial(self, serial: int) -> Call:
        """Returns the call with ``{serial}`` replaced by its number.

        Numbering makes the prompts differ. Responses to one repeated prompt
        would be all good or all bad, which could get a version withdrawn.
        """
        if not self.body or "messages" not in self.body:
            return self
        messages = [
            {
                **row,
                "content": row["content"].replace(
                    SERIAL_PLACEHOLDER, str(serial)
                ),
            }
            for row in self.body["messages"]
        ]
        return attrs.evolve(self, body={**self.body, "messages": messages})


@attrs.frozen
class RequestResult:
    """The result of one request as the caller saw it; a line of the history.

    Attributes:
        serial: Number of the request within its run, from 0.
        kind: Short name of the call.
        entry: Base URL of the entry.
        key: Idempotency key or ticket; empty for none.
        due: When the request was due, seconds since the epoch.
        sent: When it was sent.
        status: HTTP status; 0 if there was no response.
        outcome: Whether the call ran, as reported to the caller.
        reason: Reason of a refusal or failure; empty for none.
        request_id: Request id assigned by the entry.
        version: Version that served the request.
        why: The entry's explanation of its choice.
        session: Session token in the response.
        retry_after: Seconds in the Retry-After header; 0 for none.
        latency_ms: Milliseconds from the due time to the last byte.
        first_byte_ms: Milliseconds from the due time to the first byte of the
            body.
        complete: Whether the response was complete, including the end marker
            of a stream.
        frames: Number of events in a streamed response.
        answer: Start of the body, or the error message, for display.
    """

    serial: int
    kind: str
    entry: str
    key: str
    due: float
    sent: float
    status: int = 0
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    reason: str = ""
    request_id: str = ""
    version: str = ""
    why: str = ""
    session: str = ""
    retry_after: int = 0
    latency_ms: float = 0.0
    first_byte_ms: float = 0.0
    complete: bool = False
    frames: int = 0
    answer: str = ""

    @property
    def served(self) -> bool:
        """Whether the request ran and its response was complete."""
        return self.complete and not self.reason
