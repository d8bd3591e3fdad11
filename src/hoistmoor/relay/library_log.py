"""Passes the messages of libraries to the event log.

By default they are written to standard error: at any rate that callers set by
sending malformed requests, with a traceback each, and blocking the process
while nobody reads them.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hoistmoor.utils import error_place

if TYPE_CHECKING:
    from hoistmoor.relay import event_log


class EventLogHandler(logging.Handler):
    """Writes one bounded line for each message."""

    def __init__(self, log: event_log.EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a message; the log limits their rate."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.write(
            "library_message",
            logger=record.name,
            level=record.levelname,
            message=record.getMessage(),
            error=repr(error) if error else None,
            place=error_place.innermost(error) if error else None,
        )


def attach(log: event_log.EventLog) -> None:
    """Passes the messages of all libraries to a log."""
    logging.getLogger().addHandler(EventLogHandler(log))
