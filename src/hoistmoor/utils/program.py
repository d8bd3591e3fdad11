"""Runs a program that serves until a stop signal."""

from __future__ import annotations

import sys
from typing import Any, TYPE_CHECKING, TypeVar

import aiomisc

from hoistmoor.config import command_line
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import errors
from hoistmoor.utils import listening
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_S = TypeVar("_S", bound=settings_lib.CommonSettings)

# Errors that an operator can correct; all others keep their traceback.
_EXIT_CODES: dict[type[errors.HoistmoorError], int] = {
    errors.ConfigurationError: command_line.EXIT_USAGE,
    listening.ListenError: command_line.EXIT_FAILURE,
}


def run(
    program: type[_S], serve: Callable[[_S], Coroutine[Any, Any, None]]
) -> int:
    """Reads the settings and runs the program; returns its exit code.

    Args:
        program: The settings class of the program.
        serve: Serves until a stop signal, which it handles itself.
    """
    settings = command_line.read_or_exit(program)
    logs.configure(settings)
    try:
        with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(serve(settings))
    except tuple(_EXIT_CODES) as error:
        print(error, file=sys.stderr)  # noqa: T201
        return _EXIT_CODES[type(error)]
    return command_line.EXIT_SUCCESS
