"""Named calls that the load commands send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.load import calls

if TYPE_CHECKING:
    from collections.abc import Callable

_CHAT_PATH = "/v1/chat/completions"
_SERVICES_PATH = "/v1/services"


def chat_call(
    kind: str,
    model: str,
    text: str,
    bearer: str,
    *,
    stream: bool = False,
    max_tokens: int = 32,
    session: str = "",
) -> calls.Call:
    """Returns a chat completion call."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return calls.Call(kind, "POST", _CHAT_PATH, body, bearer, session=session)


def service_call(
    kind: str,
    call: str,
    bearer: str,
    body: dict[str, object] | None = None,
    key_use: calls.KeyUse = calls.KeyUse.NONE,
) -> calls.Call:
    """Returns a call to a plain service.

    Args:
        kind: Short name for reports.
        call: Service, method and path as in the table, such as
            ``counter-api POST /confirm``.
        bearer: The client account's key.
        body: JSON body; None for none.
        key_use: How the call is protected against running twice.
    """
    name, method, path = call.split(" ")
    return calls.Call(
        kind, method, f"{_SERVICES_PATH}/{name}{path}", body, bearer, key_use
    )


def _confirm(kind: str, key_use: calls.KeyUse) -> Callable[[str], calls.Call]:
    body: dict[str, object] = {"id": "0812345678", "amount": 50}
    return lambda bearer: service_call(
        kind, "counter-api POST /confirm", bearer, body, key_use
    )


_BY_NAME: dict[str, Callable[[str], calls.Call]] = {
    "chat": lambda bearer: chat_call(
        "chat", "auto", "How much is left of bundle {serial}?", bearer
    ),
    "stream": lambda bearer: chat_call(
        "stream", "auto", "Tag receipt {serial}.", bearer, stream=True
    ),
    "confirm": _confirm("confirm", calls.KeyUse.NONE),
    "confirm-key": _confirm("confirm-key", calls.KeyUse.OWN),
    "confirm-ticket": _confirm("confirm-ticket", calls.KeyUse.TICKET),
    "balance": lambda bearer: service_call(
        "balance", "counter-api GET /balance/0812345678", bearer
    ),
    "booking": lambda bearer: service_call(
        "booking",
        "dispatch-desk POST /bookings",
        bearer,
        {"id": "strandgata-6", "skip": "8 m3"},
        calls.KeyUse.OWN,
    ),
}


def calls_by_name(names: list[str], bearer: str) -> list[calls.Call]:
    """Returns the calls with these names.

    Raises:
        ConfigurationError: A name is unknown.
    """
    unknown = sorted(set(names) - set(_BY_NAME))
    if unknown:
        raise errors.ConfigurationError(
            f"--kind: unknown calls: {', '.join(unknown)}",
            f"Choose from {', '.join(sorted(_BY_NAME))}.",
        )
    return [_BY_NAME[name](bearer) for name in names]
