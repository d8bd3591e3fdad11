"""Replicated state of the relay: topics, configuration and its lease.

Used by the tasks that read the store or other hosts. Requests only see the
resulting state.
"""

from __future__ import annotations
