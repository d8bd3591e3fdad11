"""Evaluation of backend responses: latency, event order and confidence.

The request state machine and the router use these modules.
"""

from __future__ import annotations
