"""Measures traffic and processor time of a host that follows claim shards.

    python benchmarks/claim_shards.py 180         180 shards over 360 hosts
    python benchmarks/claim_shards.py 180 360     one after another

One host of 360 runs in this process. It reads the log stand-in, a separate
process, through a forwarder that counts bytes both ways, so that its processor
time includes the forwarder. 170 keyed requests a second are spread evenly over
all shards. The host serves those of the shards that it is the preferred
follower of; another process appends the records of its other shards directly
to the log. Measures the host that follows the median number of shards and the
one that follows most.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import multiprocessing
import os
import sys
import time

import uvloop

from hoistmoor.clients import log as log_client
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.once import permits
from hoistmoor.core.once import placement
from hoistmoor.core.once import records
from hoistmoor.entry import once as once_lib

HOSTS = {f"entry-{n}": f"10.0.0.{n}:80" for n in range(360)}
KEYED_REQUEST_RATE = 170.0  # Requests a second at all hosts together.
MEASURED_SECONDS = 20.0
SETTLE_SECONDS = 3.0
_BODY = b'{"confirmed": true, "receipt": "TX-0123456789"}'


def make_stored_answer(number: int) -> permits.StoredAnswer:
    """Returns the stored response of a confirm request."""
    name = f"entry-1.18c1f2a3b4c.{number:x}"
    return permits.StoredAnswer(200, "application/json", _BODY, name)


async def copy_bytes(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    byte_count: list[int],
) -> None:
    """Copies bytes until the end of the stream and counts them."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            byte_count[0] += len(data)
            writer.write(data)
    writer.close()


async def append_claims_of_other_hosts(
    url: str, shards: int, foreign_shards: list[int]
) -> None:
    """Appends claims and their ends for the requests of other hosts."""
    rate = KEYED_REQUEST_RATE / shards * len(foreign_shards)
    async with sessions.make_session() as session:
        client = log_client.LogClient(session, url)
        for number in range(10**9):
            shard = foreign_shards[number % len(foreign_shards)]
            stream = placement.stream_of(shard, shards)
            key = records.key_digest("shop", f"{time.time()}")
            claim = records.Claim(key, number + 1, "f" * 32)
            end = records.Ended(
                key,
                number + 1,
                outcomes.Outcome.DONE,
                make_stored_answer(number),
            )
            for ends, claims in (((), (claim,)), ((end,), ())):
                batch = records.ClaimBatch(
                    "far", 7, "10.0.0.1:80", ends, claims
                )
                await client.append(stream, codec.encode(batch))
            await asyncio.sleep(1 / rate)


def run_appender(url: str, shards: int, foreign_shards: list[int]) -> None:
    """Entry point of the process that appends claims of other hosts."""
    asyncio.run(append_claims_of_other_hosts(url, shards, foreign_shards))


async def serve(
    guard: once_lib.AtMostOnceGuard, key: str, latencies: list[float]
) -> None:
    """Serves one keyed request and records how long its claim takes."""
    began = time.perf_counter()
    permit = await guard.begin("shop", key, "f" * 32, "r", time.time() + 5)
    if isinstance(permit, permits.Permit):
        latencies.append((time.perf_counter() - began) * 1000)
        await guard.finish(permit, outcomes.Outcome.DONE, make_stored_answer(1))


async def measure(
    url: str, shards: int, host: str, followed_shards: list[int]
) -> None:
    """Measures one host and prints the results."""
    byte_count, tasks = [0], []
    latencies: list[float] = []
    target = url.removeprefix("http://").split(":")

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*target)
        await asyncio.gather(
            copy_bytes(reader, target_writer, byte_count),
            copy_bytes(target_reader, writer, byte_count),
        )

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    preferred_shards = [
        s for s in followed_shards if placement.followers(s, HOSTS)[0] == host
    ]
    async with sessions.make_session() as session:
        client = log_client.LogClient(session, f"http://127.0.0.1:{port}")
        guard = once_lib.AtMostOnceGuard(
            client,
            identity.Incarnation(host, 7),
            HOSTS[host],
            [b"secret of the bench"],
            lambda _: True,
            shard_count=shards,
            live_hosts=lambda: HOSTS,
        )
        guard.start()
        await asyncio.sleep(SETTLE_SECONDS)
        byte_count[0], cpu_seconds = 0, time.process_time()
        rate = KEYED_REQUEST_RATE / shards * len(preferred_shards)
        count = round(rate * MEASURED_SECONDS)
        number = 0
        for _ in range(count):
            while True:
                number += 1
                key = f"{time.time()}-{number}"
                digest = records.key_digest("shop", key)
                if placement.shard_of(digest, shards) in preferred_shards:
                    break
            tasks.append(asyncio.ensure_future(serve(guard, key, latencies)))
            await asyncio.sleep(MEASURED_SECONDS / count)
        if not count:
            await asyncio.sleep(MEASURED_SECONDS)
        await asyncio.gather(*tasks)
        cpu_seconds = time.process_time() - cpu_seconds
        kilobytes_per_second = byte_count[0] / MEASURED_SECONDS / 1000
        await guard.stop()
    server.close()
    median = (
        f"{sorted(latencies)[len(latencies) // 2]:.1f} ms"
        if latencies
        else "none"
    )
    sys.stdout.write(
        f"{shards} shards, a host with {len(followed_shards)}, preferred for "
        f"{len(preferred_shards)}: {kilobytes_per_second:.2f} KB/s "
        f"both ways, {cpu_seconds / MEASURED_SECONDS * 100:.2f}% "
        f"of a core, {len(latencies)} claims, median {median}\n"
    )


async def run(shards: int) -> None:
    """Measures the host with the median and the one with most shards."""
    followed_shards = collections.defaultdict(list)
    for shard in range(shards):
        for host in placement.followers(shard, HOSTS):
            followed_shards[host].append(shard)
    hosts_by_load = sorted(
        followed_shards, key=lambda host: (len(followed_shards[host]), host)
    )
    for host in (hosts_by_load[len(hosts_by_load) // 2], hosts_by_load[-1]):
        standin = await asyncio.create_subprocess_exec(
            os.path.join(os.path.dirname(sys.executable), "hoistmoor-standin"),
            *("log", "--listen", "127.0.0.1:0"),
            stdout=asyncio.subprocess.PIPE,
        )
        appender = None
        try:
            assert standin.stdout
            line = (await standin.stdout.readline()).decode().split()
            url = f"http://{line[-1]}"
            foreign_shards = [
                s
                for s in followed_shards[host]
                if placement.followers(s, HOSTS)[0] != host
            ]
            if foreign_shards:
                appender = multiprocessing.get_context("spawn").Process(
                    target=run_appender, args=(url, shards, foreign_shards)
                )
                appender.start()
            await measure(url, shards, host, followed_shards[host])
        finally:
            if appender is not None:
                appender.kill()
            standin.kill()
            await standin.wait()


def main() -> None:
    """Measures each number of shards named on the command line."""
    for argument in sys.argv[1:] or ("180",):
        uvloop.run(run(int(argument)))


if __name__ == "__main__":
    main()
