"""Runs a rule-based state machine of Hypothesis with a fixed seed."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import stateful


def run(
    machine: type[stateful.RuleBasedStateMachine],
    examples: int,
    steps: int = 40,
    **attributes: Any,
) -> None:
    """Runs random steps and raises the first error of the machine's checks.

    Args:
        machine: State machine with the rules and checks.
        examples: Maximum number of runs.
        steps: Maximum number of steps in a run.
        attributes: Class attributes to override on the machine.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate],
    )

    configured = type("Machine", (machine,), attributes)
    stateful.run_state_machine_as_test(configured, settings=settings)
