"""Events consumed and effects produced by the request state machine.

Events come from the tasks around the core, which carry out the effects. Every
event about an attempt has the attempt's id, so that late or reordered frames
of another attempt are recognized by id and never by their order.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.billing import bills
from hoistmoor.core.routing import messages as routing


@attrs.frozen
class ResponseMetadata:
    """Metadata of a complete response.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the body.
        prompt_tokens: Billed prompt tokens; 0 for plain services.
        output_tokens: Generated tokens; 0 for plain services.
        finish_reason: As reported by the engine; empty for plain services.
        confidence: Mean token probability, 0 to 1; 1 for plain services.
    """

    status: int
    content_type: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    confidence: float = 1.0


# Events.


@attrs.frozen
class Started:
    """The request was admitted and may be sent to a backend server."""


@attrs.frozen
class ServerChosen:
    """The router chose a backend server."""

    choice: routing.Choice


@attrs.frozen
class NoServerChosen:
    """No backend server is available, or the retry budget is exhausted."""

    refusal: refusals.Refusal


@attrs.frozen
class FrameReceived:
    """A frame of an attempt's response was received.

    Attributes:
        attempt: Attempt that the response belongs to.
        data: The frame as forwarded to the caller.
    """

    attempt: identity.AttemptId
    data: bytes


@attrs.frozen
class ResponseCompleted:
    """An attempt's response was received completely, end marker included."""

    attempt: identity.AttemptId
    metadata: ResponseMetadata


@attrs.frozen
class AttemptFailed:
    """An attempt ended without a complete response.

    Attributes:
        attempt: The attempt that failed.
        state: Progress of the exchange.
        detail: One sentence for the request's explanation.
    """

    attempt: identity.AttemptId
    state: outcomes.ExchangeState
    detail: str


@attrs.frozen
class ResponseAccepted:
    """The held response is good enough to be delivered."""

    reason: str


@attrs.frozen
class ResponseEscalated:
    """The held response is to be replaced by one of a better version."""

    choice: routing.Choice
    reason: str


@attrs.frozen
class BillSecured:
    """The bill is on the log or held by a peer in another failure domain."""


@attrs.frozen
class BillDelayed:
    """The bill could not be secured in time; the biller keeps retrying."""


@attrs.frozen
class DeadlineReached:
    """The request's deadline passed.

    Attributes:
        state: Progress of the running exchange at that time.
    """

    state: outcomes.ExchangeState


@attrs.frozen
class CallerDisconnected:
    """The caller's connection closed.

    Attributes:
        state: Progress of the running exchange at that time.
    """

    state: outcomes.ExchangeState


Event = (
    Started
    | ServerChosen
    | NoServerChosen
    | FrameReceived
    | ResponseCompleted
    | AttemptFailed
    | ResponseAccepted
    | ResponseEscalated
    | BillSecured
    | BillDelayed
    | DeadlineReached
    | CallerDisconnected
)


# Effects.


@attrs.frozen
class ChooseServer:
    """Asks the router for a backend server.

    Attributes:
        excluded: Names of backend servers that have already failed.
        retry_reason: Why another attempt is needed; empty for the first one. A
            retry must be permitted by the retry budget.
    """

    excluded: frozenset[str]
    retry_reason: str = ""


@attrs.frozen
class Dispatch:
    """Sends the request to the chosen backend server."""

    attempt: identity.AttemptId
    choice: routing.Choice


@attrs.frozen
class Cancel:
    """Abandons an attempt and closes its connection."""

    attempt: identity.AttemptId


@attrs.frozen
class Forward:
    """Forwards a frame to the caller."""

    data: bytes


@attrs.frozen
class RetainFrame:
    """Stores a frame without forwarding it.

    The caller already has its final response; the frames are part of the
    response to later requests with the same idempotency key or ticket.
    """

    data: bytes


@attrs.frozen
class Judge:
    """Asks the router whether the held response is good enough."""

    choice: routing.Choice
    metadata: ResponseMetadata


@attrs.frozen
class SecureBill:
    """Stores the bill where it survives the loss of this host."""

    bill: bills.Bill


@attrs.frozen
class Complete:
    """Completes the response by sending its end marker."""

    metadata: ResponseMetadata


@attrs.frozen
class Refuse:
    """Tells the caller that there will be no complete response.

    Attributes:
        refusal: Reason, outcome and detail for the caller.
        response_started: Whether frames were forwarded, so that the refusal has
            to be sent as the last event of the stream.
    """

    refusal: refusals.Refusal
    response_started: bool


@attrs.frozen
class Close:
    """Ends the request; no further effects follow.

    Attributes:
        outcome: Final outcome of the request.
        cost: Amount billed, in micros.
    """

    outcome: outcomes.Outcome
    cost: int


Effect = (
    ChooseServer
    | Dispatch
    | Cancel
    | Forward
    | RetainFrame
    | Judge
    | SecureBill
    | Complete
    | Refuse
    | Close
)
