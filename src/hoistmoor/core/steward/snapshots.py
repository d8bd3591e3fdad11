"""Decides when to append a new snapshot to the stream ``steward``."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.steward import fold as fold_lib

MAX_RECORDS_BETWEEN = 500  # About 40 minutes of lease renewals.
TAIL_RECORDS = 4 * MAX_RECORDS_BETWEEN  # Read first by a starting process.


def is_due(fold: fold_lib.StewardFold, first: int) -> bool:
    """Returns whether the active steward should append a snapshot now.

    Args:
        fold: Fold of the stream up to its end.
        first: Oldest offset still on the log.
    """
    if not fold.complete:
        return False
    return is_summary_due(fold.snapshot_as_of, fold.next_offset, first)


def is_summary_due(as_of: int, next_offset: int, first: int) -> bool:
    """Returns whether a new summary of any stream is due.

    Args:
        as_of: Offset of the last record that the newest summary includes; -1
            without a summary.
        next_offset: Offset after the last record of the stream.
        first: Oldest offset still on the log.
    """
    since = next_offset - 1 - as_of
    if since >= MAX_RECORDS_BETWEEN:
        return True
    if first == 0:
        return False
    # ``as_of`` is in the older half of the log, so that retention may soon pass
    # it and make the summary useless.
    return as_of - first < since
