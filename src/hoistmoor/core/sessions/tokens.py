"""Session tokens: signed pins that callers send back with each request.

Any host that has the deployment's secrets can verify a token statelessly.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFIX = "hms1."
_MAC_BYTES = 16
_MAX_TOKEN_CHARS = 2048


class SessionTokenError(errors.HoistmoorError):
    """A session header holds an invalid token."""


@attrs.frozen
class SessionToken:
    """The payload of a session token.

    Attributes:
        account: Client account that the token was issued to.
        session: Name of the session, unique within the account.
        model: Model name that the caller sent when the session was pinned.
        version: Key of the pinned version, ``model@version``.
        issued_at: Seconds since the epoch.
    """

    account: str
    session: str
    model: str
    version: str
    issued_at: float


codec.register("session", SessionToken)


def is_token(header_value: str) -> bool:
    """Returns whether the header holds a token and not a plain session id."""
    return header_value.startswith(PREFIX)


def sign(token: SessionToken, secrets: Sequence[str]) -> str:
    """Encodes ``token`` as a header value, signed with the first secret."""
    body = codec.encode(token)
    return PREFIX + _encode_base64(_mac(body, secrets[0]) + body)


def verify(
    header_value: str, account: str, secrets: Sequence[str]
) -> SessionToken:
    """Decodes a header value and verifies its signature and account.

    Args:
        header_value: Header value that starts with ``PREFIX``.
        account: Client account that sent the token.
        secrets: Accepted secrets, newest first.

    Raises:
        SessionTokenError: The token is malformed, its signature matches none
            of the secrets, or it was issued to another account.
    """
    data = _decode_base64(header_value)
    mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
    if not any(_verify_mac(mac, body, secret) for secret in secrets):
        raise SessionTokenError(
            "the session token is not signed by this deployment",
            "Send no session header to begin a new session.",
        )
    token = codec.decode(body)
    if not isinstance(token, SessionToken) or token.account != account:
        raise SessionTokenError(
            "the session token belongs to another client account",
            "Send the token with the key of the account it was issued to.",
        )
    return token


def _mac(body: bytes, secret: str) -> bytes:
    digest = hmac.new(secret.encode(), PREFIX.encode() + body, hashlib.sha256)
    return digest.digest()[:_MAC_BYTES]


def _verify_mac(mac: bytes, body: bytes, secret: str) -> bool:
    return hmac.compare_digest(mac, _mac(body, secret))


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode_base64(header_value: str) -> bytes:
    text = header_value.removeprefix(PREFIX)
    padding = "=" * (-len(text) % 4)
    try:
        if len(text) > _MAX_TOKEN_CHARS:
            raise ValueError("too long")
        return base64.b64decode(text + padding, altchars=b"-_", validate=True)
    except (ValueError, binascii.Error) as error:
        raise SessionTokenError(
            "the session token is damaged",
            "Send it as received, or send none to begin a new session.",
        ) from error
