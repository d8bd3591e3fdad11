"""Decision logic of the relay, a reverse proxy that routes by host and path."""

from __future__ import annotations
