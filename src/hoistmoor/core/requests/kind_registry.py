"""Limits the number of request kinds per client account.

Evidence and plans are stored per kind: without a limit, a caller that sends a
new kind with each request would exhaust the memory of every host.
"""

from __future__ import annotations

MAX_KINDS_PER_ACCOUNT = 32
OTHER_KIND = "other"


class KindRegistry:
    """Tracks the kinds that each client account has used at this host."""

    def __init__(self, per_account: int = MAX_KINDS_PER_ACCOUNT) -> None:
        """Limits each client account to ``per_account`` kinds."""
        self._per_account = per_account
        self._kinds: dict[str, set[str]] = {}

    def register(self, account: str, kind: str) -> str:
        """Returns ``kind``, or ``OTHER_KIND`` once the limit is reached."""
        known = self._kinds.setdefault(account, set())
        if kind in known:
            return kind
        if len(known) >= self._per_account:
            return OTHER_KIND
        known.add(kind)
        return kind
