"""A model-aware router for versions and cascades."""

from __future__ import annotations

__version__ = "0.1.0"
