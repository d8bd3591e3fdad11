"""Measures what the authentication of peers and TLS cost.

    python benchmarks/security.py

Ways take turns, round by round, so that all meet the machine in the same
state; the least of the rounds counts. Processor time is that of both ends
together, in one process; bytes are those of both directions.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import attrs
import uvloop

from hoistmoor.core.security import calls
from hoistmoor.peers import client
from hoistmoor.peers import guard
from hoistmoor.peers import handlers
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import server
from hoistmoor.peers import signing
from hoistmoor.utils import tls as tls_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    import ssl

ROUNDS = 7
CALLS = 1000  # In each round.
HANDSHAKES = 60
SECRETS = ("a-secret-of-the-benchmark", "the-one-before-it-in-use")
_TLS = pathlib.Path(__file__).parents[1] / "tests" / "fixtures" / "tls"
_BATCH = b"x" * 4096  # About forty bills.
_US = 1e6


class _Tap:
    """Passes bytes on between a client and a server, and counts them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        out = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._copy(reader, out[1]), self._copy(out[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                self.count += len(data)
                writer.write(data)
        writer.close()


@attrs.frozen
class Way:
    """One way to call a peer.

    Attributes:
        name: What is printed.
        signed: Whether calls and replies are signed.
        secrets: Secrets of the caller; the callee knows them the other way
            round, as in the midst of a rotation.
        encrypted: Whether TLS is used.
    """

    name: str
    signed: bool
    secrets: tuple[str, ...] = SECRETS[:1]
    encrypted: bool = False


WAYS = (
    Way("open", signed=False),
    Way("signed", signed=True),
    Way("signed, in rotation", signed=True, secrets=SECRETS),
    Way("signed, TLS", signed=True, encrypted=True),
)


@attrs.define
class Pair:
    """A caller and a callee, with a direct connection and a tapped one.

    Attributes:
        direct: Calls on the direct connection.
        tapped: Calls on the other.
        tap: Counts its bytes.
        verifier: The callee's; it is called by one address at a time.
    """

    direct: client.PeerClient
    tapped: client.PeerClient
    tap: _Tap
    verifier: calls.Verifier


def _files() -> tls_lib.TlsFiles:
    names = ("host.crt", "host.key", "ca.crt")
    return tls_lib.TlsFiles(*(str(_TLS / name) for name in names))


def _client(
    way: Way, address: str, signer: calls.Signer, files: tls_lib.TlsFiles
) -> client.PeerClient:
    return client.PeerClient(
        address,
        signing.CallSigning(signer, time.time) if way.signed else None,
        files.peer_client_context if way.encrypted else None,
    )


@contextlib.asynccontextmanager
async def open_pair(way: Way) -> AsyncIterator[Pair]:
    """Yields both ends, ready."""
    files = _files()
    digest = _digest()

    async def ping(_digest: peer_pb2.Digest) -> peer_pb2.Digest:
        return digest

    async def hold(_batch_id: str, _batch: bytes) -> None:
        return None

    verifier = calls.Verifier("", way.secrets[::-1], time.time())
    callee = server.PeerServer(
        handlers.PeerHandlers(ping=ping, hold_bills=hold),
        guard.CallGuard(verifier, time.time) if way.signed else None,
        files.peer_context if way.encrypted else None,
    )
    await callee.start("127.0.0.1", 0)
    tap = _Tap(callee.port)
    tapping = await asyncio.start_server(tap.serve, "127.0.0.1", 0)
    tap_port = tapping.sockets[0].getsockname()[1]
    signer = calls.Signer("entry-1", 1_800_000_000_000, way.secrets)
    pair = Pair(
        _client(way, f"127.0.0.1:{callee.port}", signer, files),
        _client(way, f"127.0.0.1:{tap_port}", signer, files),
        tap,
        verifier,
    )
    for peer in (pair.tapped, pair.direct):
        verifier.callee = peer.address
        await peer.ping(digest)
    yield pair
    for peer in (pair.tapped, pair.direct):
        peer.close()
    tapping.close()
    await callee.close()


def _digest() -> peer_pb2.Digest:
    return peer_pb2.Digest(
        sender="entry-001", incarnation=1_800_000_000_000, table_mark=9
    )


async def processor_time(
    call: Callable[[], Awaitable[object]], n: int
) -> float:
    """Returns microseconds of processor time a call."""
    started = time.process_time()
    for _ in range(n):
        await call()
    return (time.process_time() - started) / n * _US


async def wire_bytes(way: Way) -> float:
    """Returns the bytes of one ping over a warm connection."""
    async with open_pair(way) as pair:
        pair.verifier.callee = pair.tapped.address
        await pair.tapped.ping(_digest())
        pair.tap.count = 0
        for _ in range(200):
            await pair.tapped.ping(_digest())
        return pair.tap.count / 200


async def measure_peers() -> None:
    """Prints what a call between hosts takes."""
    say("peers' calls: us of processor time, both ends; bytes, both ways")
    say(f"{'way':<22}{'ping':>8}{'4 KB of bills':>15}{'bytes a ping':>14}")
    least: dict[tuple[str, str], float] = {}
    for _ in range(ROUNDS):
        for way in WAYS:
            async with open_pair(way) as pair:
                peer = pair.direct
                jobs: dict[str, Callable[[], Awaitable[object]]] = {
                    "ping": lambda peer=peer: peer.ping(_digest()),
                    "bills": lambda peer=peer: peer.hold_bills("b", _BATCH),
                }
                for name, job in jobs.items():
                    took = await processor_time(job, CALLS)
                    key = (way.name, name)
                    least[key] = min(took, least.get(key, took))
    for way in WAYS:
        size = await wire_bytes(way)
        ping, bills = least[way.name, "ping"], least[way.name, "bills"]
        say(f"{way.name:<22}{ping:>8.0f}{bills:>15.0f}{size:>14.0f}")


def measure_parts() -> None:
    """Prints what signing and judging take by themselves."""
    signer = calls.Signer("entry-1", 1, SECRETS)
    for secrets, what in ((SECRETS, "first"), (SECRETS[::-1], "second")):
        verifier = calls.Verifier("10.0.0.1:1", secrets, time.time() - 1)
        body = _digest().SerializeToString()
        spent = {"sign": 0.0, "judge": 0.0}
        for _ in range(5000):
            at = time.process_time_ns()
            signed = signer.sign("/p/Ping", "10.0.0.1:1", body, time.time())
            between = time.process_time_ns()
            call = verifier.verify("/p/Ping", signed.header, time.time())
            assert isinstance(call, calls.AuthenticatedCall)
            assert call.matches_body(body)
            header = call.sign_reply(body)
            spent["judge"] += time.process_time_ns() - between
            spent["sign"] += between - at
            assert signer.verify_reply(signed, header, body)
        sign, judge = spent["sign"] / 5e6, spent["judge"] / 5e6
        say(
            f"by the callee's {what} secret: sign {sign:.1f} us, "
            f"judge and sign the reply {judge:.1f} us"
        )


async def _answer(_http: web.Request) -> web.Response:
    return web.Response(body=b"x" * 400)


async def measure_callers() -> None:
    """Prints what TLS costs on the callers' port, both ends together."""
    files = _files()
    say("callers' port: us of processor time a request, both ends")
    for name, context, link in (
        ("plain", None, tls_lib.PLAIN),
        ("TLS", files.caller_context, files.link),
    ):
        kept, fresh = await _measure_port(context, link)
        say(f"{name:<22}{kept:>8.0f} kept connection{fresh:>9.0f} a new one")


async def _measure_port(
    context: ssl.SSLContext | None, link: tls_lib.Link
) -> tuple[float, float]:
    application = web.Application()
    application.router.add_post("/", _answer)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context)
    await site.start()
    port = runner.addresses[0][1]
    url = link.url(f"127.0.0.1:{port}", "/")
    took = []
    for closing, count in ((False, CALLS), (True, HANDSHAKES)):
        connector = aiohttp.TCPConnector(force_close=closing)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def ask(session: aiohttp.ClientSession = session) -> None:
                async with session.post(
                    url, data=b"x" * 600, ssl=link.verify
                ) as answer:
                    await answer.read()

            await ask()
            rounds = [await processor_time(ask, count) for _ in range(ROUNDS)]
            took.append(min(rounds))
    await runner.cleanup()
    return took[0], took[1]


def say(line: str) -> None:
    """Prints a line at once."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


async def main() -> None:
    """Prints all of it."""
    measure_parts()
    await measure_peers()
    await measure_callers()


if __name__ == "__main__":
    uvloop.run(main())
