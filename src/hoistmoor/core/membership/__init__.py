"""Membership of entry hosts, leaving backend servers and table freshness.

Everything here is a pure state machine: it takes messages and the current time
and returns effects for the caller to perform.
"""

from __future__ import annotations
