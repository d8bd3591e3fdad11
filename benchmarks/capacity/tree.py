"""Measures a copy request between relays by engines and requesting hosts.

    python -m benchmarks.capacity.tree

Prints the processor time of this process for one request, without sockets: at
its source, which decodes and handles it and encodes the response, and at the
requesting host, which decodes the response. Also prints the bytes of request
and response. Starts no other processes.
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

ENGINE_COUNTS = (45, 300, 1000)
REQUESTING_HOST_COUNTS = (17, 51)  # Per source, today and at the planned size.
ROUTE_COUNT = 3  # Routes with counts in a rollout.
BUSY_ENGINES_PER_HOST = 10  # Engines with work of one host.
WORK = 12345.0
TOPICS = ("operator", "servers", "phases", "hosts")


class _UnusedTopic:
    """A topic that is never read."""

    async def newest(self) -> topics.Batch:
        raise NotImplementedError

    async def changes(self, offset: int, wait: float) -> topics.Batch:
        raise NotImplementedError

    async def put(
        self, key: str, value: bytes, expected_offset: int | None = None
    ) -> int | None:
        raise NotImplementedError


def _make_state(engines: int) -> state_lib.RelayState:
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    clock = time.monotonic
    state = state_lib.RelayState(
        clock=clock,
        log=event_log.EventLog("h", clock, null_descriptor),
        counters=metrics.RelayMetrics(),
        router=router_lib.Router(
            "z", bounds_lib.Bounds(), hashing.RandomGenerator.from_seed(1)
        ),
        lease=configuration_lease.ConfigurationLease(5.0),
        outstanding=outstanding.OutstandingWork(),
        run_name="h-1",
    )
    for name in _engine_names(engines):
        state.router.fleet.put(
            server_lib.ServerEntry(name, "llm", "10.0.0.1:80")
        )
        state.router.fleet.servers[name].work = WORK
    return state


def _engine_names(engines: int) -> list[str]:
    return [f"i-{number:010x}" for number in range(engines)]


def _make_request(engines: int, host: str) -> peer_codec.CopyRequest:
    tally = evidence_lib.Tally(12, 1, 1)
    counts = {
        f"r-{number}": evidence_lib.RouteEvidence(tally, tally)
        for number in range(ROUTE_COUNT)
    }
    return peer_codec.CopyRequest(
        dict.fromkeys(TOPICS, 100),
        host,
        dict.fromkeys(_engine_names(engines)[:BUSY_ENGINES_PER_HOST], WORK),
        (evidence_lib.Evidence("llm", 7, f"{host}-1", counts),),
    )


def _make_handler(
    state: state_lib.RelayState,
) -> request_handler_lib.PeerRequestHandler:
    gate = store_gate.StoreGate()
    followers = {
        name: follower_lib.TopicFollower(
            state,
            name,
            _UnusedTopic(),
            lambda update: update.batch.records,
            wait=0.0,
            pause=0.0,
            gate=gate,
        )
        for name in TOPICS
    }
    for follower in followers.values():
        follower.replica = replication.TopicReplica()
        follower.replica.apply(topics.Batch((), 100, is_snapshot=True))
    return request_handler_lib.PeerRequestHandler(state, followers)


def _handle(
    handler: request_handler_lib.PeerRequestHandler, encoded_request: bytes
) -> bytes:
    request = peer_codec.decode_request(encoded_request)
    return peer_codec.encode(handler.answer(request))


def main() -> None:
    """Prints a line for each size."""
    for engines in ENGINE_COUNTS:
        for requesting_hosts in REQUESTING_HOST_COUNTS:
            handler = _make_handler(_make_state(engines))
            for number in range(requesting_hosts):
                handler.answer(_make_request(engines, f"h{number}"))
            encoded_request = peer_codec.encode(_make_request(engines, "h0"))
            encoded_response = peer_codec.encode(
                handler.answer(peer_codec.decode_request(encoded_request))
            )

            source_micros = parts.time_call(
                functools.partial(_handle, handler, encoded_request)
            )
            requesting_micros = parts.time_call(
                functools.partial(peer_codec.decode_answer, encoded_response)
            )
            parts.print_line(
                f"{engines} engines, {requesting_hosts} hosts that ask:"
                f" question {len(encoded_request)} B,"
                f" answer {len(encoded_response)} B;"
                f" source {source_micros} us,"
                f" asking host {requesting_micros} us"
            )


if __name__ == "__main__":
    main()
