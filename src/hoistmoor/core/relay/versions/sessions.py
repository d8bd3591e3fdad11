"""Session affinity during rollouts."""

from __future__ import annotations

import xxhash

# Fraction of the duration after which sessions may join a trial. During the
# first half, no session may leave the old version, and this host does not know
# the previous version of a session: with 195 hosts, consecutive requests of a
# session rarely arrive at the same one.
SESSIONS_JOIN_AT = 0.52


def is_selected(
    session: str, service: str, target: str, fraction: float
) -> bool:
    """Returns whether a session may use the target version.

    All hosts share the hash that selects sessions. It does not include the
    order number, which changes if the order is written again.

    Args:
        session: Name of the session.
        service: Service that is rolled out.
        target: Version that is rolled out.
        fraction: Fraction of the sessions to select. Those selected at one
            fraction are also selected at any higher one.
    """
    digest = xxhash.xxh64_intdigest(f"{service} {target} {session}".encode())
    return digest < fraction * (1 << 64)


class SessionVersions:
    """Versions of the sessions that this host served recently.

    Attributes:
        life: Seconds after its last request for which a session is kept.
    """

    def __init__(self, life: float) -> None:
        self.life = life
        self._known: dict[str, tuple[str, float]] = {}

    def record(self, session: str, version: str, now: float) -> None:
        """Records the version used by a session, and renews its lifetime."""
        self._known.pop(session, None)
        self._known[session] = (version, now)
        oldest = next(iter(self._known))
        if now - self._known[oldest][1] > self.life:
            del self._known[oldest]

    def version_of(self, session: str, now: float) -> str | None:
        """Returns the version of a session, or None if unknown or expired."""
        version, at = self._known.get(session, ("", float("-inf")))
        return version if now - at <= self.life else None
