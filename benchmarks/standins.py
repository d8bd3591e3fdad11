"""Measures the capacity of the stand-ins and the overhead of the clients.

Run ``python benchmarks/standins.py``; it takes about half a minute. Each
stand-in is a separate process on loopback, with one core at most. Prints:
appends a second and their processor time at the log; the delay from an append
to its long-polling readers and the log's processor time per record delivered;
tokens a second of one engine; and the time of a call by the exchange against a
bare aiohttp call, on reused and on new connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import statistics
import sys
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs

from hoistmoor.clients import exchange
from hoistmoor.clients import log
from hoistmoor.clients import sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

APPEND_COUNT = 3000
PAYLOAD_SIZES = (100, 10_000)
WRITER_COUNTS = (1, 16, 64)
READER_COUNTS = (9, 90, 360)
POLLED_RECORD_COUNT = 100  # Appended while readers poll.
APPEND_INTERVAL = 0.05
PAGE_SIZES = (1, 10, 100, 500)  # Records.
READS_PER_SIZE = 300  # Pages of each size.
STREAM_COUNTS = (8, 64, 256)
TOKEN_MILLISECONDS = (0, 10)  # Per token; 0 for full speed.
TOKENS_PER_STREAM = 200
CALL_COUNT = 1500
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Standin:
    """A running stand-in.

    Attributes:
        pid: Process id.
        address: ``ip:port`` of its HTTP interface.
    """

    pid: int
    address: str

    def cpu_seconds(self) -> float:
        """Returns the processor time used so far."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


@contextlib.asynccontextmanager
async def run_standin(*words: str) -> AsyncIterator[Standin]:
    """Runs a stand-in until the end of the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hoistmoor.standins.main",
        *words,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        line = (await process.stdout.readline()).decode().split()
        yield Standin(process.pid, line[1])
    finally:
        process.terminate()
        await process.wait()


def print_line(text: str) -> None:
    """Prints one line at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def in_parallel(
    count: int, total: int, call: Callable[[], Awaitable[object]]
) -> float:
    """Returns the seconds that ``total`` calls in ``count`` tasks take."""

    async def work() -> None:
        for _ in range(total // count):
            await call()

    start = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(count)))
    return time.perf_counter() - start


async def measure_appends(session: aiohttp.ClientSession) -> None:
    """Prints appends a second by their size and the number of writers."""
    print_line("log: appends (writers, bytes, appends/s, log us each)")
    async with run_standin("log") as standin:
        client = log.LogClient(session, f"http://{standin.address}", 10.0)
        for size in PAYLOAD_SIZES:
            for writers in WRITER_COUNTS:
                payload = b"x" * size
                cpu_before = standin.cpu_seconds()
                seconds = await in_parallel(
                    writers,
                    APPEND_COUNT,
                    lambda p=payload: client.append("s", p),
                )
                micros = (
                    (standin.cpu_seconds() - cpu_before) / APPEND_COUNT * 1e6
                )
                rate = APPEND_COUNT / seconds
                print_line(f"  {writers:4} {size:6} {rate:8.0f} {micros:7.0f}")


async def measure_long_polls(session: aiohttp.ClientSession) -> None:
    """Prints the delay until readers get a record, by number of readers."""
    print_line("log: long poll (readers, p50 ms, p99 ms, log us per delivery)")
    for readers in READER_COUNTS:
        async with run_standin("log") as standin:
            client = log.LogClient(session, f"http://{standin.address}", 10.0)
            cpu_before = standin.cpu_seconds()
            delays = await follow(client, readers)
            micros = (standin.cpu_seconds() - cpu_before) / len(delays) * 1e6
        percentiles = statistics.quantiles(delays, n=100)
        print_line(
            f"  {readers:4} {percentiles[49]:7.1f} {percentiles[98]:7.1f}"
            f" {micros:7.0f}"
        )


async def measure_reads(session: aiohttp.ClientSession) -> None:
    """Prints the processor time of a reader by the page size."""
    print_line(
        "log: reads of 300-byte records (a page, reader us a page, a record)"
    )
    async with run_standin("log") as standin:
        client = log.LogClient(session, f"http://{standin.address}", 10.0)
        for _ in range(PAGE_SIZES[-1]):
            await client.append("s", b"x" * 300)
        for size in PAGE_SIZES:
            cpu_before = time.process_time()
            for _ in range(READS_PER_SIZE):
                await client.read("s", 0, limit=size)
            page = (time.process_time() - cpu_before) / READS_PER_SIZE * 1e6
            print_line(f"  {size:4} {page:7.0f} {page / size:7.1f}")


async def follow(client: log.LogClient, readers: int) -> list[float]:
    """Returns the milliseconds from each append to its arrival at a reader."""
    delays: list[float] = []

    async def read() -> None:
        start = 0
        while start < POLLED_RECORD_COUNT:
            page = await client.read("s", start, wait=20.0)
            now = time.time()
            delays.extend(
                (now - float(record.payload)) * 1000 for record in page.records
            )
            start = page.next

    tasks = [asyncio.create_task(read()) for _ in range(readers)]
    await asyncio.sleep(1.0)
    for _ in range(POLLED_RECORD_COUNT):
        await client.append("s", str(time.time()).encode())
        await asyncio.sleep(APPEND_INTERVAL)
    await asyncio.gather(*tasks)
    return delays


def make_chat_request(address: str, serial: int) -> exchange.HttpRequest:
    """Returns a streamed request for ``TOKENS_PER_STREAM`` tokens."""
    body = (
        b'{"model":"demo@1","stream":true,"max_tokens":%d,'
        b'"messages":[{"role":"user","content":"q%d"}]}'
        % (TOKENS_PER_STREAM, serial)
    )
    url = f"http://{address}/v1/chat/completions"
    return exchange.HttpRequest("POST", url, f"b.1.{serial}", body=body)


async def read_all(
    session: aiohttp.ClientSession, request: exchange.HttpRequest
) -> int:
    """Reads a response to its end; returns the number of chunks."""
    frames = 0
    async with exchange.Exchange(session, request) as opened:
        async for part in opened:
            frames += isinstance(part, exchange.BodyChunk)
    return frames


async def measure_tokens(session: aiohttp.ClientSession) -> None:
    """Prints tokens a second of one engine, at full speed and paced."""
    print_line(
        "engine: streams (ms a token, streams, tokens/s, share of ideal,"
        " engine us, reader us per token)"
    )
    for token_ms in TOKEN_MILLISECONDS:
        words = ("--token-time", str(token_ms / 1000), "--capacity", "256")
        length = ("--answer-tokens", str(2 * TOKENS_PER_STREAM))
        async with run_standin("engine", *words, *length) as standin:
            for streams in STREAM_COUNTS:
                await measure_streams(session, standin, token_ms, streams)


async def measure_streams(
    session: aiohttp.ClientSession,
    standin: Standin,
    token_ms: float,
    streams: int,
) -> None:
    """Prints one line for a number of concurrent streams."""
    requests = [
        make_chat_request(standin.address, n) for n in range(2 * streams)
    ]
    cpu_before, own_cpu_before = standin.cpu_seconds(), time.process_time()
    seconds = await in_parallel(
        streams, len(requests), lambda: read_all(session, requests.pop())
    )
    tokens = 2 * streams * TOKENS_PER_STREAM
    engine = (standin.cpu_seconds() - cpu_before) / tokens * 1e6
    reader = (time.process_time() - own_cpu_before) / tokens * 1e6
    rate = tokens / seconds
    ideal = f"{rate * token_ms / 1000 / streams:6.2f}" if token_ms else "     -"
    print_line(
        f"  {token_ms:3} {streams:4} {rate:8.0f} {ideal}"
        f" {engine:7.1f} {reader:7.1f}"
    )


async def measure_calls() -> None:
    """Prints the overhead of the exchange and of new connections."""
    print_line(
        "calls to a service, one after the other (p50 us, p99 us, ratio p50)"
    )
    async with run_standin("service", "--service-time", "0") as standin:
        url = f"http://{standin.address}/confirm"
        body = b'{"id":"1","amount":1}'

        async def call_directly(session: aiohttp.ClientSession) -> None:
            async with session.post(url, data=body) as response:
                await response.read()

        async def call_by_exchange(session: aiohttp.ClientSession) -> None:
            request = exchange.HttpRequest("POST", url, "b.1.1", body=body)
            await read_all(session, request)

        variants = {
            "bare aiohttp": (aiohttp.ClientSession(), call_directly),
            "exchange": (sessions.make_session(), call_by_exchange),
            "exchange, new connections": (
                sessions.make_session(reuse_connections=False),
                call_by_exchange,
            ),
        }
        times: dict[str, list[float]] = {name: [] for name in variants}
        for _ in range(CALL_COUNT):
            # Variants alternate, so that noise affects all of them equally.
            for name, (session, call) in variants.items():
                start = time.perf_counter()
                await call(session)
                times[name].append((time.perf_counter() - start) * 1e6)
        for session, _ in variants.values():
            await session.close()
    base = statistics.median(times["bare aiohttp"])
    for name, values in times.items():
        percentiles = statistics.quantiles(values, n=100)
        print_line(
            f"  {name:26} {percentiles[49]:7.0f} {percentiles[98]:7.0f}"
            f" {percentiles[49] / base:6.2f}"
        )


async def main() -> None:
    """Runs all measurements."""
    async with sessions.make_session(total_timeout=None) as session:
        await measure_appends(session)
        await measure_long_polls(session)
        await measure_reads(session)
        await measure_tokens(session)
    await measure_calls()


if __name__ == "__main__":
    asyncio.run(main())
