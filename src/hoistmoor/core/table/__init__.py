"""The operators' table: rows, CSV sheets, edits and replay of the edit log."""

from __future__ import annotations
