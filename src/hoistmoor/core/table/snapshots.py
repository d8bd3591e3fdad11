"""Schedule for appending snapshots of the table to the log.

Retention deletes old records, including the edits that produced the table. A
snapshot replaces them. A new one must be appended while the previous one is
still usable, even if the log is idle.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import limits

# Replaying 200 edits of a table of 2,000 rows takes about a second.
MAX_RECORDS_BETWEEN = 200
# Holds even if retention is about to delete the last one.
MIN_SECONDS_BETWEEN = 10.0


@attrs.frozen
class LogState:
    """State of the table's stream as known to the steward.

    Attributes:
        first: Lowest offset that is still retained.
        next: Offset of the next record to be appended.
        snapshot_as_of: ``as_of`` of the latest snapshot read; -1 if none.
        snapshot_at: When it was appended, in seconds since the epoch.
    """

    first: int
    next: int
    snapshot_as_of: int = -1
    snapshot_at: float = 0.0


def is_usable(snapshot: edits.TableSnapshot, offset: int, first: int) -> bool:
    """Returns whether a starting host can use a snapshot on the log.

    Args:
        snapshot: The snapshot.
        offset: Offset of the snapshot record itself.
        first: Lowest offset that is still retained.
    """
    return first - 1 <= snapshot.as_of < offset


def is_due(current: fold.TableFold, log: LogState, now: float) -> bool:
    """Returns whether the steward should append a snapshot now.

    Args:
        current: The steward's fold.
        log: State of the stream.
        now: Seconds since the epoch.
    """
    if current.active.revision < 0:
        return False
    if now - log.snapshot_at < MIN_SECONDS_BETWEEN:
        return False
    interval = limits.value(current.active.table, "table_snapshot_seconds")
    if now - log.snapshot_at >= interval:
        return True
    if current.as_of - log.snapshot_as_of >= MAX_RECORDS_BETWEEN:
        return True
    return _is_retention_close(log)


def _is_retention_close(log: LogState) -> bool:
    """Returns whether the snapshot is in the older half of the log."""
    if log.first == 0:
        return False
    return log.snapshot_as_of - log.first < log.next - log.snapshot_as_of


def encode_snapshot(current: fold.TableFold) -> bytes:
    """Returns the encoded snapshot of ``current``."""
    return codec.encode(current.snapshot())
