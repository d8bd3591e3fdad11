"""Says in one line where an error was raised."""

from __future__ import annotations

import traceback


def innermost(error: BaseException) -> str:
    """Returns the file, line and function that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"
