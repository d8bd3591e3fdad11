"""Rollouts of service versions: phases, session affinity and evaluation.

The router queries which versions a request may use; topic listeners provide the
records.
"""

from __future__ import annotations
