"""Adapter for the deployment platform: its names, formats and API calls.

This package contains no policy. Platform data is decoded once, on arrival,
into the product's types; outgoing data is encoded here.
"""

from __future__ import annotations
