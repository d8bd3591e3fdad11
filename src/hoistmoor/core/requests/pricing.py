"""Prices of requests, and whether they may be sent again."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from hoistmoor.core.billing import bills
from hoistmoor.core.requests import request_types
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from hoistmoor.core.requests import messages

_TOKENS_PER_PRICE_UNIT = 1000
_FIRST_ERROR_STATUS = 400


@singledispatch
def is_idempotent(request: request_types.Request) -> bool:
    """Returns whether a request may be resent after it may have run."""
    raise NotImplementedError(type(request))


@is_idempotent.register
def _(request: request_types.ChatRequest) -> bool:
    return True


@is_idempotent.register
def _(request: request_types.CallRequest) -> bool:
    return request.call.idempotent


@singledispatch
def estimate_max_cost(
    request: request_types.Request, table: model.Table
) -> int:
    """Returns the maximum cost of a first attempt, in micros."""
    raise NotImplementedError(type(request))


@estimate_max_cost.register
def _(request: request_types.ChatRequest, table: model.Table) -> int:
    most_expensive = max(
        table.versions.values(), key=lambda row: row.output_price, default=None
    )
    version = table.versions.get(request.model, most_expensive)
    if version is None:
        return 0
    return price(version, request.prompt_tokens, request.max_tokens)


@estimate_max_cost.register
def _(request: request_types.CallRequest, table: model.Table) -> int:
    return request.call.price


def price(version: model.Version, prompt_tokens: int, tokens: int) -> int:
    """Returns the price of a response in micros, rounded up."""
    micros = version.input_price * prompt_tokens + version.output_price * tokens
    return -(-micros // _TOKENS_PER_PRICE_UNIT)


class UsageMeter:
    """Accumulates the usage of all complete responses to one request.

    Failed attempts are not charged, as the caller received nothing from them.
    """

    def __init__(
        self, request: request_types.Request, table: model.Table
    ) -> None:
        self.request = request
        self.table = table
        self.amount = 0
        self.prompt_tokens = 0
        self.output_tokens = 0

    def record_response(
        self, item: str, metadata: messages.ResponseMetadata
    ) -> None:
        """Records a complete response.

        Args:
            item: Key of the version or call that produced the response.
            metadata: Metadata of the response.
        """
        self.prompt_tokens += metadata.prompt_tokens
        self.output_tokens += metadata.output_tokens
        if metadata.status >= _FIRST_ERROR_STATUS:
            return
        if isinstance(self.request, request_types.CallRequest):
            self.amount += self.request.call.price
            return
        version = self.table.versions[item]
        self.amount += price(
            version, metadata.prompt_tokens, metadata.output_tokens
        )

    def make_bill(
        self, item: str, attempts: int, revision: int, now: float
    ) -> bills.Bill:
        """Returns the single bill of the request."""
        envelope = self.request.envelope
        return bills.Bill(
            account=envelope.account,
            request_id=str(envelope.request_id),
            item=item,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            amount=self.amount,
            attempts=attempts,
            at=now,
            table_revision=revision,
        )
