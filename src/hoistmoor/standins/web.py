"""Base HTTP application of all stand-ins."""

from __future__ import annotations

import asyncio

from aiohttp import web
import attrs
import orjson

from hoistmoor.standins import answers
from hoistmoor.standins import fault_book
from hoistmoor.standins import fault_points
from hoistmoor.standins import faults

CLOSING = web.AppKey("closing", asyncio.Event)
MAX_BODY_BYTES = 16 * 1024 * 1024

_FAULTS_PATH = "/_faults"


def make_application(book: fault_book.FaultBook) -> web.Application:
    """Returns an application that injects the faults of ``book``."""
    application = web.Application(
        middlewares=[fault_points.show_faults], client_max_size=MAX_BODY_BYTES
    )
    application[fault_points.FAULTS] = book
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
        fault = faults.parse(orjson.loads(await request.read()))
    except (faults.BadFaultError, orjson.JSONDecodeError) as error:
        return answers.reply({"error": str(error)}, 400)
    return answers.reply({"id": request.app[fault_points.FAULTS].add(fault)})


async def _list_faults(request: web.Request) -> web.Response:
    rows = [
        {
            "id": number,
            "kind": faults.KIND_BY_CLASS[type(fault)],
            **attrs.asdict(fault),
        }
        for number, fault in request.app[fault_points.FAULTS].faults.items()
    ]
    return answers.reply({"faults": rows})


async def _clear_faults(request: web.Request) -> web.Response:
    request.app[fault_points.FAULTS].clear()
    return answers.reply({})


async def _clear_fault(request: web.Request) -> web.Response:
    number = int(request.match_info["number"])
    removed = request.app[fault_points.FAULTS].faults.pop(number, None)
    return answers.reply({}, 200 if removed else 404)
