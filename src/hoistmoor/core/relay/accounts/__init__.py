"""Fair shares of client accounts in the service of backend servers.

The router records the service that it sends for each account, and orders
requests that compete for room by it.
"""

from __future__ import annotations
