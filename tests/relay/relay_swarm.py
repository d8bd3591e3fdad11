"""Many relays before one store, in one process and in virtual time.

The relays' own tasks run; their sockets do not. A call to the store or to
another relay takes a few milliseconds and the time that its bytes need on the
links of both ends, so that what a herd of hosts does shows in seconds of
virtual time and in calls.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import selectors
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs
import relay_parts
import relay_platform

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import history as history_lib
from hoistmoor.relay import application
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.peers import answers as answers_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import pytest

    from hoistmoor.core.relay.beliefs import mirror
    from hoistmoor.core.relay.beliefs import topics as topics_lib

LATENCY = 0.003  # Seconds that a small message takes.
CHUNK = 16384  # Bytes sent at once; transfers on one link take turns.
RECORD_BYTES = 60  # Bytes of a record besides its value.
BEAT = 1.2  # Seconds between two heartbeats of a backend server.
STORE_TIMEOUT = 1.0  # Seconds after which a silent store is given up.
CLOCK_STEP = 1e-6  # Seconds; shorter waits would not move the clock.
_NOWHERE = os.open(os.devnull, os.O_WRONLY)
# What a relay runs here; its settings and the watch of its lease do not matter.
_LOOPS = (
    "operator",
    "servers",
    "phases",
    "hosts",
    "listing",
    "peers",
    "rollouts",
    "quarantine",
    "quarantine_writes",
)


class _JumpingSelector(selectors.SelectSelector):
    """Never waits: the clock of its loop jumps instead."""

    loop: VirtualLoop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now; moves the clock if nothing is."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.now += max(timeout, CLOCK_STEP)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all its tasks wait."""

    def __init__(self) -> None:
        selector = _JumpingSelector()
        selector.loop = self
        self.now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Returns the virtual time."""
        return self.now


@attrs.define(eq=False)
class Link:
    """One host's link, both ways.

    Attributes:
        rate: Bytes a second.
        out_free: When what is being sent is out.
        in_free: When what is being received is in.
    """

    rate: float
    out_free: float = 0.0
    in_free: float = 0.0


async def transfer(source: Link, target: Link, size: int) -> None:
    """Takes the time that bytes need; others on the links take turns."""
    loop = asyncio.get_running_loop()
    for at in range(0, size, CHUNK):
        part = min(CHUNK, size - at)
        begin = max(loop.time(), source.out_free)
        source.out_free = begin + part / source.rate
        target.in_free = max(begin, target.in_free) + part / target.rate
        wait = max(source.out_free, target.in_free) - loop.time()
        if wait > peer_client.TIMEOUT:
            raise TimeoutError
        await asyncio.sleep(wait)


class Store:
    """The platform's store.

    Attributes:
        fault: What becomes of a host's calls, by the host's name: ``reset``,
            ``silent``, ``busy`` or empty; "" stands for all others.
        calls: Calls by host, call and topic.
        link: Its own link.
    """

    def __init__(self) -> None:
        self.fault: dict[str, str] = {}
        self.calls: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.link = Link(500e6)
        self.platform = relay_platform.MemoryPlatform()
        self.changed = asyncio.Event()

    def fault_of(self, host: str) -> str:
        """Returns what becomes of a host's calls now."""
        return self.fault.get(host, self.fault.get("", ""))

    def wake(self) -> None:
        """Has held reads look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def publish(self, topic: str, key: str, value: object) -> None:
        """Adds an object to a topic."""
        target = getattr(self.platform, topic)
        await self.platform.publish(target, key, value)
        self.wake()

    async def publish_large(self, key: str, value: object, size: int) -> None:
        """Adds an object to the operators' topic that takes many bytes."""
        name = os.urandom(size)
        self.platform.codec.known[name] = value
        await self.platform.operator.put(key, name)
        self.wake()

    def total(self) -> int:
        """Returns the calls of all hosts."""
        return sum(self.calls.values())


@attrs.define(eq=False)
class StoreTopic:
    """One host's way to one topic."""

    store: Store
    name: str
    host: str
    link: Link
    history: history_lib.StoreHistory

    @property
    def _shared(self) -> relay_platform.HostTopic:
        found = self.store.platform.topics[self.name]
        return relay_platform.HostTopic(found, self.history)

    async def newest(self) -> topics_lib.Batch:
        """Returns the newest record of each key."""
        await self._call("newest", 0.0)
        return await self._bring(await self._shared.newest())

    async def changes(
        self, place: topics_lib.Place, wait: float
    ) -> topics_lib.Batch:
        """Returns the records from ``place`` on."""
        await self._call("changes", wait)
        end = asyncio.get_running_loop().time() + wait
        while True:
            found = await self._shared.changes(place, 0.0)
            left = end - asyncio.get_running_loop().time()
            if found.records or left <= CLOCK_STEP:
                return await self._bring(found)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.store.changed.wait(), left)
            await self._fail(left)

    async def put(
        self,
        key: str,
        value: bytes,
        expected: topics_lib.Place | None = None,
    ) -> topics_lib.Place | None:
        """Adds a record."""
        await self._call("put", 0.0)
        put = await self._shared.put(key, value, expected)
        self.store.wake()
        return put

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Adds a record for each key, in one call."""
        await self._call("put", 0.0)
        await self._shared.put_all(records)
        self.store.wake()

    async def _call(self, call: str, wait: float) -> None:
        self.store.calls[self.host, call, self.name] += 1
        await asyncio.sleep(LATENCY)
        await self._fail(wait)

    async def _fail(self, wait: float) -> None:
        fault = self.store.fault_of(self.host)
        if fault == "silent":
            await asyncio.sleep(STORE_TIMEOUT + wait)
        if fault:
            raise errors.LogUnavailableError(fault, "Wait.")

    async def _bring(self, batch: topics_lib.Batch) -> topics_lib.Batch:
        size = sum(
            RECORD_BYTES + len(each.value or b"") for each in batch.records
        )
        await transfer(self.store.link, self.link, size)
        return batch


class Member:
    """One host: its relay while it runs.

    Attributes:
        name: Of the host.
        relay: Its present run; None while it is down.
    """

    def __init__(
        self, swarm: Swarm, name: str, zone: str, megabits: float
    ) -> None:
        self.name = name
        self.relay: application.Relay | None = None
        self.link = Link(megabits * 1e6 / 8)
        self._swarm = swarm
        self._tasks: list[asyncio.Task[None]] = []
        self._has_run = False
        self._settings = settings_lib.RelaySettings(
            host=name,
            zone=zone,
            listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
            peer_listen="10.0.0.1:1",  # Questions go by the name.
            link=megabits,
        )

    def start(self) -> None:
        """Begins a run that knows nothing."""
        self._settings = attrs.evolve(
            self._settings, is_first_start=not self._has_run
        )
        self._has_run = True
        names = (
            "operator",
            "servers",
            "status",
            "phases",
            "evidence",
            "hosts",
            "quarantine",
        )
        port = self._swarm.store.platform.as_port()
        own = {
            name: StoreTopic(
                self._swarm.store, name, self.name, self.link, port.history
            )
            for name in names
        }
        session: Any = None
        self.relay = application.Relay(
            self._settings,
            attrs.evolve(port, topics=attrs.evolve(port.topics, **own)),
            session,
            session,
            lambda: self._settings,
            clock=asyncio.get_running_loop().time,
        )
        self._swarm.by_state[id(self.relay.state)] = self
        self._answers = answers_lib.PeerAnswers(
            self.relay.state, self.relay.followers
        )
        self._tasks = [
            asyncio.create_task(self.relay.loops[name]()) for name in _LOOPS
        ]

    def stop(self) -> None:
        """Ends the run."""
        self.relay = None
        for task in self._tasks:
            task.cancel()

    async def answer(self, question: bytes, asker: Member) -> bytes:
        """Answers another relay."""
        await asyncio.sleep(LATENCY)
        if self.relay is None:
            raise aiohttp.ClientOSError(111, "refused")
        asked = peer_codec.decode_request(question)
        data = peer_codec.encode(self._answers.answer(asked))
        await transfer(self.link, asker.link, len(data))
        return data

    @property
    def is_current(self) -> bool:
        """Whether it may serve requests that need a key."""
        if self.relay is None:
            return False
        state = self.relay.state
        has_read = {"operator", "servers", "phases"} <= state.topics_read
        return has_read and state.lease.is_current(state.clock())

    @property
    def is_serving(self) -> bool:
        """Whether it may serve requests that need no key."""
        if self.relay is None:
            return False
        state = self.relay.state
        return {"operator", "servers"} <= state.topics_read

    @property
    def reads(self) -> bool:
        """Whether it reads the store itself."""
        return self.relay is not None and not self.relay.state.source

    @property
    def age(self) -> float:
        """Seconds since its configuration was known to be current."""
        assert self.relay is not None
        state = self.relay.state
        return state.lease.age(state.clock())

    @property
    def evacuated(self) -> set[str]:
        """Failure domains that get nothing from here."""
        if self.relay is None:
            return set()
        return set(self.relay.state.router.fleet.evacuated)

    @property
    def revision(self) -> int:
        """Revision of the configuration in force here; 0 for none."""
        if self.relay is None or self.relay.state.configuration is None:
            return 0
        return self.relay.state.configuration.revision


class Swarm:
    """Many hosts, the store, and their clock.

    Attributes:
        store: The store.
        members: The hosts.
        by_state: Hosts by the identity of their run's state.
        cut_off: Names of hosts that can't reach the others.
    """

    def __init__(self, hosts: int, zones: int, strong: int) -> None:
        """Makes hosts that do not run yet.

        Args:
            hosts: How many.
            zones: Failure domains that they are spread over.
            strong: Hosts of each failure domain that have a link of 200
                Mbit/s; the others have 20.
        """
        self.store = Store()
        self.by_state: dict[int, Member] = {}
        self.cut_off: frozenset[str] = frozenset()
        self.members = [
            Member(
                self,
                f"h{number}",
                f"z{number % zones}",
                200.0 if number < strong * zones else 20.0,
            )
            for number in range(hosts)
        ]
        self._named = {each.name: each for each in self.members}

    async def ask(
        self, client: peer_client.PeerClient, host: mirror.Host, data: bytes
    ) -> peer_codec.CopyAnswer:
        """Carries a question from one relay to another."""
        asker = self.by_state[id(client._state)]
        if {asker.name, host.name} & self.cut_off:
            await asyncio.sleep(peer_client.TIMEOUT)
            raise TimeoutError
        answer = await self._named[host.name].answer(data, asker)
        return peer_codec.decode_answer(answer)

    async def begin(self, servers: int = 45) -> None:
        """Starts all hosts within 0.3 s and lists backend servers."""
        await self.store.publish("operator", "config", relay_parts.in_force())
        self._beats = asyncio.create_task(self._beat(servers))
        for number, member in enumerate(self.members):
            asyncio.get_running_loop().call_later(
                0.3 * number / len(self.members), member.start
            )

    async def _beat(self, servers: int) -> None:
        """Has the backend servers write their heartbeats."""
        number = 0
        while True:
            name = f"s{number % servers}"
            entry = relay_parts.entry(name, address=f"{name}:1")
            if not self.store.fault_of(""):
                await self.store.publish("servers", name, entry)
            number += 1
            await asyncio.sleep(BEAT / servers)

    async def until(
        self, condition: Callable[[Member], bool], patience: float = 60.0
    ) -> float:
        """Returns the seconds until a condition holds for all that run."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + patience:
            running = [each for each in self.members if each.relay is not None]
            if running and all(condition(each) for each in running):
                return loop.time() - began
            await asyncio.sleep(0.02)
        return float("inf")

    def readers(self) -> int:
        """Returns how many hosts read the store now."""
        return sum(each.reads for each in self.members)


def play(
    monkeypatch: pytest.MonkeyPatch, scenario: Coroutine[Any, Any, None]
) -> None:
    """Runs a scenario to its end in virtual time."""
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", _NOWHERE)

    async def exchange(
        client: peer_client.PeerClient, host: mirror.Host, data: bytes
    ) -> peer_codec.CopyAnswer:
        swarm = _SWARMS[asyncio.get_running_loop()]
        return await swarm.ask(client, host, data)

    monkeypatch.setattr(peer_client.PeerClient, "_exchange", exchange)
    loop = VirtualLoop()
    try:
        loop.run_until_complete(scenario)
    finally:
        # Also after a failure: what is left would fail another test.
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=STORE_TIMEOUT))
        _SWARMS.pop(loop, None)
        loop.close()


_SWARMS: dict[asyncio.AbstractEventLoop, Swarm] = {}


def swarm_of(hosts: int, zones: int = 6, strong: int = 3) -> Swarm:
    """Returns a swarm for the running scenario; see ``Swarm``."""
    made = Swarm(hosts, zones, strong)
    _SWARMS[asyncio.get_running_loop()] = made
    return made


async def calm_swarm(hosts: int) -> Swarm:
    """Returns hosts that have started, with no calls counted yet."""
    swarm = swarm_of(hosts)
    await swarm.begin()
    await asyncio.sleep(5.0)
    await swarm.until(lambda each: each.is_current)
    swarm.store.calls.clear()
    return swarm
