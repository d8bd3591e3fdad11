# ruff: noqa: D102
"""The table across real processes: kills, freezes and late starts."""

from __future__ import annotations

import attrs
import pytest
import system_processes

from hoistmoor.clients import log
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import snapshots

PLATFORM = "platform"
ANY_PORT = "127.0.0.1:0"


@attrs.define
class Cluster:
    """A platform stand-in and entry hosts, each a process."""

    processes: system_processes.Processes
    seen: dict[str, int] = attrs.field(factory=dict)
    fold: fold.TableFold = attrs.field(factory=fold.TableFold)

    @property
    def url(self) -> str:
        return self.processes.programs[PLATFORM].url

    @property
    def client(self) -> log.LogClient:
        return log.LogClient(self.processes.session, self.url)

    async def start_entry(self, name: str, listen: str = ANY_PORT) -> None:
        program = await self.processes.start(
            name, "hoistmoor-entry", "--host", name,
            "--failure-domain", "here", "--log-url", self.url,
            "--log-level", "error", "--peer-listen", ANY_PORT,
            "--listen", listen,
        )  # fmt: skip
        row = {
            "address": program.address,
            "failure_domain": "here",
            "role": "entry",
        }
        url = f"{self.url}/hosts/{name}"
        async with self.processes.session.put(url, json=row) as reply:
            assert reply.status == 200
        self.seen[name] = -1

    async def edit(self, name: str) -> int:
        """Appends an edit that must be accepted, and folds it here too."""
        row = model.Account(name, (), 1, 1.0, 1)
        change = edits.RowSet("accounts", name, row)
        edit = edits.TableEdit(name, self.fold.as_of, "ann", 0.0, (change,))
        offset = await self.client.append(streams.TABLE, codec.encode(edit))
        assert isinstance(self.fold.apply(offset, edit), fold.Accepted)
        return offset

    async def append_snapshot(self, payload: bytes = b"") -> None:
        """Appends a snapshot of this fold, or an older one."""
        payload = payload or snapshots.encode_snapshot(self.fold)
        offset = await self.client.append(streams.TABLE, payload)
        self.fold.apply(offset, codec.decode(payload))

    async def in_force(self, revision: int, *names: str) -> None:
        """Returns once ``names`` have the revision; none ever goes back."""

        async def all_have_it() -> bool:
            return min([await self._look(name) for name in names]) >= revision

        await system_processes.until(all_have_it, f"revision {revision}")

    async def _look(self, name: str) -> int:
        program = self.processes.programs[name]
        status = await self.processes.get(f"{program.url}/status")
        revision = int(status["table_revision"])
        assert revision >= self.seen[name], f"{name} went back"
        self.seen[name] = revision
        return revision


@pytest.fixture
async def cluster(
    request: pytest.FixtureRequest, processes: system_processes.Processes
) -> Cluster:
    kept = str(getattr(request, "param", 1000))
    await processes.start(
        PLATFORM, "hoistmoor-standin", "platform", "--max-records", kept
    )
    cluster = Cluster(processes)
    await cluster.start_entry("e1")
    await cluster.start_entry("e2")
    await cluster.in_force(await cluster.edit("first"), "e1", "e2")
    return cluster


async def test_a_frozen_host_catches_up_and_a_killed_one_starts_over(
    cluster: Cluster,
) -> None:
    frozen, killed = (cluster.processes.programs[n] for n in ("e1", "e2"))
    frozen.freeze()
    await killed.kill()
    for name in ("a", "b", "c"):
        revision = await cluster.edit(name)

    frozen.thaw()
    await cluster.start_entry("e2", listen=killed.address)

    await cluster.in_force(revision, "e1", "e2")


@pytest.mark.parametrize("cluster", [5], indirect=True)
async def test_a_late_snapshot_reverts_no_running_and_no_starting_host(
    cluster: Cluster,
) -> None:
    stale = snapshots.encode_snapshot(
        cluster.fold
    )  # Stands for record 0 alone.
    await cluster.edit("second")
    await cluster.edit("third")
    await cluster.append_snapshot(stale)
    await cluster.append_snapshot()
    await cluster.edit("fourth")
    revision = await cluster.edit("fifth")
    # Record 1 is gone, so the stale snapshot, which a starter meets first,
    # cannot be continued; the next one can.
    bounds = await cluster.client.bounds(streams.TABLE)
    assert bounds.first == 2

    await cluster.start_entry("e3")

    await cluster.in_force(revision, "e1", "e2", "e3")
    last = await cluster.edit("sixth")
    await cluster.in_force(last, "e1", "e2", "e3")
