"""Evidence about prompt parts, as hosts send it to one another.

All ages are in seconds.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.course import identifiers
from hoistmoor.core.relay.servers import runs as runs_lib
from hoistmoor.core.relay.servers import suspect_state

# Runs that are stored for one crash. A server has 64 requests at once, most of
# which have delivered parts of their responses.
MAX_RUNS = 16
# Bytes of the parts of these runs: two requests with the longest prompts, or 16
# with 200 parts each. The first run is stored regardless.
MAX_RUN_BYTES = 32_768
# Bytes that a name takes in a message besides its own: quotes and a comma.
_NAME_OVERHEAD = 3


@attrs.frozen
class CrashedRun:
    """A run that had delivered nothing when its server crashed.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Prompt parts that it may share with other requests.
        has_begun: Whether its response had just begun.
    """

    fingerprint: str
    parts: tuple[str, ...]
    has_begun: bool

    @property
    def name_bytes(self) -> int:
        """Bytes of its names in a message."""
        return len(self.fingerprint) + total_bytes(self.parts)


@attrs.frozen
class ServerCrash:
    """A server that crashed, with the runs there that may be the cause.

    Attributes:
        server: Identity of the server.
        service: Its service.
        version: Version of its software.
        runs: Runs of all hosts that are known.
        is_disproved: Whether another host has reached the server since.
        age: Time since the crash.
    """

    server: str
    service: str
    version: str
    runs: tuple[CrashedRun, ...] = ()
    is_disproved: bool = False
    age: float = 0.0


@attrs.frozen
class ServedPart:
    """A suspected part with which a request was served.

    Attributes:
        service: Service of the request.
        version: Version of the server.
        part: The part.
        age: Time since the request was served.
    """

    service: str
    version: str
    part: str
    age: float = 0.0


@attrs.frozen
class PartQuarantine:
    """Prompt parts whose requests are refused.

    Attributes:
        service: Service whose servers crash.
        parts: Parts in alphabetical order. Requests with all of them are
            refused. There are several if no request had one without the others.
        servers: Identities of the servers that crashed.
        versions: Versions of these servers.
        probes: Requests that were sent to a server since, as a test.
        is_lifted: Whether the quarantine is over.
        age: Time since the latest crash.
        probe_age: Time since the latest probe, or since the latest crash.
    """

    service: str
    parts: tuple[str, ...]
    servers: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    probes: int = 0
    is_lifted: bool = False
    age: float = 0.0
    probe_age: float = 0.0


def total_bytes(parts: tuple[str, ...]) -> int:
    """Returns the bytes of some parts in a message."""
    return sum(len(part) + _NAME_OVERHEAD for part in parts)


def with_bounded_parts(crash: ServerCrash) -> ServerCrash:
    """Returns a crash with parts as this version names them."""
    runs = tuple(
        attrs.evolve(run, parts=identifiers.bound_all(run.parts))
        for run in crash.runs
    )
    return attrs.evolve(crash, runs=runs)


def crashed_runs(
    present: list[runs_lib.Run], now: float
) -> tuple[CrashedRun, ...]:
    """Returns the runs at a server that may be the cause of its crash.

    A part of a response shows that its run did not crash the server as it
    began.

    Args:
        present: Runs that may have been at the server.
        now: Monotonic time of the crash.
    """
    found = [
        CrashedRun(
            run.fingerprint,
            run.parts,
            suspect_state.stage_of(run, now) is runs_lib.Stage.BEGUN,
        )
        for run in present
        if run.parts and run.stage is not runs_lib.Stage.GIVING
    ]
    return select_runs(found)


def select_runs(found: list[CrashedRun]) -> tuple[CrashedRun, ...]:
    """Returns each request once, those whose responses had begun first."""
    found.sort(key=lambda run: not run.has_begun)
    by_request: dict[str, CrashedRun] = {}
    for run in found:
        by_request.setdefault(run.fingerprint, run)
    selected: list[CrashedRun] = []
    size = 0
    for run in tuple(by_request.values())[:MAX_RUNS]:
        size += run.name_bytes
        if selected and size > MAX_RUN_BYTES:
            break
        selected.append(run)
    return tuple(selected)
