"""The program ``hoistmoor-steward``.

One steward runs on each entry host. The one that holds the lease is active: it
advances rollouts, sends orders to engines and writes snapshots to the log.
"""

from __future__ import annotations
