"""A stand-in of the platform's store that speaks its published protocol."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import attrs
import pytest

from hoistmoor.clients import sessions
from hoistmoor.platform import store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PAGE = 2  # Entries of one page of newest records.


@attrs.define
class StoreStandin:
    """One keyed topic over HTTP.

    Attributes:
        records: Key and value of all records; no value drops the key.
        first_kept: Offset of the oldest record that can be read.
        status: Answered to every call instead, if set.
        calls: Path and query of the calls, in order.
    """

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first_kept: int = 0
    status: int | None = None
    calls: list[tuple[str, dict[str, str]]] = attrs.field(factory=list)

    async def handle(self, request: web.Request) -> web.Response:
        """Answers a call."""
        call = request.path.rpartition("/")[2]
        self.calls.append((call, dict(request.query)))
        if self.status is not None:
            return web.Response(status=self.status)
        handlers = {
            "log-newest": self._newest,
            "log-read": self._read,
            "log-append": self._append,
        }
        return handlers[call](request, await request.read())

    def _newest(self, request: web.Request, body: bytes) -> web.Response:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self.records)
        }
        after = request.query.get("after", "")
        keys = sorted(key for key in newest if key > after and newest[key][1])
        entries = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        return web.json_response(
            {
                "entries": entries,
                "has_more": len(keys) > PAGE,
                "end_offset": len(self.records),
            }
        )

    def _read(self, request: web.Request, body: bytes) -> web.Response:
        first = int(request.query["source"])
        if first < self.first_kept:
            return web.json_response(
                {"start_offset": self.first_kept}, status=410
            )
        data = struct.pack(">QQ", len(self.records), self.first_kept)
        for key, value in self.records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return web.Response(body=data)

    def _append(self, request: web.Request, body: bytes) -> web.Response:
        expected = request.query.get("expected_offset")
        if expected is not None and int(expected) != len(self.records):
            return web.json_response(
                {"end_offset": len(self.records)}, status=412
            )
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        key_end = 1 + content[0]
        self.records.append((content[1:key_end].decode(), content[key_end:]))
        end = len(self.records)
        return web.json_response({"offset": end - 1, "end_offset": end})


@pytest.fixture
async def standin() -> AsyncIterator[tuple[StoreStandin, store.StoreTopic]]:
    """The stand-in, and a topic that is read from it."""
    made = StoreStandin()
    application = web.Application()
    application.router.add_route("*", "/hoistmoor/{call}", made.handle)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    ip, port = runner.addresses[0]
    session: aiohttp.ClientSession
    async with sessions.make_session() as session:
        yield made, store.StoreTopic(session, f"{ip}:{port}", "keyed.things")
    await runner.cleanup()
