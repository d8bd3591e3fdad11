"""Fingerprints that identify retries of the same request.

Retries by a caller have different request ids and may arrive at different
hosts. The fingerprint therefore covers the content of the request and the
client account.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 12  # Collision probability among 1e9 requests: 1e-11.
_SEPARATOR = b"\0"  # Does not occur in methods, hosts, paths and account names.


def of_request(
    method: str, host: str, target: str, account: str, body: bytes
) -> str:
    """Returns the hexadecimal fingerprint of a request.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query as received.
        account: Name of the client account; empty on an anonymous route.
        body: Complete body.
    """
    fields = (method, host, target, account)
    head = _SEPARATOR.join(field.encode() for field in fields)
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
