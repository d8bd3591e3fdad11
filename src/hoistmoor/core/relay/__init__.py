"""Decisions of the relay: requests passed on unread, by host and path."""

from __future__ import annotations
