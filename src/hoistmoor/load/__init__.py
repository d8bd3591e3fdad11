"""Load generator, demo, latency comparison and routing experiments."""

from __future__ import annotations
