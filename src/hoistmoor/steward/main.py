"""Entry point of ``hoistmoor-steward``."""

from __future__ import annotations

import sys

from hoistmoor.config import settings
from hoistmoor.steward import application
from hoistmoor.utils import program


def main() -> int:
    """Runs the program; returns its exit code."""
    return program.run(settings.StewardSettings, application.serve)


if __name__ == "__main__":
    sys.exit(main())
