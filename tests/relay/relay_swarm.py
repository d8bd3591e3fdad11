"""Many relays with one store, in one process and in virtual time.

The relays' real tasks run, but their sockets are simulated. A call to the store
or to another relay takes a few milliseconds plus the transfer time on the links
of both ends, so that the collective behaviour of many hosts can be measured in
virtual seconds and in calls.
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
from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.relay import application
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.peers import request_handler as request_handler_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import pytest

    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.beliefs import topics as topics_lib

LATENCY = 0.003  # Seconds to deliver a small message.
CHUNK = 16384  # Bytes sent at once; transfers on a link are interleaved.
RECORD_BYTES = 60  # Overhead of a record in addition to its value.
HEARTBEAT_INTERVAL = 1.2  # Seconds between heartbeats of a backend server.
STORE_TIMEOUT = 1.0  # Seconds after which calls to a silent store fail.
CLOCK_STEP = 1e-6  # Seconds; shorter waits would not advance the clock.
_NULL_DEVICE = os.open(os.devnull, os.O_WRONLY)
# Background tasks to run. Reloading of settings and the lease watch are not
# needed here.
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
    """A selector that advances its loop's clock instead of waiting."""

    loop: VirtualLoop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns ready events; advances the clock if there are none."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.now += max(timeout, CLOCK_STEP)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only while all tasks wait."""

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
    """Full-duplex network link of one host.

    Attributes:
        rate: Bandwidth in bytes per second.
        sending_until: Time at which the outgoing direction becomes free.
        receiving_until: Time at which the incoming direction becomes free.
    """

    rate: float
    sending_until: float = 0.0
    receiving_until: float = 0.0


async def transfer(source: Link, target: Link, size: int) -> None:
    """Waits for the transfer time of bytes that share both links."""
    loop = asyncio.get_running_loop()
    for at in range(0, size, CHUNK):
        part = min(CHUNK, size - at)
        begin = max(loop.time(), source.sending_until)
        source.sending_until = begin + part / source.rate
        target.receiving_until = (
            max(begin, target.receiving_until) + part / target.rate
        )
        wait = max(source.sending_until, target.receiving_until) - loop.time()
        if wait > peer_client.TIMEOUT:
            raise TimeoutError
        await asyncio.sleep(wait)


class Store:
    """Simulated store of the platform.

    Attributes:
        fault: Fault injected into a host's calls, by host name: ``reset``,
            ``silent``, ``busy`` or empty. The name "" is the default.
        calls: Number of calls by host, method and topic.
        link: Network link of the store.
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
        """Returns the fault that currently affects a host's calls."""
        return self.fault.get(host, self.fault.get("", ""))

    def wake_long_polls(self) -> None:
        """Wakes pending long polls."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def publish(self, topic: str, key: str, value: object) -> None:
        """Appends an object to a topic."""
        target = getattr(self.platform, topic)
        await self.platform.publish(target, key, value)
        self.wake_long_polls()

    async def publish_large(self, key: str, value: object, size: int) -> None:
        """Appends an object of a given size to the operators' topic."""
        name = os.urandom(size)
        self.platform.codec.known[name] = value
        await self.platform.operator.put(key, name)
        self.wake_long_polls()

    def total(self) -> int:
        """Returns the total number of calls of all hosts."""
        return sum(self.calls.values())


@attrs.define(eq=False)
class StoreTopic:
    """One host's client for one topic."""

    store: Store
    name: str
    host: str
    link: Link
    store_era: store_era_lib.StoreEra

    @property
    def _shared(self) -> relay_platform.HostTopic:
        found = self.store.platform.topics[self.name]
        return relay_platform.HostTopic(found, self.store_era)

    async def newest(self) -> topics_lib.Batch:
        """Returns the newest record of each key."""
        await self._call("newest", 0.0)
        return await self._deliver(await self._shared.newest())

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
                return await self._deliver(found)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.store.changed.wait(), left)
            await self._apply_fault(left)

    async def put(
        self,
        key: str,
        value: bytes,
        expected: topics_lib.Place | None = None,
    ) -> topics_lib.Place | None:
        """Appends a record."""
        await self._call("put", 0.0)
        put = await self._shared.put(key, value, expected)
        self.store.wake_long_polls()
        return put

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Appends a record for each key in a single call."""
        await self._call("put", 0.0)
        await self._shared.put_all(records)
        self.store.wake_long_polls()

    async def _call(self, call: str, wait: float) -> None:
        self.store.calls[self.host, call, self.name] += 1
        await asyncio.sleep(LATENCY)
        await self._apply_fault(wait)

    async def _apply_fault(self, wait: float) -> None:
        fault = self.store.fault_of(self.host)
        if fault == "silent":
            await asyncio.sleep(STORE_TIMEOUT + wait)
        if fault:
            raise errors.LogUnavailableError(fault, "Wait.")

    async def _deliver(self, batch: topics_lib.Batch) -> topics_lib.Batch:
        size = sum(
            RECORD_BYTES + len(each.value or b"") for each in batch.records
        )
        await transfer(self.store.link, self.link, size)
        return batch


class Member:
    """A host and its relay.

    Attributes:
        name: Name of the host.
        relay: Running relay; None while the host is down.
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
            peer_listen="10.0.0.1:1",  # Peers are addressed by name instead.
            link=megabits,
        )

    def start(self) -> None:
        """Starts a relay without prior state."""
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
        topic_clients = {
            name: StoreTopic(
                self._swarm.store, name, self.name, self.link, port.store_era
            )
            for name in names
        }
        session: Any = None
        self.relay = application.Relay(
            self._settings,
            attrs.evolve(
                port, topics=attrs.evolve(port.topics, **topic_clients)
            ),
            session,
            session,
            lambda: self._settings,
            clock=asyncio.get_running_loop().time,
        )
        self._swarm.by_state[id(self.relay.state)] = self
        self._answers = request_handler_lib.PeerRequestHandler(
            self.relay.state, self.relay.followers
        )
        self._tasks = [
            asyncio.create_task(self.relay.background_tasks[name]())
            for name in _LOOPS
        ]

    def stop(self) -> None:
        """Stops the relay without a graceful shutdown."""
        self.relay = None
        for task in self._tasks:
            task.cancel()

    async def answer(self, question: bytes, asker: Member) -> bytes:
        """Responds to a request of another relay."""
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
    def reads_store(self) -> bool:
        """Whether it reads the store directly."""
        return self.relay is not None and not self.relay.state.source

    @property
    def age(self) -> float:
        """Seconds since its configuration was known to be current."""
        assert self.relay is not None
        state = self.relay.state
        return state.lease.age(state.clock())

    @property
    def evacuated(self) -> set[str]:
        """Failure domains to which this host sends no requests."""
        if self.relay is None:
            return set()
        return set(self.relay.state.router.fleet.evacuated)

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 for none."""
        if self.relay is None or self.relay.state.configuration is None:
            return 0
        return self.relay.state.configuration.revision


class Swarm:
    """Many hosts with one store.

    Attributes:
        store: The simulated store.
        members: All hosts.
        by_state: Hosts by the ``id()`` of their relay's state.
        cut_off: Names of hosts that are partitioned from the others.
    """

    def __init__(self, hosts: int, zones: int, strong: int) -> None:
        """Initializes the hosts without starting them.

        Args:
            hosts: Number of hosts.
            zones: Number of failure domains.
            strong: Number of hosts per failure domain with a link of 200
                Mbit/s; the others have 20 Mbit/s.
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
        self,
        client: peer_client.PeerClient,
        host: replication.Host,
        data: bytes,
    ) -> peer_codec.CopyAnswer:
        """Delivers a request from one relay to another."""
        asker = self.by_state[id(client._state)]
        if {asker.name, host.name} & self.cut_off:
            await asyncio.sleep(peer_client.TIMEOUT)
            raise TimeoutError
        answer = await self._named[host.name].answer(data, asker)
        return peer_codec.decode_answer(answer)

    async def begin(self, servers: int = 45) -> None:
        """Starts all hosts within 0.3 s and registers backend servers."""
        await self.store.publish(
            "operator", "config", relay_parts.make_configuration()
        )
        self._heartbeats = asyncio.create_task(self._send_heartbeats(servers))
        for number, member in enumerate(self.members):
            asyncio.get_running_loop().call_later(
                0.3 * number / len(self.members), member.start
            )

    async def _send_heartbeats(self, servers: int) -> None:
        """Writes the heartbeats of the backend servers."""
        number = 0
        while True:
            name = f"s{number % servers}"
            entry = relay_parts.make_entry(name, address=f"{name}:1")
            if not self.store.fault_of(""):
                await self.store.publish("servers", name, entry)
            number += 1
            await asyncio.sleep(HEARTBEAT_INTERVAL / servers)

    async def until(
        self, condition: Callable[[Member], bool], patience: float = 60.0
    ) -> float:
        """Returns the seconds until a condition holds for all running hosts.

        Returns infinity if it does not hold in time.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + patience:
            running = [each for each in self.members if each.relay is not None]
            if running and all(condition(each) for each in running):
                return loop.time() - began
            await asyncio.sleep(0.02)
        return float("inf")

    def readers(self) -> int:
        """Returns the number of hosts that read the store directly."""
        return sum(each.reads_store for each in self.members)


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, scenario: Coroutine[Any, Any, None]
) -> None:
    """Runs a scenario to completion in virtual time."""
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", _NULL_DEVICE)

    async def exchange(
        client: peer_client.PeerClient, host: replication.Host, data: bytes
    ) -> peer_codec.CopyAnswer:
        swarm = _SWARMS[asyncio.get_running_loop()]
        return await swarm.ask(client, host, data)

    monkeypatch.setattr(peer_client.PeerClient, "_exchange", exchange)
    loop = VirtualLoop()
    try:
        loop.run_until_complete(scenario)
    finally:
        # Also after a failure, since leftover tasks would fail another test.
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=STORE_TIMEOUT))
        _SWARMS.pop(loop, None)
        loop.close()


_SWARMS: dict[asyncio.AbstractEventLoop, Swarm] = {}


def make_swarm(hosts: int, zones: int = 6, strong: int = 3) -> Swarm:
    """Creates the swarm of the running scenario; see ``Swarm``."""
    swarm = Swarm(hosts, zones, strong)
    _SWARMS[asyncio.get_running_loop()] = swarm
    return swarm


async def start_swarm(hosts: int) -> Swarm:
    """Starts a swarm, waits until it is current and resets the call counts."""
    swarm = make_swarm(hosts)
    await swarm.begin()
    await asyncio.sleep(5.0)
    await swarm.until(lambda each: each.is_current)
    swarm.store.calls.clear()
    return swarm
