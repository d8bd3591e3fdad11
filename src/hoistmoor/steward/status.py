"""The HTTP interface of ``hoistmoor-steward``: health and status."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from aiohttp import web
import attrs

from hoistmoor.core import codec

if TYPE_CHECKING:
    from hoistmoor.steward import background_tasks


def make_application(
    context: background_tasks.StewardContext,
) -> web.Application:
    """Returns the web application of a steward."""

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def readyz(_: web.Request) -> web.Response:
        ready = (
            context.stream.fold.complete and context.active_table() is not None
        )
        status = 200 if ready else 503
        return web.json_response({"ready": ready}, status=status)

    async def status_page(_: web.Request) -> web.Response:
        return web.json_response(describe(context))

    application = web.Application()
    application.router.add_get("/healthz", healthz)
    application.router.add_get("/readyz", readyz)
    application.router.add_get("/status", status_page)
    return application


def describe(context: background_tasks.StewardContext) -> dict[str, Any]:
    """Returns the document that ``/status`` serves."""
    fold = context.stream.fold
    lease = fold.state.lease
    return {
        "host": context.stream.actor.incarnation.host,
        "incarnation": context.stream.actor.incarnation.number,
        "acting": context.active_fencing_token() is not None,
        "lease": codec.converter.unstructure(lease) if lease else None,
        "complete": fold.complete,
        "next_offset": fold.next_offset,
        "table_revision": context.table.revision,
        "rollouts": codec.converter.unstructure(fold.state.rollouts),
        "withdrawn": {
            key: attrs.asdict(record)
            for key, record in fold.state.withdrawn.items()
        },
        "draining": fold.state.draining,
        "last_contact": context.stream.last_contact,
        "undecodable": context.stream.undecodable,
    }
