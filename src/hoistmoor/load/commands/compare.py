"""``hoistmoor-load compare``: latency that an entry adds to direct calls."""

from __future__ import annotations

import sys
from typing import Annotated

import attrs
import cappa
import uvloop

from hoistmoor.clients import sessions
from hoistmoor.load import call_catalog
from hoistmoor.load import caller as caller_lib
from hoistmoor.load import calls
from hoistmoor.load import compare
from hoistmoor.load.commands import flags

# Leading segments: "", "v1", "services" and the name of the service.
_SERVICE_SEGMENTS = 4


@cappa.command(
    name="compare", help="Latency that an entry adds.", description=" "
)
@attrs.frozen(kw_only=True)
class Compare:
    """Compares the latency of direct calls and calls through an entry.

    Attributes:
        entry: Base URL of the entry.
        direct: Base URL of the backend server.
        kind: Names of calls, compared in sequence.
        model: Version for chat calls on both paths; empty for the default of
            the call.
        count: Number of measured pairs.
        key: Bearer key of a client account.
    """

    entry: Annotated[str, cappa.Arg(long=True, help="Base URL.")]
    direct: Annotated[str, cappa.Arg(long=True, help="Base URL.")]
    kind: flags.Kinds
    model: Annotated[
        str,
        cappa.Arg(
            long=True, default="", help="model@version; empty for the default."
        ),
    ] = ""
    count: Annotated[int, cappa.Arg(long=True, help="Pairs.")] = 500
    key: flags.Key = attrs.field(default="", repr=False)

    def __call__(self) -> int:
        """Runs the comparison; returns 1 if a call failed, else 0."""
        flags.check_loopback("--entry", self.entry)
        flags.check_loopback("--direct", self.direct)
        return uvloop.run(self.compare_kinds())

    async def compare_kinds(self) -> int:
        """Compares the kinds in sequence and prints the results."""
        failed = 0
        async with sessions.make_session() as session:
            caller = caller_lib.HttpCaller(session)
            for call in call_catalog.calls_by_name(self.kind, self.key):
                pair = self.make_pair(call)
                result = await compare.compare(pair, caller, self.count)
                sys.stdout.write("\n".join(result.lines()) + "\n")
                failed += result.failed_pairs
        return 1 if failed else 0

    def make_pair(self, call: calls.Call) -> compare.CallPair:
        """Returns ``call`` and its direct counterpart."""
        through = call
        if self.model and call.body and "model" in call.body:
            body = {**call.body, "model": self.model}
            through = attrs.evolve(call, body=body)
        direct = attrs.evolve(
            through,
            path=_direct_path(call.path),
            bearer="",
            key_use=calls.KeyUse.NONE,
        )
        return compare.CallPair(self.direct, direct, self.entry, through)


def _direct_path(path: str) -> str:
    """Returns the backend server's path for a path at an entry."""
    if not path.startswith("/v1/services/"):
        return path
    return "/" + "/".join(path.split("/")[_SERVICE_SEGMENTS:])
