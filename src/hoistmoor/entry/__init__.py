"""The entry host process: the HTTP API for callers and its background tasks."""

from __future__ import annotations
