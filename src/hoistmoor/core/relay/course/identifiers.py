"""Identifiers that callers choose, such as prompt parts and sessions.

They are compared and stored, never sent back: servers get the caller's headers
as they came.
"""

from __future__ import annotations

import hashlib

# Characters that are kept: a digest of 256 bits in hexadecimal.
MAX_CHARACTERS = 64
DIGEST_BYTES = 16  # Collision probability among 1e9 identifiers: 1e-21.
# Begins the digest of an identifier, as none in hexadecimal does.
DIGEST_MARK = "#"


def bound(identifier: str) -> str:
    """Returns an identifier of at most ``MAX_CHARACTERS`` characters.

    A longer one, or one with bytes that are no text, is replaced by a digest:
    equal identifiers stay equal on all hosts.
    """
    if len(identifier) <= MAX_CHARACTERS and _is_text(identifier):
        return identifier
    data = identifier.encode(errors="surrogateescape")
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES)
    return DIGEST_MARK + digest.hexdigest()


def bound_all(identifiers: tuple[str, ...]) -> tuple[str, ...]:
    """Returns identifiers that are each bounded."""
    return tuple(map(bound, identifiers))


def _is_text(identifier: str) -> bool:
    """Returns whether an identifier has no bytes that are not UTF-8."""
    return identifier.isascii() or not any(
        "\ud800" <= character <= "\udfff" for character in identifier
    )
