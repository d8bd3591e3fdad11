"""Generates the tables in the docs from the sources.

Run as a program (``make docs``), it writes them into the pages.
"""

from __future__ import annotations

import pathlib
import re
import typing

import attrs
import cappa

from hoistmoor.config import environment
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import refusals
from hoistmoor.utils import metrics

DOCS = pathlib.Path(__file__).parents[2] / "docs"
_BLOCK = r"(<!-- {name}: written by `make docs` -->\n).*?(<!-- end -->)"

# What an operator can do about a reason; the others are left to the caller.
_OPERATOR_ADVICE: dict[refusals.Reason, str] = {
    refusals.Reason.NOT_GRANTED: "Add a row to `grants` if they should.",
    refusals.Reason.WRONG_KEY: "Put the key's SHA-256 into `accounts`.",
    refusals.Reason.UNKNOWN_CALL: "Add a row to `calls` if it should exist.",
    refusals.Reason.VERSION_WITHDRAWN: "See who withdrew it: `table history`.",
    refusals.Reason.NO_TABLE: "Publish a table, or look at the log.",
    refusals.Reason.TABLE_STALE: "The host sees neither log nor peers.",
    refusals.Reason.STOPPING: "A host stops; the balancer should skip it.",
    refusals.Reason.SERVERS_LEAVING: "Start others in their place.",
    refusals.Reason.SERVERS_LIMITED: "Look at what the servers are in need of.",
    refusals.Reason.SERVERS_RESTING: "Look at what the servers are in need of.",
    refusals.Reason.OVERLOADED: "Add hosts, or lower rates in `accounts`.",
    refusals.Reason.NO_CAPACITY: "Add backend servers or replicas.",
    refusals.Reason.RATE_LIMITED: "Raise `rate_limit` if they should.",
    refusals.Reason.CONCURRENCY_LIMITED: "Raise `concurrency` if they should.",
    refusals.Reason.SPEND_LIMITED: "Raise `spend_limit` if they should.",
    refusals.Reason.CLAIM_UNAVAILABLE: "The log is down; tickets still run.",
    refusals.Reason.KEY_OUTCOME_UNKNOWN: "Look at the service for the call.",
    refusals.Reason.TICKET_ISSUER_GONE: "Look at the service for the call.",
    refusals.Reason.BILL_UNSECURED: "The host sees neither log nor peers.",
    refusals.Reason.BACKEND_DECLINED: "Look at the pool's load.",
    refusals.Reason.BACKEND_UNREACHABLE: "Look at the pool's servers.",
    refusals.Reason.BACKEND_CUT: "Look at the pool's servers.",
    refusals.Reason.BACKEND_ERROR: "Look at the pool's servers.",
    refusals.Reason.INTERNAL: "A fault of ours: report it with the log lines.",
}


# Outcomes for the reasons that can end a request after the host has sent part
# of it; for every other reason the request has not run.
_OUTCOMES_AFTER_SENDING = {
    refusals.Reason.DEADLINE_EXCEEDED: "`not_run` or `unknown`",
    refusals.Reason.STOPPING: "`not_run` or `unknown`",
    refusals.Reason.BILL_UNSECURED: "`not_run` or `done`",
    refusals.Reason.BACKEND_CUT: "`unknown`",
    refusals.Reason.BACKEND_ERROR: "`unknown` or `done`",
    refusals.Reason.CALLER_LEFT: "`not_run` or `unknown`",
    refusals.Reason.INTERNAL: "`not_run` or `unknown`",
}


def _markdown_table(header: str, rows: list[str]) -> str:
    columns = header.count("|") - 1
    return "\n".join([header, "|" + "---|" * columns, *rows]) + "\n"


def render_refusals() -> str:
    """Returns the table of refusal reasons for callers."""
    rows = [
        f"| `{reason}` | {rule.status.value} "
        f"| {_OUTCOMES_AFTER_SENDING.get(reason, '`not_run`')} "
        f"| {_retry_advice(reason)} "
        f"| {rule.retry_after} | {rule.remedy} |"
        for reason, rule in refusals.RULES.items()
    ]
    return _markdown_table(
        "| Reason | Status | Outcome | Try again | Retry-After, s | Do |", rows
    )


def _retry_advice(reason: refusals.Reason) -> str:
    if not refusals.RULES[reason].retryable:
        return "no"
    return "if `not_run`" if reason in _OUTCOMES_AFTER_SENDING else "yes"


def render_refusals_for_operators() -> str:
    """Returns the table of refusal reasons for operators."""
    rows = [
        f"| `{reason}` | {_OPERATOR_ADVICE.get(reason, 'Callers.')} |"
        for reason in refusals.Reason
    ]
    return _markdown_table("| Reason | What you can do |", rows)


def render_metrics() -> str:
    """Returns the table of metrics."""
    rows = [
        f"| `{metric.name}` | {metric.kind} | {metric.meaning} |"
        for metric in metrics.METRICS.values()
    ]
    return _markdown_table("| Name | Kind | Meaning |", rows)


def render_settings() -> str:
    """Returns the table of settings of the entry host and the steward."""
    programs = (settings_lib.EntrySettings, settings_lib.StewardSettings)
    rows = [
        _setting_row(field, programs)
        for field in attrs.fields(settings_lib.EntrySettings)
    ]
    return _markdown_table(
        "| Flag | Variable | Default | Meaning | Steward |", rows
    )


def _setting_row(
    field: attrs.Attribute[typing.Any], programs: tuple[type, type]
) -> str:
    hint = typing.get_type_hints(programs[0], include_extras=True)[field.name]
    arg = next(a for a in hint.__metadata__ if isinstance(a, cappa.Arg))
    flag = f"`{environment.flag_of(field.name)}`"
    in_steward = field.name in attrs.fields_dict(programs[1])
    return (
        f"| {'none' if arg.hidden else flag} "
        f"| `{environment.variable_of(field.name)}` "
        f"| {_default_text(field)} | {arg.help or 'Keys that sign.'} "
        f"| {'yes' if in_steward else 'no'} |"
    )


def _default_text(field: attrs.Attribute[typing.Any]) -> str:
    if field.default is attrs.NOTHING or field.name == "secret":
        return "must be given"
    return f"`{field.default}`" if field.default != "" else "empty"


BLOCKS = (
    ("callers.md", "refusals", render_refusals),
    (
        "operators/refusals.md",
        "refusals-operators",
        render_refusals_for_operators,
    ),
    ("metrics.md", "metrics", render_metrics),
    ("settings.md", "settings", render_settings),
)


def fill_block(text: str, name: str, block: str) -> str:
    """Returns the page text with ``block`` between the markers ``name``."""
    pattern = re.compile(_BLOCK.format(name=re.escape(name)), re.DOTALL)
    filled, count = pattern.subn(
        lambda match: f"{match[1]}\n{block}\n{match[2]}", text
    )
    if count != 1:
        raise ValueError(f"expected one block named {name}, found {count}")
    return filled


def main() -> None:
    """Writes each generated table into its page."""
    for page, name, render in BLOCKS:
        path = DOCS / page
        path.write_text(fill_block(path.read_text(), name, render()))


if __name__ == "__main__":
    main()
