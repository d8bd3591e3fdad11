"""Experiments that compare the router with baselines on a virtual clock."""

from __future__ import annotations
