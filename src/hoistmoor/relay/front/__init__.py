"""Callers' side: requests read, checked, carried out and answered.

The application starts it; it asks the core for each decision.
"""

from __future__ import annotations
