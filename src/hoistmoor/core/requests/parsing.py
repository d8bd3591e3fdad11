"""Validates headers and bodies and converts them to typed requests."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs
import orjson
import xxhash

from hoistmoor.core import errors
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import request_types
from hoistmoor.core.table import model as table_model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core import identity

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
SESSION_HEADER = "X-Hoistmoor-Session"
DEADLINE_HEADER = "X-Hoistmoor-Deadline"
PRIORITY_HEADER = "X-Hoistmoor-Priority"
KIND_HEADER = "X-Hoistmoor-Kind"
FORWARDED_HEADER = "X-Hoistmoor-Forwarded"

_BEARER_PREFIX = "Bearer "
_MAX_HEADER_CHARS = 4096
_MAX_KEY_CHARS = 200
_MAX_KIND_CHARS = 64
_ESTIMATED_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS = 32_768
_PREFIX_BLOCK_BYTES = 512
_MAX_PREFIX_BLOCKS = 16
_MAX_DEADLINE_SECONDS = 3600.0
_DEFAULT_KIND = "chat"


class RefusedError(errors.HoistmoorError):
    """Raised when a request is refused by a check.

    Attributes:
        refusal: Reason, outcome and detail for the caller.
    """

    def __init__(self, refusal: refusals.Refusal) -> None:
        super().__init__(refusal.detail, refusal.rule.remedy)
        self.refusal = refusal


def refusal_error(reason: refusals.Reason, detail: str) -> RefusedError:
    """Returns the error for a request that was not sent to any server."""
    return RefusedError(
        refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
    )


@attrs.frozen
class Headers:
    """The validated headers of a request.

    Attributes:
        bearer: API key of the caller.
        idempotency_key: Idempotency key sent by the caller, if any. It may be a
            ticket, which is a key that this service issued.
        session: Session header as sent, if any.
        deadline: Deadline set by the caller, if any; seconds since the epoch.
        priority: Priority set by the caller, if any.
        kind: Label by which the caller groups its requests; ``chat`` by
            default. Evidence is kept per label.
        forwarded: Whether another host of the deployment forwarded it.
    """

    bearer: str
    idempotency_key: str | None
    session: str | None
    deadline: float | None
    priority: table_model.Priority | None
    kind: str
    forwarded: bool


def parse_headers(headers: Mapping[str, str], now: float) -> Headers:
    """Validates and parses headers.

    Args:
        headers: Case-insensitive mapping of header names to values.
        now: Seconds since the epoch.

    Raises:
        RefusedError: A header is missing or invalid.
    """
    return Headers(
        bearer=_parse_bearer(headers),
        idempotency_key=_optional_text(
            headers, IDEMPOTENCY_KEY_HEADER, _MAX_KEY_CHARS
        ),
        session=_optional_text(headers, SESSION_HEADER, _MAX_HEADER_CHARS),
        deadline=_parse_deadline(headers, now),
        priority=_parse_priority(headers),
        kind=_optional_text(headers, KIND_HEADER, _MAX_KIND_CHARS)
        or _DEFAULT_KIND,
        forwarded=FORWARDED_HEADER in headers,
    )


def _parse_bearer(headers: Mapping[str, str]) -> str:
    value = headers.get("Authorization", "")
    if not value.startswith(_BEARER_PREFIX):
        raise refusal_error(refusals.Reason.NO_KEY, "no bearer key was sent")
    return value[len(_BEARER_PREFIX) :].strip()


def _optional_text(
    headers: Mapping[str, str], name: str, max_chars: int
) -> str | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value or len(value) > max_chars or not value.isprintable():
        raise refusal_error(
            refusals.Reason.BAD_HEADER,
            f"{name} must be 1 to {max_chars} printable characters",
        )
    return value


def _parse_deadline(headers: Mapping[str, str], now: float) -> float | None:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    relative = value.startswith("+")
    deadline = now + number if relative else number
    # The negation also rejects NaN. The maximum itself is rejected, although
    # the text for the caller says "at most".
    if not deadline < now + _MAX_DEADLINE_SECONDS:
        raise refusal_error(
            refusals.Reason.BAD_HEADER,
            f"{DEADLINE_HEADER} must be +SECONDS or seconds since the epoch, "
            f"at most {_MAX_DEADLINE_SECONDS:.0f} s ahead",
        )
    if deadline <= now:
        raise refusal_error(
            refusals.Reason.DEADLINE_PAST, "the deadline has passed"
        )
    return deadline


def _parse_priority(headers: Mapping[str, str]) -> table_model.Priority | None:
    value = headers.get(PRIORITY_HEADER)
    if value is None:
        return None
    try:
        return table_model.Priority(value)
    except ValueError:
        allowed = ", ".join(table_model.Priority)
        raise refusal_error(
            refusals.Reason.BAD_HEADER,
            f"{PRIORITY_HEADER} must be one of {allowed}",
        ) from None


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a hash of the method, path and body, in hexadecimal."""
    digest = xxhash.xxh3_128(method.encode())
    digest.update(b"\0" + path.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()


def make_envelope(
    headers: Headers,
    request_id: identity.RequestId,
    account: str,
    request_fingerprint: str,
    now: float,
    default_timeout: float,
    default_priority: table_model.Priority,
) -> request_types.Envelope:
    """Returns the envelope of an authenticated request."""
    return request_types.Envelope(
        request_id=request_id,
        account=account,
        arrived=now,
        deadline=headers.deadline or now + default_timeout,
        idempotency_key=headers.idempotency_key,
        session=headers.session,
        fingerprint=request_fingerprint,
        priority=headers.priority or default_priority,
        forwarded=headers.forwarded,
    )


def parse_chat_body(body: bytes) -> dict[str, Any]:
    """Parses and validates the body of a chat request.

    Raises:
        RefusedError: The body is not a valid chat request in JSON.
    """
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise refusal_error(
            refusals.Reason.BAD_BODY, f"the body is not JSON: {error}"
        ) from None
    if not isinstance(parsed, dict):
        raise refusal_error(
            refusals.Reason.BAD_BODY, "the body is not an object"
        )
    _check_model(parsed)
    _check_messages(parsed)
    _check_max_tokens(parsed)
    _check_stream(parsed)
    return parsed


def _check_model(parsed: dict[str, Any]) -> None:
    if not isinstance(parsed.get("model"), str):
        raise refusal_error(refusals.Reason.BAD_BODY, "model must be a string")


def _check_messages(parsed: dict[str, Any]) -> None:
    messages = parsed.get("messages")
    if not isinstance(messages, list) or not messages:
        raise refusal_error(
            refusals.Reason.BAD_BODY, "messages must be a list, not empty"
        )
    for message in messages:
        if not isinstance(message, dict) or "role" not in message:
            raise refusal_error(
                refusals.Reason.BAD_BODY, "each message must have a role"
            )


def _check_max_tokens(parsed: dict[str, Any]) -> None:
    max_tokens = parsed.get("max_tokens", _DEFAULT_MAX_TOKENS)
    is_int = isinstance(max_tokens, int) and not isinstance(max_tokens, bool)
    if not is_int or not 0 < max_tokens <= _MAX_TOKENS:
        raise refusal_error(
            refusals.Reason.BAD_BODY,
            f"max_tokens must be a whole number from 1 to {_MAX_TOKENS}",
        )


def _check_stream(parsed: dict[str, Any]) -> None:
    if not isinstance(parsed.get("stream", False), bool):
        raise refusal_error(
            refusals.Reason.BAD_BODY, "stream must be true or false"
        )


def make_chat_request(
    envelope: request_types.Envelope,
    kind: str,
    body: dict[str, Any],
    raw: bytes,
) -> request_types.ChatRequest:
    """Returns the typed request for a validated body.

    Args:
        envelope: Envelope of the request.
        kind: Label by which the caller groups its requests.
        body: The parsed body.
        raw: The body as sent.
    """
    prompt = orjson.dumps(body["messages"])
    return request_types.ChatRequest(
        envelope=envelope,
        model=body["model"],
        stream=body.get("stream", False),
        kind=kind,
        body=body,
        raw=raw,
        prompt_tokens=max(1, len(prompt) // _ESTIMATED_BYTES_PER_TOKEN),
        max_tokens=body.get("max_tokens", _DEFAULT_MAX_TOKENS),
        prefix=_prefix_hashes(prompt),
    )


def _prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Returns a hash per block, each of the prompt up to the block's end."""
    blocks = min(len(prompt) // _PREFIX_BLOCK_BYTES, _MAX_PREFIX_BLOCKS)
    digest = xxhash.xxh3_64()
    hashes = []
    for block in range(blocks):
        start = block * _PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + _PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
