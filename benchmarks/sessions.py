"""Measures what session tokens, home hosts and session pins cost a host.

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


def print_line(text: str) -> None:
    """Prints one line of the report."""
    sys.stdout.write(text + "\n")


def time_call(call: Callable[[], object], rounds: int) -> float:
    """Returns the mean time of one call of ``call``, in microseconds."""
    start = time.perf_counter()
    for _ in range(rounds):
        call()
    return (time.perf_counter() - start) / rounds * 1e6


def measure_pin_bytes(count: int) -> float:
    """Returns the memory per pin of a full map, in bytes."""
    tracemalloc.start()
    pin_map = pins.PinMap(count)
    for n in range(count):
        pin_map.put(
            pins.Pin(f"account-{n % 10}", f"session-{n}", "thai", "thai@3", 1)
        )
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / count


def main() -> None:
    """Prints the report."""
    value = tokens.sign(TOKEN, SECRETS)
    sign = time_call(lambda: tokens.sign(TOKEN, SECRETS), 20_000)
    verify = time_call(lambda: tokens.verify(value, "agents", SECRETS), 20_000)
    print_line(f"token: {len(value)} characters, sign {sign:.1f} us,")
    print_line(f"  verify {verify:.1f} us")
    for count in (9, 90, 180, 360):
        hosts = [
            rendezvous.HomeHost(f"h{n}", f"d{n % 7}") for n in range(count)
        ]
        find_homes = functools.partial(
            rendezvous.home_hosts, hosts, "agents", "s1"
        )
        micros = time_call(find_homes, 500)
        print_line(f"homes: {count} hosts, {micros:.0f} us")
    print_line(
        f"pins: {measure_pin_bytes(pins.DEFAULT_CAPACITY):.0f} bytes each"
    )


if __name__ == "__main__":
    main()
