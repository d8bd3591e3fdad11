# ruff: noqa: D102
"""Table replication across processes that are killed, paused or restarted."""

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
    """A simulated platform and entry hosts, each in its own process."""

    processes: system_processes.Processes
    last_revisions: dict[str, int] = attrs.field(factory=dict)
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
        self.last_revisions[name] = -1

    async def edit(self, name: str) -> int:
        """Appends a valid edit and applies it to the local fold."""
        row = model.Account(name, (), 1, 1.0, 1)
        change = edits.RowSet("accounts", name, row)
        edit = edits.TableEdit(name, self.fold.as_of, "ann", 0.0, (change,))
        offset = await self.client.append(streams.TABLE, codec.encode(edit))
        assert isinstance(self.fold.apply(offset, edit), fold.Accepted)
        return offset

    async def append_snapshot(self, payload: bytes = b"") -> None:
        """Appends ``payload``, or else a snapshot of the local fold."""
        payload = payload or snapshots.encode_snapshot(self.fold)
        offset = await self.client.append(streams.TABLE, payload)
        self.fold.apply(offset, codec.decode(payload))

    async def in_force(self, revision: int, *names: str) -> None:
        """Waits until hosts have the revision; no host may ever revert."""

        async def all_have_it() -> bool:
            return (
                min([await self._read_revision(name) for name in names])
                >= revision
            )

        await system_processes.wait_until(all_have_it, f"revision {revision}")

    async def _read_revision(self, name: str) -> int:
        program = self.processes.programs[name]
        status = await self.processes.get(f"{program.url}/status")
        revision = int(status["table_revision"])
        assert revision >= self.last_revisions[name], (
            f"{name} reverted its table"
        )
        self.last_revisions[name] = revision
        return revision


@pytest.fixture
async def cluster(
    request: pytest.FixtureRequest, processes: system_processes.Processes
) -> Cluster:
    max_records = str(getattr(request, "param", 1000))
    await processes.start(
        PLATFORM, "hoistmoor-standin", "platform", "--max-records", max_records
    )
    cluster = Cluster(processes)
    await cluster.start_entry("e1")
    await cluster.start_entry("e2")
    await cluster.in_force(await cluster.edit("first"), "e1", "e2")
    return cluster


async def test_paused_host_catches_up_and_killed_host_restarts(
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
async def test_delayed_snapshot_reverts_neither_running_nor_starting_host(
    cluster: Cluster,
) -> None:
    stale = snapshots.encode_snapshot(cluster.fold)  # Contains record 0 only.
    await cluster.edit("second")
    await cluster.edit("third")
    await cluster.append_snapshot(stale)
    await cluster.append_snapshot()
    await cluster.edit("fourth")
    revision = await cluster.edit("fifth")
    # Record 1 has expired, so a starting host cannot continue from the stale
    # snapshot, which it reads first. It can continue from the next one.
    bounds = await cluster.client.bounds(streams.TABLE)
    assert bounds.first == 2

    await cluster.start_entry("e3")

    await cluster.in_force(revision, "e1", "e2", "e3")
    last = await cluster.edit("sixth")
    await cluster.in_force(last, "e1", "e2", "e3")
