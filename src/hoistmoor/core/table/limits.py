"""Definitions of the limits that apply to the whole deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.table import model


@attrs.frozen
class LimitDefinition:
    """Definition of a limit that the ``limits`` sheet can set.

    Attributes:
        name: Name of the limit.
        default: Value that applies if the sheet does not set the limit.
        minimum: Smallest accepted value.
        maximum: Largest accepted value.
        doc: One-sentence description, also shown in the operators' manual.
    """

    name: str
    default: float
    minimum: float
    maximum: float
    doc: str


_MIB = 1 << 20
_DAY_SECONDS = 86_400.0

DEFINITIONS: dict[str, LimitDefinition] = {
    limit.name: limit
    for limit in (
        LimitDefinition(
            "body_bytes",
            1 * _MIB,
            1024,
            64 * _MIB,
            "Largest request body that an entry host takes.",
        ),
        LimitDefinition(
            "entry_concurrency",
            512,
            1,
            100_000,
            "Requests in flight at one entry host.",
        ),
        LimitDefinition(
            "queue_length",
            1024,
            0,
            100_000,
            "Requests waiting for a backend server at one entry host.",
        ),
        LimitDefinition(
            "default_deadline_seconds",
            60,
            0.1,
            3600,
            "Deadline of a request that names none.",
        ),
        LimitDefinition(
            "max_attempts",
            3,
            1,
            10,
            "Dispatches that one request may cause at most.",
        ),
        LimitDefinition(
            "retry_ratio",
            0.1,
            0,
            1,
            "Retries allowed per first attempt, as a share.",
        ),
        LimitDefinition(
            "table_snapshot_seconds",
            600,
            10,
            _DAY_SECONDS,
            "Seconds between snapshots of the table on the log.",
        ),
        LimitDefinition(
            "quality_confidence",
            0.9,
            0.5,
            0.999,
            "Confidence at which a quality target must be met.",
        ),
        LimitDefinition(
            "withdraw_confidence",
            0.99,
            0.5,
            0.9999,
            "Confidence at which a bad version is withdrawn by itself.",
        ),
        LimitDefinition(
            "local_domain_bias",
            0.2,
            0,
            10,
            "Load that a server in another failure domain is charged extra.",
        ),
    )
}


def value(table: model.Table, name: str) -> float:
    """Returns the value that ``table`` sets for a limit, or its default."""
    return table.limit(name, DEFINITIONS[name].default)
