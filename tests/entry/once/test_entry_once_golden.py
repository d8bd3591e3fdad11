# ruff: noqa: D102
"""Golden file test: a shop confirms top-ups during an outage of the log."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import TYPE_CHECKING

import attrs
import once_fake_log
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import outbox
from hoistmoor.core.once import permits
from hoistmoor.entry import once as once_lib

if TYPE_CHECKING:
    import pytest

GOLDEN = pathlib.Path(__file__).parent / "golden/confirm_during_outage.txt"


@attrs.define
class Session:
    """Two hosts, a backend that counts, and a transcript of the requests.

    The shop sends ``confirm`` requests, and the backend counts the ones that
    run. Each line of the transcript is compared with the golden file.
    """

    log: once_fake_log.FakeLog
    hosts: list[once_lib.AtMostOnceGuard] = attrs.field(factory=list)
    lines: list[str] = attrs.field(factory=list)
    confirmed: int = 0
    request_count: int = 0

    def record(self, line: str) -> None:
        self.lines.append(line)

    async def confirm(self, host: int, name: str, key: str) -> None:
        """Sends a confirm request, which a host may forward once."""
        self.request_count += 1
        self.record(f"shop -> e{host}: POST confirm, {name}")
        result = await self._begin(host, key, forwarded=False)
        if isinstance(result, permits.ForwardTo):
            host = int(result.address[-4])
            self.record(f"  forwarded to e{host}")
            result = await self._begin(host, key, forwarded=True)
        if isinstance(result, permits.Permit):
            self.confirmed += 1
            self.record(f"  counter: confirm number {self.confirmed}")
            answer = permits.StoredAnswer(
                200, "application/json", b"#%d" % self.confirmed, ""
            )
            await self.hosts[host].finish(result, outcomes.Outcome.DONE, answer)
            result = answer
        self.record(f"shop <- e{host}: {_shown(result)}")

    async def _begin(
        self, host: int, key: str, forwarded: bool
    ) -> permits.BeginResult:
        return await self.hosts[host].begin(
            "shop",
            key,
            "same body",
            f"e{host}.7.{self.request_count}",
            time.time() + 20,
            forwarded=forwarded,
        )

    def restore_log(self) -> None:
        """Makes the log available again."""
        self.log.down = False
        self.record("-- the log is back")

    async def read_all(self) -> None:
        """Waits until every host has read the whole stream."""
        for host in self.hosts:
            await host.drain(20)
        async with asyncio.timeout(20):
            while any(self._behind(host) for host in self.hosts):
                await asyncio.sleep(0.01)

    def _behind(self, host: once_lib.AtMostOnceGuard) -> bool:
        stored = len(self.log.records["claims"])
        return host.claims.followed[0].claimant.view.next_offset < stored


def _shown(result: permits.BeginResult) -> str:
    if isinstance(result, permits.StoredAnswer):
        return f"{result.status} {result.body.decode()}"
    assert isinstance(result, refusals.Refusal)
    return (
        f"{result.rule.status} {result.reason}, outcome {result.outcome}, "
        f"key_outcome {result.key_outcome}, Retry-After {result.wait}"
    )


async def test_confirm_session_during_an_outage(
    log: once_fake_log.FakeLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Retry claims as soon as the log is available again.
    monkeypatch.setattr(outbox, "_BACK_OFF", 0.0)
    session = Session(log)
    for number in range(2):
        host = once_lib.AtMostOnceGuard(
            log,
            identity.Incarnation(f"e{number}", 7),
            f"127.0.0.{number}:80",
            [b"test secret"],
            lambda _: True,
        )
        host.start()
        session.hosts.append(host)
    try:
        await play(session)
    finally:
        for host in session.hosts:
            await host.stop()
    transcript = "\n".join(session.lines) + "\n"
    assertions.assert_that(transcript, matchers.Equals(GOLDEN.read_text()))


async def play(session: Session) -> None:
    ticket = session.hosts[0].issue_ticket("shop")
    session.record("shop <- e0: a ticket")
    await session.confirm(0, "key A", "A")
    await session.read_all()
    session.log.down = True
    session.record("-- the log is down")
    await session.confirm(0, "key A", "A")
    await session.confirm(1, "key A", "A")
    await session.confirm(0, "key B", "B")
    await session.confirm(1, "the ticket", ticket)
    await session.confirm(0, "the ticket", ticket)
    session.restore_log()
    await session.confirm(1, "key B", "B")
    await session.read_all()
    await session.confirm(0, "key B", "B")
    await session.confirm(1, "the ticket", ticket)
    session.record(f"the counter confirmed {session.confirmed} times")
