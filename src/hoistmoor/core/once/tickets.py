"""Signed tickets: idempotency keys that only their issuer accepts.

A ticket names the incarnation that issued it. Its state exists only in the
memory of that process, so no other host can run it and no log is needed. When
the process ends, the outcome of its tickets is lost.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs
import orjson

from hoistmoor.core import identity

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFIX = "tkt."
_MAC_BYTES = 16


@attrs.frozen
class Ticket:
    """Contents of a ticket.

    Attributes:
        incarnation: The process that issued it.
        address: ``ip:port`` of the issuer's interface for callers.
        serial: Sequence number among the issuer's tickets, from 1.
        account: The client account that may use it.
        expires_at: Seconds since the epoch.
    """

    incarnation: identity.Incarnation
    address: str
    serial: int
    account: str
    expires_at: float


def is_ticket(key: str) -> bool:
    """Returns whether an idempotency key has the format of a ticket."""
    return key.startswith(PREFIX)


def sign(ticket: Ticket, secrets: Sequence[bytes]) -> str:
    """Encodes a ticket as an idempotency key signed with the first secret."""
    fields = [
        ticket.incarnation.host,
        ticket.incarnation.number,
        ticket.address,
        ticket.serial,
        ticket.account,
        ticket.expires_at,
    ]
    payload = _encode(orjson.dumps(fields))
    return f"{PREFIX}{payload}.{_mac(payload, secrets[0])}"


def verify(text: str, secrets: Sequence[bytes]) -> Ticket:
    """Decodes and verifies a ticket.

    Raises:
        ValueError: The text is malformed, or not signed with a known secret.
    """
    payload, _, mac = text.removeprefix(PREFIX).partition(".")
    if not any(_is_mac(mac, payload, secret) for secret in secrets):
        raise ValueError("ticket signature does not match any secret")
    host, number, address, serial, account, expires_at = orjson.loads(
        _decode(payload)
    )
    incarnation = identity.Incarnation(host, number)
    return Ticket(incarnation, address, serial, account, expires_at)


def _mac(payload: str, secret: bytes) -> str:
    digest = hmac.new(secret, payload.encode(), hashlib.sha256).digest()
    return _encode(digest[:_MAC_BYTES])


def _is_mac(mac: str, payload: str, secret: bytes) -> bool:
    expected = _mac(payload, secret)
    return hmac.compare_digest(mac.encode(), expected.encode())


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
