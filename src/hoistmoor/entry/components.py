"""Components of an entry host that request handling depends on."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
import attrs

from hoistmoor.core.routing import router as router_lib
from hoistmoor.entry import admission_control
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import decision_log as decision_log_lib
from hoistmoor.entry import explanations as explanations_lib
from hoistmoor.entry import load_poller
from hoistmoor.entry import once as once_lib
from hoistmoor.entry import rating_queue
from hoistmoor.entry import readiness as readiness_lib
from hoistmoor.entry import session_affinity as session_affinity_lib
from hoistmoor.utils import metrics as metrics_lib


@attrs.frozen
class Components:
    """Components of one entry host, shared by all its requests.

    Attributes:
        clock: Returns seconds since the epoch.
        router: Selects versions and backend servers.
        load_poller: Polls backend servers for load reports.
        admission: Admission control by account and host limits.
        once: Permits for requests that must run at most once.
        biller: Stores bills durably outside this host.
        sessions: Session affinity: pins sessions to model versions.
        explanations: Recent decisions, kept in memory.
        decision_log: Stores some decisions durably outside this host.
        ratings: Submits responses for rating.
        metrics: Counters and timings.
        http: HTTP client session for backend servers.
        readiness: Whether the table in force may still be used.
    """

    clock: Callable[[], float]
    router: router_lib.Router
    load_poller: load_poller.LoadPoller
    admission: admission_control.AdmissionController
    once: once_lib.AtMostOnceGuard
    biller: biller_lib.Biller
    sessions: session_affinity_lib.SessionAffinity
    explanations: explanations_lib.Explanations
    decision_log: decision_log_lib.DecisionLog
    ratings: rating_queue.RatingQueue
    metrics: metrics_lib.Metrics
    http: aiohttp.ClientSession
    readiness: readiness_lib.Readiness
