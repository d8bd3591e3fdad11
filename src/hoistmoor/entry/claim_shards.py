"""Shards of callers' idempotency keys, of which each host follows a few."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core.once import permits
from hoistmoor.core.once import placement
from hoistmoor.core.once import records
from hoistmoor.entry import supervised_tasks

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hoistmoor.core import outcomes
    from hoistmoor.core.once import messages
    from hoistmoor.entry import claims as claims_lib

_CHECK_SECONDS = 1.0  # Interval between checks of the placement.


class ClaimShards:
    """Routes each keyed request to the shard of its key.

    Attributes:
        shard_count: The number of shards.
        followed: The shards that this host reads, with their claims.
    """

    def __init__(
        self,
        make_claims: Callable[[str], claims_lib.Claims],
        host: str,
        shard_count: int = 1,
        live_hosts: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        """Creates the shards; ``start`` begins to follow some of them.

        Args:
            make_claims: Creates the claims for the name of a stream.
            host: Name of this host.
            shard_count: The number of shards; the same at every host.
            live_hosts: Returns the ``ip:port`` of each live host by its name.
        """
        self.shard_count = shard_count
        self.followed: dict[int, claims_lib.Claims] = {}
        self._make_claims = make_claims
        self._host = host
        self._live_hosts = live_hosts
        self._tasks = supervised_tasks.SupervisedTasks()

    def start(self) -> None:
        """Starts to follow the shards that are placed on this host."""
        if self.shard_count == 1:
            self._follow(0)
            return
        self._tasks.start(self._placement_loop(), "placement of shards")

    async def stop(self) -> None:
        """Cancels all tasks; call ``drain`` first for a graceful stop."""
        await self._tasks.stop()
        for claims in self.followed.values():
            await claims.stop()

    async def watch(self) -> None:
        """Waits until a task fails, and raises its exception."""
        await self._tasks.wait_for_failure()

    async def drain(
        self, timeout: float, hand_over: claims_lib.HandOver | None = None
    ) -> int:
        """Writes or hands over pending records; see ``Claims.drain``."""
        remaining = await asyncio.gather(
            *(
                claims.drain(timeout, hand_over)
                for claims in self.followed.values()
            )
        )
        return sum(remaining)

    async def begin(
        self, request: messages.KeyedRequest, deadline: float
    ) -> permits.BeginResult:
        """Returns whether a request may run here, or where to forward it."""
        shard = self._shard_of(request.account, request.key)
        if shard not in self.followed and not request.forwarded:
            address = self._other_follower(shard)
            if address:
                return permits.ForwardTo(address)
        return await self._follow(shard).begin(request, deadline)

    def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a run and wakes its duplicates."""
        shard = self._shard_of(permit.account, permit.key)
        self.followed[shard].finish(permit, outcome, answer)

    def _shard_of(self, account: str, key: str) -> int:
        digest = records.key_digest(account, key)
        return placement.shard_of(digest, self.shard_count)

    def _other_follower(self, shard: int) -> str:
        """Returns the address of another host that follows a shard."""
        hosts = self._live_hosts()
        for host in placement.followers(shard, hosts):
            if host != self._host:
                return hosts[host]
        return ""

    def _follow(self, shard: int) -> claims_lib.Claims:
        claims = self.followed.get(shard)
        if claims is None:
            stream = placement.stream_of(shard, self.shard_count)
            claims = self.followed[shard] = self._make_claims(stream)
            claims.start()
            self._tasks.start(claims.watch(), f"watch of {stream}")
        return claims

    async def _placement_loop(self) -> None:
        placed: frozenset[str] = frozenset()
        wanted: frozenset[int] = frozenset()
        while True:
            hosts = frozenset({self._host, *self._live_hosts()})
            if hosts != placed:
                wanted = await self._assigned_shards(hosts)
                placed = hosts
            for shard in wanted:
                self._follow(shard)
            for shard in self.followed.keys() - wanted:
                await self._unfollow_if_idle(shard)
            await asyncio.sleep(_CHECK_SECONDS)

    async def _assigned_shards(self, hosts: frozenset[str]) -> frozenset[int]:
        """Returns the shards for this host to follow.

        Rendezvous hashing weighs every host for every shard. To limit the
        cost, this runs only when the set of hosts changes, and yields to other
        tasks after each shard.
        """
        found = set()
        for shard in range(self.shard_count):
            if self._host in placement.followers(shard, hosts):
                found.add(shard)
            await asyncio.sleep(0)
        return frozenset(found)

    async def _unfollow_if_idle(self, shard: int) -> None:
        claims = self.followed[shard]
        if claims.claimant.is_idle:
            del self.followed[shard]
            await claims.stop()
