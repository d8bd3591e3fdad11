"""The relay: passes requests on unread, by host and path.

Sockets and timers round ``core.relay``.
"""

from __future__ import annotations
