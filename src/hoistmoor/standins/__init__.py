"""Stand-ins for the services of the platform and for backend servers.

They are meant for tests and the demo only. Each implements its part of the
wire interface in ``docs/platform-interface.md`` and injects faults on request.
"""

from __future__ import annotations
