"""Decides whether a red test run is red only where KNOWN-RED.txt says so.

Usage: known_red.py PYTEST_OUTPUT KNOWN_RED. Each line of the list is
``test id | cause | issue``; it may name several tests, separated by ``; ``.
Exit code 0 if no other test failed, else 1.
"""

from __future__ import annotations

import pathlib
import re
import sys

MAX_KNOWN = 3
_FIELDS = 3
_SEPARATOR = "; "  # Between the tests of one line.
_SUMMARY_LINE = re.compile(r"^(?:FAILED|ERROR) (\S+::.*?)(?: - .*)?$")
_ANY_ERROR = re.compile(r"^(?:ERROR|INTERNALERROR)\b")


class KnownRedError(Exception):
    """The list or the run is not acceptable."""


def parse_list(text: str) -> dict[str, str]:
    """Returns the listed tests, each with its whole line.

    Raises:
        KnownRedError: A line lacks a field, or there are too many lines.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN:
        raise KnownRedError(f"{len(lines)} lines; at most {MAX_KNOWN}.")
    known = {}
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            raise KnownRedError(f"not `test id | cause | issue`: {line}")
        known |= dict.fromkeys(fields[0].split(_SEPARATOR), line)
    return known


def find_failures(output: str) -> set[str]:
    """Returns the ids of the tests that a run's summary names.

    Raises:
        KnownRedError: The run broke off, or failed outside a test.
    """
    failures = set()
    for line in output.splitlines():
        match = _SUMMARY_LINE.match(line)
        if match:
            failures.add(match[1])
        elif _ANY_ERROR.match(line):
            raise KnownRedError(f"failed outside a test: {line}")
    if not failures:
        raise KnownRedError("the run is red, yet names no test.")
    return failures


def judge(output: str, known_red: str) -> list[str]:
    """Returns the lines of the known failures met.

    Raises:
        KnownRedError: Some failure is not listed.
    """
    known = parse_list(known_red)
    failures = find_failures(output)
    unknown = sorted(failures - set(known))
    if unknown:
        raise KnownRedError("not in the list: " + ", ".join(unknown))
    return list(dict.fromkeys(known[test] for test in sorted(failures)))


def main() -> int:
    """Judges the files named on the command line."""
    output, listed = (pathlib.Path(name) for name in sys.argv[1:])
    text = listed.read_text() if listed.exists() else ""
    try:
        lines = judge(output.read_text(), text)
    except KnownRedError as error:
        print(f"known_red: {error}", file=sys.stderr)  # noqa: T201
        return 1
    for line in lines:
        print(f"KNOWN RED: {line}")  # noqa: T201
    return 0


if __name__ == "__main__":
    sys.exit(main())
