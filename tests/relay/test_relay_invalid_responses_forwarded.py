"""Invalid responses to requests that one host forwards for another.

Guards against passing such a response on to the asking host, and its caller.
"""

from __future__ import annotations

import link_proxy
import partitioned_cluster
import pytest
from testtools import assertions
from testtools import matchers

HOSTS = 5
CUT = (0, 1)
FIELDS = (
    b"X-Answer-Signature: s\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: 4\r\n\r\nfake"
)
RESPONSES = {
    "status": b"HTTP/1.1 000 OK\r\n" + FIELDS,
    "folded_line": b"HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n" + FIELDS,
    "control_character": b"HTTP/1.1 200 OK\r\nX-A: a\x01b\r\n" + FIELDS,
    "field_name": b"HTTP/1.1 200 OK\r\nX A: b\r\n" + FIELDS,
}


@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES.keys())
async def test_an_invalid_response_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch, response: bytes
) -> None:
    async with partitioned_cluster.open_cluster(monkeypatch, HOSTS) as cluster:
        cluster.cut(CUT, link_proxy.RESET)
        await cluster.call_all(CUT, 4)
        await cluster.until_links_lost(CUT)
        for server in cluster.servers:
            server.raw_response = response
        calls = await cluster.call_all(CUT, 2)
        statuses = {call.status for call in calls}
        assertions.assert_that(statuses - {502, 503}, matchers.Equals(set()))
        assertions.assert_that(cluster.broken_promises(), matchers.Equals([]))
