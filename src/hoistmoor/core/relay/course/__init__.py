"""Lifecycle of a relayed request: attempts, retries and refusals.

The task that serves a request drives one state machine per request.
"""

from __future__ import annotations
