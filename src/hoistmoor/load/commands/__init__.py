"""Commands of ``hoistmoor-load``, one per module."""

from __future__ import annotations
