"""What happens to a relayed request, and what is to be done about it."""

from __future__ import annotations

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import server as server_lib


@attrs.frozen
class Started:
    """The request was admitted."""


@attrs.frozen
class HeadArrived:
    """A backend server began to answer.

    Attributes:
        status: HTTP status code.
        confidence: The model's opinion of its answer, 0 to 100, if told.
    """

    status: int
    confidence: float | None = None


@attrs.frozen
class AttemptEnded:
    """An attempt is over.

    Attributes:
        state: How far its exchange had come.
        status: HTTP status code of the answer; 0 without one.
        detail: What went wrong, for people.
        server_ended: Whether the server ended meanwhile.
        asks_rest: Whether the server asked for rest with its answer.
    """

    state: outcomes.ExchangeState
    status: int = 0
    detail: str = ""
    server_ended: bool = False
    asks_rest: bool = False


@attrs.frozen
class DeadlineReached:
    """The request's time is over; no attempt runs on.

    Attributes:
        state: How far the last attempt's exchange had come.
    """

    state: outcomes.ExchangeState


Event = Started | HeadArrived | AttemptEnded | DeadlineReached


@attrs.frozen
class Send:
    """Send the request to a backend server.

    Attributes:
        server: The backend server.
        model: Model to name; empty where the request names none.
        work_class: Class of work that it belongs to.
        serial: Its number at this host.
        deadline: Steady time at which the server is to give up.
        patience: Seconds without a byte after which the attempt is given up;
            None to wait until the deadline.
        is_repeat: Whether a server has got the request before.
        run: Its stay at the server.
    """

    server: server_lib.ServerState
    model: str
    work_class: partition.WorkClass
    serial: int
    deadline: float
    patience: float | None = None
    is_repeat: bool = False
    run: runs.Run = attrs.field(factory=runs.Run)


@attrs.frozen
class Pass:
    """Pass the answer on to the caller as it comes."""


@attrs.frozen
class Drop:
    """Give the answer up: another one is asked for."""


@attrs.frozen
class Deliver:
    """The caller gets the answer that ended, and nothing more follows."""


@attrs.frozen
class Refuse:
    """The caller gets a refusal, and nothing more follows."""

    refusal: refusals.Refusal


@attrs.frozen
class Break:
    """An answer that has begun cannot be finished: cut the connection."""

    detail: str


Effect = Send | Pass | Drop | Deliver | Refuse | Break
