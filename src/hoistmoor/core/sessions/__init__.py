"""Session affinity: signed tokens, version pins and placement of pins."""

from __future__ import annotations
