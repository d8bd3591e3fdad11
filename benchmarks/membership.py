"""Measures the cost of membership per host, and how fast changes spread.

Drives the real state machines in virtual time and counts the bytes of their
encoded messages; a loopback connection measures the overhead of HTTP/2 and the
processor time per ping.

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

HOST_COUNTS = (9, 36, 90, 180, 360)
BYTES_BUDGET = 11_000.0  # Bytes per second and host, both ways.
CPU_BUDGET = 0.02  # Fraction of one core.
PERIOD_SECONDS = timing.Timing().period
# IPv4 and TCP headers with timestamps of two data segments and two bare
# acknowledgements per call. This is an estimate; all else is measured.
TCP_BYTES_PER_CALL = 4 * 52
_SERVER_ADDRESS = "10.9.0.1:9000"
_TIMEOUT = 120.0


class TrafficCounter:
    """Counts the bytes and messages that all hosts send."""

    def __init__(self, network: membership_network.Network) -> None:
        self.network = network
        self.reset()
        network.on_digest = self._count

    def reset(self) -> None:
        """Resets the counts."""
        self.sent = 0
        self.messages = 0
        self.since = self.network.now
        self.cpu_since = time.process_time()

    def _count(self, _a: str, _b: str, digest: messages.Digest) -> None:
        self.sent += digest_codec.to_wire(digest).ByteSize()
        self.messages += 1

    def payload_rate(self) -> float:
        """Returns bytes per second and host, sent and received."""
        return 2 * self.sent / self._host_seconds

    def call_rate(self) -> float:
        """Returns calls sent and received per second and host."""
        return self.messages / self._host_seconds

    def cpu(self) -> float:
        """Returns the fraction of a core that the state of one host takes."""
        return (time.process_time() - self.cpu_since) / self._host_seconds

    @property
    def _host_seconds(self) -> float:
        return len(self.network.hosts) * (self.network.now - self.since)


@attrs.frozen
class CallCost:
    """Cost of one ping over an open connection.

    Attributes:
        overhead: Bytes that HTTP/2 adds to the two messages, both ways.
        cpu: Seconds of processor time, both ends together.
    """

    overhead: float
    cpu: float


class _CountingForwarder:
    """Forwards bytes between a client and a server, and counts them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._copy(reader, target[1]), self._copy(target[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.count += len(data)
            writer.write(data)
        writer.close()


async def measure_call(pings: int = 2000) -> CallCost:
    """Measures pings over loopback, through a forwarder and directly."""
    digest = peer_pb2.Digest(sender="entry-001", incarnation=1 << 40)

    async def ping(_digest: peer_pb2.Digest) -> peer_pb2.Digest:
        return digest

    peer_server = server.PeerServer(handlers.PeerHandlers(ping=ping))
    await peer_server.start("127.0.0.1", 0)
    forwarder = _CountingForwarder(peer_server.port)
    forwarder_server = await asyncio.start_server(
        forwarder.serve, "127.0.0.1", 0
    )
    forwarder_port = forwarder_server.sockets[0].getsockname()[1]
    counted = client.PeerClient(f"127.0.0.1:{forwarder_port}")
    direct = client.PeerClient(f"127.0.0.1:{peer_server.port}")
    for peer in (counted, direct):
        await peer.ping(digest)
    forwarder.count = 0
    for _ in range(pings):
        await counted.ping(digest)
    overhead = forwarder.count / pings - 2 * digest.ByteSize()
    start_time = time.process_time()
    for _ in range(pings):
        await direct.ping(digest)
    cpu = (time.process_time() - start_time) / pings
    for peer in (counted, direct):
        peer.close()
    forwarder_server.close()
    await peer_server.close()
    return CallCost(overhead, cpu)


def make_settled_network(count: int) -> membership_network.Network:
    """Returns a network of hosts after ten seconds of gossip."""
    network = membership_network.Network()
    network.start_all(count)
    network.run(10.0)
    return network


def measure_departure(network: membership_network.Network) -> float:
    """Returns the seconds until all hosts know a departure."""
    network.deliver("entry-000", messages.ServerLeaving(_SERVER_ADDRESS, 1))
    return network.run_until(
        lambda: all(
            host.machine.servers.is_leaving(_SERVER_ADDRESS, 1)
            for host in network.hosts.values()
        ),
        _TIMEOUT,
    )


def measure_table(network: membership_network.Network) -> float:
    """Returns the seconds until all hosts have a table that one host has."""
    network.log_is_up = lambda _name: False
    network.run(6.0)
    network.deliver("entry-001", messages.TableActivated(7))
    seconds = network.run_until(
        lambda: all(
            host.machine.tables.own_revision == 7
            for host in network.hosts.values()
        ),
        _TIMEOUT,
    )
    network.log_is_up = lambda _name: True
    return seconds


def measure_detection(
    network: membership_network.Network,
) -> tuple[float, float]:
    """Returns the seconds until one and until all hosts find one dead."""
    network.crash("entry-002")
    observers = [name for name in network.running() if name != "entry-002"]

    def count_detections() -> int:
        dead = view.MemberState.DEAD
        return sum(
            network.state(name, "entry-002") is dead for name in observers
        )

    first = network.run_until(lambda: count_detections() > 0, _TIMEOUT)
    last = network.run_until(
        lambda: count_detections() == len(observers), _TIMEOUT
    )
    return first, first + last


def measure_sizes(cost: CallCost) -> None:
    """Prints one line for each number of hosts."""
    print_line(
        "hosts payload_B/s wire_B/s of_budget cpu_core% of_budget "
        "leaving_s table_s dead_first_periods dead_all_periods"
    )
    for count in HOST_COUNTS:
        network = make_settled_network(count)
        counter = TrafficCounter(network)
        network.run(20.0)
        payload = counter.payload_rate()
        # A call consists of two messages, each counted by its sender.
        calls = counter.call_rate()
        per_call = cost.overhead + TCP_BYTES_PER_CALL
        wire = payload + calls * per_call
        cpu = counter.cpu() + calls / 2 * cost.cpu
        leaving, table = measure_departure(network), measure_table(network)
        first, last = measure_detection(network)
        print_line(
            f"{count:5} {payload:8.0f} {wire:8.0f} {wire / BYTES_BUDGET:8.0%}"
            f" {cpu:9.2%} {cpu / CPU_BUDGET:8.0%} {leaving:8.2f}"
            f" {table:8.2f} {first / PERIOD_SECONDS:8.1f}"
            f" {last / PERIOD_SECONDS:8.1f}"
        )


def measure_partition(count: int) -> None:
    """Partitions one of four failure domains for a minute without the log."""
    network = make_settled_network(count)
    counter = TrafficCounter(network)
    minority = [name for i, name in enumerate(network.hosts) if i % 4 == 0]
    majority = [name for name in network.hosts if name not in minority]
    network.partition(*minority)
    network.log_is_up = lambda _name: False

    def count_fresh(names: list[str]) -> str:
        now = network.now
        count = sum(
            network.hosts[name].machine.assess_freshness(now).is_fresh
            for name in names
        )
        return f"{count}/{len(names)}"

    rates = []
    for second in range(1, 61):
        rates.append(measure_next_second(counter))
        if second in (1, 3, 4, 5, 6, 8, 10, 12, 15, 20, 60):
            print_line(
                f"{second:3} s fresh: cut {count_fresh(minority)},"
                f" rest {count_fresh(majority)}"
            )
    print_rates("cut", rates)
    network.heal()
    healed_at = network.now
    rates = []
    while not network.all_alive():
        rates.append(measure_next_second(counter))
    print_line(
        f"all views true {network.now - healed_at:.0f} s after the cut's end"
    )
    rates.extend(measure_next_second(counter) for _ in range(30))
    print_rates("healing", rates)


def measure_join(count: int) -> None:
    """Starts one more host and waits until all views are correct."""
    network = make_settled_network(count)
    host = membership_network.make_view(count)
    network.start(host, "entry-000")
    counter = TrafficCounter(network)
    seconds = network.run_until(network.all_alive, _TIMEOUT)
    print_line(
        f"{count} hosts: a new one knows all and is known in {seconds:.1f} s"
    )
    print_line(f"{counter.payload_rate():.0f} B/s a node meanwhile")


def measure_cold(count: int) -> None:
    """Starts all hosts at once; each finds three others on the host list."""
    network = membership_network.Network()
    views = [membership_network.make_view(number) for number in range(count)]
    for host in views:
        network.start(host)
    names = frozenset(network.hosts)
    for number, host in enumerate(views):
        contacts = tuple(
            messages.Contact(other.name, other.peer_address)
            for other in (views[(number + step) % count] for step in (1, 7, 31))
            if other is not host
        )
        network.deliver(host.name, messages.HostsListed(names, contacts, ()))
    counter = TrafficCounter(network)
    rates = []
    while not network.all_alive():
        rates.append(measure_next_second(counter))
    print_line(f"{count} hosts at once: all views true after {len(rates)} s")
    rates.extend(measure_next_second(counter) for _ in range(10))
    print_rates("cold start", rates)


def measure_next_second(counter: TrafficCounter) -> float:
    """Simulates a second; returns the payload bytes per host."""
    counter.reset()
    counter.network.run(1.0)
    return counter.payload_rate()


def print_rates(label: str, rates: list[float]) -> None:
    """Prints the highest rate of a second and of ten seconds."""
    averages = [sum(rates[i : i + 10]) / 10 for i in range(len(rates) - 9)]
    print_line(
        f"{label}: payload B/s a node, both ways: worst second"
        f" {max(rates):.0f}, worst ten seconds {max(averages):.0f}"
    )


def print_line(text: str) -> None:
    """Prints one line of the report at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


MEASUREMENTS = {
    "cut": measure_partition,
    "join": measure_join,
    "cold": measure_cold,
}


def main() -> None:
    """Runs the measurement named on the command line, or that of all sizes."""
    if len(sys.argv) > 1:
        measure = MEASUREMENTS[sys.argv[1]]
        measure(int(sys.argv[2]))
        return
    cost = uvloop.run(measure_call())
    print_line(f"HTTP/2 adds {cost.overhead:.0f} B a call")
    print_line(f"a call takes {cost.cpu * 1e6:.0f} us at both ends together")
    measure_sizes(cost)


if __name__ == "__main__":
    main()
