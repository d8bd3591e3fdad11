"""Reads a program's settings from its flags and environment.

Exit codes of every program: 0 success, 1 failure, 2 invalid flags or settings.
"""

from __future__ import annotations

import sys
from typing import TypeVar

import cappa

import hoistmoor
from hoistmoor.config import checks
from hoistmoor.config import environment
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import errors

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

_S = TypeVar("_S", bound=settings_lib.CommonSettings)


def read(program: type[_S], arguments: list[str] | None = None) -> _S:
    """Returns the validated settings.

    Args:
        program: The settings class of the program.
        arguments: Arguments after the program's name; None for those of this
            process.

    Raises:
        ConfigurationError: A setting is invalid.
        SystemExit: For ``--help``, ``--version`` or an unknown flag.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    if environment.secret_on_command_line(argv):
        raise errors.ConfigurationError(
            "--secret is not a flag, as other users can read command lines",
            f"Set {environment.SECRET_VARIABLE} instead.",
        )
    settings = cappa.parse(
        program, argv=argv, version=hoistmoor.__version__, completion=False
    )
    checks.check(settings)
    return settings


def read_or_exit(program: type[_S], arguments: list[str] | None = None) -> _S:
    """Returns the validated settings, or exits with ``EXIT_USAGE``."""
    try:
        return read(program, arguments)
    except errors.ConfigurationError as error:
        print(error, file=sys.stderr)  # noqa: T201
        sys.exit(EXIT_USAGE)
