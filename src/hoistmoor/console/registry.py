"""Discovers the commands of ``hoistmoor``."""

from __future__ import annotations

import importlib
import pkgutil
from typing import Any

from hoistmoor.console import commands


def find_commands() -> tuple[type[Any], ...]:
    """Returns the classes in ``COMMANDS`` of every module of ``commands``."""
    classes: list[type[Any]] = []
    for module in pkgutil.iter_modules(commands.__path__):
        name = f"{commands.__name__}.{module.name}"
        classes.extend(importlib.import_module(name).COMMANDS)
    return tuple(classes)
