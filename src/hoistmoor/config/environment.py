"""Names of flags and of the corresponding environment variables."""

from __future__ import annotations

from typing import Any

import cappa

ENVIRONMENT_PREFIX = "HOISTMOOR_"
SECRET_FLAG = "--secret"
SECRET_VARIABLE = "HOISTMOOR_SECRET"


def flag_of(field: str) -> str:
    """Returns the flag of a settings field: ``log_url`` -> ``--log-url``."""
    return "--" + field.replace("_", "-")


def variable_of(field: str) -> str:
    """Returns the variable of a field: ``log_url`` -> ``HOISTMOOR_LOG_URL``."""
    return ENVIRONMENT_PREFIX + field.upper()


def setting(field: str, meaning: str, default: Any = None) -> cappa.Arg[Any]:
    """Returns the command-line argument of a settings field.

    Args:
        field: Name of the field.
        meaning: Help text.
        default: Value if neither flag nor variable is set; None if the field
            is required.
    """
    source = cappa.Env(variable_of(field), default=default)
    return cappa.Arg(long=flag_of(field), default=source, help=meaning)


def secret_setting() -> cappa.Arg[Any]:
    """Returns the argument of the secret, which only the variable sets.

    The flag is hidden from ``--help``, and ``command_line`` rejects it.
    """
    source = cappa.Env(SECRET_VARIABLE, default="")
    return cappa.Arg(long=SECRET_FLAG, default=source, hidden=True)


def secret_on_command_line(arguments: list[str]) -> bool:
    """Returns whether the arguments contain the secret as a flag."""
    return any(
        argument.partition("=")[0] == SECRET_FLAG for argument in arguments
    )
