"""How the console gets at entry hosts: an operator's key, and TLS.

Both come from the environment, the same for all commands:
``HOISTMOOR_OPERATOR_KEY`` and ``HOISTMOOR_TLS_CA``. Without the second,
connections are plain.
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
AUTHORITY_VARIABLE = "HOISTMOOR_TLS_CA"


def get(
    session: aiohttp.ClientSession, address: str, path: str, timeout: float
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Asks an entry host as an operator.

    Args:
        session: An open session.
        address: ``ip:port`` of the host.
        path: What to ask.
        timeout: Seconds for the whole answer.

    Raises:
        ConfigurationError: The file of the authority is no good.
    """
    link = _link(os.environ.get(AUTHORITY_VARIABLE, ""))
    return session.get(
        link.url(address, path),
        headers=_headers(os.environ.get(KEY_VARIABLE, "")),
        ssl=link.verify,
        timeout=aiohttp.ClientTimeout(total=timeout),
    )


@functools.cache
def _link(authority: str) -> tls.Link:
    return tls.make_link(authority) if authority else tls.PLAIN


def _headers(key: str) -> dict[str, Any]:
    return {"Authorization": f"Bearer {key}"} if key else {}
