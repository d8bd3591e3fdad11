"""Runs ``hoistmoor-steward`` with a short lease, for tests."""

from __future__ import annotations

import sys

from hoistmoor.core.steward import lease

lease.LEASE_SECONDS = 3.0
lease.TAKEOVER_SECONDS = 1.0

# The program reads the duration of the lease on import.
from hoistmoor.steward import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
