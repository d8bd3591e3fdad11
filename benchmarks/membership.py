"""What membership costs a node, and how fast news and deaths spread.

Drives the real state machines in virtual time and sizes the real messages;
a loopback connection gives what HTTP/2 adds and the processor time per ping.

    PYTHONPATH=tests/core/membership python benchmarks/membership.py
    PYTHONPATH=tests/core/membership python benchmarks/membership.py cut 360
    PYTHONPATH=tests/core/membership python benchmarks/membership.py join 360
    PYTHONPATH=tests/core/membership python benchmarks/membership.py cold 360
"""

from __future__ import annotations

import asyncio
import sys
import time

import attrs
import membership_network
import uvloop

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import timing
from hoistmoor.core.membership import view
from hoistmoor.peers import client
from hoistmoor.peers import digest_codec
from hoistmoor.peers import handlers
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import server

SIZES = (9, 36, 90, 180, 360)
BYTES_BUDGET = 11_000.0  # Bytes per second and node, both ways.
CPU_BUDGET = 0.02  # Of one core.
PERIOD = timing.Timing().period
# IPv4 and TCP headers with timestamps, of two data segments and two bare
# acknowledgements per call; an estimate, the rest is measured.
TCP_BYTES_PER_CALL = 4 * 52
_SERVER = "10.9.0.1:9000"
_BOUND = 120.0


class Counter:
    """Bytes and messages that all nodes sent."""

    def __init__(self, network: membership_network.Network) -> None:
        self.network = network
        self.reset()
        network.on_digest = self._count

    def reset(self) -> None:
        """Starts counting from here."""
        self.sent = 0
        self.messages = 0
        self.since = self.network.now
        self.cpu_since = time.process_time()

    def _count(self, _a: str, _b: str, digest: messages.Digest) -> None:
        self.sent += digest_codec.to_wire(digest).ByteSize()
        self.messages += 1

    def payload_rate(self) -> float:
        """Returns bytes per second and node, sent and received."""
        return 2 * self.sent / self._node_seconds

    def call_rate(self) -> float:
        """Returns calls made and taken per second and node."""
        return self.messages / self._node_seconds

    def cpu(self) -> float:
        """Returns the share of a core that one node's machine takes."""
        return (time.process_time() - self.cpu_since) / self._node_seconds

    @property
    def _node_seconds(self) -> float:
        return len(self.network.hosts) * (self.network.now - self.since)


@attrs.frozen
class CallCost:
    """What one ping over a warm connection takes.

    Attributes:
        overhead: HTTP/2 bytes beside the two messages, both ways.
        cpu: Seconds of processor time, both ends together.
    """

    overhead: float
    cpu: float


class _Tap:
    """Passes bytes on between a client and a server, and counts them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        out = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._copy(reader, out[1]), self._copy(out[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.count += len(data)
            writer.write(data)
        writer.close()


async def measure_call(pings: int = 2000) -> CallCost:
    """Pings a server over loopback, once through a tap and once direct."""
    digest = peer_pb2.Digest(sender="entry-001", incarnation=1 << 40)

    async def reply(_digest: peer_pb2.Digest) -> peer_pb2.Digest:
        return digest

    peer_server = server.PeerServer(handlers.PeerHandlers(ping=reply))
    await peer_server.start("127.0.0.1", 0)
    tap = _Tap(peer_server.port)
    tap_server = await asyncio.start_server(tap.serve, "127.0.0.1", 0)
    tap_port = tap_server.sockets[0].getsockname()[1]
    tapped = client.PeerClient(f"127.0.0.1:{tap_port}")
    direct = client.PeerClient(f"127.0.0.1:{peer_server.port}")
    for peer in (tapped, direct):
        await peer.ping(digest)
    tap.count = 0
    for _ in range(pings):
        await tapped.ping(digest)
    overhead = tap.count / pings - 2 * digest.ByteSize()
    started = time.process_time()
    for _ in range(pings):
        await direct.ping(digest)
    cpu = (time.process_time() - started) / pings
    for peer in (tapped, direct):
        peer.close()
    tap_server.close()
    await peer_server.close()
    return CallCost(overhead, cpu)


def start(count: int) -> membership_network.Network:
    """Returns a network that has settled."""
    network = membership_network.Network()
    network.start_all(count)
    network.run(10.0)
    return network


def spread_leaving(network: membership_network.Network) -> float:
    """Returns the seconds until all know that a backend server leaves."""
    network.deliver("entry-000", messages.ServerLeaving(_SERVER, 1))
    return network.run_until(
        lambda: all(
            node.machine.servers.is_leaving(_SERVER, 1)
            for node in network.hosts.values()
        ),
        _BOUND,
    )


def spread_table(network: membership_network.Network) -> float:
    """Returns the seconds until all have a table that one host has."""
    network.log_is_up = lambda _name: False
    network.run(6.0)
    network.deliver("entry-001", messages.TableActivated(7))
    seconds = network.run_until(
        lambda: all(
            node.machine.tables.own == 7 for node in network.hosts.values()
        ),
        _BOUND,
    )
    network.log_is_up = lambda _name: True
    return seconds


def detect(network: membership_network.Network) -> tuple[float, float]:
    """Returns the seconds until one and until all find a host dead."""
    network.crash("entry-002")
    at = [name for name in network.running() if name != "entry-002"]

    def finders() -> int:
        dead = view.MemberState.DEAD
        return sum(network.state(name, "entry-002") is dead for name in at)

    first = network.run_until(lambda: finders() > 0, _BOUND)
    last = network.run_until(lambda: finders() == len(at), _BOUND)
    return first, first + last


def measure_sizes(cost: CallCost) -> None:
    """Prints one line for each number of hosts."""
    say(
        "hosts payload_B/s wire_B/s of_budget cpu_core% of_budget "
        "leaving_s table_s dead_first_periods dead_all_periods"
    )
    for count in SIZES:
        network = start(count)
        counter = Counter(network)
        network.run(20.0)
        payload = counter.payload_rate()
        # A call is two messages, each counted where it is sent.
        calls = counter.call_rate()
        per_call = cost.overhead + TCP_BYTES_PER_CALL
        wire = payload + calls * per_call
        cpu = counter.cpu() + calls / 2 * cost.cpu
        leaving, table = spread_leaving(network), spread_table(network)
        first, last = detect(network)
        say(
            f"{count:5} {payload:8.0f} {wire:8.0f} {wire / BYTES_BUDGET:8.0%}"
            f" {cpu:9.2%} {cpu / CPU_BUDGET:8.0%} {leaving:8.2f}"
            f" {table:8.2f} {first / PERIOD:8.1f} {last / PERIOD:8.1f}"
        )


def measure_cut(count: int) -> None:
    """Cuts one of four failure domains off for a minute, log down, heals."""
    network = start(count)
    counter = Counter(network)
    side = [name for i, name in enumerate(network.hosts) if i % 4 == 0]
    rest = [name for name in network.hosts if name not in side]
    network.partition(*side)
    network.log_is_up = lambda _name: False

    def fresh(names: list[str]) -> str:
        now = network.now
        count = sum(
            network.hosts[name].machine.assess_freshness(now).is_fresh
            for name in names
        )
        return f"{count}/{len(names)}"

    rates = []
    for second in range(1, 61):
        rates.append(rate_of_a_second(counter))
        if second in (1, 3, 4, 5, 6, 8, 10, 12, 15, 20, 60):
            say(f"{second:3} s fresh: cut {fresh(side)}, rest {fresh(rest)}")
    say_rates("cut", rates)
    network.heal()
    healed_at = network.now
    rates = []
    while not network.all_alive():
        rates.append(rate_of_a_second(counter))
    say(f"all views true {network.now - healed_at:.0f} s after the cut's end")
    rates.extend(rate_of_a_second(counter) for _ in range(30))
    say_rates("healing", rates)


def measure_join(count: int) -> None:
    """Starts one host more and waits until all views are true."""
    network = start(count)
    own = membership_network.make_view(count)
    network.start(own, "entry-000")
    counter = Counter(network)
    seconds = network.run_until(network.all_alive, _BOUND)
    say(f"{count} hosts: a new one knows all and is known in {seconds:.1f} s")
    say(f"{counter.payload_rate():.0f} B/s a node meanwhile")


def measure_cold(count: int) -> None:
    """Starts all hosts at once; the list gives each three others."""
    network = membership_network.Network()
    views = [membership_network.make_view(number) for number in range(count)]
    for own in views:
        network.start(own)
    names = frozenset(network.hosts)
    for number, own in enumerate(views):
        contacts = tuple(
            messages.Contact(other.name, other.peer_address)
            for other in (views[(number + step) % count] for step in (1, 7, 31))
            if other is not own
        )
        network.deliver(own.name, messages.HostsListed(names, contacts, ()))
    counter = Counter(network)
    rates = []
    while not network.all_alive():
        rates.append(rate_of_a_second(counter))
    say(f"{count} hosts at once: all views true after {len(rates)} s")
    rates.extend(rate_of_a_second(counter) for _ in range(10))
    say_rates("cold start", rates)


def rate_of_a_second(counter: Counter) -> float:
    """Returns the payload bytes a node of the next second."""
    counter.reset()
    counter.network.run(1.0)
    return counter.payload_rate()


def say_rates(what: str, rates: list[float]) -> None:
    """Prints the worst second and the worst ten seconds."""
    tens = [sum(rates[i : i + 10]) / 10 for i in range(len(rates) - 9)]
    say(
        f"{what}: payload B/s a node, both ways: worst second"
        f" {max(rates):.0f}, worst ten seconds {max(tens):.0f}"
    )


def say(text: str) -> None:
    """Prints a line at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


MEASUREMENTS = {
    "cut": measure_cut,
    "join": measure_join,
    "cold": measure_cold,
}


def main() -> None:
    """Runs the measurement that the command line names."""
    if len(sys.argv) > 1:
        measure = MEASUREMENTS[sys.argv[1]]
        measure(int(sys.argv[2]))
        return
    cost = uvloop.run(measure_call())
    say(f"HTTP/2 adds {cost.overhead:.0f} B a call")
    say(f"a call takes {cost.cpu * 1e6:.0f} us at both ends together")
    measure_sizes(cost)


if __name__ == "__main__":
    main()
