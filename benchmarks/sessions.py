"""Measures what session tokens, home hosts and pins cost a host.

Run ``python benchmarks/sessions.py``.
"""

from __future__ import annotations

import functools
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

from hoistmoor.core.sessions import pins
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.sessions import tokens

if TYPE_CHECKING:
    from collections.abc import Callable

TOKEN = tokens.SessionToken("agents", "session-1", "thai", "thai@3", 1.0)
SECRETS = ("a secret of some length",)


def say(text: str) -> None:
    """Writes one line of the report."""
    sys.stdout.write(text + "\n")


def microseconds(work: Callable[[], object], rounds: int) -> float:
    """Returns the mean time of ``work``."""
    begin = time.perf_counter()
    for _ in range(rounds):
        work()
    return (time.perf_counter() - begin) / rounds * 1e6


def pin_bytes(count: int) -> float:
    """Returns the memory of a pin in a full map."""
    tracemalloc.start()
    kept = pins.PinMap(count)
    for n in range(count):
        kept.put(
            pins.Pin(f"account-{n % 10}", f"session-{n}", "thai", "thai@3", 1)
        )
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / count


def main() -> None:
    """Prints the report."""
    value = tokens.sign(TOKEN, SECRETS)
    sign = microseconds(lambda: tokens.sign(TOKEN, SECRETS), 20_000)
    verify = microseconds(
        lambda: tokens.verify(value, "agents", SECRETS), 20_000
    )
    say(f"token: {len(value)} characters, sign {sign:.1f} us,")
    say(f"  verify {verify:.1f} us")
    for count in (9, 90, 180, 360):
        hosts = [
            rendezvous.HomeHost(f"h{n}", f"d{n % 7}") for n in range(count)
        ]
        find = functools.partial(rendezvous.home_hosts, hosts, "agents", "s1")
        each = microseconds(find, 500)
        say(f"homes: {count} hosts, {each:.0f} us")
    say(f"pins: {pin_bytes(pins.DEFAULT_CAPACITY):.0f} bytes each")


if __name__ == "__main__":
    main()
