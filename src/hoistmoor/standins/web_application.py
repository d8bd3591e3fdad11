"""Base HTTP application of all stand-ins."""

from __future__ import annotations

import asyncio

from aiohttp import web
import attrs
import orjson

from hoistmoor.standins import fault_injection
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import responses

CLOSING = web.AppKey("closing", asyncio.Event)
MAX_BODY_BYTES = 16 * 1024 * 1024

_FAULTS_PATH = "/_faults"


def make_application(book: fault_registry.FaultRegistry) -> web.Application:
    """Returns an application that injects the faults of ``book``."""
    application = web.Application(
        middlewares=[fault_injection.inject_faults],
        client_max_size=MAX_BODY_BYTES,
    )
    application[fault_injection.FAULTS] = book
    application[CLOSING] = asyncio.Event()
    application.on_response_prepare.append(_close_gracefully)
    application.router.add_post(_FAULTS_PATH, _add_fault)
    application.router.add_get(_FAULTS_PATH, _list_faults)
    application.router.add_delete(_FAULTS_PATH, _clear_faults)
    application.router.add_delete(_FAULTS_PATH + "/{number}", _clear_fault)
    return application


async def _close_gracefully(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Closes a connection after its response if the stand-in is stopping."""
    if request.app[CLOSING].is_set():
        response.headers["Connection"] = "close"
        response.force_close()


async def _add_fault(request: web.Request) -> web.Response:
    try:
        fault = faults.parse_fault(orjson.loads(await request.read()))
    except (faults.BadFaultError, orjson.JSONDecodeError) as error:
        return responses.json_response({"error": str(error)}, 400)
    return responses.json_response(
        {"id": request.app[fault_injection.FAULTS].add(fault)}
    )


async def _list_faults(request: web.Request) -> web.Response:
    rows = [
        {
            "id": number,
            "kind": faults.KIND_BY_CLASS[type(fault)],
            **attrs.asdict(fault),
        }
        for number, fault in request.app[fault_injection.FAULTS].faults.items()
    ]
    return responses.json_response({"faults": rows})


async def _clear_faults(request: web.Request) -> web.Response:
    request.app[fault_injection.FAULTS].clear()
    return responses.json_response({})


async def _clear_fault(request: web.Request) -> web.Response:
    number = int(request.match_info["number"])
    removed = request.app[fault_injection.FAULTS].faults.pop(number, None)
    return responses.json_response({}, 200 if removed else 404)
