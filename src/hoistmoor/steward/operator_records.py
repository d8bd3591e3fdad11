"""Appends operators' records to the stream ``steward``.

Each record states the desired state rather than a change. This makes appends
idempotent: a record whose reply was lost can be appended again.
"""

from __future__ import annotations

from collections.abc import Callable
import contextlib
from typing import Any, TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.steward import rollouts
from hoistmoor.steward import stream

if TYPE_CHECKING:
    from hoistmoor.clients import log

Check = Callable[[rollouts.RolloutView], bool]


async def read_stream(client: log.LogClient) -> stream.StewardStream:
    """Returns the stream, read to its current end.

    Raises:
        PlatformError: The log could not be read.
    """
    reader = stream.StewardStream(client)
    await reader.catch_up()
    return reader


async def append_and_confirm(
    client: log.LogClient, record: Any, is_in_force: Check
) -> rollouts.RolloutView:
    """Appends ``record`` and confirms by reading that it is in force.

    Args:
        client: Client of the platform's log.
        record: The record to append.
        is_in_force: Returns whether a view shows the state that the record
            requests.

    Raises:
        LogUnavailableError: The record was not stored.
        LogOutcomeUnknownError: The reply was lost and the record was not
            found in force.
        PlatformError: The log could not be read, or the record had no effect.
    """
    reply_lost = False
    try:
        await client.append(streams.STEWARD, codec.encode(record))
    except errors.LogOutcomeUnknownError:
        reply_lost = True
    reader = stream.StewardStream(client)
    with contextlib.suppress(errors.LogUnavailableError):
        await reader.catch_up()
        if is_in_force(reader.fold.view()):
            return reader.fold.view()
        if not reply_lost:
            raise errors.PlatformError(
                "the record is on the log but had no effect",
                "Check `hoistmoor rollout status`.",
            )
    raise errors.LogOutcomeUnknownError(
        "the record may or may not be on the log",
        "Run the same command again; it is idempotent.",
    )
