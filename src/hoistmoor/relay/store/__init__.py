"""The platform's store: what is read there, and when it is away.

The application starts its tasks; listeners tell the core what is new.
"""

from __future__ import annotations
