"""Headers of requests that one relay forwards for another.

They are sent between relays only, and reach neither servers nor callers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.links import notices

if TYPE_CHECKING:
    from collections.abc import Mapping

# Identity of the server that a request is for, or that a question is about.
SERVER = "X-Relay-Server"
QUESTION = "X-Relay-Question"
# Whether the request may run again, so that an open connection may be used.
REPEATABLE = "X-Relay-Repeatable"
SECONDS = "X-Relay-Seconds"  # Time until the forwarding host gives up.
ACCOUNT = "X-Relay-Account"  # Client account whose memory share is used.
# Notices of the server that the asking host knows of, separated by commas.
# Earlier versions neither send the header nor understand ``BARRED``.
NOTICES = "X-Relay-Notices"
RESULT = "X-Relay-Result"  # One of ``ForwardResult``.
LOAD = "X-Relay-Load"  # Requests that the forwarding host forwards.

ALL = frozenset(
    name.lower()
    for name in (
        SERVER,
        QUESTION,
        REPEATABLE,
        SECONDS,
        ACCOUNT,
        NOTICES,
        RESULT,
        LOAD,
    )
)


def parse_result(headers: Mapping[str, str]) -> forwarders.ForwardResult:
    """Returns what the other host did; earlier versions do not say."""
    try:
        return forwarders.ForwardResult(headers.get(RESULT, ""))
    except ValueError:
        return forwarders.ForwardResult.UNSUPPORTED


def format_notices(known: frozenset[notices.Notice]) -> str:
    """Returns the header value for the notices that a host knows of."""
    return ",".join(sorted(known))


def parse_notices(headers: Mapping[str, str]) -> frozenset[notices.Notice]:
    """Returns the notices that the asking host knows of."""
    words = frozenset(headers.get(NOTICES, "").split(","))
    return frozenset(each for each in notices.Notice if each in words)


def parse_load(headers: Mapping[str, str]) -> int:
    """Returns how many requests the other host forwards; 0 if not said."""
    text = headers.get(LOAD, "")
    return int(text) if text.isascii() and text.isdigit() else 0


_MAY_HAVE_RUN = frozenset(
    {forwarders.ForwardResult.SENT, forwarders.ForwardResult.INTERRUPTED}
)


@attrs.frozen
class ForwardingDialect(dialect_lib.Dialect):
    """How a host responds that forwards a request to a server."""

    def is_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Returns whether a response head says that nothing was executed."""
        if parse_result(headers) not in _MAY_HAVE_RUN:
            return True
        return super().is_not_run(status, headers)
