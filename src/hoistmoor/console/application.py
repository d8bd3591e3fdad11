"""Parses the ``hoistmoor`` command line and runs the selected command.

A command is an attrs class whose attributes are its flags and arguments. Its
``__call__`` takes no arguments and returns an ``ExitCode``. Results go to
standard output, errors to standard error.
"""

from __future__ import annotations

import sys
from typing import Any, Union

import attrs
import cappa

import hoistmoor
from hoistmoor.console import exit_codes
from hoistmoor.console import registry
from hoistmoor.core import errors

_EXIT_CODE_BY_ERROR: dict[type[Exception], exit_codes.ExitCode] = {
    errors.ConfigurationError: exit_codes.ExitCode.USAGE,
    errors.LogOutcomeUnknownError: exit_codes.ExitCode.UNKNOWN,
    errors.PlatformError: exit_codes.ExitCode.UNAVAILABLE,
}


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        arguments: Command-line arguments without the program name; None
            to use ``sys.argv``.
    """
    try:
        code = cappa.invoke(
            _build_command(),
            argv=sys.argv[1:] if arguments is None else arguments,
            version=hoistmoor.__version__,
            completion=False,
        )
    except errors.HoistmoorError as error:
        sys.stderr.write(f"hoistmoor: {error}\n")
        return _exit_code_for(error)
    except KeyboardInterrupt:
        return exit_codes.ExitCode.FAILED
    return int(code or exit_codes.ExitCode.DONE)


def _build_command() -> cappa.Command[Any]:
    """Returns the root command with all registered subcommands."""
    commands: Any = Union[registry.find_commands()]  # noqa: UP007
    subcommands: Any = cappa.Subcommands
    root = attrs.make_class(
        "Hoistmoor", {"command": attrs.field(type=subcommands[commands])}
    )
    cappa.command(
        root, name="hoistmoor", help="Operates a hoistmoor deployment."
    )
    return cappa.Command.get(root)


def _exit_code_for(error: errors.HoistmoorError) -> exit_codes.ExitCode:
    for error_type, code in _EXIT_CODE_BY_ERROR.items():
        if isinstance(error, error_type):
            return code
    return exit_codes.ExitCode.FAILED
