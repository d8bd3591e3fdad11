"""Requests of one long conversation crash the runners that begin to answer.

See claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the
case could not run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time
from typing import Any

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import lab as lab_lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EARLIER_SECONDS = 2.0  # In which the conversation's first turns are sound.
PAUSE_SECONDS = 61.0  # Until the conversation goes on.
SECONDS = 23.0  # Of traffic from then on.
PLAN_INTERVAL = 0.06  # Seconds between two streaming requests of all clients.
EARLIER_INTERVAL = 0.3  # Seconds between two questions of its first turns.
POISON_SECONDS = 20.0  # The letter's for_s.
POISON_EVERY = 34  # One in 34 streaming requests: under the letter's 0.03.
TURNS = 32  # Earlier turns of the long conversation, each a part.
DESK_CLIENTS = 6  # Clients with one kept channel each, for each relay.
RESTART_SECONDS = 0.5  # Until the platform starts an ended process again.
RUNNER_RESTART_SECONDS = 1.0
MOST_LOST = 3
MOST_ENDS = 3
POISON = "bad0c0de"
CONVERSATION = [
    *(f"{0xC0DE0000 + turn:08x}" for turn in range(1, TURNS)),
    POISON,
]


class Case:
    """The clients of the case, and what they have seen."""

    def __init__(self, lab: lab_lib.Lab) -> None:
        self.lab = lab
        self.number = 0
        self.lost: list[str] = []
        self.answered = 0
        self.running = True
        # Monotonic time from which the conversation goes on.
        self.goes_on = float("inf")
        self.tasks: set[asyncio.Task[None]] = set()

    def next_id(self) -> str:
        """Returns the id of the next client attempt."""
        self.number += 1
        return f"{self.number:016x}"

    async def plan(self, relay: dict[str, Any], parts: list[str]) -> None:
        """Sends one streaming request on a new channel."""
        request_id = self.next_id()
        shared = ",".join(f"{part}:200" for part in parts)
        headers = lab_lib.headers(
            request_id,
            4000,
            **{
                "Hoistmoor-Model": "m",
                "Hoistmoor-Token-Usage": f"{200 * len(parts) + 100},20",
                "Hoistmoor-Prefix-Hash": f"{shared},{self.number:08x}:100",
            },
        )
        body = f"question {self.number}".encode() * 10
        self.lab.record("sent", id=request_id, route="plan", parts=len(parts))
        try:
            async with self.lab.session.post(
                f"http://{relay['front']}/plan/ask",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=4.0),
            ) as answer:
                await answer.read()
                self.lab.record("answer", id=request_id, status=answer.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.lab.record("no answer", id=request_id, error=repr(error))

    async def converse(self) -> None:
        """Sends sound requests of the conversation, before its bad turn."""
        end = time.monotonic() + EARLIER_SECONDS
        while time.monotonic() < end:
            for relay in self.lab.relays:
                await self.plan(relay, ["5c1e07a2", *CONVERSATION[:-1]])
            await asyncio.sleep(EARLIER_INTERVAL)

    async def plans(self) -> None:
        """Sends streaming requests; a few continue the long conversation."""
        count = 0
        while self.running:
            count += 1
            relay = self.lab.relays[count % len(self.lab.relays)]
            parts = ["5c1e07a2", f"{0x91BD0000 + count % 8:08x}"]
            in_time = 0.0 <= time.monotonic() - self.goes_on < POISON_SECONDS
            if in_time and count % POISON_EVERY == 0:
                parts = ["5c1e07a2", *CONVERSATION]
            task = asyncio.create_task(self.plan(relay, parts))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(PLAN_INTERVAL)

    async def desk(self, relay: dict[str, Any]) -> None:
        """Sends non-idempotent requests on a kept channel, one at a time."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            is_kept = False
            while self.running:
                is_kept = await self.book(session, relay, is_kept=is_kept)

    async def book(
        self,
        session: aiohttp.ClientSession,
        relay: dict[str, Any],
        *,
        is_kept: bool,
    ) -> bool:
        """Sends one non-idempotent request.

        Args:
            session: Session with one channel.
            relay: The relay.
            is_kept: Whether the channel has carried an answer before.

        Returns:
            Whether the channel is kept.
        """
        request_id = self.next_id()
        self.lab.record("sent", id=request_id, route="book")
        try:
            async with session.post(
                f"http://{relay['front']}/book/skip",
                headers=lab_lib.headers(request_id, 1500),
                data=b"one skip",
                timeout=aiohttp.ClientTimeout(total=1.6),
            ) as answer:
                await answer.read()
                self.answered += 1
                self.lab.record("answer", id=request_id, status=answer.status)
                return True
        except (aiohttp.ClientConnectorError, TimeoutError) as error:
            self.lab.record("no channel", id=request_id, error=repr(error))
            await asyncio.sleep(0.1)
        except (aiohttp.ClientError, OSError) as error:
            if is_kept:
                self.lost.append(request_id)
            self.lab.record("closed", id=request_id, kept=is_kept, error=error)
        return False

    async def restart(self, program: lab_lib.Program, delay: float) -> None:
        """Starts an ended program again, as the platform does."""
        while self.running:
            await asyncio.sleep(0.02)
            code = program.ended()
            if code is None:
                continue
            program.exits.append(code)
            self.lab.record("ended", program=program.name, code=code)
            await asyncio.sleep(delay)
            program.start()


async def play(lab: lab_lib.Lab) -> int:
    """Plays the case and returns the exit code."""
    routes = [
        lab_lib.route("plan", "streaming", "llm"),
        lab_lib.route("book", "non_idempotent", "desk", timeout_ms=1500),
    ]
    await lab.start_store(lab_lib.manifest(1, routes, lab_lib.KEYS))
    poison = [POISON] if TROUBLE else []
    for number in range(6):
        lab.add_runner(f"i-llm-{number}", "llm", slots=32, poison=poison)
    for number in range(2):
        lab.add_runner(f"i-desk-{number}", "desk", slots=32, work_s=0.4)
    for number in range(2):
        lab.add_relay(number)
    await lab.wait_ready()
    await asyncio.sleep(2.0)
    case = Case(lab)
    tasks = [asyncio.create_task(case.plans())]
    await case.converse()
    await asyncio.sleep(PAUSE_SECONDS)
    for relay in lab.relays:
        lab.mark_started(relay)
        program = relay["program"]
        tasks.append(
            asyncio.create_task(case.restart(program, RESTART_SECONDS))
        )
        tasks += [
            asyncio.create_task(case.desk(relay)) for _ in range(DESK_CLIENTS)
        ]
    for name, program in lab.runners.items():
        if name.startswith("i-llm"):
            restart = case.restart(program, RUNNER_RESTART_SECONDS)
            tasks.append(asyncio.create_task(restart))
    await asyncio.sleep(2.0)
    case.goes_on = time.monotonic()
    await asyncio.sleep(SECONDS)
    case.running = False
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()
    return judge(lab, case)


def judge(lab: lab_lib.Lab, case: Case) -> int:
    """Applies the rules LOST and Fault, and returns the exit code."""
    ran = {
        line["run"]
        for line in lab.runs()
        if line["runner"].startswith("i-desk")
    }
    lost = [each for each in case.lost if each in ran]
    ends = {relay["name"]: list(relay["program"].exits) for relay in lab.relays}
    crashes = sum(
        "crash" in line
        for each in lab.runners.values()
        for line in each.lines()
    )
    often = [name for name, codes in ends.items() if len(codes) >= MOST_ENDS]
    lab.record(
        "judged",
        booked=case.answered,
        lost_after_run=len(lost),
        relay_ends=ends,
        runner_crashes=crashes,
    )
    for relay in lab.relays:
        for line in relay["program"].errors.read_text().splitlines():
            if line.startswith("ValueError"):
                lab.record("relay said", relay=relay["name"], line=line)
    if case.answered < 100:
        return 2
    return int(len(lost) > MOST_LOST or len(often) >= 2)


async def main() -> int:
    """Runs the case."""
    async with lab_lib.Lab(FOLDER / "record.txt") as lab:
        try:
            return await play(lab)
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            lab.record("could not run", error=repr(error))
            return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
