"""Tests that invalid input is refused and affects no other request."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, TYPE_CHECKING

import attrs
import orjson
import pytest
import system_table
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import aiohttp
    import system_deployment
    import system_processes

CHAT = "/v1/chat/completions"
COUNTER = "/v1/services/counter"
HEADERS = {
    "Authorization": f"Bearer {system_table.api_key(system_table.ACCOUNT)}"
}
CHAT_BODY = {
    "model": "khao",
    "messages": [{"role": "user", "content": "hello"}],
}
MIB = 1 << 20


def _chat_body(**changes: Any) -> bytes:
    return orjson.dumps({**CHAT_BODY, **changes})


@attrs.frozen
class InvalidRequest:
    """An invalid request.

    Attributes:
        reason: Expected reason of the refusal.
        status: Expected HTTP status.
        path: Path of the request.
        body: Body of the request.
        headers: Headers of the request.
        method: HTTP method.
    """

    reason: str
    status: int
    path: str = CHAT
    body: bytes = attrs.field(default=_chat_body(), repr=False)
    headers: dict[str, str] = attrs.field(factory=lambda: HEADERS)
    method: str = "POST"


def _headers_with(name: str, value: str) -> dict[str, str]:
    return {**HEADERS, name: value}


CASES = (
    InvalidRequest("no_key", 401, headers={}),
    InvalidRequest("no_key", 401, headers={"Authorization": "Basic abc"}),
    InvalidRequest(
        "wrong_key", 401, headers={"Authorization": "Bearer nobody"}
    ),
    InvalidRequest("bad_body", 400, body=b"{"),
    InvalidRequest("bad_body", 400, body=b"[]"),
    InvalidRequest("bad_body", 400, body=b"\xff\xfe"),
    InvalidRequest("bad_body", 400, body=_chat_body(messages="hello")),
    InvalidRequest("bad_body", 400, body=_chat_body(max_tokens=0)),
    InvalidRequest("bad_body", 400, body=_chat_body(stream="yes")),
    InvalidRequest("body_too_large", 413, body=b"x" * (MIB + 1)),
    InvalidRequest("unknown_model", 404, body=_chat_body(model="nothing")),
    InvalidRequest("unknown_service", 404, path="/v1/services/nothing/confirm"),
    InvalidRequest("unknown_call", 404, path=f"{COUNTER}/nothing"),
    InvalidRequest(
        "unknown_call", 404, path=f"{COUNTER}/confirm", method="DELETE"
    ),
    InvalidRequest(
        "deadline_past", 400, headers=_headers_with("X-Hoistmoor-Deadline", "5")
    ),
    InvalidRequest(
        "bad_header", 400, headers=_headers_with("X-Hoistmoor-Deadline", "soon")
    ),
    InvalidRequest(
        "bad_header", 400, headers=_headers_with("X-Hoistmoor-Deadline", "+nan")
    ),
    InvalidRequest(
        "bad_header", 400, headers=_headers_with("X-Hoistmoor-Deadline", "+inf")
    ),
    InvalidRequest(
        "bad_header",
        400,
        headers=_headers_with("X-Hoistmoor-Priority", "first"),
    ),
    InvalidRequest(
        "bad_header", 400, headers=_headers_with("Idempotency-Key", "k" * 201)
    ),
    InvalidRequest(
        "ticket_invalid",
        400,
        path=f"{COUNTER}/confirm",
        body=b"{}",
        headers=_headers_with("Idempotency-Key", "tkt.nonsense"),
    ),
)


async def _send(
    session: aiohttp.ClientSession,
    host: system_processes.Program,
    invalid: InvalidRequest,
) -> list[object]:
    async with session.request(
        invalid.method,
        host.url + invalid.path,
        data=invalid.body,
        headers=invalid.headers,
    ) as response:
        error = orjson.loads(await response.read())["error"]
        return [
            error["type"],
            response.status,
            error["outcome"],
            int(response.headers["Retry-After"]) > 0,
        ]


async def test_each_bad_request_is_refused_by_its_reason(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller
    good = [caller.chat(hosts[0], caller.make_mark()) for _ in range(20)]
    invalid = [_send(caller.session, hosts[0], case) for case in CASES]
    responses, refused = await asyncio.gather(
        asyncio.gather(*good), asyncio.gather(*invalid)
    )
    for case, found in zip(CASES, refused, strict=True):
        assertions.assert_that(
            found,
            matchers.Equals([case.reason, case.status, "not_run", True]),
            f"{case}",
        )
    served = [
        response
        for response in responses
        if response is not None and response.whole
    ]
    assertions.assert_that(len(served), matchers.Equals(len(good)))
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


@pytest.mark.parametrize("model", ["khao", "auto"])
async def test_callers_that_go_half_way_harm_nobody(
    deployment: system_deployment.Deployment, model: str
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller
    await asyncio.gather(
        *(_disconnect(hosts[0], model, index) for index in range(20))
    )
    responses = [
        await caller.chat(hosts[0], caller.make_mark(), model) for _ in range(5)
    ]
    assertions.assert_that(
        [
            (response.reason, response.whole) if response else None
            for response in responses
        ],
        matchers.Equals([("", True)] * 5),
    )
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


async def _disconnect(
    host: system_processes.Program, model: str, index: int
) -> None:
    """Sends a request partly or completely and resets the connection.

    Callers with an even index disconnect within the body, the others after the
    first line of the response.
    """
    body = _chat_body(model=model, stream=True)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: {HEADERS['Authorization']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    address, _, port = host.address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(head + (body if index % 2 else body[:10]))
    await writer.drain()
    if index % 2:
        await reader.readline()
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.close()
