"""Keys of records, whose length the store's format bounds.

Keys are built from names that callers and operators choose, such as the parts
of a prompt, and may be longer than any name.
"""

from __future__ import annotations

import hashlib

# The store's format has one byte for the length of a key in UTF-8.
MAX_BYTES = 255
DIGEST_BYTES = 16  # Collision probability among 1e9 keys: 1e-21.
# Separates the beginning of a long key from the digest.
SEPARATOR = " "


def bound(text: str) -> str:
    """Returns a key of at most ``MAX_BYTES`` bytes that identifies a text.

    A text that fits is its own key, as in earlier versions. A longer one is
    replaced by its beginning and a digest of the whole, so that equal texts
    have equal keys on all hosts.
    """
    data = text.encode()
    if len(data) <= MAX_BYTES:
        return text
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
    end = f"{SEPARATOR}{digest}"
    beginning = data[: MAX_BYTES - len(end)].decode(errors="ignore")
    return beginning + end
