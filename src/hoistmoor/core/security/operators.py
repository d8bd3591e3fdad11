"""Verification of operator keys, of which the hosts store only hashes."""

from __future__ import annotations

import hmac
import re
from typing import TYPE_CHECKING

from hoistmoor.core.security import keys

if TYPE_CHECKING:
    from collections.abc import Iterable

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def is_key_hash(text: str) -> bool:
    """Returns whether ``text`` is formatted as a SHA-256 in hexadecimal."""
    return _SHA256_HEX.fullmatch(text) is not None


def is_operator(key: str, hashes: Iterable[str]) -> bool:
    """Returns whether the hash of ``key`` is among ``hashes``."""
    fingerprint = keys.fingerprint(key)
    return any(hmac.compare_digest(fingerprint, known) for known in hashes)
