"""The state that routing decisions of one host depend on, and its updates."""

from __future__ import annotations

import attrs

from hoistmoor.core.routing import affinity
from hoistmoor.core.routing import degradation
from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import fleet
from hoistmoor.core.routing import hashing
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import options
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import retry
from hoistmoor.core.routing import rollout
from hoistmoor.core.table import model

_TOKEN_WEIGHT = 0.05  # Weight of the latest answer in a kind's average tokens.


@attrs.define(eq=False)
class CachedOptions:
    """A cache entry of options.

    Attributes:
        epoch: Epoch of the state that the options were computed from.
        expires_at: When the entry expires.
        value: The options.
    """

    epoch: int
    expires_at: float
    value: options.ModelOptions | options.AutoOptions | None


class RoutingState:
    """Routing state of one host, updated by events.

    Attributes:
        seed: Random seed of this host.
        revision: Revision of the table in force.
        fleet: Backend servers.
        estimates: Quality estimates.
        monitor: Tests for versions whose quality degrades.
        budget: This incarnation's slices of exposure caps.
        prefix_index: Index of the prompt prefixes cached by servers.
        catalog: The versions that each account may use.
        retry_schedules: Retry schedules for refused callers by version or
            service.
        effects: Records to append to the evidence stream.
        rng: Random number generator of this host.
        options_cache: Options by account, model and kind of request.
        epoch: Number of invalidations of ``cache``.
        next_expiry: When the next check for outdated load reports is due.
        repetition: When to repeat records before log retention removes them.
    """

    def __init__(self, local_domain: str, seed: int, holder: str = "") -> None:
        """Creates the state for an empty table.

        Args:
            local_domain: This host's failure domain.
            seed: Random seed; different at each host.
            holder: Id of this incarnation. If empty, no work is sent to
                unproven candidates.
        """
        self.seed = seed
        self.revision = -1
        self.fleet = fleet.Fleet(local_domain)
        self.estimates = quality_estimates.QualityEstimates()
        self.monitor = degradation.DegradationMonitor(holder)
        self.budget = exposure.ExposureBudget(holder)
        self.prefix_index = affinity.PrefixIndex()
        self.catalog = options.OptionsCatalog(
            model.Table(),
            self.estimates,
            self.monitor,
            rollout.RolloutProgress(),
        )
        self.retry_schedules: dict[str, retry.RetrySchedule] = {}
        self.effects: list[messages.Effect] = []
        self.rng = hashing.RandomGenerator.from_seed(seed)
        self.options_cache: dict[tuple[str, str, str], CachedOptions] = {}
        self.epoch = 0
        self.next_expiry = 0.0
        self.repetition = exposure.RepetitionSchedule(holder)

    @property
    def hosts(self) -> int:
        """Number of live entry hosts; see ``set_host_count``."""
        return self.fleet.hosts

    @hosts.setter
    def hosts(self, hosts: int) -> None:
        self.set_host_count(hosts)

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a table unless a newer one is in force."""
        if in_force.revision < self.revision:
            return
        self.revision = in_force.revision
        self.catalog.table = in_force.table
        self.fleet.on_table(in_force.table)
        self.monitor.on_table(in_force.table)
        self.invalidate_options()

    def on_load(self, report: messages.LoadReport, now: float) -> None:
        """Applies the load report of a backend server."""
        self.fleet.end_rests(now)
        self.fleet.on_load(report)
        if self.repetition.is_due(now):
            self._repeat_records()

    def _repeat_records(self) -> None:
        """Repeats the records that hosts need if they start later.

        Log retention may have removed the original records by then.
        """
        fold = self.budget.ledger
        if fold.is_complete and fold.granted:
            tally = messages.ExposureTally(
                self.repetition.next_offset, dict(fold.granted)
            )
            self.effects.append(tally)
        self.effects.extend(self.monitor.withdrawn.values())

    def on_rating(self, rating: messages.Rating, now: float) -> None:
        """Applies a rating.

        If the sequential test then shows that the version has degraded, it is
        withdrawn at this host at once and at all others by a record, unless
        no other active version is left.
        """
        row = self.catalog.table.versions.get(
            f"{rating.model}@{rating.version}"
        )
        if row is not None:
            record = self.monitor.on_rating(rating, row, self.estimates, now)
            if record is not None and self._has_alternative(row):
                self._withdraw(record)
                self.effects.append(record)
        self.estimates.on_rating(rating, row, now)

    def _has_alternative(self, row: model.Version) -> bool:
        """Returns whether another active version is left.

        The last one is never withdrawn, because ratings may be wrong.
        """
        return any(
            other.key != row.key
            and other.stage is model.Stage.ACTIVE
            and not self.monitor.is_withdrawn(other.key, degradation.ALL_KINDS)
            for other in self.catalog.table.versions.values()
        )

    def _withdraw(self, record: messages.Withdrawal) -> None:
        self.monitor.on_withdrawal(record)
        self.invalidate_options()

    def on_evidence(self, offset: int, record: object) -> None:
        """Applies a record of the evidence stream; ignores unknown types."""
        self.repetition.on_record(offset, record)
        if isinstance(record, messages.Withdrawal):
            self._withdraw(record)
        elif isinstance(record, messages.ExposureClaim):
            self.budget.on_claim(offset, record)
        elif isinstance(record, messages.ExposureTally):
            self.budget.ledger.on_tally(record)

    def on_evidence_gap(self, first: int) -> None:
        """Handles the loss of evidence records before offset ``first``."""
        self.budget.ledger.on_gap(first)

    def set_host_count(self, hosts: int) -> None:
        """Sets the number of live entry hosts.

        It determines the size of this host's slices of exposure caps and its
        fair share of a server. Both are safe if hosts disagree on the number.
        """
        self.fleet.set_host_count(hosts)

    def on_cache_event(self, event: messages.CacheEvent, now: float) -> None:
        """Applies a change of a backend server's prefix cache."""
        self.prefix_index.on_event(event, now)

    def on_leaving(self, address: str) -> None:
        """Stops new work to the backend server at ``address``."""
        self.fleet.set_leaving(address, is_leaving=True)

    def on_returned(self, address: str) -> None:
        """Allows work to the backend server at ``address`` again."""
        self.fleet.set_leaving(address, is_leaving=False)

    def on_started(self, server: str, version: str, now: float) -> None:
        """Counts a dispatched attempt."""
        del version  # The concurrency of a server covers all its versions.
        self.fleet.on_started(server, now)

    def on_finished(
        self,
        server: str,
        version: str,
        result: messages.AttemptResult,
        now: float,
    ) -> None:
        """Counts the end of a dispatched attempt."""
        self.fleet.on_finished(server, version, result, now)
        self.retry_schedule(version).on_finished(now)
        if not result.ok or not version:
            return
        self._update_tokens(result)
        if not result.escalated:
            self.estimates.on_answer(version, result.kind, result.confidence)

    def _update_tokens(self, result: messages.AttemptResult) -> None:
        latest = (float(result.prompt_tokens), float(result.tokens))
        prompt, output = self.catalog.tokens.get(result.kind, latest)
        self.catalog.tokens[result.kind] = (
            prompt + _TOKEN_WEIGHT * (latest[0] - prompt),
            output + _TOKEN_WEIGHT * (latest[1] - output),
        )

    def drain_effects(self) -> list[messages.Effect]:
        """Removes and returns the records for the evidence stream."""
        effects, self.effects = self.effects, []
        return effects

    def options_for(
        self, account: str, name: str, kind: str, now: float
    ) -> options.ModelOptions | options.AutoOptions | None:
        """Returns the options of an account for a model, cached if possible."""
        key = (account, name, kind)
        cached = self.options_cache.get(key)
        if cached and cached.epoch == self.epoch and now < cached.expires_at:
            return cached.value
        value = (
            self.catalog.auto_options(account, kind, now)
            if name == model.AUTO_MODEL
            else self.catalog.model_options(account, name, kind)
        )
        until = now + options.PLAN_TTL_S
        self.options_cache[key] = CachedOptions(self.epoch, until, value)
        return value

    def invalidate_options(self) -> None:
        """Invalidates the cached options."""
        self.epoch += 1
        self.options_cache.clear()

    def retry_schedule(self, key: str) -> retry.RetrySchedule:
        """Returns the retry schedule for callers refused by ``key``.

        Args:
            key: Key of a version, or name of a model or service.
        """
        schedule = self.retry_schedules.get(key)
        if schedule is None:
            schedule = self.retry_schedules[key] = retry.RetrySchedule()
        return schedule
