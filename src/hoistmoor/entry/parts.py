"""The parts of an entry host that a request's task works with."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
import attrs

from hoistmoor.core.routing import router as router_lib
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import decision_log as decision_log_lib
from hoistmoor.entry import explanations as explanations_lib
from hoistmoor.entry import limits
from hoistmoor.entry import load_poller
from hoistmoor.entry import once as once_lib
from hoistmoor.entry import rating_queue
from hoistmoor.entry import readiness as readiness_lib
from hoistmoor.entry import sessions as sessions_lib
from hoistmoor.utils import metrics as metrics_lib


@attrs.frozen
class Parts:
    """What requests need of their host.

    Attributes:
        clock: Returns seconds since the epoch.
        router: Chooses versions and backend servers.
        poller: Reads backend servers' load reports.
        gate: Limits of accounts and of this host.
        once: Leave to run at most once.
        biller: Puts bills where they outlive this host.
        sessions: Keeps sessions on their versions.
        explanations: Keeps the decisions.
        decision_log: Puts some of them where they outlive this host.
        ratings: Hands answers in for rating.
        metrics: Counters and timings.
        http: Opens exchanges with backend servers.
        readiness: Says whether the table may still be gone by.
    """

    clock: Callable[[], float]
    router: router_lib.Router
    poller: load_poller.LoadPoller
    gate: limits.Gate
    once: once_lib.AtMostOnceGuard
    biller: biller_lib.Biller
    sessions: sessions_lib.Sessions
    explanations: explanations_lib.Explanations
    decision_log: decision_log_lib.DecisionLog
    ratings: rating_queue.RatingQueue
    metrics: metrics_lib.Metrics
    http: aiohttp.ClientSession
    readiness: readiness_lib.Readiness
