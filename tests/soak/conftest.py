"""The soak's modules stand beside its test."""

from __future__ import annotations
