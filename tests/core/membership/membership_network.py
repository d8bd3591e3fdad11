"""A simulated network of membership machines with fault injection.

It runs in virtual time, so that a test of a long fault takes little real time.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import heapq
import itertools
import random

import attrs

from hoistmoor.core.membership import machine
from hoistmoor.core.membership import members
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import timing as timing_lib
from hoistmoor.core.membership import view

PING_TIMEOUT = 0.5  # Seconds; the same as in peers.client.
RELAY_TIMEOUT = 1.0
DOMAINS = 4
START = 1_700_000_000.0


@attrs.define
class SimulatedHost:
    """A simulated host.

    Attributes:
        machine: Its membership state machine.
        is_running: Whether it has not crashed.
        is_paused: Whether its process is paused.
        backlog: Events that occurred while it was paused.
        effects: All effects that its machine has returned.
    """

    machine: machine.Membership
    is_running: bool = True
    is_paused: bool = False
    backlog: list[Callable[[], None]] = attrs.Factory(list)
    effects: list[messages.Effect] = attrs.Factory(list)


def make_view(number: int, incarnation: int = 1) -> view.HostView:
    domain = number % DOMAINS
    return view.HostView(
        name=f"entry-{number:03}",
        incarnation=1_700_000_000_000 + incarnation,
        http_address=f"10.{domain}.{number // 250}.{number % 250}:8080",
        peer_address=f"10.{domain}.{number // 250}.{number % 250}:8081",
        failure_domain=f"domain-{domain}",
        region=f"region-{domain // 2}",
    )


class Network:
    """Simulated hosts, their messages, and a clock that tests advance.

    Attributes:
        now: Virtual time.
        hosts: The hosts by name.
        loss: Probability that a message is lost, in each direction.
        is_partitioned: Returns whether two hosts cannot reach each other.
        log_is_up: Returns whether a host can read the log.
        on_digest: Called with each digest sent: sender, receiver, digest.
    """

    def __init__(
        self,
        timing: timing_lib.Timing | None = None,
        seed: int = 1,
    ) -> None:
        self.now = START
        self.hosts: dict[str, SimulatedHost] = {}
        self.loss = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda _a, _b: False
        self.log_is_up: Callable[[str], bool] = lambda _name: True
        self.on_digest: Callable[[str, str, messages.Digest], None] = (
            lambda _a, _b, _digest: None
        )
        self._timing = timing or timing_lib.Timing()
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    # Setup.

    def start(self, own: view.HostView, *seeds: str) -> None:
        """Starts a host that finds ``seeds`` on the host list."""
        self._tick(own.name, self._add(own))
        self.list_hosts(own.name, *seeds)

    def start_all(self, count: int) -> None:
        """Starts hosts that already know each other."""
        views = [make_view(number) for number in range(count)]
        names = frozenset(own.name for own in views)
        for own in views:
            host = self._add(own)
            for other in views:
                if other is not own:
                    update = members.to_update(other, self.now, is_full=True)
                    host.machine.members.apply(update, self.now)
            host.machine.handle(messages.HostsListed(names, (), ()), self.now)
            offset = self._random.random() * self._timing.period
            tick = functools.partial(self._tick, own.name, host)
            self._schedule(offset, own.name, tick)

    def _add(self, own: view.HostView) -> SimulatedHost:
        seed = next(self._event_numbers)
        host = SimulatedHost(
            machine.Membership(own, seed, self.now, self._timing)
        )
        self.hosts[own.name] = host
        return host

    def list_hosts(
        self,
        name: str,
        *listed: str,
        servers: tuple[messages.ListedServer, ...] = (),
    ) -> None:
        """Lets a host read the platform's host list."""
        known = self.machine(name).members
        contacts = tuple(
            messages.Contact(
                other, self.machine(other).members.own_view.peer_address
            )
            for other in listed
            if known.get(other) is None
        )
        self.deliver(
            name,
            messages.HostsListed(frozenset((*listed, name)), contacts, servers),
        )

    # Faults.

    def crash(self, name: str) -> None:
        """Stops a host abruptly, without notice to the others."""
        self.hosts[name].is_running = False

    def pause(self, name: str) -> None:
        """Pauses a host's process; its events are queued."""
        self.hosts[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused host, which handles the queued events first."""
        host = self.hosts[name]
        host.is_paused = False
        backlog, host.backlog = host.backlog, []
        for step in backlog:
            step()

    def partition(self, *side: str) -> None:
        """Disconnects the hosts of ``side`` from all others."""
        inside = frozenset(side)
        self.is_partitioned = lambda a, b: (a in inside) != (b in inside)

    def heal(self) -> None:
        """Ends the network partition."""
        self.is_partitioned = lambda _a, _b: False

    # Simulation.

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the events that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], bound: float, step: float = 0.05
    ) -> float:
        """Runs until ``condition`` holds; returns the seconds that took.

        Raises:
            AssertionError: It does not hold within ``bound`` seconds.
        """
        start = self.now
        while not condition():
            if self.now - start > bound:
                raise AssertionError(f"condition not met within {bound} s")
            self.run(step)
        return self.now - start

    def deliver(self, name: str, message: object) -> messages.Digest | None:
        """Passes a message to a host and performs the effects.

        Returns:
            The digest to reply with, if there is one.
        """
        host = self.hosts[name]
        reply = None
        for effect in host.machine.handle(message, self.now):
            host.effects.append(effect)
            if isinstance(effect, messages.Reply):
                reply = effect.digest
            else:
                self._perform(effect, name)
        return reply

    def machine(self, name: str) -> machine.Membership:
        """Returns a host's membership state machine."""
        return self.hosts[name].machine

    def running(self) -> list[str]:
        """Returns the names of the hosts that have not crashed."""
        return [name for name, host in self.hosts.items() if host.is_running]

    def state(self, at: str, of: str) -> view.MemberState | None:
        """Returns the state of host ``of`` in the view of host ``at``."""
        host = self.machine(at).members.get(of)
        return host.state if host else None

    def all_alive(self) -> bool:
        """Returns whether each running host considers all others alive."""
        running = self.running()
        return all(
            self.state(at, of) is view.MemberState.ALIVE
            for at in running
            for of in running
        )

    def _tick(self, name: str, host: SimulatedHost) -> None:
        if self.hosts[name] is not host:
            return
        if self.log_is_up(name):
            self.deliver(name, messages.LogContacted(self.now))
        self.deliver(name, messages.Tick())
        self._schedule(
            self._timing.period, name, lambda: self._tick(name, host)
        )

    def _schedule(
        self, delay: float, name: str, step: Callable[[], None]
    ) -> None:
        host = self.hosts[name]

        def run() -> None:
            if not host.is_running:
                return
            if host.is_paused:
                host.backlog.append(run)
            else:
                step()

        event = (self.now + delay, next(self._event_numbers), run)
        heapq.heappush(self._events, event)

    def _delay(self) -> float:
        return 0.001 + 0.002 * self._random.random()

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        if self.is_partitioned(sender, receiver) or receiver not in self.hosts:
            return False
        return self._random.random() >= self.loss

    # Effects.

    @functools.singledispatchmethod
    def _perform(self, effect: object, name: str) -> None:
        """Ignores the effects that only notify the host."""

    @_perform.register
    def _perform_ping(self, effect: messages.Ping, name: str) -> None:
        sent_at = self.now

        def done(digest: messages.Digest | None) -> None:
            if digest is None:
                self.deliver(
                    name,
                    messages.PingFailed(effect.target, sent_at, effect.digest),
                )
            else:
                self.deliver(
                    name, messages.PingReplied(effect.target, sent_at, digest)
                )

        self._ping(name, effect.target, effect.digest, done)

    @_perform.register
    def _perform_relay(self, effect: messages.IndirectPing, name: str) -> None:
        sent_at = self.now
        answers: list[bool] = []
        by_address = {
            host.machine.members.own_view.peer_address: helper
            for helper, host in self.hosts.items()
        }
        for address in effect.helpers:
            self._relay(name, by_address[address], effect.target, answers)

        def finish() -> None:
            self.deliver(
                name,
                messages.IndirectPingResult(
                    effect.target, sent_at, any(answers), len(answers)
                ),
            )

        self._schedule(RELAY_TIMEOUT, name, finish)

    @_perform.register
    def _perform_fetch(self, effect: messages.FetchTable, name: str) -> None:
        def fetch() -> None:
            peer = self.hosts[effect.peer]
            if peer.is_running and not self.is_partitioned(name, effect.peer):
                revision = peer.machine.tables.own_revision
                self.deliver(name, messages.TableActivated(revision))

        self._schedule(2 * self._delay(), name, fetch)

    def _ping(
        self,
        sender: str,
        target: str,
        digest: messages.Digest,
        done: Callable[[messages.Digest | None], None],
    ) -> None:
        is_done = False

        def finish(reply: messages.Digest | None) -> None:
            nonlocal is_done
            if not is_done:
                is_done = True
                done(reply)

        def arrive() -> None:
            reply = self.deliver(target, messages.DigestReceived(digest))
            assert reply is not None
            self.on_digest(target, sender, reply)
            if self._is_delivered(target, sender):
                self._schedule(self._delay(), sender, lambda: finish(reply))

        self.on_digest(sender, target, digest)
        if self._is_delivered(sender, target):
            self._schedule(self._delay(), target, arrive)
        self._schedule(PING_TIMEOUT, sender, lambda: finish(None))

    def _relay(
        self, asker: str, helper: str, target: str, answers: list[bool]
    ) -> None:
        def answer(is_reached: bool) -> None:
            if self._is_delivered(helper, asker):
                self._schedule(
                    self._delay(), asker, lambda: answers.append(is_reached)
                )

        def arrive() -> None:
            digest = self.hosts[helper].machine.digest_for(target, self.now)
            self._ping(
                helper, target, digest, lambda reply: answer(reply is not None)
            )

        if self._is_delivered(asker, helper):
            self._schedule(self._delay(), helper, arrive)
