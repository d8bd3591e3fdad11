"""Measures what an entry host spends on requests of callers.

    python -m benchmarks.capacity.serve           all parts
    python -m benchmarks.capacity.serve tokens    one part

Parts: ``balance``, ``confirm`` and ``confirm-key`` (plain calls by rate),
``tokens`` (streams by their length), ``rate`` (streams by requests a second),
``most`` (tokens a second that one process sustains). Processor time is that of
one entry process above its idle usage; two entry hosts run, so that a peer
holds the bills.
"""

from __future__ import annotations

import asyncio
import functools
import json
import random
import statistics
import sys
import time
from typing import Any, TYPE_CHECKING

import attrs
import uvloop

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import processes
from benchmarks.capacity import rows

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    import aiohttp

CALL_RATES = (25, 50, 100, 200)  # Requests a second.
STREAM_LENGTHS = (16, 64, 256, 512)  # Tokens per response.
STREAM_RATES = (2, 5, 10, 20)  # Requests a second, of 128 tokens each.
STREAM_COUNTS = (16, 32, 64, 128, 192, 256)  # Concurrent streams.
ROUNDS = 3
ROUND_SECONDS = 4.0
IDLE_SECONDS = 6.0
TOKEN_INTERVAL = 0.01  # Of the engine.
_MICROSECONDS_PER_SECOND = 1e6
_HEADERS = {"Authorization": f"Bearer {rows.KEY}"}
print_line = processes.print_line


@attrs.define
class StreamResults:
    """Streams as seen by their callers.

    Attributes:
        first_token_ms: Milliseconds to the first token.
        token_gap_ms: Milliseconds between tokens.
        failed: Number of incomplete responses.
    """

    first_token_ms: list[float] = attrs.field(factory=list)
    token_gap_ms: list[float] = attrs.field(factory=list)
    failed: int = 0


async def send_plain_call(
    session: aiohttp.ClientSession, entry: str, call_kind: str, number: int
) -> None:
    """Sends a plain call: ``balance``, ``confirm`` or ``confirm-key``."""
    url = f"http://{entry}/v1/services/counter-api"
    headers = dict(_HEADERS)
    if call_kind == "balance":
        async with session.get(f"{url}/balance/7", headers=headers) as response:
            text = await response.text()
            assert response.status == 200, text
        return
    if call_kind == "confirm-key":
        headers["Idempotency-Key"] = f"k{number}-{time.time()}"
    body = json.dumps({"id": f"{number}-{time.time()}", "amount": 1})
    async with session.post(
        f"{url}/confirm", headers=headers, data=body
    ) as response:
        text = await response.text()
        assert response.status == 200, text


async def stream(
    session: aiohttp.ClientSession,
    entry: str,
    tokens: int,
    results: StreamResults,
    number: int = 0,
) -> None:
    """Reads one streamed response and adds it to the results."""
    body = {
        "model": "bench-model@1",
        "stream": True,
        "max_tokens": tokens,
        "messages": [
            {"role": "user", "content": f"q{number} {random.random()}"}
        ],
    }
    last = time.perf_counter()
    frames, done, text = 0, False, b""
    url = f"http://{entry}/v1/chat/completions"
    async with session.post(url, headers=_HEADERS, json=body) as response:
        if response.status != 200:
            results.failed += 1
            print_line(f"refused: {(await response.text())[:200]}")
            return
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                done = True
            if not line.startswith(b"data: {"):
                continue
            text = line
            now = time.perf_counter()
            samples = results.token_gap_ms if frames else results.first_token_ms
            samples.append((now - last) * 1000)
            last = now
            frames += 1
    if not done or frames < tokens:
        results.failed += 1
        print_line(f"failed after {frames} frames: {text[:300]!r}")


async def open_loop(
    rate: float, seconds: float, send: Callable[[int], Awaitable[None]]
) -> int:
    """Starts calls at random times; returns how many, after all completed."""
    start = time.perf_counter()
    due = 0.0
    tasks: list[asyncio.Future[None]] = []
    while (due := due + random.expovariate(rate)) < seconds:
        await asyncio.sleep(max(start + due - time.perf_counter(), 0))
        tasks.append(asyncio.ensure_future(send(len(tasks))))
    await asyncio.gather(*tasks)
    return len(tasks)


async def measure_idle_core(entry: processes.Program) -> float:
    """Returns the fraction of a core that an idle entry host uses."""
    before = entry.usage().seconds
    await asyncio.sleep(IDLE_SECONDS)
    return (entry.usage().seconds - before) / IDLE_SECONDS


@attrs.define
class CpuTimer:
    """Measures the processor time of an entry host above its idle usage."""

    entry: processes.Program
    idle_core: float
    start_time: float = 0.0
    start_cpu: float = 0.0
    wall_seconds: float = 0.0

    def start(self) -> None:
        """Starts a measurement."""
        self.start_time, self.start_cpu = (
            time.perf_counter(),
            self.entry.usage().seconds,
        )

    def end(self) -> float:
        """Returns the processor time since the start, in seconds."""
        self.wall_seconds = time.perf_counter() - self.start_time
        used = self.entry.usage().seconds - self.start_cpu
        return used - self.idle_core * self.wall_seconds


async def measure_calls(call_kind: str) -> None:
    """Measures the processor time per call, by rate."""
    async with deployment_lib.run_deployment(2, direct=True) as deployment:
        entry = deployment.entries[0]
        timer = CpuTimer(entry, await measure_idle_core(entry))
        send_call = functools.partial(
            send_plain_call, deployment.session, entry.address, call_kind
        )
        for rate in CALL_RATES:
            micros = []
            for _ in range(ROUNDS):
                timer.start()
                count = await open_loop(rate, ROUND_SECONDS, send_call)
                micros.append(timer.end() / count * _MICROSECONDS_PER_SECOND)
            print_line(
                f"{call_kind}: {rate}/s: "
                f"{deployment_lib.format_range(micros)} us a request"
            )
        resident = entry.usage().resident / (1 << 20)
        print_line(f"{call_kind}: {resident:.1f} MiB resident at the end")


_ENGINE_FLAGS = (
    *("--token-time", str(TOKEN_INTERVAL), "--prefill-time", "0"),
    *("--answer-tokens", "1000"),
)


async def measure_tokens() -> None:
    """Measures the processor time per stream, by its length."""
    async with deployment_lib.run_deployment(
        2, engine_words=_ENGINE_FLAGS, direct=True
    ) as deployment:
        entry = deployment.entries[0]
        timer = CpuTimer(entry, await measure_idle_core(entry))
        means = []
        for length in STREAM_LENGTHS:
            rate = 1500 / length / 1.0
            micros, results = [], StreamResults()
            for _ in range(ROUNDS):
                timer.start()
                count = await open_loop(
                    min(rate, 40),
                    ROUND_SECONDS,
                    functools.partial(
                        stream,
                        deployment.session,
                        entry.address,
                        length,
                        results,
                    ),
                )
                micros.append(timer.end() / count * _MICROSECONDS_PER_SECOND)
            means.append(statistics.mean(micros))
            print_line(
                f"tokens: {length} an answer: "
                f"{deployment_lib.format_range(micros)} us"
                f" a request, failed {results.failed}; "
                f"gap p95 "
                f"{statistics.quantiles(results.token_gap_ms, n=20)[18]:.1f} ms"
                f" ({TOKEN_INTERVAL * 1000:.0f} ms at the engine)"
            )
        slope, base = statistics.linear_regression(STREAM_LENGTHS, means)
        print_line(
            f"tokens: {base:.0f} us a request and {slope:.1f} us a token"
        )


async def measure_rates() -> None:
    """Measures the processor time per token, by requests a second."""
    async with deployment_lib.run_deployment(
        2, engine_words=_ENGINE_FLAGS, direct=True
    ) as deployment:
        entry = deployment.entries[0]
        timer = CpuTimer(entry, await measure_idle_core(entry))
        for rate in STREAM_RATES:
            micros, results = [], StreamResults()
            for _ in range(ROUNDS):
                timer.start()
                count = await open_loop(
                    rate,
                    ROUND_SECONDS,
                    functools.partial(
                        stream, deployment.session, entry.address, 128, results
                    ),
                )
                micros.append(
                    timer.end() / count / 128 * _MICROSECONDS_PER_SECOND
                )
            print_line(
                f"rate: {rate}/s of 128 tokens: "
                f"{deployment_lib.format_range(micros)} us a token; "
                "first token p95 "
                f"{statistics.quantiles(results.first_token_ms, n=20)[18]:.1f}"
                " ms, gap p95 "
                f"{statistics.quantiles(results.token_gap_ms, n=20)[18]:.1f}"
                " ms, "
                f"failed {results.failed}"
            )


async def measure_capacity() -> None:
    """Measures the capacity of an entry process in concurrent streams."""
    engine_flags = ("--token-time", "0.02", *_ENGINE_FLAGS[2:])
    async with deployment_lib.run_deployment(
        2, engine_words=engine_flags, direct=True
    ) as deployment:
        entry = deployment.entries[0]
        for count in STREAM_COUNTS:
            results = StreamResults()
            timer = CpuTimer(entry, 0.0)
            timer.start()
            await asyncio.gather(
                *(
                    stream(deployment.session, entry.address, 300, results)
                    for _ in range(count)
                )
            )
            used = timer.end()
            gap_p95 = statistics.quantiles(results.token_gap_ms, n=20)[18]
            print_line(
                f"most: {count} streams: "
                f"{count * 300 / timer.wall_seconds:.0f} "
                f"tokens/s, {used / timer.wall_seconds:.0%} of a core, gap p95 "
                f"{gap_p95:.1f} ms (20 at the engine), "
                f"failed {results.failed}, "
                f"{entry.usage().resident / (1 << 20):.1f} MiB"
            )


CALL_KINDS = ("balance", "confirm", "confirm-key")
_PARTS: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    "tokens": measure_tokens,
    "rate": measure_rates,
    "most": measure_capacity,
    **{
        call_kind: functools.partial(measure_calls, call_kind)
        for call_kind in CALL_KINDS
    },
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    random.seed(1)
    for name in sys.argv[1:] or _PARTS:
        uvloop.run(_PARTS[name]())


if __name__ == "__main__":
    main()
