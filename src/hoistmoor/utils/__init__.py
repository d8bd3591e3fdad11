"""Logs, metrics, addresses and signals, shared by all programs."""

from __future__ import annotations
