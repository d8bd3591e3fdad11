"""The HTTP interface of ``hoistmoor-steward``: health and status."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from aiohttp import web
import attrs

from hoistmoor.core import codec

if TYPE_CHECKING:
    from hoistmoor.steward import duties


def make_application(tools: duties.Tools) -> web.Application:
    """Returns the application that answers for this steward."""

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def readyz(_: web.Request) -> web.Response:
        ready = tools.stream.fold.complete and tools.rows() is not None
        status = 200 if ready else 503
        return web.json_response({"ready": ready}, status=status)

    async def show(_: web.Request) -> web.Response:
        return web.json_response(describe(tools))

    application = web.Application()
    application.router.add_get("/healthz", healthz)
    application.router.add_get("/readyz", readyz)
    application.router.add_get("/status", show)
    return application


def describe(tools: duties.Tools) -> dict[str, Any]:
    """Returns what ``/status`` shows."""
    fold = tools.stream.fold
    lease = fold.state.lease
    return {
        "host": tools.stream.actor.incarnation.host,
        "incarnation": tools.stream.actor.incarnation.number,
        "acting": tools.acting() is not None,
        "lease": codec.converter.unstructure(lease) if lease else None,
        "complete": fold.complete,
        "next_offset": fold.next_offset,
        "table_revision": tools.table.revision,
        "rollouts": codec.converter.unstructure(fold.state.rollouts),
        "withdrawn": {
            key: attrs.asdict(record)
            for key, record in fold.state.withdrawn.items()
        },
        "draining": fold.state.draining,
        "last_contact": tools.stream.last_contact,
        "undecodable": tools.stream.undecodable,
    }
