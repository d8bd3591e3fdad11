"""Faults that a stand-in injects on request.

A fault matches requests whose path starts with ``match`` and whose method is
``method``, if given. It lets the first ``after`` of them pass and applies to
the next ``count``, or to all later ones if ``count`` is None.
"""

from __future__ import annotations

from typing import Any

import attrs
import cattrs

from hoistmoor.core import errors


@attrs.define(kw_only=True)
class Fault:
    """Base class of all faults.

    Attributes:
        match: Prefix of the paths that the fault matches.
        method: HTTP method that the fault matches; empty for all.
        after: Number of matching requests to let pass first.
        count: Number of requests to apply the fault to; None for no limit.
        seen: Number of matching requests so far.
        applied: Number of requests that the fault was applied to so far.
    """

    match: str = ""
    method: str = ""
    after: int = 0
    count: int | None = None
    seen: int = 0
    applied: int = 0

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request matches this fault."""
        if self.method and self.method != method:
            return False
        return path.startswith(self.match)

    def count_request(self) -> bool:
        """Counts a matching request and returns whether the fault applies."""
        self.seen += 1
        if self.seen <= self.after:
            return False
        if self.count is not None and self.applied >= self.count:
            return False
        self.applied += 1
        return True


@attrs.define(kw_only=True)
class Delay(Fault):
    """Delays the handling of a request by ``seconds``."""

    seconds: float = 1.0


@attrs.define(kw_only=True)
class Outage(Fault):
    """Responds with status 503 without handling the request."""


@attrs.define(kw_only=True)
class Freeze(Fault):
    """Holds the request back until the fault is cleared."""


@attrs.define(kw_only=True)
class ApplyButLoseReply(Fault):
    """Handles the request, then closes the connection without a response.

    Attributes:
        hang: Whether to keep the connection open until the fault is cleared
            instead of closing it at once.
    """

    hang: bool = False


@attrs.define(kw_only=True)
class CutBeforeAnswer(Fault):
    """Reads the request, then closes the connection without handling it."""


@attrs.define(kw_only=True)
class CutAfterBytes(Fault):
    """Handles the request, but truncates the body of its response.

    Attributes:
        bytes: Number of bytes of the body to send; 0 for the head alone.
        hang: Whether to keep the connection open until the fault is cleared
            instead of closing it at once.
    """

    bytes: int = 0
    hang: bool = False


@attrs.define(kw_only=True)
class LateAnswer(Fault):
    """Sends a second, unsolicited response on the same connection."""


@attrs.define(kw_only=True)
class CrossedHead(Fault):
    """Responds with the attempt id of another request."""


@attrs.define(kw_only=True)
class CrossedFrames(Fault):
    """Inserts a frame of another attempt into a stream.

    Attributes:
        frame: Number of frames of the stream that precede it.
    """

    frame: int = 1


@attrs.define(kw_only=True)
class Decline(Fault):
    """Declines the request and reports that it was not executed."""


@attrs.define(kw_only=True)
class Leaving(Fault):
    """Declines new work and announces a departure."""


@attrs.define(kw_only=True)
class BadVersion(Fault):
    """Degrades the responses of a version.

    Attributes:
        version: Key of the version, whose responses ``after`` counts.
        share: Fraction of its responses to degrade, 0 to 1.
        contains: Text that the prompts of affected requests contain.
    """

    version: str = ""
    share: float = 1.0
    contains: str = ""


@attrs.define(kw_only=True)
class Slow(Fault):
    """Multiplies the duration of each token or call by ``factor``."""

    factor: float = 10.0


@attrs.define(kw_only=True)
class Gap(Fault):
    """Permanently omits items from what is reported.

    Attributes:
        every: Omits every n-th item; 1 for all items.
        names: Names of the items to omit instead.
    """

    every: int = 2
    names: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class Lag(Fault):
    """Delays what is reported by a further ``seconds``."""

    seconds: float = 1.0


@attrs.define(kw_only=True)
class Fencing(Fault):
    """Overrides whether orders with a stale fencing token are refused."""

    honoured: bool = True


KINDS: dict[str, type[Fault]] = {
    "apply_but_lose_reply": ApplyButLoseReply,
    "bad_version": BadVersion,
    "crossed_frames": CrossedFrames,
    "crossed_head": CrossedHead,
    "cut_after_bytes": CutAfterBytes,
    "cut_before_answer": CutBeforeAnswer,
    "decline": Decline,
    "delay": Delay,
    "fencing": Fencing,
    "freeze": Freeze,
    "gap": Gap,
    "lag": Lag,
    "late_answer": LateAnswer,
    "leaving": Leaving,
    "outage": Outage,
    "slow": Slow,
}

# Faults that apply to single requests; each matching request counts once.
REQUEST_FAULTS = (
    Delay,
    Outage,
    Freeze,
    ApplyButLoseReply,
    CutBeforeAnswer,
    CutAfterBytes,
    LateAnswer,
    CrossedHead,
    CrossedFrames,
    Decline,
)

KIND_BY_CLASS = {cls: kind for kind, cls in KINDS.items()}


class BadFaultError(errors.HoistmoorError):
    """A requested fault has an unknown kind or an invalid field."""


def parse_fault(fields: dict[str, Any]) -> Fault:
    """Returns the fault that the fields of a request describe.

    Raises:
        BadFaultError: The kind or a field is unknown, or a value is invalid.
    """
    kind = fields.pop("kind", None)
    if kind not in KINDS:
        raise BadFaultError(
            f"{kind!r} is no kind of fault", f"Use one of {sorted(KINDS)}."
        )
    cls = KINDS[kind]
    unknown = set(fields) - {field.name for field in attrs.fields(cls)}
    if unknown:
        raise BadFaultError(
            f"fault {kind} has no {sorted(unknown)}",
            "Correct the names of its fields.",
        )
    try:
        return cattrs.structure(fields, cls)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise BadFaultError(
            f"fault {kind} has a field of a wrong type: {error!r}",
            "Correct the values.",
        ) from error
