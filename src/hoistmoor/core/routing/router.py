"""Selection of a version and a backend server for each attempt."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.routing import cascade
from hoistmoor.core.routing import hashing
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import options
from hoistmoor.core.routing import placement
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import routing_state
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterator

# Seeds of independent random draws for the same request.
_EXPLORE_SEED = 1
_CANDIDATE_SEED = 2
_PLAN_SEED = 3
_EXPIRE_EVERY_S = 1.0


@attrs.define  # A frozen class would add a tenth to the time of a decision.
class _Attempt:
    """A version to try and the policy for its answer."""

    version: str
    reason: str
    policy: cascade.Policy | None = None


class Router(routing_state.RoutingState):
    """Makes the routing decisions of one host from its local state."""

    def choose(
        self,
        query: messages.RouteQuery,
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | refusals.Refusal:
        """Returns the destination of the next attempt of a request.

        Grants and stages are checked against the table in force.

        Args:
            query: The request.
            excluded: Names of servers that must not be chosen.
            now: Current time.
        """
        if self.fleet.rests and self.fleet.rests[0][0] <= now:
            self.fleet.end_rests(now)
        reason_prefix = ""
        if query.pin:
            if self.catalog.can_keep(query.account, query.pin, query.kind):
                attempt = _Attempt(query.pin, "the session's version")
                return self._place(query, attempt, (), excluded, now)
            reason_prefix = f"moved from {query.pin}: "
        if query.model == model.AUTO_MODEL:
            return self._choose_auto(query, reason_prefix, excluded, now)
        if "@" in query.model:
            return self._choose_named(query, reason_prefix, excluded, now)
        return self._choose_weighted(query, reason_prefix, excluded, now)

    def _choose_named(
        self,
        query: messages.RouteQuery,
        reason_prefix: str,
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | refusals.Refusal:
        row = self.catalog.table.versions.get(query.model)
        if row is None:
            return _refuse(refusals.Reason.UNKNOWN_MODEL, query.model)
        verdict = self.catalog.exclusion_reason(query.account, row, query.kind)
        if verdict:
            reason = _REASON_BY_VERDICT.get(
                verdict, refusals.Reason.VERSION_WITHDRAWN
            )
            return _refuse(reason, f"{row.key} is {verdict}")
        if not self._may_expose(row, now):
            return self._no_capacity(
                query, f"{row.key} has used up its share of unproved", now
            )
        attempt = _Attempt(
            row.key, reason_prefix + "the caller named this version"
        )
        return self._place(query, attempt, (), excluded, now)

    def _choose_weighted(
        self,
        query: messages.RouteQuery,
        reason_prefix: str,
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | refusals.Refusal:
        found = self.options_for(query.account, query.model, query.kind, now)
        assert isinstance(found, options.ModelOptions)
        if not found.weights:
            return self._refuse_model(query, found.notes)
        first = _draw_version(found, query, self.seed)
        choice = self._try_share(
            query, first, found, reason_prefix, excluded, now
        )
        if choice is not None:
            return choice
        for key, _ in found.weights:
            choice = self._try_share(
                query, key, found, reason_prefix, excluded, now
            )
            if choice is not None:
                return choice
        return self._no_capacity(query, query.model, now)

    def _try_share(
        self,
        query: messages.RouteQuery,
        key: str,
        found: options.ModelOptions,
        reason_prefix: str,
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | None:
        """Returns a choice of version ``key``, or None if it can't serve."""
        if not self.fleet.pools[key].is_ready:
            return None
        row = self.catalog.table.versions[key]
        if not self._may_expose(row, now, query.session):
            return None
        attempt = _Attempt(key, f"{reason_prefix}share of {query.model}")
        choice = self._place(query, attempt, found.notes, excluded, now)
        return choice if isinstance(choice, messages.Choice) else None

    def _choose_auto(
        self,
        query: messages.RouteQuery,
        reason_prefix: str,
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | refusals.Refusal:
        found = self.options_for(
            query.account, model.AUTO_MODEL, query.kind, now
        )
        if not isinstance(found, options.AutoOptions):
            return _refuse(
                refusals.Reason.NOT_GRANTED, f"{query.account} has no version"
            )
        for attempt in self._auto_order(query, found, reason_prefix, now):
            if not self.fleet.pools[attempt.version].is_ready:
                continue
            choice = self._place(query, attempt, found.notes, excluded, now)
            if isinstance(choice, messages.Choice):
                return choice
        return self._no_capacity(query, query.model, now)

    def _auto_order(
        self,
        query: messages.RouteQuery,
        found: options.AutoOptions,
        reason_prefix: str,
        now: float,
    ) -> Iterator[_Attempt]:
        """Yields the versions to try: candidate, planned one, fallbacks."""
        key = query.request_id
        plan = found.default_plan
        if query.session:
            # Draws by the session, so that concurrent first requests of it get
            # the same version at all hosts.
            plan, key = found.session_plan, query.session
        elif hashing.uniform(key, _EXPLORE_SEED) < cascade.EXPLORATION_SHARE:
            plan = found.exploration_plan
        policy = plan.policy(hashing.uniform(key, _PLAN_SEED))
        candidate = found.candidates.get(policy.start)
        if candidate and not query.session:
            name, share = candidate
            row = self.catalog.table.versions[name]
            is_drawn = hashing.uniform(key, _CANDIDATE_SEED) < share
            if is_drawn and self._may_expose(row, now):
                yield _Attempt(name, f"{reason_prefix}gathers evidence", policy)
        yield _Attempt(policy.start, f"{reason_prefix}cheapest plan", policy)
        for version in found.fallbacks:
            if version != policy.start:
                yield _Attempt(
                    version, f"{reason_prefix}the plan has no capacity"
                )

    def judge(
        self,
        query: messages.RouteQuery,
        choice: messages.Choice,
        answer: messages.AnswerFacts,
        now: float,
    ) -> messages.Accept | messages.Escalate:
        """Decides whether to forward a held answer or to escalate.

        Args:
            query: The request.
            choice: The choice that yielded the answer.
            answer: Properties of the answer.
            now: Current time.
        """
        if not choice.hold_answer:
            return messages.Accept("not a step of a cascade")
        bucket = quality_estimates.bucket_of(answer.confidence)
        if bucket == quality_estimates.NO_BUCKET:
            return messages.Accept("the engine gave no confidence")
        if bucket >= choice.threshold:
            return messages.Accept(f"bucket {bucket} is confident enough")
        for version in self._escalations(query, choice, now):
            attempt = _Attempt(version, f"escalated from {choice.version}")
            found = self._place(query, attempt, (), frozenset(), now)
            if isinstance(found, messages.Choice):
                return messages.Escalate(
                    attrs.evolve(found, escalated=True),
                    f"bucket {bucket} is below {choice.threshold}",
                )
        return messages.Accept("no version to escalate to is allowed and free")

    def _escalations(
        self, query: messages.RouteQuery, choice: messages.Choice, now: float
    ) -> Iterator[str]:
        """Yields the versions to escalate to.

        The planned one comes first. Fallbacks with a higher price than the
        current version follow.
        """
        versions = self.catalog.table.versions
        planned = versions.get(choice.then)
        if planned and not self.catalog.exclusion_reason(
            query.account, planned, query.kind
        ):
            yield planned.key
        found = self.options_for(
            query.account, model.AUTO_MODEL, query.kind, now
        )
        if not isinstance(found, options.AutoOptions):
            return
        start = versions.get(choice.version)
        floor = start.output_price if start else 0
        for key in found.fallbacks:
            if key != choice.then and versions[key].output_price > floor:
                yield key

    def choose_server(
        self, service: str, excluded: frozenset[str], now: float
    ) -> messages.Choice | refusals.Refusal:
        """Returns a backend server of a plain service.

        Args:
            service: Name of the service.
            excluded: Names of servers that must not be chosen.
            now: Current time.
        """
        self.fleet.end_rests(now)
        query = messages.RouteQuery(f"{service}/{now}", "", service)
        if service not in self.fleet.pools:
            return _refuse(refusals.Reason.UNKNOWN_SERVICE, service)
        attempt = _Attempt(service, "least loaded of two drawn")
        choice = self._place(query, attempt, (), excluded, now)
        if isinstance(choice, refusals.Refusal):
            return choice
        return attrs.evolve(choice, version="")

    def servers_to_probe(
        self, choice: messages.Choice, excluded: frozenset[str], now: float
    ) -> tuple[str, ...]:
        """Returns the servers to probe for their load before a dispatch.

        The caller passes the reports to ``on_load`` and then calls
        ``best_probed``. It does not wait for servers that do not reply at
        once.

        Args:
            choice: The choice to be dispatched.
            excluded: Names of servers that must not be chosen.
            now: Current time.
        """
        server = self.fleet.by_name.get(choice.server)
        pool = self.fleet.pools.get(choice.version)
        if server is None or pool is None:
            return ()
        return placement.servers_to_probe(pool, server, excluded, self.rng, now)

    def choose_probed(
        self, choice: messages.Choice, names: tuple[str, ...]
    ) -> messages.Choice:
        """Returns ``choice`` with the least loaded of the probed servers.

        The version stays the same. If none of the servers is ready any more,
        ``choice`` is returned unchanged.
        """
        pool = self.fleet.pools.get(choice.version)
        server = placement.pick_least_loaded(pool, names) if pool else None
        if server is None or server.name == choice.server:
            return choice
        return attrs.evolve(
            choice, server=server.name, address=server.row.address
        )

    def _place(
        self,
        query: messages.RouteQuery,
        attempt: _Attempt,
        notes: tuple[messages.CandidateNote, ...],
        excluded: frozenset[str],
        now: float,
    ) -> messages.Choice | refusals.Refusal:
        pool = self.fleet.pools[attempt.version]
        if not pool.is_ready and now >= self.next_expiry:
            self.next_expiry = now + _EXPIRE_EVERY_S
            self.fleet.expire_reports(pool, now)
        server, weighed = placement.pick_server(pool, excluded, self.rng)
        if server is None:
            return self._no_capacity(query, attempt.version, now)
        if query.prefix:
            share, holders = self.prefix_index.find_longest(query.prefix, now)
            if holders:
                server = placement.prefer_cached(
                    pool, holders, share, server, excluded
                )
            self.prefix_index.store(server.name, query.prefix, now)
        policy = attempt.policy
        threshold = policy.threshold if policy else cascade.ACCEPT_ALL
        return messages.Choice(
            attempt.version,
            server.row.server,
            server.row.address,
            threshold > cascade.ACCEPT_ALL,
            attempt.reason,
            notes,
            weighed,
            False,
            threshold,
            policy.then if policy else "",
        )

    def _may_expose(
        self, row: model.Version, now: float, session: str = ""
    ) -> bool:
        """Returns whether ``row`` may get a request, and counts it if so."""
        if row.stage is not model.Stage.CANDIDATE:
            return True
        if self.catalog.progress.is_proven(row, self.estimates):
            return True
        if session or not self.budget.holder:
            # A session must be able to stay on its version, even if the cap
            # is exhausted, so it never starts on an unproven one.
            return False
        digest = self.monitor.digests[row.key]
        is_allowed = self.budget.try_consume(digest)
        claim = self.budget.claim_if_exhausted(
            row, digest, self.fleet.hosts, now
        )
        if claim is not None:
            self.effects.append(claim)
        return is_allowed

    def _refuse_model(
        self,
        query: messages.RouteQuery,
        notes: tuple[messages.CandidateNote, ...],
    ) -> refusals.Refusal:
        if not notes:
            return _refuse(refusals.Reason.UNKNOWN_MODEL, query.model)
        if all(note.verdict == "not granted" for note in notes):
            return _refuse(refusals.Reason.NOT_GRANTED, query.model)
        return _refuse(
            refusals.Reason.VERSION_WITHDRAWN,
            f"no version of {query.model} takes new work",
        )

    def _no_capacity(
        self, query: messages.RouteQuery, target: str, now: float
    ) -> refusals.Refusal:
        schedule = self.retry_schedule(target)
        return refusals.Refusal(
            refusals.Reason.NO_CAPACITY,
            outcomes.Outcome.NOT_RUN,
            f"no backend server for {target} can take more work",
            retry_after=schedule.wait(query.request_id, self.seed, now),
        )


_REASON_BY_VERDICT = {"not granted": refusals.Reason.NOT_GRANTED}


def _refuse(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)


def _draw_version(
    found: options.ModelOptions, query: messages.RouteQuery, seed: int
) -> str:
    if query.session:
        return hashing.weighted_rendezvous(query.session, found.weights)
    total = found.totals[-1]
    point = hashing.uniform(query.request_id, seed) * total
    index = bisect.bisect_right(found.totals, point)
    return found.weights[min(index, len(found.weights) - 1)][0]
