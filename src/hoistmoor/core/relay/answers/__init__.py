"""Answers as they come: durations, order of events, confidence in them.

The machine of a request and the router use them.
"""

from __future__ import annotations
