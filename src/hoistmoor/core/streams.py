"""Names of the log streams."""

from __future__ import annotations

TABLE = "table"  # Edits and snapshots of the configuration table.
CLAIMS = "claims"  # Claims on idempotency keys, and their outcomes.
BILLS = "bills"  # Batches of billing records.
STEWARD = "steward"  # Leases, rollout steps and operator orders.
EVIDENCE = "evidence"  # Number of rated answers per version.
DECISIONS = "decisions"  # Routing decisions, kept after their host has stopped.
