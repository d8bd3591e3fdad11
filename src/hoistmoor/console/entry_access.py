"""Authenticated HTTP requests to entry hosts.

The operator key and the CA file for TLS come from the environment variables
``HOISTMOOR_OPERATOR_KEY`` and ``HOISTMOOR_TLS_CA``, for all commands alike.
Without a CA file, connections are unencrypted.
"""

from __future__ import annotations

import functools
import os
from typing import Any, TYPE_CHECKING

import aiohttp

from hoistmoor.utils import tls

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

KEY_VARIABLE = "HOISTMOOR_OPERATOR_KEY"
CA_FILE_VARIABLE = "HOISTMOOR_TLS_CA"


def get(
    session: aiohttp.ClientSession, address: str, path: str, timeout: float
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Sends a GET request to an entry host with the operator key.

    Args:
        session: Open HTTP session.
        address: ``ip:port`` of the host.
        path: Path to request, with the query.
        timeout: Seconds until the complete response must have arrived.

    Raises:
        ConfigurationError: The CA file is missing or invalid.
    """
    link = _tls_link(os.environ.get(CA_FILE_VARIABLE, ""))
    return session.get(
        link.url(address, path),
        headers=_headers(os.environ.get(KEY_VARIABLE, "")),
        ssl=link.verify,
        timeout=aiohttp.ClientTimeout(total=timeout),
    )


@functools.cache
def _tls_link(ca_file: str) -> tls.Link:
    return tls.make_link(ca_file) if ca_file else tls.PLAIN


def _headers(key: str) -> dict[str, Any]:
    return {"Authorization": f"Bearer {key}"} if key else {}
