"""Measures one question between relays, against engines and asking hosts.

    python -m benchmarks.capacity.tree

Processor time of this process for one question: written by the host that
asks, read and answered by its source, and the answer read, without sockets.
Also the bytes of question and answer. No process is started.
"""

from __future__ import annotations

import functools
import os
import time

from benchmarks.capacity import parts
from hoistmoor.core.relay.beliefs import configuration_lease
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.routing import hashing
from hoistmoor.relay import event_log
from hoistmoor.relay import metrics
from hoistmoor.relay import state as state_lib
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.peers import request_handler as request_handler_lib
from hoistmoor.relay.store import follower as follower_lib
from hoistmoor.relay.store import store_gate

ENGINES = (45, 300, 1000)
ASKING = (17, 51)  # Hosts that ask one source, today and at size.
ROUTES = 3  # Routes with counts in a roll-out.
BUSY_OF_OWN = 10  # Engines at which one host has work.
WORK = 12345.0
TOPICS = ("operator", "servers", "phases", "hosts")


class _NoTopic:
    """A topic that nobody reads."""

    async def newest(self) -> topics.Batch:
        raise NotImplementedError

    async def changes(self, offset: int, wait: float) -> topics.Batch:
        raise NotImplementedError

    async def put(
        self, key: str, value: bytes, expected_offset: int | None = None
    ) -> int | None:
        raise NotImplementedError


def _state(engines: int) -> state_lib.RelayState:
    nowhere = os.open(os.devnull, os.O_WRONLY)
    clock = time.monotonic
    state = state_lib.RelayState(
        clock=clock,
        log=event_log.EventLog("h", clock, nowhere),
        counters=metrics.RelayMetrics(),
        router=router_lib.Router(
            "z", bounds_lib.Bounds(), hashing.RandomGenerator.from_seed(1)
        ),
        lease=configuration_lease.ConfigurationLease(5.0),
        outstanding=outstanding.OutstandingWork(),
        run_name="h-1",
    )
    for name in _names(engines):
        state.router.fleet.put(
            server_lib.ServerEntry(name, "llm", "10.0.0.1:80")
        )
        state.router.fleet.servers[name].work = WORK
    return state


def _names(engines: int) -> list[str]:
    return [f"i-{number:010x}" for number in range(engines)]


def _question(engines: int, host: str) -> peer_codec.CopyRequest:
    tally = evidence_lib.Tally(12, 1, 1)
    counts = {
        f"r-{number}": evidence_lib.RouteEvidence(tally, tally)
        for number in range(ROUTES)
    }
    return peer_codec.CopyRequest(
        dict.fromkeys(TOPICS, 100),
        host,
        dict.fromkeys(_names(engines)[:BUSY_OF_OWN], WORK),
        (evidence_lib.Evidence("llm", 7, f"{host}-1", counts),),
    )


def _answers(
    state: state_lib.RelayState,
) -> request_handler_lib.PeerRequestHandler:
    gate = store_gate.StoreGate()
    followers = {
        name: follower_lib.TopicFollower(
            state,
            name,
            _NoTopic(),
            lambda update: update.batch.records,
            wait=0.0,
            pause=0.0,
            gate=gate,
        )
        for name in TOPICS
    }
    for each in followers.values():
        each.replica = replication.TopicReplica()
        each.replica.apply(topics.Batch((), 100, is_snapshot=True))
    return request_handler_lib.PeerRequestHandler(state, followers)


def _answer(
    answers: request_handler_lib.PeerRequestHandler, asked: bytes
) -> bytes:
    question = peer_codec.decode_request(asked)
    return peer_codec.encode(answers.answer(question))


def main() -> None:
    """Prints a row for each size."""
    for engines in ENGINES:
        for asking in ASKING:
            answers = _answers(_state(engines))
            for number in range(asking):
                answers.answer(_question(engines, f"h{number}"))
            asked = peer_codec.encode(_question(engines, "h0"))
            answer = peer_codec.encode(
                answers.answer(peer_codec.decode_request(asked))
            )

            at_source = parts.time_call(
                functools.partial(_answer, answers, asked)
            )
            at_asking = parts.time_call(
                functools.partial(peer_codec.decode_answer, answer)
            )
            parts.say(
                f"{engines} engines, {asking} hosts that ask:"
                f" question {len(asked)} B, answer {len(answer)} B;"
                f" source {at_source} us, asking host {at_asking} us"
            )


if __name__ == "__main__":
    main()
