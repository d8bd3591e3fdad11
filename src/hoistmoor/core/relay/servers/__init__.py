"""State of backend servers as seen by this host: entries, health and load.

Placement and rollouts read this state; store listeners and attempts update it.
"""

from __future__ import annotations
