"""Command-line entry point of ``hoistmoor-entry``."""

from __future__ import annotations

import sys

from hoistmoor.config import settings
from hoistmoor.entry import application
from hoistmoor.utils import program


def main() -> int:
    """Runs the program and returns its exit code."""
    return program.run(settings.EntrySettings, application.serve)


if __name__ == "__main__":
    sys.exit(main())
