"""Formats the use of account limits, summed over the entry hosts."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from hoistmoor.console import host_queries


@attrs.define
class _AccountUsage:
    """Usage of one client account on all hosts that responded.

    Amounts are in micros.

    Attributes:
        spend_limit: Spend limit for the UTC day.
        granted: Total that the log has granted to hosts, including hosts
            that no longer exist.
        held: Sum of the shares of the hosts that responded.
        spent: Part of ``held`` that is spent.
        reserved: Part of ``held`` that is reserved for running requests.
        in_flight: Number of admitted requests that are still running.
    """

    spend_limit: int = 0
    granted: int = 0
    held: int = 0
    spent: int = 0
    reserved: int = 0
    in_flight: int = 0

    def add(self, fields: dict[str, Any]) -> None:
        """Adds the usage that one host reports."""
        self.spend_limit = max(self.spend_limit, fields["spend_limit"])
        self.granted = max(self.granted, fields["granted"])
        self.held += fields["share"]
        self.spent += fields["spent"]
        self.reserved += fields["reserved"]
        self.in_flight += fields["in_flight"]


def describe_limits(
    responses: Iterable[host_queries.HostResponse],
) -> Iterator[str]:
    """Yields a header and one line per client account."""
    usages: dict[str, _AccountUsage] = {}
    for response in responses:
        for fields in response.body.get("limits", {}).get("accounts", ()):
            usages.setdefault(fields["account"], _AccountUsage()).add(fields)
    yield (
        f"{'account (micros today)':<24}{'limit':>16}{'spent':>16}"
        f"{'reserved':>14}{'held by hosts':>16}{'not held':>16}"
        f"{'in flight':>11}"
    )
    for account, usage in sorted(usages.items()):
        # Shares of hosts that have failed or did not respond, and shares in
        # transfer between hosts.
        not_held = max(0, usage.granted - usage.held)
        yield (
            f"{account:<24}{usage.spend_limit:>16}{usage.spent:>16}"
            f"{usage.reserved:>14}{usage.held:>16}{not_held:>16}"
            f"{usage.in_flight:>11}"
        )
