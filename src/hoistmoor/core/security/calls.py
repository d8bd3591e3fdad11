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

TOLERANCE = 10.0  # Maximum difference from the callee's clock, in seconds.
_PURPOSE = "hoistmoor peer call 1"
_MS_PER_SECOND = 1000
_MAX_HEADER_CHARS = 512
_DIGEST_BYTES = 16
_STAMP_FIELDS = 6
_REPLY_PREFIX = b"reply\n"
_TIME_PREFIX = b"time\n"


class Why(enum.StrEnum):
    """Reason for the rejection of a call."""

    UNSIGNED = "unsigned"
    MALFORMED = "malformed"
    MISDIRECTED = "misdirected"
    WRONG_SIGNATURE = "wrong_signature"
    SKEWED = "skewed"
    REPLAYED = "replayed"
    ALTERED = "altered"


@attrs.frozen
class Stamp:
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
class Signed:
    """The signature of an outgoing call.

    Attributes:
        header: Header value to send with the call.
        mac: Message authentication code; the reply's code covers it.
    """

    header: str
    mac: bytes


@attrs.frozen
class Genuine:
    """An authenticated call that is not a replay.

    Attributes:
        stamp: The signed parameters.
        mac: Message authentication code of the call.
        key: Key that signed the call; the reply is signed with it too.
    """

    stamp: Stamp
    mac: bytes
    key: bytes = attrs.field(repr=False)

    def is_body(self, body: bytes) -> bool:
        """Returns whether ``body`` matches the signed digest."""
        return hmac.compare_digest(self.stamp.digest, _digest(body))

    def reply_header(self, body: bytes) -> str:
        """Returns the header value to send with the reply ``body``."""
        return keys.sign(self.key, _REPLY_PREFIX + self.mac + body).hex()


@attrs.frozen
class Refused:
    """A rejected call.

    Attributes:
        why: Reason for the rejection.
        caller: Claimed caller; empty if the header does not name one.
        time_header: Header value with this host's signed time, or empty.
    """

    why: Why
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

    def sign(self, method: str, callee: str, body: bytes, now: float) -> Signed:
        """Returns the signature of a call.

        Args:
            method: Path of the method.
            callee: ``ip:port`` of the callee.
            body: The encoded message.
            now: The callee's time in seconds since the epoch.
        """
        stamp = Stamp(
            self._host,
            self._incarnation,
            next(self._serials),
            int(now * _MS_PER_SECOND),
            callee,
            _digest(body),
        )
        text = str(stamp)
        mac = keys.sign(self._key_ring.keys[0], _signed_text(method, text))
        return Signed(f"{text} {mac.hex()}", mac)

    def is_reply(self, signed: Signed, header: str | None, body: bytes) -> bool:
        """Returns whether ``header`` authenticates a reply to ``signed``."""
        mac = _from_hex(header or "")
        text = _REPLY_PREFIX + signed.mac + body
        return self._key_ring.signer_of(text, mac) is not None

    def time_of(self, signed: Signed, header: str | None) -> float | None:
        """Returns the callee's time from a rejection.

        Returns:
            Seconds since the epoch, or None if ``header`` does not hold a
            time signed for this call.
        """
        at_ms, _, mac = (header or "").partition(" ")
        text = _TIME_PREFIX + signed.mac + at_ms.encode()
        if self._key_ring.signer_of(text, _from_hex(mac)) is None:
            return None
        return int(at_ms) / _MS_PER_SECOND


class Verifier:
    """Authenticates the incoming calls of one process.

    Args:
        callee: ``ip:port`` at which other hosts call this process.
        secrets: Secrets of the deployment; a call may be signed with any.
        started: When the process began to accept calls, in seconds since
            the epoch. Earlier calls are rejected, because the previous
            process at this address may have executed them.
    """

    def __init__(
        self, callee: str, secrets: Sequence[str], started: float
    ) -> None:
        self.callee = callee
        self._key_ring = keys.KeyRing.derive(secrets, _PURPOSE)
        self._started_ms = int(started * _MS_PER_SECOND)
        self._replays = replays.ReplayWindows(3 * TOLERANCE)

    def verify(
        self, method: str, header: str | None, now: float
    ) -> Genuine | Refused:
        """Authenticates a call by its header.

        The caller of this method must still compare the body with the signed
        digest.

        Args:
            method: Path of the method.
            header: Header value received with the call, if any.
            now: Seconds since the epoch.
        """
        if not header:
            return Refused(Why.UNSIGNED)
        text, _, mac_text = header.rpartition(" ")
        stamp = _parse(text)
        if stamp is None:
            return Refused(Why.MALFORMED)
        mac = _from_hex(mac_text)
        # Verifies the text as received: parsing and formatting it again could
        # yield bytes that were never signed.
        key = self._key_ring.signer_of(_signed_text(method, text), mac)
        if key is None:
            return Refused(Why.WRONG_SIGNATURE, stamp.caller)
        return self._check_parameters(Genuine(stamp, mac, key), now)

    def _check_parameters(self, call: Genuine, now: float) -> Genuine | Refused:
        stamp = call.stamp
        if stamp.callee != self.callee:
            return Refused(Why.MISDIRECTED, stamp.caller)
        is_skewed = abs(stamp.at_ms / _MS_PER_SECOND - now) > TOLERANCE
        if is_skewed or stamp.at_ms < self._started_ms:
            return Refused(Why.SKEWED, stamp.caller, _time_header(call, now))
        if not self._replays.is_new(stamp.caller, stamp.serial, now):
            return Refused(Why.REPLAYED, stamp.caller)
        return call


def _signed_text(method: str, stamp: str) -> bytes:
    return f"{method} {stamp}".encode(errors="backslashreplace")


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).digest()[:_DIGEST_BYTES].hex()


def _time_header(call: Genuine, now: float) -> str:
    at_ms = str(int(now * _MS_PER_SECOND))
    mac = keys.sign(call.key, _TIME_PREFIX + call.mac + at_ms.encode())
    return f"{at_ms} {mac.hex()}"


def _parse(text: str) -> Stamp | None:
    fields = text.split(" ")
    if len(text) > _MAX_HEADER_CHARS or len(fields) != _STAMP_FIELDS:
        return None
    host, incarnation, serial, at_ms, callee, digest = fields
    try:
        return Stamp(
            host, int(incarnation), int(serial), int(at_ms), callee, digest
        )
    except ValueError:
        return None


def _from_hex(text: str) -> bytes:
    try:
        return binascii.unhexlify(text)
    except ValueError:  # Also raised for text that is not ASCII.
        return b""
