"""A stand-in for the platform's store that implements its HTTP protocol.

It can be run as a program, which serves one address until it is terminated:

    python tests/store_standin.py 127.0.0.1:9000

``/admin/put`` writes records like operators and servers; ``/admin/fault``
injects faults.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import sys
import time

from aiohttp import web
import attrs

PAGE_SIZE = 2  # Entries of one page of newest records; small for many pages.
POLL_INTERVAL = 0.01  # Seconds between two checks during a long poll.
SLOW_DELAY = 0.5  # Seconds by which a slow response is delayed.
REWRITE_DELAY = 0.3  # Seconds after a restore until lost records are rewritten.
MAX_COPIES = 5000  # Copies from which the store can be restored.
_HANG = 3600.0  # Seconds without a response, longer than any client waits.


@attrs.define
class Topic:
    """One keyed topic.

    Attributes:
        records: Key and value of all records; an empty value removes the key.
        first_kept: Offset of the oldest record that can still be read.
    """

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first_kept: int = 0


@attrs.frozen
class Copy:
    """Lengths of all topics at one time."""

    at: float
    lengths: dict[str, int]


@attrs.frozen
class Written:
    """A record written by an operator or a server."""

    at: float
    topic: str
    key: str
    value: bytes


@attrs.define
class StoreStandin:
    """All topics of a store, served over HTTP.

    Attributes:
        topics: Topics by name.
        status: HTTP status of every response, if set.
        fault: Active fault: ``down``, ``silent``, ``slow``, ``lost``, or empty.
        era: Era in the header of each response; None for no header.
        calls: Name and query of all calls, in order.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    status: int | None = None
    fault: str = ""
    era: str | None = None
    calls: list[tuple[str, dict[str, str]]] = attrs.field(factory=list)
    _copies: list[Copy] = attrs.field(factory=list)
    _written: list[Written] = attrs.field(factory=list)

    def topic(self, name: str) -> Topic:
        """Returns a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    def application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_route("*", "/hoistmoor/{call}", self.handle)
        app.router.add_post("/admin/put", self.admin_put)
        app.router.add_post("/admin/fault", self.admin_fault)
        return app

    async def admin_put(self, request: web.Request) -> web.Response:
        """Writes a record; the response has the end of the topic."""
        name, key = request.query["topic"], request.query["key"]
        value = await request.read()
        self._record_copy()
        topic = self.topic(name)
        topic.records.append((key, value))
        self._written.append(Written(time.monotonic(), name, key, value))
        return web.json_response({"end_offset": len(topic.records)})

    async def admin_fault(self, request: web.Request) -> web.Response:
        """Injects a fault.

        ``forget`` discards all older records, so that only newest ones can be
        read; ``rewind`` restores a copy that is ``seconds`` old.
        """
        self.fault = request.query["fault"]
        if self.fault == "rewind":
            self.fault = ""
            self.rewind(float(request.query["seconds"]))
        if self.fault == "forget":
            self.fault = ""
            for topic in self.topics.values():
                topic.first_kept = len(topic.records)
        return web.Response()

    async def _add_era_header(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def _record_copy(self) -> None:
        lengths = {
            name: len(each.records) for name, each in self.topics.items()
        }
        self._copies.append(Copy(time.monotonic(), lengths))
        del self._copies[:-MAX_COPIES]

    def rewind(self, seconds: float) -> None:
        """Restores a copy of some seconds ago, which starts a new era.

        What operators and servers have written since is written again after
        ``REWRITE_DELAY``.
        """
        before = time.monotonic() - seconds
        old = [each for each in self._copies if each.at <= before]
        copy = old[-1] if old else self._copies[0]
        for name, topic in self.topics.items():
            length = copy.lengths.get(name, 0)
            del topic.records[length:]
            topic.first_kept = min(topic.first_kept, length)
        self._copies = [each for each in self._copies if each.at <= copy.at]
        self.era = str(int(self.era or "0") + 1)
        asyncio.get_running_loop().call_later(
            REWRITE_DELAY, self._rewrite, copy.at
        )

    def _rewrite(self, since: float) -> None:
        newest = {
            (each.topic, each.key): each
            for each in self._written
            if each.at >= since
        }
        for each in newest.values():
            self.topic(each.topic).records.append((each.key, each.value))

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles a call."""
        call = request.match_info["call"]
        self.calls.append((call, dict(request.query)))
        body = await request.read()
        if self.status is not None:
            return web.Response(status=self.status)
        if self.fault == "down":
            return web.Response(status=503)
        if self.fault == "silent":
            await asyncio.sleep(_HANG)
        if self.fault == "slow":
            await asyncio.sleep(SLOW_DELAY)
        self._record_copy()
        topic = self.topic(request.query["topic"])
        if call == "log-newest":
            return self._newest(topic, request.query.get("after", ""))
        if call == "log-read":
            return await self._read(topic, request)
        response = self._append(topic, request, body)
        if self.fault == "lost" and request.transport is not None:
            request.transport.abort()
        return response

    def _newest(self, topic: Topic, after: str) -> web.Response:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(topic.records)
        }
        keys = sorted(key for key in newest if key > after and newest[key][1])
        entries = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        return web.json_response(
            {
                "entries": entries,
                "has_more": len(keys) > PAGE_SIZE,
                "end_offset": len(topic.records),
            }
        )

    async def _read(self, topic: Topic, request: web.Request) -> web.Response:
        first = int(request.query["source"])
        if not topic.first_kept <= first <= len(topic.records):
            return web.json_response(
                {"start_offset": topic.first_kept}, status=410
            )
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        era = self.era
        while first >= len(topic.records) and loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL)
            if self.era != era and request.transport is not None:
                request.transport.abort()
        data = struct.pack(">QQ", len(topic.records), topic.first_kept)
        for key, value in topic.records[first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            data += struct.pack(">I", len(content)) + content
        return web.Response(body=data)

    def _append(
        self, topic: Topic, request: web.Request, body: bytes
    ) -> web.Response:
        end = len(topic.records)
        expected = request.query.get("expected_offset")
        if expected is not None and int(expected) != end:
            return web.json_response({"end_offset": end}, status=412)
        try:
            topic.records += _parse_records(body)
        except (IndexError, UnicodeDecodeError, struct.error):
            return web.Response(status=400)
        return web.json_response(
            {"offset": end, "end_offset": len(topic.records)}
        )


def _parse_records(body: bytes) -> list[tuple[str, bytes]]:
    """Returns key and value of each record of an append request."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
        position += 4 + length
    return records


def main() -> None:
    """Serves until the process is terminated."""
    ip, _, port = sys.argv[1].rpartition(":")
    web.run_app(
        StoreStandin().application(), host=ip, port=int(port), print=None
    )


if __name__ == "__main__":
    main()
