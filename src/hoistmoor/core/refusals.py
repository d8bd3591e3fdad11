"""Reasons for refusing a request, and how each is reported to callers."""

from __future__ import annotations

import enum
from http import HTTPStatus
import math

import attrs

from hoistmoor.core import outcomes


class Reason(enum.StrEnum):
    """Machine-readable reason for a refusal."""

    NO_KEY = "no_key"
    WRONG_KEY = "wrong_key"
    NOT_GRANTED = "not_granted"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CALL = "unknown_call"
    VERSION_WITHDRAWN = "version_withdrawn"
    BAD_HEADER = "bad_header"
    BAD_BODY = "bad_body"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_PAST = "deadline_past"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TABLE = "no_table"
    TABLE_STALE = "table_stale"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    NO_CAPACITY = "no_capacity"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    SPEND_LIMITED = "spend_limited"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_DONE = "key_done"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    TICKET_INVALID = "ticket_invalid"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_ISSUER_GONE = "ticket_issuer_gone"
    BILL_UNSECURED = "bill_unsecured"
    BACKEND_DECLINED = "backend_declined"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_CUT = "backend_cut"
    BACKEND_ERROR = "backend_error"
    CRASHES_SERVERS = "crashes_servers"
    SERVERS_LEAVING = "servers_leaving"
    SERVERS_LIMITED = "servers_limited"
    SERVERS_RESTING = "servers_resting"
    CALLER_LEFT = "caller_left"
    INTERNAL = "internal"


@attrs.frozen
class Rule:
    """How a refusal reason is reported to callers.

    Attributes:
        status: HTTP status code.
        retry_after: Seconds after which a retry is useful. Requests that stay
            refused until the request or the configuration changes get an hour.
        remedy: What the caller should do next.
    """

    status: HTTPStatus
    retry_after: int
    remedy: str

    @property
    def retryable(self) -> bool:
        """Whether the unchanged request may succeed later."""
        return self.retry_after < _AFTER_CHANGE


# Values of the Retry-After header, in seconds.
_AFTER_CHANGE = 3600
_SOON = 1
_LATER = 5

RULES: dict[Reason, Rule] = {
    Reason.NO_KEY: Rule(
        HTTPStatus.UNAUTHORIZED,
        _AFTER_CHANGE,
        "Send an Authorization: Bearer header.",
    ),
    Reason.WRONG_KEY: Rule(
        HTTPStatus.UNAUTHORIZED,
        _AFTER_CHANGE,
        "Ask the operators for a valid key.",
    ),
    Reason.NOT_GRANTED: Rule(
        HTTPStatus.FORBIDDEN, _AFTER_CHANGE, "Ask the operators for a grant."
    ),
    Reason.UNKNOWN_MODEL: Rule(
        HTTPStatus.NOT_FOUND,
        _AFTER_CHANGE,
        "Choose a model listed at /v1/models.",
    ),
    Reason.UNKNOWN_SERVICE: Rule(
        HTTPStatus.NOT_FOUND, _AFTER_CHANGE, "Check the service's name."
    ),
    Reason.UNKNOWN_CALL: Rule(
        HTTPStatus.NOT_FOUND, _AFTER_CHANGE, "Check the method and the path."
    ),
    Reason.VERSION_WITHDRAWN: Rule(
        HTTPStatus.GONE, _AFTER_CHANGE, "Choose another version or no version."
    ),
    Reason.BAD_HEADER: Rule(
        HTTPStatus.BAD_REQUEST, _AFTER_CHANGE, "Correct the named header."
    ),
    Reason.BAD_BODY: Rule(
        HTTPStatus.BAD_REQUEST,
        _AFTER_CHANGE,
        "Correct the body as the detail says.",
    ),
    Reason.BODY_TOO_LARGE: Rule(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        _AFTER_CHANGE,
        "Send a smaller body.",
    ),
    Reason.DEADLINE_PAST: Rule(
        HTTPStatus.BAD_REQUEST, _AFTER_CHANGE, "Send a deadline in the future."
    ),
    Reason.DEADLINE_EXCEEDED: Rule(
        HTTPStatus.GATEWAY_TIMEOUT, _SOON, "Try again with a later deadline."
    ),
    Reason.NO_TABLE: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, "Try another host or wait."
    ),
    Reason.TABLE_STALE: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, "Try another host or wait."
    ),
    Reason.STOPPING: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _SOON, "Try again at another host."
    ),
    Reason.OVERLOADED: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, "Wait, then try again."
    ),
    Reason.NO_CAPACITY: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _LATER, "Wait, then try again."
    ),
    Reason.RATE_LIMITED: Rule(
        HTTPStatus.TOO_MANY_REQUESTS, _SOON, "Send fewer requests a second."
    ),
    Reason.CONCURRENCY_LIMITED: Rule(
        HTTPStatus.TOO_MANY_REQUESTS, _SOON, "Keep fewer requests in flight."
    ),
    Reason.SPEND_LIMITED: Rule(
        HTTPStatus.PAYMENT_REQUIRED, _LATER, "Ask for a higher spend limit."
    ),
    Reason.KEY_IN_PROGRESS: Rule(
        HTTPStatus.CONFLICT, _SOON, "Ask again with the same key."
    ),
    Reason.KEY_REUSED: Rule(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _AFTER_CHANGE,
        "Use a new key for a new body.",
    ),
    Reason.KEY_OUTCOME_UNKNOWN: Rule(
        HTTPStatus.CONFLICT,
        _AFTER_CHANGE,
        "Look at the service before asking again.",
    ),
    Reason.KEY_DONE: Rule(
        HTTPStatus.CONFLICT,
        _AFTER_CHANGE,
        "It was done once; do not send it again.",
    ),
    Reason.CLAIM_UNAVAILABLE: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _SOON, "Try again, same key, or ticket."
    ),
    Reason.TICKET_INVALID: Rule(
        HTTPStatus.BAD_REQUEST,
        _AFTER_CHANGE,
        "Take a new ticket at /v1/tickets.",
    ),
    Reason.TICKET_EXPIRED: Rule(
        HTTPStatus.GONE,
        _AFTER_CHANGE,
        "Take a new ticket if the call was not done.",
    ),
    Reason.TICKET_ISSUER_GONE: Rule(
        HTTPStatus.CONFLICT,
        _AFTER_CHANGE,
        "Look at the service before asking again.",
    ),
    Reason.BILL_UNSECURED: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _SOON, "Try another host or wait."
    ),
    Reason.BACKEND_DECLINED: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _SOON, "Wait, then try again."
    ),
    Reason.BACKEND_UNREACHABLE: Rule(
        HTTPStatus.BAD_GATEWAY, _SOON, "Wait, then try again."
    ),
    Reason.BACKEND_CUT: Rule(
        HTTPStatus.BAD_GATEWAY, _SOON, "Look at the outcome before retrying."
    ),
    Reason.BACKEND_ERROR: Rule(
        HTTPStatus.BAD_GATEWAY, _SOON, "Look at the outcome before retrying."
    ),
    Reason.CRASHES_SERVERS: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _AFTER_CHANGE,
        "Change the request; servers that ran it have crashed.",
    ),
    Reason.SERVERS_LEAVING: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE, _SOON, "Wait, then try again."
    ),
    Reason.SERVERS_LIMITED: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _SOON,
        "Wait, then try again, maybe at another host.",
    ),
    Reason.SERVERS_RESTING: Rule(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _SOON,
        "Wait, then try again, maybe at another host.",
    ),
    Reason.CALLER_LEFT: Rule(
        HTTPStatus.REQUEST_TIMEOUT, _SOON, "Keep the connection open."
    ),
    Reason.INTERNAL: Rule(
        HTTPStatus.INTERNAL_SERVER_ERROR, _LATER, "Report the request id."
    ),
}


@attrs.frozen
class Refusal:
    """Final result of a request that got no complete response.

    Attributes:
        reason: Why the request was refused.
        outcome: Whether this attempt of the caller ran.
        detail: Human-readable explanation in one sentence. It must contain no
            API key and no part of the body.
        retry_after: Seconds after which a retry is useful; None to use the
            default of the rule.
        key_outcome: Combined outcome of all attempts with the same idempotency
            key; None if the request had no key.
    """

    reason: Reason
    outcome: outcomes.Outcome
    detail: str = ""
    retry_after: float | None = None
    key_outcome: outcomes.Outcome | None = None

    @property
    def rule(self) -> Rule:
        """Reporting rule of the reason."""
        return RULES[self.reason]

    @property
    def wait(self) -> int:
        """Value of the Retry-After header in seconds."""
        if self.retry_after is not None:
            return math.ceil(self.retry_after)
        return self.rule.retry_after
