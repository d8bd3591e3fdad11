"""Copying the store's topics from other relays, and serving copies to them.

The application starts the tasks of this package; they feed the followers of
the store.
"""

from __future__ import annotations
