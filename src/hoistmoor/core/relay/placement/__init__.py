"""Selection of the backend server, model and queue rank for each attempt.

Request state machines obtain every server from the router in this package.
"""

from __future__ import annotations
