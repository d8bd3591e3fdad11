"""Request routing: version selection, cascades, exposure and placement."""

from __future__ import annotations
