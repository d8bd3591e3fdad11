"""Upper bounds on the encoded size of updates, in bytes.

Digests are encoded outside the core. A test compares these bounds with the
actual protobuf encoding.
"""

from __future__ import annotations

from functools import singledispatch

from hoistmoor.core.membership import messages

_SHORT_FIELD = 2  # Tag and length, or tag and a one-byte number.
_INCARNATION_FIELD = 7  # Tag and milliseconds since the epoch.
_UINT32_FIELD = 6  # Tag and a number below 2**32.


def _text_size(value: str) -> int:
    return len(value.encode()) + _SHORT_FIELD if value else 0


@singledispatch
def update_size(update: object) -> int:
    """Returns the maximum number of bytes that an update adds to a digest."""
    raise NotImplementedError(type(update).__name__)


@update_size.register
def _member_size(update: messages.MemberNews) -> int:
    texts = (
        update.name,
        update.http_address,
        update.peer_address,
        update.failure_domain,
        update.region,
    )
    numbers = _INCARNATION_FIELD + 2 * _UINT32_FIELD + _SHORT_FIELD
    return 2 * _SHORT_FIELD + numbers + sum(map(_text_size, texts))


@update_size.register
def _server_size(update: messages.ServerNews) -> int:
    return (
        _SHORT_FIELD
        + _INCARNATION_FIELD
        + _UINT32_FIELD
        + _text_size(update.address)
    )
