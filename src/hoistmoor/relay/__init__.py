"""The relay: a reverse proxy that routes requests by host and path.

Request bodies are forwarded without being parsed. This package provides the
sockets and timers; the decisions are made in ``core.relay``.
"""

from __future__ import annotations
