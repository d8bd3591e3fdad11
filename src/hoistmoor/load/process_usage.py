"""CPU time and memory of processes, read from ``/proc``."""

from __future__ import annotations

import os
import pathlib

import attrs

from hoistmoor.core import errors

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_NAME_FIELDS = 2  # Leading fields of /proc/PID/stat: pid and process name.
_USER_TICKS_INDEX = 13 - _NAME_FIELDS
_SYSTEM_TICKS_INDEX = 14 - _NAME_FIELDS
_RESIDENT_PAGES_INDEX = 23 - _NAME_FIELDS


@attrs.frozen
class Usage:
    """The resource usage of a process.

    Attributes:
        cpu_seconds: Total CPU time, in user and system mode.
        resident_bytes: Resident memory in bytes.
    """

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Returns the usage of a process.

    Raises:
        ConfigurationError: The process does not exist.
    """
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError as error:
        raise errors.ConfigurationError(
            f"--pid {pid} is not a process", "Give the id of a running entry."
        ) from error
    # The name may contain spaces and parentheses, so split after the last
    # parenthesis.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    return Usage(
        ticks / _TICKS_PER_SECOND,
        int(fields[_RESIDENT_PAGES_INDEX]) * _PAGE_BYTES,
    )
