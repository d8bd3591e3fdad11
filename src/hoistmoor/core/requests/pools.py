"""Selects the server pool of a request."""

from __future__ import annotations

from functools import singledispatch

from hoistmoor.core.requests import admission
from hoistmoor.core.requests import request_types
from hoistmoor.core.table import model


@singledispatch
def pool_for(request: request_types.Request, table: model.Table) -> str:
    """Returns the name of the service that the request runs on.

    The name is empty if no granted version matches the request.
    """
    raise NotImplementedError(type(request))


@pool_for.register
def _(request: request_types.ChatRequest, table: model.Table) -> str:
    account = request.envelope.account
    for version in admission.granted_versions(table, account):
        is_match = request.model in (version.key, version.model)
        if is_match or request.model == model.AUTO_MODEL:
            return version.service
    return ""


@pool_for.register
def _(request: request_types.CallRequest, table: model.Table) -> str:
    return request.call.service
