"""Measures the cost of peer authentication and of TLS.

    python benchmarks/security.py

Variants alternate round by round, so that all run under the same conditions;
the minimum of the rounds counts. Processor time is that of both ends together,
in one process; bytes are those of both directions.
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
CALLS_PER_ROUND = 1000
HANDSHAKES_PER_ROUND = 60
SECRETS = ("a-secret-of-the-benchmark", "the-one-before-it-in-use")
_TLS = pathlib.Path(__file__).parents[1] / "tests" / "fixtures" / "tls"
_BATCH = b"x" * 4096  # The size of about forty bills.
_MICROSECONDS_PER_SECOND = 1e6


class _CountingForwarder:
    """Forwards bytes between a client and a server, and counts them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._copy(reader, target[1]), self._copy(target[0], writer)
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
class PeerVariant:
    """A variant of authentication and encryption between peers.

    Attributes:
        name: Label in the report.
        signed: Whether calls and responses are signed.
        secrets: Secrets of the caller; the callee has them in reverse order,
            as during a rotation.
        encrypted: Whether TLS is used.
    """

    name: str
    signed: bool
    secrets: tuple[str, ...] = SECRETS[:1]
    encrypted: bool = False


VARIANTS = (
    PeerVariant("open", signed=False),
    PeerVariant("signed", signed=True),
    PeerVariant("signed, in rotation", signed=True, secrets=SECRETS),
    PeerVariant("signed, TLS", signed=True, encrypted=True),
)


@attrs.define
class PeerPair:
    """A caller and a callee, connected directly and through a forwarder.

    Attributes:
        direct: Client of the direct connection.
        counted: Client of the connection through the forwarder.
        forwarder: Counts the bytes of that connection.
        verifier: Verifier of the callee; it accepts calls to one address at a
            time.
    """

    direct: client.PeerClient
    counted: client.PeerClient
    forwarder: _CountingForwarder
    verifier: calls.Verifier


def _tls_files() -> tls_lib.TlsFiles:
    names = ("host.crt", "host.key", "ca.crt")
    return tls_lib.TlsFiles(*(str(_TLS / name) for name in names))


def _make_client(
    variant: PeerVariant,
    address: str,
    signer: calls.Signer,
    files: tls_lib.TlsFiles,
) -> client.PeerClient:
    return client.PeerClient(
        address,
        signing.CallSigning(signer, time.time) if variant.signed else None,
        files.peer_client_context if variant.encrypted else None,
    )


@contextlib.asynccontextmanager
async def open_pair(variant: PeerVariant) -> AsyncIterator[PeerPair]:
    """Yields connected peers after a first call on each connection."""
    files = _tls_files()
    digest = _make_digest()

    async def ping(_digest: peer_pb2.Digest) -> peer_pb2.Digest:
        return digest

    async def hold(_batch_id: str, _batch: bytes) -> None:
        return None

    verifier = calls.Verifier("", variant.secrets[::-1], time.time())
    callee = server.PeerServer(
        handlers.PeerHandlers(ping=ping, hold_bills=hold),
        guard.CallGuard(verifier, time.time) if variant.signed else None,
        files.peer_context if variant.encrypted else None,
    )
    await callee.start("127.0.0.1", 0)
    forwarder = _CountingForwarder(callee.port)
    forwarder_server = await asyncio.start_server(
        forwarder.serve, "127.0.0.1", 0
    )
    forwarder_port = forwarder_server.sockets[0].getsockname()[1]
    signer = calls.Signer("entry-1", 1_800_000_000_000, variant.secrets)
    pair = PeerPair(
        _make_client(variant, f"127.0.0.1:{callee.port}", signer, files),
        _make_client(variant, f"127.0.0.1:{forwarder_port}", signer, files),
        forwarder,
        verifier,
    )
    for peer in (pair.counted, pair.direct):
        verifier.callee = peer.address
        await peer.ping(digest)
    yield pair
    for peer in (pair.counted, pair.direct):
        peer.close()
    forwarder_server.close()
    await callee.close()


def _make_digest() -> peer_pb2.Digest:
    return peer_pb2.Digest(
        sender="entry-001", incarnation=1_800_000_000_000, table_mark=9
    )


async def processor_time(
    call: Callable[[], Awaitable[object]], n: int
) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    start = time.process_time()
    for _ in range(n):
        await call()
    return (time.process_time() - start) / n * _MICROSECONDS_PER_SECOND


async def wire_bytes(variant: PeerVariant) -> float:
    """Returns the bytes of one ping over a warm connection."""
    async with open_pair(variant) as pair:
        pair.verifier.callee = pair.counted.address
        await pair.counted.ping(_make_digest())
        pair.forwarder.count = 0
        for _ in range(200):
            await pair.counted.ping(_make_digest())
        return pair.forwarder.count / 200


async def measure_peers() -> None:
    """Prints the cost of calls between hosts."""
    print_line(
        "peers' calls: us of processor time, both ends; bytes, both ways"
    )
    print_line(
        f"{'way':<22}{'ping':>8}{'4 KB of bills':>15}{'bytes a ping':>14}"
    )
    minimum: dict[tuple[str, str], float] = {}
    for _ in range(ROUNDS):
        for variant in VARIANTS:
            async with open_pair(variant) as pair:
                peer = pair.direct
                calls_by_name: dict[str, Callable[[], Awaitable[object]]] = {
                    "ping": lambda peer=peer: peer.ping(_make_digest()),
                    "bills": lambda peer=peer: peer.hold_bills("b", _BATCH),
                }
                for name, call in calls_by_name.items():
                    micros = await processor_time(call, CALLS_PER_ROUND)
                    key = (variant.name, name)
                    minimum[key] = min(micros, minimum.get(key, micros))
    for variant in VARIANTS:
        size = await wire_bytes(variant)
        ping, bills = (
            minimum[variant.name, "ping"],
            minimum[variant.name, "bills"],
        )
        print_line(f"{variant.name:<22}{ping:>8.0f}{bills:>15.0f}{size:>14.0f}")


def measure_signing() -> None:
    """Prints the cost of signing and of verifying alone."""
    signer = calls.Signer("entry-1", 1, SECRETS)
    for secrets, position in ((SECRETS, "first"), (SECRETS[::-1], "second")):
        verifier = calls.Verifier("10.0.0.1:1", secrets, time.time() - 1)
        body = _make_digest().SerializeToString()
        cpu_nanoseconds = {"sign": 0.0, "judge": 0.0}
        for _ in range(5000):
            at = time.process_time_ns()
            signed = signer.sign("/p/Ping", "10.0.0.1:1", body, time.time())
            signed_at = time.process_time_ns()
            call = verifier.verify("/p/Ping", signed.header, time.time())
            assert isinstance(call, calls.AuthenticatedCall)
            assert call.matches_body(body)
            header = call.sign_reply(body)
            cpu_nanoseconds["judge"] += time.process_time_ns() - signed_at
            cpu_nanoseconds["sign"] += signed_at - at
            assert signer.verify_reply(signed, header, body)
        sign, verify = (
            cpu_nanoseconds["sign"] / 5e6,
            cpu_nanoseconds["judge"] / 5e6,
        )
        print_line(
            f"by the callee's {position} secret: sign {sign:.1f} us, "
            f"judge and sign the reply {verify:.1f} us"
        )


async def _respond(_http: web.Request) -> web.Response:
    return web.Response(body=b"x" * 400)


async def measure_callers() -> None:
    """Prints the cost of TLS on the port for callers."""
    files = _tls_files()
    print_line("callers' port: us of processor time a request, both ends")
    for name, context, link in (
        ("plain", None, tls_lib.PLAIN),
        ("TLS", files.caller_context, files.link),
    ):
        reused, new = await _measure_caller_port(context, link)
        print_line(
            f"{name:<22}{reused:>8.0f} kept connection{new:>9.0f} a new one"
        )


async def _measure_caller_port(
    context: ssl.SSLContext | None, link: tls_lib.Link
) -> tuple[float, float]:
    application = web.Application()
    application.router.add_post("/", _respond)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context)
    await site.start()
    port = runner.addresses[0][1]
    url = link.url(f"127.0.0.1:{port}", "/")
    micros = []
    for force_close, count in (
        (False, CALLS_PER_ROUND),
        (True, HANDSHAKES_PER_ROUND),
    ):
        connector = aiohttp.TCPConnector(force_close=force_close)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def send_request(
                session: aiohttp.ClientSession = session,
            ) -> None:
                async with session.post(
                    url, data=b"x" * 600, ssl=link.verify
                ) as response:
                    await response.read()

            await send_request()
            rounds = [
                await processor_time(send_request, count) for _ in range(ROUNDS)
            ]
            micros.append(min(rounds))
    await runner.cleanup()
    return micros[0], micros[1]


def print_line(line: str) -> None:
    """Prints one line of the report at once."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


async def main() -> None:
    """Prints the report."""
    measure_signing()
    await measure_peers()
    await measure_callers()


if __name__ == "__main__":
    uvloop.run(main())
