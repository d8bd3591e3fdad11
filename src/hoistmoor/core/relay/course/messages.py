"""Events and effects of the request state machine."""

from __future__ import annotations

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import server as server_lib


@attrs.frozen
class Started:
    """The request was admitted."""


@attrs.frozen
class RoomGranted:
    """The request may be sent."""


@attrs.frozen
class RoomDenied:
    """The servers have no room for the request.

    Attributes:
        retry_after: Seconds after which the caller should retry.
        detail: What decided, for people.
    """

    retry_after: float
    detail: str


@attrs.frozen
class HeadArrived:
    """The response headers of a backend server arrived.

    Attributes:
        status: HTTP status code.
        confidence: Confidence of the model in its answer, 0 to 100, if given.
    """

    status: int
    confidence: float | None = None


@attrs.frozen
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        state: Final state of the exchange.
        status: HTTP status code of the response; 0 if there was none.
        detail: Human-readable description of the problem.
        server_ended: Whether the server ended during the attempt.
        asks_rest: Whether the response asks for a rest: a pause in requests to
            the server.
        may_use_server: Whether another attempt may use the same server, since
            only the path to it failed.
    """

    state: outcomes.ExchangeState
    status: int = 0
    detail: str = ""
    server_ended: bool = False
    asks_rest: bool = False
    may_use_server: bool = False


@attrs.frozen
class DeadlineReached:
    """The deadline of the request has passed; no attempt is running.

    Attributes:
        state: Final state of the exchange of the last attempt.
    """

    state: outcomes.ExchangeState


@attrs.frozen
class HostStopped:
    """This host ends with the request in progress; no attempt is running.

    Attributes:
        state: Final state of the exchange of the last attempt.
    """

    state: outcomes.ExchangeState


Event = (
    Started
    | RoomGranted
    | RoomDenied
    | HeadArrived
    | AttemptEnded
    | DeadlineReached
    | HostStopped
)


@attrs.frozen
class Wait:
    """Wait until there is room for the request, or until it is denied."""


@attrs.frozen
class Send:
    """Send the request to a backend server.

    Attributes:
        server: Backend server.
        model: Model to request; empty if the request names none.
        work_class: Class of work of the request.
        serial: Serial number of the attempt at this host.
        deadline: Monotonic time at which the server should give up.
        read_timeout: Read timeout of the attempt in seconds; None to wait until
            the deadline.
        is_retry: Whether a server has already received the request.
        run: Execution of the request at the server.
        forwarder: Host through which to send the request; None to send it
            directly.
        ahead: Work at the server when the request is sent, its own included:
            prompt tokens for an engine, else requests relative to the slots; 0
            if unknown.
    """

    server: server_lib.ServerState
    model: str
    work_class: partition.WorkClass
    serial: int
    deadline: float
    read_timeout: float | None = None
    is_retry: bool = False
    run: runs.Run = attrs.field(factory=runs.Run)
    ahead: float = 0.0
    forwarder: replication.Host | None = None


@attrs.frozen
class Forward:
    """Stream the response to the caller."""


@attrs.frozen
class Discard:
    """Discard the response; the request will be sent again."""


@attrs.frozen
class Deliver:
    """Deliver the completed response to the caller as the final result."""


@attrs.frozen
class Refuse:
    """Send a refusal to the caller as the final result."""

    refusal: refusals.Refusal


@attrs.frozen
class Abort:
    """Close the connection, as a partly sent response cannot be completed."""

    detail: str


Effect = Wait | Send | Forward | Discard | Deliver | Refuse | Abort
