"""HTTP front end: reads, admits, forwards and answers callers' requests.

Routing and retry decisions are made by the core.
"""

from __future__ import annotations
