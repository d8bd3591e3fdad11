"""Requests that wait at this host for room at the backend servers.

While there is room, nothing waits. Where there is none, each host queues the
requests that its part of the room cannot take, and refuses those that would
wait in vain.
"""

from __future__ import annotations
