"""Runs ``hoistmoor-entry`` with one mechanism disabled.

Each mutation disables the mechanism behind one invariant, and the check of
that invariant must then report a violation. This shows that the system tests
can fail.
"""

from __future__ import annotations

import sys
from typing import Any

from hoistmoor.clients import events
from hoistmoor.core import outcomes
from hoistmoor.core.membership import freshness
from hoistmoor.core.membership import servers
from hoistmoor.core.once import permits
from hoistmoor.core.routing import options
from hoistmoor.core.table import model
from hoistmoor.entry import biller
from hoistmoor.entry import claims
from hoistmoor.entry import main
from hoistmoor.entry import readiness
from hoistmoor.entry import request_receiver
from hoistmoor.entry import session_affinity
from hoistmoor.peers import guard


def _claims() -> None:
    async def begin(self: Any, request: Any, deadline: float) -> Any:
        return permits.Permit(
            permits.PermitKind.NONE, request.account, request.key, "x"
        )

    claims.Claims.begin = begin  # type: ignore[method-assign]


def _resend() -> None:
    outcomes.may_resend = lambda *_: True  # type: ignore[assignment]


def _not_run() -> None:
    for state in outcomes.OUTCOME_BY_STATE:
        outcomes.OUTCOME_BY_STATE[state] = outcomes.Outcome.NOT_RUN
    outcomes.may_resend = lambda *_: False  # type: ignore[assignment]


def _bills() -> None:
    async def secure(self: Any, bill: Any) -> None:
        return None

    biller.Biller.secure = secure  # type: ignore[method-assign]


def _frames() -> None:
    events.belongs_to_attempt = lambda *_: True  # type: ignore[assignment]


def _grants() -> None:
    def grant_for(self: Any, account: str, version: Any) -> model.Grant:
        return model.Grant(account, version.model, version.version, 0.5)

    model.Table.grant_for = grant_for  # type: ignore[method-assign]


def _withdrawals() -> None:
    options.OptionsCatalog.exclusion_reason = lambda *_: ""  # type: ignore[method-assign]
    options.OptionsCatalog.can_keep = lambda *_: True  # type: ignore[method-assign]


def _sessions() -> None:
    async def resolve_pin(
        self: Any, account: str, value: str, name: str, new: str
    ) -> session_affinity.SessionPin:
        return session_affinity.SessionPin(
            value or new, None, session_affinity.PinStatus.NEW, None
        )

    async def pin_version(
        self: Any, account: str, session: str, name: str, version: str
    ) -> str:
        return version

    session_affinity.SessionAffinity.resolve_pin = resolve_pin  # type: ignore[method-assign]
    session_affinity.SessionAffinity.pin_version = pin_version  # type: ignore[method-assign]


def _drain() -> None:
    async def drain(self: Any) -> None:
        return None

    request_receiver.RequestReceiver.drain = drain  # type: ignore[method-assign]


def _peer_guard() -> None:
    guard.CallGuard.wrap = guard.AllowAllGuard.wrap  # type: ignore[assignment]


def _leaving() -> None:
    servers.LeavingServers.apply = (  # type: ignore[method-assign]
        lambda *_: False
    )


def _freshness() -> None:
    def assess(evidence: freshness.Evidence) -> freshness.Freshness:
        return freshness.Freshness(True, freshness.Reason.LOG_HEARD)

    freshness.assess = assess


def _recheck() -> None:
    readiness.Readiness.check_table = (  # type: ignore[method-assign]
        lambda self: self._follower.in_force
    )


MUTATIONS = {
    "claims": _claims,
    "resend": _resend,
    "not_run": _not_run,
    "bills": _bills,
    "frames": _frames,
    "grants": _grants,
    "withdrawals": _withdrawals,
    "sessions": _sessions,
    "drain": _drain,
    "leaving": _leaving,
    "freshness": _freshness,
    "recheck": _recheck,
    "peer_guard": _peer_guard,
}

if __name__ == "__main__":
    MUTATIONS[sys.argv.pop(1)]()
    sys.exit(main.main())
