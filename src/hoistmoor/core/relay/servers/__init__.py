"""Backend servers as this host knows them: entries, health, work.

Placement and roll-outs read them; listeners and attempts change them.
"""

from __future__ import annotations
