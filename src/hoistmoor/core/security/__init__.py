"""Call signatures, derived keys and operator keys, free of I/O."""

from __future__ import annotations
