"""Runs exchanges with backend servers to their end, for tests."""

from __future__ import annotations

import attrs

from hoistmoor.clients import exchange
from hoistmoor.clients import exchange_errors


@attrs.frozen
class EndedExchange:
    """The result of an exchange.

    Attributes:
        parts: The parts in the order in which they were received.
        error: Why the response is incomplete; None if it is complete.
    """

    parts: tuple[exchange.ResponsePart, ...]
    error: exchange_errors.ExchangeError | None

    @property
    def chunks(self) -> list[bytes]:
        """The events of a stream, or the chunks of another body."""
        return [
            part.data
            for part in self.parts
            if isinstance(part, exchange.BodyChunk)
        ]


async def run(opened: exchange.Exchange) -> EndedExchange:
    """Runs an exchange until it is complete or fails."""
    parts: list[exchange.ResponsePart] = []
    try:
        async with opened:
            async for part in opened:
                parts.append(part)
    except exchange_errors.ExchangeError as error:
        return EndedExchange(tuple(parts), error)
    return EndedExchange(tuple(parts), None)
