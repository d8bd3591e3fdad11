"""Thin clients for the platform's services and for backend servers.

There is one module per service. Every call has a timeout, is sent at most
once, and either returns a typed value or raises a typed error that includes a
remedy.
"""

from __future__ import annotations
