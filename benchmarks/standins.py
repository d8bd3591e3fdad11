"""What the stand-ins carry, and what the clients add; ratios in one run.

Run ``python benchmarks/standins.py``; it takes about half a minute. Each
stand-in is a process of its own on loopback, with one core at most. Prints:
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

APPENDS = 3000
APPEND_BYTES = (100, 10_000)
APPENDERS = (1, 16, 64)
READERS = (9, 90, 360)
POLLED_RECORDS = 100  # Appended while readers follow, 20 a second.
POLL_PAUSE = 0.05  # Seconds.
PAGE_SIZES = (1, 10, 100, 500)  # Records.
READS = 300  # Pages of each size.
STREAMS = (8, 64, 256)
TOKEN_MS = (0, 10)  # Milliseconds a token; 0: as fast as it goes.
TOKENS = 200  # Tokens a stream.
CALLS = 1500
_TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Standin:
    """A running stand-in."""

    pid: int
    address: str

    def cpu(self) -> float:
        """Returns the seconds of processor time used so far."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS


@contextlib.asynccontextmanager
async def started(*words: str) -> AsyncIterator[Standin]:
    """Runs a stand-in for the length of the block."""
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


def say(text: str) -> None:
    """Prints one line at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def in_parallel(
    count: int, total: int, call: Callable[[], Awaitable[object]]
) -> float:
    """Returns the seconds that ``total`` calls by ``count`` tasks take."""

    async def work() -> None:
        for _ in range(total // count):
            await call()

    start = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(count)))
    return time.perf_counter() - start


async def measure_appends(session: aiohttp.ClientSession) -> None:
    """Prints appends a second by their size and the number of writers."""
    say("log: appends (writers, bytes, appends/s, log us each)")
    async with started("log") as standin:
        client = log.LogClient(session, f"http://{standin.address}", 10.0)
        for size in APPEND_BYTES:
            for writers in APPENDERS:
                payload = b"x" * size
                used = standin.cpu()
                seconds = await in_parallel(
                    writers, APPENDS, lambda p=payload: client.append("s", p)
                )
                each = (standin.cpu() - used) / APPENDS * 1e6
                rate = APPENDS / seconds
                say(f"  {writers:4} {size:6} {rate:8.0f} {each:7.0f}")


async def measure_polls(session: aiohttp.ClientSession) -> None:
    """Prints how soon readers see an append, by the number of readers."""
    say("log: long poll (readers, p50 ms, p99 ms, log us per delivery)")
    for readers in READERS:
        async with started("log") as standin:
            client = log.LogClient(session, f"http://{standin.address}", 10.0)
            used = standin.cpu()
            delays = await follow(client, readers)
            each = (standin.cpu() - used) / len(delays) * 1e6
        cuts = statistics.quantiles(delays, n=100)
        say(f"  {readers:4} {cuts[49]:7.1f} {cuts[98]:7.1f} {each:7.0f}")


async def measure_reads(session: aiohttp.ClientSession) -> None:
    """Prints a reader's own processor time by the records in a page."""
    say("log: reads of 300-byte records (a page, reader us a page, a record)")
    async with started("log") as standin:
        client = log.LogClient(session, f"http://{standin.address}", 10.0)
        for _ in range(PAGE_SIZES[-1]):
            await client.append("s", b"x" * 300)
        for size in PAGE_SIZES:
            used = time.process_time()
            for _ in range(READS):
                await client.read("s", 0, limit=size)
            page = (time.process_time() - used) / READS * 1e6
            say(f"  {size:4} {page:7.0f} {page / size:7.1f}")


async def follow(client: log.LogClient, readers: int) -> list[float]:
    """Returns the milliseconds from each append to each reader."""
    delays: list[float] = []

    async def read() -> None:
        start = 0
        while start < POLLED_RECORDS:
            page = await client.read("s", start, wait=20.0)
            now = time.time()
            delays.extend(
                (now - float(record.payload)) * 1000 for record in page.records
            )
            start = page.next

    tasks = [asyncio.create_task(read()) for _ in range(readers)]
    await asyncio.sleep(1.0)
    for _ in range(POLLED_RECORDS):
        await client.append("s", str(time.time()).encode())
        await asyncio.sleep(POLL_PAUSE)
    await asyncio.gather(*tasks)
    return delays


def chat(address: str, serial: int) -> exchange.HttpRequest:
    """Returns a streamed request for ``TOKENS`` tokens."""
    body = (
        b'{"model":"demo@1","stream":true,"max_tokens":%d,'
        b'"messages":[{"role":"user","content":"q%d"}]}' % (TOKENS, serial)
    )
    url = f"http://{address}/v1/chat/completions"
    return exchange.HttpRequest("POST", url, f"b.1.{serial}", body=body)


async def read_all(
    session: aiohttp.ClientSession, request: exchange.HttpRequest
) -> int:
    """Returns how many frames an exchange gave."""
    frames = 0
    async with exchange.Exchange(session, request) as opened:
        async for part in opened:
            frames += isinstance(part, exchange.BodyChunk)
    return frames


async def measure_tokens(session: aiohttp.ClientSession) -> None:
    """Prints tokens a second of one engine, at full speed and paced."""
    say(
        "engine: streams (ms a token, streams, tokens/s, share of ideal,"
        " engine us, reader us per token)"
    )
    for token_ms in TOKEN_MS:
        words = ("--token-time", str(token_ms / 1000), "--capacity", "256")
        length = ("--answer-tokens", str(2 * TOKENS))
        async with started("engine", *words, *length) as standin:
            for streams in STREAMS:
                await measure_streams(session, standin, token_ms, streams)


async def measure_streams(
    session: aiohttp.ClientSession,
    standin: Standin,
    token_ms: float,
    streams: int,
) -> None:
    """Prints one line on a number of streams at once."""
    requests = [chat(standin.address, n) for n in range(2 * streams)]
    used, own = standin.cpu(), time.process_time()
    seconds = await in_parallel(
        streams, len(requests), lambda: read_all(session, requests.pop())
    )
    tokens = 2 * streams * TOKENS
    engine = (standin.cpu() - used) / tokens * 1e6
    reader = (time.process_time() - own) / tokens * 1e6
    rate = tokens / seconds
    ideal = f"{rate * token_ms / 1000 / streams:6.2f}" if token_ms else "     -"
    say(
        f"  {token_ms:3} {streams:4} {rate:8.0f} {ideal}"
        f" {engine:7.1f} {reader:7.1f}"
    )


async def measure_calls() -> None:
    """Prints what the exchange and new connections add to a call."""
    say("calls to a service, one after the other (p50 us, p99 us, ratio p50)")
    async with started("service", "--service-time", "0") as standin:
        url = f"http://{standin.address}/confirm"
        body = b'{"id":"1","amount":1}'

        async def bare(session: aiohttp.ClientSession) -> None:
            async with session.post(url, data=body) as reply:
                await reply.read()

        async def exchanged(session: aiohttp.ClientSession) -> None:
            request = exchange.HttpRequest("POST", url, "b.1.1", body=body)
            await read_all(session, request)

        ways = {
            "bare aiohttp": (aiohttp.ClientSession(), bare),
            "exchange": (sessions.make_session(), exchanged),
            "exchange, new connections": (
                sessions.make_session(reuse_connections=False),
                exchanged,
            ),
        }
        times: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(CALLS):
            # In turns, so that noise of the machine falls on all alike.
            for name, (session, call) in ways.items():
                start = time.perf_counter()
                await call(session)
                times[name].append((time.perf_counter() - start) * 1e6)
        for session, _ in ways.values():
            await session.close()
    base = statistics.median(times["bare aiohttp"])
    for name, values in times.items():
        cuts = statistics.quantiles(values, n=100)
        say(
            f"  {name:26} {cuts[49]:7.0f} {cuts[98]:7.0f}"
            f" {cuts[49] / base:6.2f}"
        )


async def main() -> None:
    """Runs all measurements."""
    async with sessions.make_session(total_timeout=None) as session:
        await measure_appends(session)
        await measure_polls(session)
        await measure_reads(session)
        await measure_tokens(session)
    await measure_calls()


if __name__ == "__main__":
    asyncio.run(main())
