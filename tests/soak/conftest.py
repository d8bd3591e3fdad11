"""Puts the modules of the soak test on the import path."""

from __future__ import annotations
