"""Entry point of the ``hoistmoor`` command line."""

from __future__ import annotations

import sys

from hoistmoor.console import application

if __name__ == "__main__":
    sys.exit(application.main())
