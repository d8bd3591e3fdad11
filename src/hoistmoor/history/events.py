"""Events that callers, backend servers, the log and operators record."""

from __future__ import annotations

from functools import cached_property

import attrs

from hoistmoor.core import codec
from hoistmoor.core import outcomes


@attrs.frozen
class Asked:
    """A caller sent a request.

    Attributes:
        call_id: Identifies this attempt of the caller in the history.
        at: Seconds since the epoch.
        host: Entry host that received the request.
        account: Client account.
        item: Requested model, or key of the call.
        key: Idempotency key or ticket; empty for none.
        mark: Text that is unique to the body of this request; the caller's
            attempts under one key share it.
        session: Name of the session; empty for none.
    """

    call_id: int
    at: float
    host: str
    account: str
    item: str
    key: str
    mark: str
    session: str = ""


@attrs.frozen
class Told:
    """A caller received the final response to its request.

    Attributes:
        call_id: Identifies the request.
        at: Seconds since the epoch.
        outcome: Outcome that the response reported for this attempt.
        key_outcome: Outcome that it reported for all attempts under the key;
            empty if it reported none.
        reason: Reason for a refusal; empty for a successful response.
        request_id: Id that the system assigned.
        version: Version or call that produced the response.
        whole: Whether the response had its end mark.
        mark: Mark found in the response.
        own: Whether every part of the response belongs to this request.
        moved: Whether the response reported that its session moved.
    """

    call_id: int
    at: float
    outcome: outcomes.Outcome
    key_outcome: str = ""
    reason: str = ""
    request_id: str = ""
    version: str = ""
    whole: bool = False
    mark: str = ""
    own: bool = True
    moved: bool = False


@attrs.frozen
class Cut:
    """A caller's connection closed before a final response."""

    call_id: int
    at: float


@attrs.frozen
class Ran:
    """A backend server executed an attempt.

    Attributes:
        at: Seconds since the epoch.
        server: Name of the backend server.
        item: Version, or method and path of a plain call.
        attempt_id: Attempt id that the system sent.
        key: Idempotency key that the system sent.
        mark: Mark in the body; empty for engines.
        done: Whether the execution completed.
    """

    at: float
    server: str
    item: str
    attempt_id: str
    key: str = ""
    mark: str = ""
    done: bool = True

    @property
    def request_id(self) -> str:
        """Id of the request that the attempt belongs to."""
        return self.attempt_id.rpartition(".")[0]


@attrs.frozen
class Billed:
    """The log contains a bill; duplicate bills are recorded too.

    Attributes:
        offset: Offset of the record that contains the bill.
        account: Client account.
        request_id: Id of the billed request.
        amount: Amount in micros.
    """

    offset: int
    account: str
    request_id: str
    amount: int


@attrs.frozen
class Allowed:
    """A revision of the table granted an item to an account, or revoked it.

    Attributes:
        at: When the revision was in force on every host, in seconds since
            the epoch.
        revision: Revision of the table.
        account: Client account.
        item: Version or call.
        allowed: Whether the account may use the item.
    """

    at: float
    revision: int
    account: str
    item: str
    allowed: bool


@attrs.frozen
class Withdrawn:
    """A version was withdrawn; every host had been notified by ``at``."""

    at: float
    version: str


@attrs.frozen
class ServerLeft:
    """A backend server announced its departure.

    ``at`` includes the time that hosts have to react to the announcement.
    """

    at: float
    server: str


@attrs.frozen
class Revision:
    """A host reported the revision of its active table."""

    at: float
    host: str
    incarnation: int
    revision: int


@attrs.frozen
class Accepted:
    """An edit of the table was accepted.

    Attributes:
        at: When the operator was notified, in seconds since the epoch.
        revision: Revision that contains the edit.
        bound: Seconds within which the edit must be in force on every host.
    """

    at: float
    revision: int
    bound: float


@attrs.frozen
class StopAsked:
    """A graceful stop of a host or backend server was requested."""

    at: float
    host: str


Event = (
    Asked
    | Told
    | Cut
    | Ran
    | Billed
    | Allowed
    | Withdrawn
    | ServerLeft
    | Revision
    | Accepted
    | StopAsked
)

for _cls in Event.__args__:
    codec.register(f"history.{_cls.__name__.lower()}", _cls)


@attrs.frozen
class Violation:
    """A violation of an invariant in a history.

    Attributes:
        promise: Name of the invariant.
        detail: What violated it, one sentence.
    """

    promise: str
    detail: str


@attrs.frozen(slots=False)
class History:
    """The events of a run, in no particular order.

    Attributes:
        events: The events.
    """

    events: tuple[Event, ...]

    def events_of(self, cls: type) -> list:  # type: ignore[type-arg]
        """Returns the events of a class, sorted by time if they have one."""
        matching = [event for event in self.events if isinstance(event, cls)]
        return sorted(matching, key=lambda event: getattr(event, "at", 0.0))

    @cached_property
    def requests_by_call(self) -> dict[int, Asked]:
        """Requests by call id."""
        return {event.call_id: event for event in self.events_of(Asked)}

    @cached_property
    def responses(self) -> list[Told]:
        """Final responses, by time."""
        return self.events_of(Told)

    @cached_property
    def runs(self) -> list[Ran]:
        """Executions on backend servers, by time."""
        return self.events_of(Ran)

    @cached_property
    def runs_by_request(self) -> dict[str, list[Ran]]:
        """Executions by request id."""
        grouped: dict[str, list[Ran]] = {}
        for run in self.runs:
            grouped.setdefault(run.request_id, []).append(run)
        return grouped

    @cached_property
    def runs_by_mark(self) -> dict[str, list[Ran]]:
        """Executions by the mark in the request body."""
        grouped: dict[str, list[Ran]] = {}
        for run in self.runs:
            if run.mark:
                grouped.setdefault(run.mark, []).append(run)
        return grouped
