"""Exit codes of ``hoistmoor``, which scripts can rely on."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command."""

    DONE = 0
    FAILED = 1  # A failure that no other code describes.
    USAGE = 2  # Invalid flags or arguments; nothing was attempted.
    FAULTS = 3  # Sheets have faults (nothing was published), or bills do.
    REJECTED = 4  # The edit conflicts with another one or failed the checks.
    UNAVAILABLE = 5  # The platform is unreachable; nothing was changed.
    UNKNOWN = 6  # The append got no reply and is not visible on the log yet.
    LAGGING = 7  # Accepted, but not active on every host before the timeout.
