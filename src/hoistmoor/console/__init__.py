"""Operator command line ``hoistmoor``, with one module per command."""

from __future__ import annotations
