"""Which sessions join a trial, and which version each one keeps."""

from __future__ import annotations

import xxhash

# Part of the time allowed after which sessions may join a trial. In the first
# half none may leave the old version, and this host does not know what one ran
# on before: of 195 hosts, hardly two of its requests meet the same.
SESSIONS_AT = 0.52
# Part of the sessions, by a hash that all hosts share, that then may. Few
# requests without one come where most carry one: a deployment with 15 model
# requests a second had 20 answers of the target at 0.96 of the time allowed
# with a fifth of the sessions, and has 12 of them at 0.65 with this share.
SESSION_SHARE = 0.35


def is_drawn(session: str, service: str, target: str) -> bool:
    """Returns whether a session may join the trial of a version.

    The number of the order does not count: it changes where the order is
    written again.
    """
    drawn = xxhash.xxh64_intdigest(f"{service} {target} {session}".encode())
    return drawn < SESSION_SHARE * (1 << 64)


class SessionVersions:
    """Versions of the sessions that this host has served lately.

    Attributes:
        life: Seconds after its last request that a session lives.
    """

    def __init__(self, life: float) -> None:
        self.life = life
        self._known: dict[str, tuple[str, float]] = {}

    def note(self, session: str, version: str, now: float) -> None:
        """Notes that a session's request runs, or ran until now."""
        self._known.pop(session, None)
        self._known[session] = (version, now)
        oldest = next(iter(self._known))
        if now - self._known[oldest][1] > self.life:
            del self._known[oldest]

    def version_of(self, session: str, now: float) -> str | None:
        """Returns the version that a live session has, if it is known."""
        version, at = self._known.get(session, ("", float("-inf")))
        return version if now - at <= self.life else None
