"""``hoistmoor story``: what the relays' logs tell of one request."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated, TYPE_CHECKING

import attrs
import cappa
import orjson

from hoistmoor.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Iterable

# What a host believes, of which the newest line before a request counts.
_BELIEFS = (
    "start",
    "configuration",
    "store_lost",
    "store_regained",
    "readiness",
    "resumed",
    "rollout_phase",
    "stopping",
)


@attrs.frozen
class Line:
    """One line of a relay's log.

    Attributes:
        host: The host that wrote it.
        at: Steady seconds of its process.
        event: Kind of the line.
        fields: All of it.
    """

    host: str
    at: float
    event: str
    fields: dict[str, object]

    @property
    def attempts(self) -> str:
        """The attempts of a request, in one text; empty for other lines."""
        return str(self.fields.get("attempts", ""))

    def text(self) -> str:
        """Returns the line for people."""
        told = {
            name: value
            for name, value in self.fields.items()
            if name not in ("t", "host", "event")
        }
        return f"{self.at:12.3f} {self.event} {orjson.dumps(told).decode()}"


def parse(text: str) -> Line | None:
    """Returns the line that ``text`` holds; what stands before it is skipped.

    Args:
        text: One line of a log, maybe with a prefix of the log collector.
    """
    try:
        fields = orjson.loads(text[text.index("{") :])
        return Line(fields["host"], float(fields["t"]), fields["event"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def tell(lines: Iterable[Line], request_id: str) -> list[str]:
    """Returns the story of a request, host by host.

    Args:
        lines: Lines of any hosts; those of one host in the order written.
        request_id: The request.

    Returns:
        For each host that knew the request: what it believed then, what it
        knew of the servers that it asked, and its lines on the request.
    """
    by_host: dict[str, list[Line]] = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    told: list[str] = []
    for host, written in by_host.items():
        told += _tell_host(host, written, request_id)
    return told


def _tell_host(host: str, written: list[Line], request_id: str) -> list[str]:
    own = [line for line in written if line.fields.get("id") == request_id]
    if not own:
        return []
    before = written[: written.index(own[-1])]
    newest = {line.event: line for line in before if line.event in _BELIEFS}
    asked = " ".join(line.attempts for line in own)
    servers = {
        str(line.fields["server"]): line
        for line in before
        if str(line.fields.get("server", "\n")) in asked
    }
    fingerprints = {line.fields.get("fingerprint") for line in own} - {None}
    newly_quarantined = [
        line
        for line in before
        if line.event == "request_quarantined"
        and line.fields.get("fingerprint") in fingerprints
    ]
    context = sorted(
        [*newest.values(), *servers.values(), *newly_quarantined],
        key=lambda line: line.at,
    )
    return [
        f"{host}:",
        *(f"  {line.text()}" for line in context),
        *(f"> {line.text()}" for line in own),
    ]


@cappa.command(
    name="story", help="Tell a request's story from logs.", description=" "
)
@attrs.frozen
class Story:
    """Prints what relays wrote of a request, and what they believed then.

    Attributes:
        request_id: The caller's id of its attempt.
        files: Logs of the hosts.
    """

    request_id: str
    files: Annotated[list[pathlib.Path], cappa.Arg(num_args=-1)]

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the story; fails if no line names the request."""
        lines = []
        for path in self.files:
            with path.open(errors="replace") as file:
                lines += [line for text in file if (line := parse(text))]
        told = tell(lines, self.request_id)
        if not told:
            sys.stderr.write(
                f"no line names {self.request_id}. A request that was "
                "answered within its target writes none.\n"
            )
            return exit_codes.ExitCode.FAILED
        sys.stdout.write("\n".join(told) + "\n")
        return exit_codes.ExitCode.DONE


COMMANDS = (Story,)
