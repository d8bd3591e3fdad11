"""Odd records of other writers in the topics that a relay reads.

Guards against relays that end on one, or no longer follow the topic.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import orjson
import pytest
import relay_process
import soak_world
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

SOUND = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1,
}
NUMBERS = (
    b"1e400",
    b"-1e400",
    b"1e308",
    b"9" * 5000,
    b"-" + b"9" * 400,
    b"18446744073709551615",
    b"18446744073709551616",
    b"9223372036854775808",
    b"-9223372036854775809",
    b"-1",
    b"-0.0",
    b"0.5",
    b"NaN",
    b"Infinity",
    b"true",
    b"null",
    b'"1"',
    b"[]",
    b"{}",
)
ADDRESSES = (
    b'"127.0.0.1:0"',
    b'"127.0.0.1:65536"',
    b'"127.0.0.1:-1"',
    b'"127.0.0.1:99999999999999999999"',
    b'"127.0.0.1:1e3"',
    b'"127.0.0.1:"',
    b'"127.0.0.1"',
    b'"999.0.0.1:80"',
    b'"[::1]:80"',
    b'":80"',
    b'"\\u0000:80"',
    b'"127.0.0.1:80\\r\\nX: y"',
    b"80",
)
WHOLE = (
    b"",
    b" ",
    b"{",
    b"[]",
    b"null",
    b'"text"',
    b"\xff\xfe\x00",
    b"\x00" * 1000,
    b"[" * 100_000,
    b"[" * 900 + b"]" * 900,
    b'{"service":' * 5000 + b"1" + b"}" * 5000,
    b'{"a":' * 500 + b"1" + b"}" * 500,
    b'{"service":"' + b"x" * 300_000 + b'"}',
    b'{"\xed\xa0\x80":1}',
)


def with_field(name: str, value: bytes) -> bytes:
    """Returns an entry that is sound but for the JSON value of one field."""
    fields = {**SOUND, name: "VALUE"}
    return orjson.dumps(fields).replace(b'"VALUE"', value)


ODD = (
    *WHOLE,
    *(
        with_field(name, value)
        for name in ("slots", "warmup_left_ms", "sequence", "born")
        for value in NUMBERS
    ),
    *(with_field("address", value) for value in ADDRESSES),
    *(
        with_field(name, value)
        for name in ("service", "zone", "version", "state", "models")
        for value in (b"[" * 900 + b"]" * 900, b"1e400", b'"\\ud800"', b"[1]")
    ),
)
OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
# Topics with records of the relays themselves.
OWN = (
    "keyed.relay-hosts",
    "keyed.relay-quarantine",
    "keyed.rollout-phases",
    "keyed.status",
)


@pytest.fixture
async def relay(
    tmp_path: pathlib.Path,
) -> AsyncIterator[relay_process.RelayProcess]:
    """A relay's process, which reads and writes the store itself."""
    async with relay_process.open_relay(tmp_path) as opened:
        yield opened


@contextlib.asynccontextmanager
async def open_server() -> AsyncIterator[str]:
    """Starts a sound server; yields its ``ip:port``."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nHoistmoor-Response-Signature: s\r\n"
                b"Hoistmoor-Request-Id: r1\r\nContent-Length: 4\r\n\r\ndone"
            )
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    async with server:
        yield f"{ip}:{port}"


async def assert_follows(relay: relay_process.RelayProcess) -> None:
    """Asserts that a new server gets requests, and that nothing has failed."""

    async def is_served() -> bool:
        return await relay.call("/again/x") == 200

    async with open_server() as address:
        relay.add_server("sound", "desk", "v1", address)
        await relay.until_async(is_served)
        relay.write(SERVERS, "sound", b"")
    for event in ("task_failed", "library_message"):
        assertions.assert_that(relay.lines(event), matchers.Equals([]))


def write_odd_servers(relay: relay_process.RelayProcess) -> None:
    """Writes all odd entries among those of the servers.

    Those that can be read are of a service that no route uses.
    """
    for number, value in enumerate(ODD):
        other = value.replace(b'"service":"desk"', b'"service":"other"')
        relay.write(SERVERS, f"odd-{number}", other)
    for key in ("\x00", "a\r\nb", "x" * 250, "é", " "):
        entry = {**SOUND, "service": "other"}
        relay.write(SERVERS, key, orjson.dumps(entry))


async def test_odd_entries_of_servers_leave_others_followed(
    relay: relay_process.RelayProcess,
) -> None:
    write_odd_servers(relay)
    await assert_follows(relay)


async def test_odd_entries_of_servers_do_not_keep_a_relay_from_starting(
    relay: relay_process.RelayProcess,
) -> None:
    await relay.kill()
    write_odd_servers(relay)
    await relay.start()
    await assert_follows(relay)


async def test_odd_orders_leave_others_followed(
    relay: relay_process.RelayProcess,
) -> None:
    for number, value in enumerate(ODD):
        relay.write(OPERATOR, f"rollout/odd-{number}", value)
        relay.write(OPERATOR, f"evacuate/odd-{number}", value)
        relay.write(OPERATOR, f"odd-{number}", value)
    for value in NUMBERS:
        order = b'{"service":"llm","target":"v1","duration_s":%b}' % value
        relay.write(OPERATOR, "rollout/llm", order)
    await assert_follows(relay)


async def test_an_odd_configuration_leaves_the_one_in_force(
    relay: relay_process.RelayProcess,
) -> None:
    for value in ODD:
        relay.write(OPERATOR, "config", value)
    await relay.until(lambda: bool(relay.lines("operator_unreadable")))
    await assert_follows(relay)
    relay.write(OPERATOR, "config", soak_world.configuration(2, ["k1"]))
    await relay.until(
        lambda: any(
            line["revision"] == 2 for line in relay.lines("configuration")
        )
    )


@pytest.mark.parametrize("topic", OWN)
async def test_odd_records_among_those_of_relays_leave_others_followed(
    relay: relay_process.RelayProcess, topic: str
) -> None:
    for number, value in enumerate(ODD):
        relay.write(topic, f"odd-{number}", value)
        relay.write(topic, f"desk odd-{number}", value)
    await assert_follows(relay)


async def test_odd_messages_of_other_hosts_are_answered(
    relay: relay_process.RelayProcess,
) -> None:
    for value in ODD:
        async with relay.session.post(
            f"http://{relay.peer_listen}/topics", data=value
        ) as response:
            assertions.assert_that(response.status, matchers.Equals(400))
    await assert_follows(relay)
