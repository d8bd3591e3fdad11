"""Refuses tracked binary files that no test names.

Usage: binaries.py. A file is binary if its beginning holds a zero byte, as git
judges it; a test names it by its path from the root. Exit code 0 if all binary
files are named, else 1.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

_BEGINNING = 8000  # Bytes.
_TESTS = "tests/"


def is_binary(content: bytes) -> bool:
    """Returns whether the content is that of a binary file."""
    return b"\0" in content[:_BEGINNING]


def find_unnamed(root: pathlib.Path, tracked: list[str]) -> list[str]:
    """Returns the paths of the binary files that no test names.

    Args:
        root: Root of the work tree.
        tracked: Paths of the tracked files, from the root.
    """
    present = [name for name in tracked if (root / name).is_file()]
    binaries = [name for name in present if is_binary(_read(root / name))]
    tests = [
        (root / name).read_text()
        for name in present
        if name.startswith(_TESTS) and name.endswith(".py")
    ]
    return [
        name for name in binaries if not any(name in text for text in tests)
    ]


def _read(path: pathlib.Path) -> bytes:
    with path.open("rb") as file:
        return file.read(_BEGINNING)


def main() -> int:
    """Judges the tracked files of the work tree that this script is in."""
    root = pathlib.Path(__file__).resolve().parents[1]
    listed = subprocess.run(
        ["git", "ls-files", "-z"],
        cwd=root,
        capture_output=True,
        check=True,
    )
    tracked = listed.stdout.decode().split("\0")[:-1]
    unnamed = find_unnamed(root, tracked)
    for name in unnamed:
        print(f"binaries: no test names {name}", file=sys.stderr)  # noqa: T201
    return 1 if unnamed else 0


if __name__ == "__main__":
    sys.exit(main())
