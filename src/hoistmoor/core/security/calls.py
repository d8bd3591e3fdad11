"""Signatures of calls between hosts.

A signature covers the caller, the callee, the time, the method and a digest
of the body, so that a call can be rejected before its body is read.

Calls and replies are signed with a secret of the deployment. The timestamp of
a call is the callee's time as estimated by the caller. A host that receives a
call with a timestamp outside the tolerance returns its own time, signed, and
the caller signs the call again. Clocks therefore need not be synchronized.
"""

from __future__ import annotations

import binascii
import enum
import hashlib
import hmac
import itertools
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.security import keys
from hoistmoor.core.security import replays

if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum difference from the callee's clock, in seconds.
CLOCK_TOLERANCE_SECONDS = 10.0
_PURPOSE = "hoistmoor peer call 1"
_MS_PER_SECOND = 1000
_MAX_HEADER_CHARS = 512
_DIGEST_BYTES = 16
_STAMP_FIELDS = 6
_REPLY_PREFIX = b"reply\n"
_TIME_PREFIX = b"time\n"


class RejectionReason(enum.StrEnum):
    """Reason for the rejection of a call."""

    UNSIGNED = "unsigned"
    MALFORMED = "malformed"
    MISDIRECTED = "misdirected"
    WRONG_SIGNATURE = "wrong_signature"
    SKEWED = "skewed"
    REPLAYED = "replayed"
    ALTERED = "altered"


@attrs.frozen
class SignatureParameters:
    """The signed parameters of a call.

    Attributes:
        host: Name of the calling host.
        incarnation: Incarnation of the calling host.
        serial: Sequence number of the call within the incarnation, from 1.
        at_ms: Milliseconds since the epoch by the callee's clock.
        callee: ``ip:port`` of the callee.
        digest: Digest of the body, in hexadecimal.
    """

    host: str
    incarnation: int
    serial: int
    at_ms: int
    callee: str
    digest: str

    @property
    def caller(self) -> str:
        """Identifier of the calling process."""
        return f"{self.host}.{self.incarnation}"

    def __str__(self) -> str:
        """Returns the text that is sent and signed."""
        return (
            f"{self.host} {self.incarnation} {self.serial} {self.at_ms} "
            f"{self.callee} {self.digest}"
        )


@attrs.frozen
class SignedCall:
    """The signature of an outgoing call.

    Attributes:
        header: Header value to send with the call.
        mac: Message authentication code; the reply's code covers it.
    """

    header: str
    mac: bytes


@attrs.frozen
class AuthenticatedCall:
    """An authenticated call that is not a replay.

    Attributes:
        parameters: The signed parameters.
        mac: Message authentication code of the call.
        key: Key that signed the call; the reply is signed with it too.
    """

    parameters: SignatureParameters
    mac: bytes
    key: bytes = attrs.field(repr=False)

    def matches_body(self, body: bytes) -> bool:
        """Returns whether ``body`` matches the signed digest."""
        return hmac.compare_digest(self.parameters.digest, _digest(body))

    def sign_reply(self, body: bytes) -> str:
        """Returns the header value to send with the reply ``body``."""
        return keys.compute_mac(self.key, _REPLY_PREFIX + self.mac + body).hex()


@attrs.frozen
class RejectedCall:
    """A rejected call.

    Attributes:
        reason: Reason for the rejection.
        caller: Claimed caller; empty if the header does not name one.
        time_header: Header value with this host's signed time, or empty.
    """

    reason: RejectionReason
    caller: str = ""
    time_header: str = ""


class Signer:
    """Signs the outgoing calls of one process."""

    def __init__(
        self, host: str, incarnation: int, secrets: Sequence[str]
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._key_ring = keys.KeyRing.derive(secrets, _PURPOSE)
        self._serials = itertools.count(1)

    def sign(
        self, method: str, callee: str, body: bytes, now: float
    ) -> SignedCall:
        """Returns the signature of a call.

        Args:
            method: Path of the method.
            callee: ``ip:port`` of the callee.
            body: The encoded message.
            now: The callee's time in seconds since the epoch.
        """
        stamp = SignatureParameters(
            self._host,
            self._incarnation,
            next(self._serials),
            int(now * _MS_PER_SECOND),
            callee,
            _digest(body),
        )
        text = str(stamp)
        mac = keys.compute_mac(
            self._key_ring.keys[0], _signed_text(method, text)
        )
        return SignedCall(f"{text} {mac.hex()}", mac)

    def verify_reply(
        self, signed: SignedCall, header: str | None, body: bytes
    ) -> bool:
        """Returns whether ``header`` authenticates a reply to ``signed``."""
        mac = _from_hex(header or "")
        text = _REPLY_PREFIX + signed.mac + body
        return self._key_ring.find_key(text, mac) is not None

    def read_time(self, signed: SignedCall, header: str | None) -> float | None:
        """Returns the callee's time from a rejection.

        Returns:
            Seconds since the epoch, or None if ``header`` does not hold a
            time signed for this call.
        """
        at_ms, _, mac = (header or "").partition(" ")
        text = _TIME_PREFIX + signed.mac + at_ms.encode()
        if self._key_ring.find_key(text, _from_hex(mac)) is None:
            return None
        return int(at_ms) / _MS_PER_SECOND


class Verifier:
    """Authenticates the incoming calls of one process.

    Args:
        callee: ``ip:port`` at which other hosts call this process.
        secrets: Secrets of the deployment; a call may be signed with any.
        started_at: When the process began to accept calls, in seconds since
            the epoch. Earlier calls are rejected, because the previous
            process at this address may have executed them.
    """

    def __init__(
        self, callee: str, secrets: Sequence[str], started_at: float
    ) -> None:
        self.callee = callee
        self._key_ring = keys.KeyRing.derive(secrets, _PURPOSE)
        self._started_ms = int(started_at * _MS_PER_SECOND)
        self._replays = replays.ReplayWindows(3 * CLOCK_TOLERANCE_SECONDS)

    def verify(
        self, method: str, header: str | None, now: float
    ) -> AuthenticatedCall | RejectedCall:
        """Authenticates a call by its header.

        The caller of this method must still compare the body with the signed
        digest.

        Args:
            method: Path of the method.
            header: Header value received with the call, if any.
            now: Seconds since the epoch.
        """
        if not header:
            return RejectedCall(RejectionReason.UNSIGNED)
        text, _, mac_text = header.rpartition(" ")
        stamp = _parse(text)
        if stamp is None:
            return RejectedCall(RejectionReason.MALFORMED)
        mac = _from_hex(mac_text)
        # Verifies the text as received: parsing and formatting it again could
        # yield bytes that were never signed.
        key = self._key_ring.find_key(_signed_text(method, text), mac)
        if key is None:
            return RejectedCall(RejectionReason.WRONG_SIGNATURE, stamp.caller)
        return self._check_parameters(AuthenticatedCall(stamp, mac, key), now)

    def _check_parameters(
        self, call: AuthenticatedCall, now: float
    ) -> AuthenticatedCall | RejectedCall:
        stamp = call.parameters
        if stamp.callee != self.callee:
            return RejectedCall(RejectionReason.MISDIRECTED, stamp.caller)
        is_skewed = (
            abs(stamp.at_ms / _MS_PER_SECOND - now) > CLOCK_TOLERANCE_SECONDS
        )
        if is_skewed or stamp.at_ms < self._started_ms:
            return RejectedCall(
                RejectionReason.SKEWED, stamp.caller, _time_header(call, now)
            )
        if not self._replays.record(stamp.caller, stamp.serial, now):
            return RejectedCall(RejectionReason.REPLAYED, stamp.caller)
        return call


def _signed_text(method: str, stamp: str) -> bytes:
    return f"{method} {stamp}".encode(errors="backslashreplace")


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).digest()[:_DIGEST_BYTES].hex()


def _time_header(call: AuthenticatedCall, now: float) -> str:
    at_ms = str(int(now * _MS_PER_SECOND))
    mac = keys.compute_mac(call.key, _TIME_PREFIX + call.mac + at_ms.encode())
    return f"{at_ms} {mac.hex()}"


def _parse(text: str) -> SignatureParameters | None:
    fields = text.split(" ")
    if len(text) > _MAX_HEADER_CHARS or len(fields) != _STAMP_FIELDS:
        return None
    host, incarnation, serial, at_ms, callee, digest = fields
    try:
        return SignatureParameters(
            host, int(incarnation), int(serial), int(at_ms), callee, digest
        )
    except ValueError:
        return None


def _from_hex(text: str) -> bytes:
    try:
        return binascii.unhexlify(text)
    except ValueError:  # Also raised for text that is not ASCII.
        return b""
