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
import time

from aiohttp import web
import attrs

PAGE = 2  # Entries of one page of newest records; small, to have many pages.
POLL = 0.01  # Seconds between two looks of a held read.
SLOW = 0.5  # Seconds that a slow answer takes longer.
WRITTEN_AGAIN = 0.3  # Seconds after a return until what was lost is back.
KEPT_COPIES = 5000  # Copies that it may come back from.
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


@attrs.frozen
class Copy:
    """Lengths of all topics at a time."""

    at: float
    lengths: dict[str, int]


@attrs.frozen
class Written:
    """A record that an operator or a server has written."""

    at: float
    topic: str
    key: str
    value: bytes


@attrs.define
class StoreStandin:
    """All topics over HTTP.

    Attributes:
        topics: By name.
        status: Answered to every call instead, if set.
        fault: ``down``, ``silent``, ``slow``, ``lost``, or empty.
        era: Told in each answer; None to tell none.
        calls: Call and query of the calls, in order.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    status: int | None = None
    fault: str = ""
    era: str | None = None
    calls: list[tuple[str, dict[str, str]]] = attrs.field(factory=list)
    _copies: list[Copy] = attrs.field(factory=list)
    _written: list[Written] = attrs.field(factory=list)

    def topic(self, name: str) -> Topic:
        """Returns a topic, made on first use."""
        return self.topics.setdefault(name, Topic())

    def application(self) -> web.Application:
        """Returns the web application."""
        made = web.Application(client_max_size=4 * 1024 * 1024)
        made.on_response_prepare.append(self._tell_era)
        made.router.add_route("*", "/hoistmoor/{call}", self.handle)
        made.router.add_post("/admin/put", self.admin_put)
        made.router.add_post("/admin/fault", self.admin_fault)
        return made

    async def admin_put(self, request: web.Request) -> web.Response:
        """Writes a record; the answer has the end of the topic."""
        name, key = request.query["topic"], request.query["key"]
        value = await request.read()
        self._note_copy()
        topic = self.topic(name)
        topic.records.append((key, value))
        self._written.append(Written(time.monotonic(), name, key, value))
        return web.json_response({"end_offset": len(topic.records)})

    async def admin_fault(self, request: web.Request) -> web.Response:
        """Sets the fault.

        ``forget`` drops the history of all topics; ``rewind`` comes back from
        a copy that is some ``seconds`` old.
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

    async def _tell_era(
        self, _: web.Request, answer: web.StreamResponse
    ) -> None:
        if self.era is not None:
            answer.headers["Store-Era"] = self.era

    def _note_copy(self) -> None:
        lengths = {
            name: len(each.records) for name, each in self.topics.items()
        }
        self._copies.append(Copy(time.monotonic(), lengths))
        del self._copies[:-KEPT_COPIES]

    def rewind(self, seconds: float) -> None:
        """Comes back from a copy of so long ago.

        What operators and servers wrote since is written again soon.
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
            WRITTEN_AGAIN, self._write_again, copy.at
        )

    def _write_again(self, since: float) -> None:
        newest = {
            (each.topic, each.key): each
            for each in self._written
            if each.at >= since
        }
        for each in newest.values():
            self.topic(each.topic).records.append((each.key, each.value))

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
        self._note_copy()
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
        if not topic.first_kept <= first <= len(topic.records):
            return web.json_response(
                {"start_offset": topic.first_kept}, status=410
            )
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        era = self.era
        while first >= len(topic.records) and loop.time() < end:
            await asyncio.sleep(POLL)
            if self.era != era and request.transport is not None:
                request.transport.abort()
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
