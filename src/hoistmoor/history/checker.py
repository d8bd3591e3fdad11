"""Runs all checks on a history."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.history.checks import at_most_once
from hoistmoor.history.checks import billing
from hoistmoor.history.checks import complete_responses
from hoistmoor.history.checks import configuration
from hoistmoor.history.checks import grants
from hoistmoor.history.checks import not_run
from hoistmoor.history.checks import sessions
from hoistmoor.history.checks import stops
from hoistmoor.history.checks import withdrawals

if TYPE_CHECKING:
    from collections.abc import Collection

    from hoistmoor.history import events

_CHECKS = (
    not_run.check,
    billing.check,
    complete_responses.check,
    grants.check,
    withdrawals.check,
    sessions.check,
    configuration.check,
)


def check(
    history: events.History,
    once_items: Collection[str],
    crashed: frozenset[str] = frozenset(),
) -> tuple[events.Violation, ...]:
    """Returns the violations of all invariants.

    Args:
        history: Events of the run.
        once_items: Non-idempotent calls, as method and path.
        crashed: Hosts that were killed and may therefore cut connections.
    """
    violations = list(at_most_once.check(history, once_items))
    violations += stops.check(history, crashed)
    for run_check in _CHECKS:
        violations += run_check(history)
    return tuple(violations)
