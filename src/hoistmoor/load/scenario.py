"""The requests that the demo sends to each deployment, and expectations."""

from __future__ import annotations

import attrs

from hoistmoor.load import call_catalog
from hoistmoor.load import calls
from hoistmoor.load import deployments


@attrs.frozen
class Step:
    """One step of the demo scenario.

    Attributes:
        title: What it demonstrates.
        call: The call to send.
        entry: Index of the entry, from 0.
        reason: Expected reason of refusal; empty if the call is to be served.
        repeats: Number of times that the call is sent, each time to the next
            entry, with the same key if it has one.
    """

    title: str
    call: calls.Call
    entry: int = 0
    reason: str = ""
    repeats: int = 1


_AGENTS = "demo-bangna-agents"
_LEDGER = "demo-isan-ledger"
_RIDERS = "demo-latkrabang-riders"
_RESIDENTS = "demo-residents-web"
_HAULAGE = "demo-haulage-office"
_DESK = "demo-phone-desk"

_TOP_UP: dict[str, object] = {"id": "0812345678", "amount": 50}
_BOOKING: dict[str, object] = {"id": "strandgata-6", "skip": "8 m3"}
_THAI_PROMPT = "ยอดเงินคงเหลือของหมายเลข {serial} เท่าไร"
_ISAN_PROMPT = "เงินเบอร์ {serial} เหลือท่อใด๋ ซ่อยเบิ่งให้แหน่"
_LEDGER_PROMPT = "กระทบยอดบัญชีตัวแทน {serial} เดือนพฤศจิกายน"
_PERMIT_PROMPT = "Þarf ég leyfi fyrir gám á gangstétt við Strandgötu {serial}?"
_SCHEDULE_PROMPT = "Gerðu drög að akstursáætlun {serial} fyrir Vellir á morgun."

_TAEMSUK = (
    Step(
        "question in Thai, model auto",
        call_catalog.chat_call("chat", "auto", _THAI_PROMPT, _AGENTS),
    ),
    Step(
        "question in Isan, streamed, other entry",
        call_catalog.chat_call(
            "stream", "auto", _ISAN_PROMPT, _AGENTS, stream=True
        ),
        entry=1,
    ),
    Step(
        "ledger under a high quality target, model auto",
        call_catalog.chat_call("chat", "auto", _LEDGER_PROMPT, _LEDGER),
    ),
    Step(
        "pinned version",
        call_catalog.chat_call(
            "chat", "khao-medium@2025-06", _THAI_PROMPT, _AGENTS
        ),
        entry=1,
    ),
    Step(
        "confirm with its own key, sent twice, two entries: runs once",
        call_catalog.service_call(
            "confirm",
            "counter-api POST /confirm",
            _AGENTS,
            _TOP_UP,
            calls.KeyUse.OWN,
        ),
        repeats=2,
    ),
    Step(
        "confirm with a ticket, sent twice, two entries: runs once",
        call_catalog.service_call(
            "confirm",
            "counter-api POST /confirm",
            _AGENTS,
            _TOP_UP,
            calls.KeyUse.TICKET,
        ),
        repeats=2,
    ),
    Step(
        "confirm without a key",
        call_catalog.service_call(
            "confirm", "counter-api POST /confirm", _AGENTS, _TOP_UP
        ),
    ),
    Step(
        "balance",
        call_catalog.service_call(
            "balance", "counter-api GET /balance/0812345678", _AGENTS
        ),
        entry=1,
    ),
    Step(
        "refused: a model that the client account may not use",
        call_catalog.chat_call("chat", "khao-large", _THAI_PROMPT, _RIDERS),
        reason="not_granted",
    ),
    Step(
        "refused: a wrong key",
        call_catalog.chat_call("chat", "auto", _THAI_PROMPT, "demo-nobody"),
        reason="wrong_key",
    ),
)

_HAFNARFJORDUR = (
    Step(
        "question on a permit in Icelandic, model auto",
        call_catalog.chat_call("chat", "auto", _PERMIT_PROMPT, _RESIDENTS),
    ),
    Step(
        "haulage schedule under a high quality target, streamed",
        call_catalog.chat_call(
            "stream", "auto", _SCHEDULE_PROMPT, _HAULAGE, stream=True
        ),
        entry=1,
    ),
    Step(
        "booking with its own key, sent twice, two entries: runs once",
        call_catalog.service_call(
            "booking",
            "dispatch-desk POST /bookings",
            _RESIDENTS,
            _BOOKING,
            calls.KeyUse.OWN,
        ),
        repeats=2,
    ),
    Step(
        "booking with a ticket",
        call_catalog.service_call(
            "booking",
            "dispatch-desk POST /bookings",
            _RESIDENTS,
            _BOOKING,
            calls.KeyUse.TICKET,
        ),
        entry=1,
    ),
    Step(
        "look at the booking",
        call_catalog.service_call(
            "look", "dispatch-desk GET /bookings/strandgata-6", _RESIDENTS
        ),
    ),
    Step(
        "refused: a withdrawn version",
        call_catalog.chat_call("chat", "gamur-core@2.8", _PERMIT_PROMPT, _DESK),
        reason="version_withdrawn",
    ),
)

STEPS = {
    deployments.TAEMSUK.name: _TAEMSUK,
    deployments.HAFNARFJORDUR.name: _HAFNARFJORDUR,
}
