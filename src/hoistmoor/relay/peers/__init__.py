"""Other relays: who is asked for what the store says, and answered.

The application starts it; it feeds the followers of the store.
"""

from __future__ import annotations
