"""Request processing, from parsed headers to the final response."""

from __future__ import annotations
