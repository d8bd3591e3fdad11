"""Tells whether two requests ask for the same, whoever carries them.

Each try of a caller has another id, and comes to any host. What stays is what
the backend server is asked for, and for whom.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 12  # Two of a billion requests agree with a chance of 1e-11.
_SEPARATOR = b"\0"  # Stands in no method, host, path or account's name.


def of_request(
    method: str, host: str, target: str, account: str, body: bytes
) -> str:
    """Returns the same text for the same request, in hexadecimal.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query as written.
        account: Name of the client account; empty on an anonymous route.
        body: The body, whole.
    """
    words = (method, host, target, account)
    head = _SEPARATOR.join(word.encode() for word in words)
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
