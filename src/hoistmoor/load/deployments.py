"""The two deployments that the demo and the benchmark run on loopback.

The addresses match ``Procfile`` and the sheets in ``examples/``.
"""

from __future__ import annotations

import pathlib

import attrs


@attrs.frozen
class Deployment:
    """A deployment on loopback.

    Attributes:
        name: Name in reports.
        sheet_directory: Directory of its table sheets.
        platform_url: Base URL of its platform.
        entry_urls: Base URLs of its entries.
        at_most_once_servers: Base URLs of the backend servers whose calls must
            run at most once.
    """

    name: str
    sheet_directory: pathlib.Path
    platform_url: str
    entry_urls: tuple[str, ...]
    at_most_once_servers: tuple[str, ...]


def _urls(first: int, count: int) -> tuple[str, ...]:
    return tuple(
        f"http://127.0.0.1:{port}" for port in range(first, first + count)
    )


TAEMSUK = Deployment(
    name="Taemsuk",
    sheet_directory=pathlib.Path("examples/taemsuk"),
    platform_url="http://127.0.0.1:21000",
    entry_urls=_urls(21101, 2),
    at_most_once_servers=_urls(21010, 4),
)
HAFNARFJORDUR = Deployment(
    name="Hafnarfjörður",
    sheet_directory=pathlib.Path("examples/hafnarfjordur"),
    platform_url="http://127.0.0.1:22000",
    entry_urls=_urls(22101, 2),
    at_most_once_servers=_urls(22007, 4),
)
ALL = (TAEMSUK, HAFNARFJORDUR)
