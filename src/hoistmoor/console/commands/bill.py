"""``hoistmoor bill``: shows the billing statement of each client account."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated, TYPE_CHECKING

import attrs
import cappa
import orjson

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.billing import statement as statement_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from hoistmoor.entry import log_interface

_PAGE_SIZE = 500  # Records per read from the log.
_MICROS_PER_UNIT = 1_000_000
_ROW_FORMAT = "{:<20} {:<36} {:>9} {:>12} {:>12} {:>16}"

_Account = Annotated[
    str | None, cappa.Arg(long="--account", help="Only this client account.")
]
_Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
_Checkpoint = Annotated[
    bool,
    cappa.Arg(
        long="--checkpoint",
        help="Also append the totals to the log, to keep them past retention.",
    ),
]


@cappa.command(
    name="bill", help="Show what each client account owes.", description=" "
)
@attrs.frozen(kw_only=True)
class Bill:
    """Computes the statement from the bills on the log.

    Attributes:
        log_url: Base URL of the platform's log.
        account: Client account to show; None for all.
        json: Whether to print JSON.
        checkpoint: Whether to append the totals to the log.
    """

    log_url: table_reader.LogUrl
    account: _Account = None
    json: _Json = False
    checkpoint: _Checkpoint = False

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the statement; fails if it is incomplete."""
        return asyncio.run(self.show())

    async def show(self) -> exit_codes.ExitCode:
        """Reads the stream and prints the statement."""
        async with sessions.make_session() as session:
            client = table_reader.make_log_client(session, self.log_url)
            statement = await read_statement(client)
            self._print(statement)
            if self.checkpoint:
                await append_checkpoint(client, statement)
        if statement.invalid_records or statement.missing_records:
            return exit_codes.ExitCode.FAULTS
        return exit_codes.ExitCode.DONE

    def _print(self, statement: statement_lib.Statement) -> None:
        render = _format_json if self.json else _format_text
        for line in render(statement, self.account):
            sys.stdout.write(f"{line}\n")
        for line in _format_problems(statement):
            sys.stderr.write(f"{line}\n")


async def read_statement(client: log_interface.Log) -> statement_lib.Statement:
    """Returns the statement up to the newest record.

    If retention has deleted the oldest records, the statement resumes from
    the newest checkpoint that covers them.

    Raises:
        LogUnavailableError: The stream cannot be read.
    """
    bounds = await client.bounds(streams.BILLS)
    statement = statement_lib.Statement()
    if bounds.first > 0:
        statement = await _resume_from_checkpoint(client, bounds)
    statement.skip_to(bounds.first)
    async for record in _iter_records(
        client, statement.next_offset, bounds.next
    ):
        statement.apply(record.offset, record.at, record.payload)
    return statement


async def append_checkpoint(
    client: log_interface.Log, statement: statement_lib.Statement
) -> None:
    """Appends the totals to the log.

    Raises:
        ConfigurationError: The totals are incomplete.
        PlatformError: The append failed. It is safe to retry.
    """
    if statement.missing_records:
        raise errors.ConfigurationError(
            f"{statement.missing_records} records are missing from the totals",
            "Increase the log's retention and run --checkpoint more often.",
        )
    payload = codec.encode(statement.checkpoint())
    await client.append(streams.BILLS, payload)


async def _resume_from_checkpoint(
    client: log_interface.Log, bounds: log.LogBounds
) -> statement_lib.Statement:
    latest = None
    async for record in _iter_records(client, bounds.first, bounds.next):
        checkpoint = _decode_checkpoint(record)
        if checkpoint is not None and checkpoint.through >= bounds.first - 1:
            latest = checkpoint
    if latest is None:
        return statement_lib.Statement()
    return statement_lib.Statement.from_checkpoint(latest)


def _decode_checkpoint(
    record: log.LogRecord,
) -> statement_lib.BillCheckpoint | None:
    try:
        decoded = codec.decode(record.payload)
    except errors.CodecError:
        return None
    if isinstance(decoded, statement_lib.BillCheckpoint):
        return decoded
    return None


async def _iter_records(
    client: log_interface.Log, start: int, end: int
) -> AsyncIterator[log.LogRecord]:
    while start < end:
        page = await client.read(streams.BILLS, start, _PAGE_SIZE)
        for record in page.records:
            if record.offset < end:
                yield record
        if not page.records:
            return
        start = page.next


def _iter_lines(
    statement: statement_lib.Statement, account: str | None
) -> Iterator[tuple[str, str, statement_lib.StatementLine]]:
    for name in sorted(statement.lines):
        if account in (None, name):
            for item, line in sorted(statement.lines[name].items()):
                yield name, item, line


def _format_text(
    statement: statement_lib.Statement, account: str | None
) -> Iterator[str]:
    yield _ROW_FORMAT.format(
        "account", "item", "requests", "prompt", "output", "amount"
    )
    total = statement_lib.StatementLine()
    for name, item, line in _iter_lines(statement, account):
        yield _format_row(name, item, line)
        total.merge(line)
    yield _format_row("total", "", total)
    yield f"{statement.repeats} repeated bills were ignored"


def _format_row(name: str, item: str, line: statement_lib.StatementLine) -> str:
    units, micros = divmod(line.amount, _MICROS_PER_UNIT)
    return _ROW_FORMAT.format(
        name,
        item,
        line.count,
        line.prompt_tokens,
        line.output_tokens,
        f"{units}.{micros:06d}",
    )


def _format_json(
    statement: statement_lib.Statement, account: str | None
) -> Iterator[str]:
    rows = [
        {"account": name, "item": item, **attrs.asdict(line)}
        for name, item, line in _iter_lines(statement, account)
    ]
    document = {
        "lines": rows,
        "repeats": statement.repeats,
        "through": statement.next_offset - 1,
        "missing": statement.missing_records,
        "bad": [attrs.asdict(record) for record in statement.invalid_records],
    }
    yield orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


def _format_problems(statement: statement_lib.Statement) -> Iterator[str]:
    if statement.missing_records:
        yield (
            f"hoistmoor: {statement.missing_records} records are past the "
            "log's retention and not covered by a checkpoint, so the totals "
            "are too low. Run `hoistmoor bill --checkpoint` more often."
        )
    for record in statement.invalid_records:
        yield (
            f"hoistmoor: record {record.offset} is not counted: "
            f"{record.problem}"
        )


COMMANDS = (Bill,)
