"""``hoistmoor story``: reconstructs a request from the logs of relays."""

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

# Events that report the state of a host. The newest one of each type before a
# request shows the state in which the host handled it.
_STATE_EVENTS = (
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
class LogLine:
    """One line of a relay's log.

    Attributes:
        host: Host that wrote the line.
        time: Monotonic time of its process, in seconds.
        event: Type of the event.
        fields: All fields of the line, including the above.
    """

    host: str
    time: float
    event: str
    fields: dict[str, object]

    @property
    def attempts(self) -> str:
        """The attempts of a request as text; empty for other lines."""
        return str(self.fields.get("attempts", ""))

    def render(self) -> str:
        """Returns the line in human-readable form."""
        details = {
            name: value
            for name, value in self.fields.items()
            if name not in ("t", "host", "event")
        }
        return (
            f"{self.time:12.3f} {self.event} {orjson.dumps(details).decode()}"
        )


def parse_line(text: str) -> LogLine | None:
    """Parses one line of a log file; returns None if it is not valid.

    Args:
        text: The line, which may start with a prefix of the log collector.
    """
    try:
        fields = orjson.loads(text[text.index("{") :])
        return LogLine(
            fields["host"], float(fields["t"]), fields["event"], fields
        )
    except (ValueError, KeyError, TypeError):
        return None


def describe_request(lines: Iterable[LogLine], request_id: str) -> list[str]:
    """Returns the history of a request, grouped by host.

    Args:
        lines: Log lines of any number of hosts; the lines of each host in the
            order in which it wrote them.
        request_id: Request to look for.

    Returns:
        For each host that logged the request: its state at that time, what it
        had logged about the servers that it sent the request to, and its
        lines about the request.
    """
    by_host: dict[str, list[LogLine]] = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    output: list[str] = []
    for host, host_lines in by_host.items():
        output += _describe_host(host, host_lines, request_id)
    return output


def _describe_host(
    host: str, host_lines: list[LogLine], request_id: str
) -> list[str]:
    request_lines = [
        line for line in host_lines if line.fields.get("id") == request_id
    ]
    if not request_lines:
        return []
    earlier_lines = host_lines[: host_lines.index(request_lines[-1])]
    newest_states = {
        line.event: line
        for line in earlier_lines
        if line.event in _STATE_EVENTS
    }
    attempted = " ".join(line.attempts for line in request_lines)
    server_lines = {
        str(line.fields["server"]): line
        for line in earlier_lines
        if str(line.fields.get("server", "\n")) in attempted
    }
    fingerprints = {
        line.fields.get("fingerprint") for line in request_lines
    } - {None}
    quarantine_lines = [
        line
        for line in earlier_lines
        if line.event == "request_quarantined"
        and line.fields.get("fingerprint") in fingerprints
    ]
    context = sorted(
        [*newest_states.values(), *server_lines.values(), *quarantine_lines],
        key=lambda line: line.time,
    )
    return [
        f"{host}:",
        *(f"  {line.render()}" for line in context),
        *(f"> {line.render()}" for line in request_lines),
    ]


@cappa.command(
    name="story", help="Reconstruct a request from logs.", description=" "
)
@attrs.frozen
class Story:
    """Prints what relays logged about a request, and their state at the time.

    Attributes:
        request_id: Id that the caller gave to its attempt.
        files: Log files of the hosts.
    """

    request_id: str
    files: Annotated[list[pathlib.Path], cappa.Arg(num_args=-1)]

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the history; fails if no line names the request."""
        lines = []
        for path in self.files:
            with path.open(errors="replace") as file:
                lines += [line for text in file if (line := parse_line(text))]
        output = describe_request(lines, self.request_id)
        if not output:
            sys.stderr.write(
                f"no line names {self.request_id}. A request that completed "
                "within its target is not logged.\n"
            )
            return exit_codes.ExitCode.FAILED
        sys.stdout.write("\n".join(output) + "\n")
        return exit_codes.ExitCode.DONE


COMMANDS = (Story,)
