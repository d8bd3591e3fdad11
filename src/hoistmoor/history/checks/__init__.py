"""Checks of single invariants on a complete history, one per module."""

from __future__ import annotations
