"""Decision logic of the steward: leases, rollouts and engine orders."""

from __future__ import annotations
