"""``hoistmoor table``: checks, publishes and shows the operators' table."""

from __future__ import annotations

import attrs
import cappa

from hoistmoor.console.commands.table import check
from hoistmoor.console.commands.table import diff
from hoistmoor.console.commands.table import history
from hoistmoor.console.commands.table import publish
from hoistmoor.console.commands.table import show


@cappa.command(
    name="table", help="Manage the table that hosts follow.", description=" "
)
@attrs.frozen
class Table:
    """Group of the commands on the table."""

    command: cappa.Subcommands[
        check.Check | diff.Diff | show.Show | publish.Publish | history.History
    ]


COMMANDS = (Table,)
