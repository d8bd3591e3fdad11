"""Signing keys derived from the deployment's secrets, one set per purpose."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

MAC_BYTES = 16
_HASH = "sha256"


@attrs.frozen
class KeyRing:
    """The keys of one purpose; the first one signs, all of them verify.

    Attributes:
        keys: At least one key; excluded from ``repr``.
    """

    keys: tuple[bytes, ...] = attrs.field(repr=False)

    @classmethod
    def derive(cls, secrets: Iterable[str], purpose: str) -> KeyRing:
        """Derives the keys of ``purpose`` from the deployment's secrets.

        A signature made for one purpose does not verify for another.
        """
        return cls(
            tuple(
                hmac.digest(secret.encode(), purpose.encode(), _HASH)
                for secret in secrets
            )
        )

    def find_key(self, text: bytes, mac: bytes) -> bytes | None:
        """Returns the key for which ``mac`` authenticates ``text``, or None."""
        for key in self.keys:
            if hmac.compare_digest(mac, compute_mac(key, text)):
                return key
        return None


def compute_mac(key: bytes, text: bytes) -> bytes:
    """Returns the message authentication code of ``text``."""
    return hmac.digest(key, text, _HASH)[:MAC_BYTES]


def fingerprint(key: str) -> str:
    """Returns the SHA-256 of a bearer key in hexadecimal."""
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()
