"""What a host reads and spends on claims that are spread over shards.

    python benchmarks/claim_shards.py 180         180 shards over 360 hosts
    python benchmarks/claim_shards.py 180 360     one after another

One host of 360 runs in this process on the log stand-in, a process of its own,
behind a forwarder that counts bytes both ways (so processor time includes the
forwarder). 170 keyed requests a second are spread evenly over all shards. The
host serves those of the shards that it is the preferred follower of; records
of its other shards are appended past the forwarder, by a process of their own.
Two hosts are measured: one that follows the median number, and the fullest.
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
KEYED = 170.0  # Requests a second in all.
SPELL = 20.0  # Seconds.
SETTLE = 3.0  # Seconds.
_BODY = b'{"confirmed": true, "receipt": "TX-0123456789"}'


def answer(number: int) -> permits.StoredAnswer:
    """Returns the answer to a confirm."""
    name = f"entry-1.18c1f2a3b4c.{number:x}"
    return permits.StoredAnswer(200, "application/json", _BODY, name)


async def pipe(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, meter: list[int]
) -> None:
    """Copies bytes and counts them."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            meter[0] += len(data)
            writer.write(data)
    writer.close()


async def feed_others(url: str, shards: int, theirs: list[int]) -> None:
    """Appends a claim and its end for each request of others, evenly."""
    rate = KEYED / shards * len(theirs)
    async with sessions.make_session() as session:
        client = log_client.LogClient(session, url)
        for number in range(10**9):
            shard = theirs[number % len(theirs)]
            stream = placement.stream_of(shard, shards)
            key = records.key_digest("shop", f"{time.time()}")
            claim = records.Claim(key, number + 1, "f" * 32)
            end = records.Ended(
                key, number + 1, outcomes.Outcome.DONE, answer(number)
            )
            for ends, claims in (((), (claim,)), ((end,), ())):
                batch = records.ClaimBatch(
                    "far", 7, "10.0.0.1:80", ends, claims
                )
                await client.append(stream, codec.encode(batch))
            await asyncio.sleep(1 / rate)


def feed(url: str, shards: int, theirs: list[int]) -> None:
    """Runs ``feed_others`` as a process."""
    asyncio.run(feed_others(url, shards, theirs))


async def serve(
    once: once_lib.AtMostOnceGuard, key: str, counted: list[float]
) -> None:
    """Serves one keyed request."""
    began = time.perf_counter()
    permit = await once.begin("shop", key, "f" * 32, "r", time.time() + 5)
    if isinstance(permit, permits.Permit):
        counted.append((time.perf_counter() - began) * 1000)
        await once.finish(permit, outcomes.Outcome.DONE, answer(1))


async def measure(url: str, shards: int, host: str, mine: list[int]) -> None:
    """Prints one host's figures."""
    meter, tasks = [0], []
    times: list[float] = []
    target = url.removeprefix("http://").split(":")

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*target)
        await asyncio.gather(
            pipe(reader, far_writer, meter), pipe(far_reader, writer, meter)
        )

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    first = [s for s in mine if placement.followers(s, HOSTS)[0] == host]
    async with sessions.make_session() as session:
        client = log_client.LogClient(session, f"http://127.0.0.1:{port}")
        once = once_lib.AtMostOnceGuard(
            client,
            identity.Incarnation(host, 7),
            HOSTS[host],
            [b"secret of the bench"],
            lambda _: True,
            shard_count=shards,
            live_hosts=lambda: HOSTS,
        )
        once.start()
        await asyncio.sleep(SETTLE)
        meter[0], used = 0, time.process_time()
        rate = KEYED / shards * len(first)
        count = round(rate * SPELL)
        number = 0
        for _ in range(count):
            while True:
                number += 1
                key = f"{time.time()}-{number}"
                digest = records.key_digest("shop", key)
                if placement.shard_of(digest, shards) in first:
                    break
            tasks.append(asyncio.ensure_future(serve(once, key, times)))
            await asyncio.sleep(SPELL / count)
        if not count:
            await asyncio.sleep(SPELL)
        await asyncio.gather(*tasks)
        used = time.process_time() - used
        read = meter[0] / SPELL / 1000
        await once.stop()
    server.close()
    middle = f"{sorted(times)[len(times) // 2]:.1f} ms" if times else "none"
    sys.stdout.write(
        f"{shards} shards, a host with {len(mine)}, preferred for "
        f"{len(first)}: {read:.2f} KB/s both ways, {used / SPELL * 100:.2f}% "
        f"of a core, {len(times)} claims, median {middle}\n"
    )


async def run(shards: int) -> None:
    """Measures an ordinary host and the fullest."""
    mine = collections.defaultdict(list)
    for shard in range(shards):
        for host in placement.followers(shard, HOSTS):
            mine[host].append(shard)
    ordered = sorted(mine, key=lambda host: (len(mine[host]), host))
    for host in (ordered[len(ordered) // 2], ordered[-1]):
        standin = await asyncio.create_subprocess_exec(
            os.path.join(os.path.dirname(sys.executable), "hoistmoor-standin"),
            *("log", "--listen", "127.0.0.1:0"),
            stdout=asyncio.subprocess.PIPE,
        )
        feeder = None
        try:
            assert standin.stdout
            line = (await standin.stdout.readline()).decode().split()
            url = f"http://{line[-1]}"
            theirs = [
                s
                for s in mine[host]
                if placement.followers(s, HOSTS)[0] != host
            ]
            if theirs:
                feeder = multiprocessing.get_context("spawn").Process(
                    target=feed, args=(url, shards, theirs)
                )
                feeder.start()
            await measure(url, shards, host, mine[host])
        finally:
            if feeder is not None:
                feeder.kill()
            standin.kill()
            await standin.wait()


def main() -> None:
    """Measures each number of shards named."""
    for word in sys.argv[1:] or ("180",):
        uvloop.run(run(int(word)))


if __name__ == "__main__":
    main()
