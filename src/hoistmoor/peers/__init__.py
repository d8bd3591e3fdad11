"""gRPC calls between entry hosts."""

from __future__ import annotations
