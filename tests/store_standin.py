"""A stand-in of the platform's store that speaks its published protocol.

Run as a program it serves one address until it is ended:

    python tests/store_standin.py 127.0.0.1:9000

``/admin/put`` writes as operators and servers do; ``/admin/fault`` makes it
misbehave.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import sys

from aiohttp import web
import attrs

PAGE = 2  # Entries of one page of newest records; small, to have many pages.
POLL = 0.01  # Seconds between two looks of a held read.
SLOW = 0.5  # Seconds that a slow answer takes longer.
_ENDLESS = 3600.0


@attrs.define
class Topic:
    """One keyed topic.

    Attributes:
        records: Key and value of all records; no value drops the key.
        first_kept: Offset of the oldest record that can be read.
    """

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first_kept: int = 0


@attrs.define
class StoreStandin:
    """All topics over HTTP.

    Attributes:
        topics: By name.
        status: Answered to every call instead, if set.
        fault: ``down``, ``silent``, ``slow``, ``lost``, or empty.
        calls: Call and query of the calls, in order.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    status: int | None = None
    fault: str = ""
    calls: list[tuple[str, dict[str, str]]] = attrs.field(factory=list)

    def topic(self, name: str) -> Topic:
        """Returns a topic, made on first use."""
        return self.topics.setdefault(name, Topic())

    def application(self) -> web.Application:
        """Returns the web application."""
        made = web.Application(client_max_size=4 * 1024 * 1024)
        made.router.add_route("*", "/hoistmoor/{call}", self.handle)
        made.router.add_post("/admin/put", self.admin_put)
        made.router.add_post("/admin/fault", self.admin_fault)
        return made

    async def admin_put(self, request: web.Request) -> web.Response:
        """Writes a record; the answer has the end of the topic."""
        topic = self.topic(request.query["topic"])
        topic.records.append((request.query["key"], await request.read()))
        return web.json_response({"end_offset": len(topic.records)})

    async def admin_fault(self, request: web.Request) -> web.Response:
        """Sets the fault; with ``forget``, drops the history of all topics."""
        self.fault = request.query["fault"]
        if self.fault == "forget":
            self.fault = ""
            for topic in self.topics.values():
                topic.first_kept = len(topic.records)
        return web.Response()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers a call."""
        call = request.match_info["call"]
        self.calls.append((call, dict(request.query)))
        body = await request.read()
        if self.status is not None:
            return web.Response(status=self.status)
        if self.fault == "down":
            return web.Response(status=503)
        if self.fault == "silent":
            await asyncio.sleep(_ENDLESS)
        if self.fault == "slow":
            await asyncio.sleep(SLOW)
        topic = self.topic(request.query["topic"])
        if call == "log-newest":
            return self._newest(topic, request.query.get("after", ""))
        if call == "log-read":
            return await self._read(topic, request)
        answer = self._append(topic, request, body)
        if self.fault == "lost" and request.transport is not None:
            request.transport.abort()
        return answer

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
            for key in keys[:PAGE]
        ]
        return web.json_response(
            {
                "entries": entries,
                "has_more": len(keys) > PAGE,
                "end_offset": len(topic.records),
            }
        )

    async def _read(self, topic: Topic, request: web.Request) -> web.Response:
        first = int(request.query["source"])
        if first < topic.first_kept:
            return web.json_response(
                {"start_offset": topic.first_kept}, status=410
            )
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while first >= len(topic.records) and loop.time() < end:
            await asyncio.sleep(POLL)
        data = struct.pack(">QQ", len(topic.records), topic.first_kept)
        for key, value in topic.records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return web.Response(body=data)

    def _append(
        self, topic: Topic, request: web.Request, body: bytes
    ) -> web.Response:
        end = len(topic.records)
        expected = request.query.get("expected_offset")
        if expected is not None and int(expected) != end:
            return web.json_response({"end_offset": end}, status=412)
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        key_end = 1 + content[0]
        topic.records.append((content[1:key_end].decode(), content[key_end:]))
        return web.json_response({"offset": end, "end_offset": end + 1})


def main() -> None:
    """Serves until the process is ended."""
    ip, _, port = sys.argv[1].rpartition(":")
    web.run_app(
        StoreStandin().application(), host=ip, port=int(port), print=None
    )


if __name__ == "__main__":
    main()
