"""Lifecycle of one host's own claims, from the first request to the end.

A run may start only after this host has read the claims stream up to its own
claim and found that the claim holds the key. An acknowledged append is not
sufficient, because an earlier claim may precede it in the stream.

An abandoned claim is first removed locally, so that this process never runs it,
and then released on the log.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.once import answers
from hoistmoor.core.once import known_keys
from hoistmoor.core.once import messages
from hoistmoor.core.once import outbox
from hoistmoor.core.once import permits
from hoistmoor.core.once import records
from hoistmoor.core.once import replies
from hoistmoor.core.once import runs as runs_lib
from hoistmoor.core.once import view as view_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ANSWER_LIMIT = 8 * 1024  # Maximum body size of an answer stored on the log.


class Claimant:
    """Decides for one process which request may run under a caller's key.

    Attributes:
        incarnation: Incarnation of this process.
        view: State of the keys read from the claims stream.
        outbox: Records to append to the claims stream.
        answers: In-memory cache of answers.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        address: str,
        is_alive: Callable[[identity.Incarnation], bool],
        window: float = view_lib.DEFAULT_WINDOW_SECONDS,
        find_oldest_host: Callable[[], str] = lambda: "",
        serials: Iterator[int] | None = None,
    ) -> None:
        """Creates a claimant without claims that has read nothing yet.

        Args:
            incarnation: Incarnation of this process.
            address: ``ip:port`` of the interface for callers on this host.
            is_alive: Returns whether a process is believed to be running. A
                wrong result can cause a needless refusal, but never a run.
            window: Seconds for which a key is remembered.
            find_oldest_host: Returns ``ip:port`` of the live host with the
                longest uptime, or an empty string. Requests are forwarded there
                while this host has read too little of the log to know a key.
            serials: Serials for the claims of this process. They must be
                unique even if the process creates several claimants for one
                stream.
        """
        self.incarnation = incarnation
        self.outbox = outbox.Outbox(incarnation, address)
        self.view = view_lib.KeyView(window)
        self.answers = answers.AnswerCache()
        self._known = known_keys.KnownKeys(
            incarnation, is_alive, self.answers, self.outbox
        )
        self._find_oldest_host = find_oldest_host
        self._serials = serials or itertools.count(1)
        self._runs: dict[str, runs_lib.Run] = {}
        self._changed: dict[str, messages.Change] = {}

    @property
    def is_idle(self) -> bool:
        """Whether there are no runs and no records to append."""
        return not self._runs and not self.outbox

    @property
    def has_unread_claim(self) -> bool:
        """Whether a claim of this host has not been read back yet."""
        runs = self._runs.values()
        return any(run.stage is runs_lib.Stage.CLAIMING for run in runs)

    def is_held_elsewhere(self, request: messages.KeyedRequest) -> bool:
        """Returns whether a claim without a run on this host holds the key.

        The end of the claim may already be on the log but not read yet.
        """
        key = records.key_digest(request.account, request.key)
        held = self.view.find(key).status is view_lib.Status.HELD
        return held and key not in self._runs

    def pop_changes(self) -> dict[str, messages.Change]:
        """Returns the claims changed since the last call, to notify waiters."""
        changed, self._changed = self._changed, {}
        return changed

    def begin(
        self, request: messages.KeyedRequest, now: float
    ) -> messages.Result:
        """Returns whether a request may run on this host now.

        A request that gets a ``Wait`` calls this method again after each change
        of the named claim, and calls ``stop_waiting`` if it stops waiting.
        """
        key = records.key_digest(request.account, request.key)
        run = self._runs.get(key)
        if run is not None:
            return self._join(run, request, now)
        state = self.view.find(key)
        answer = self._known.answer(state, request, now)
        return answer or self._claim(key, state, request, now)

    def is_running(self, wait: messages.Wait) -> bool:
        """Returns whether the claim waited for is running."""
        run = self._runs.get(wait.key)
        return run is not None and run.stage is runs_lib.Stage.RUNNING

    def stop_waiting(self, wait: messages.Wait, request_id: str) -> None:
        """Ends a request's wait; the last one abandons an unstarted claim."""
        run = self._runs.get(wait.key)
        if run is None or run.claim_id != wait.claim_id:
            return
        run.waiters.discard(request_id)
        if not run.waiters:
            self._abandon_unstarted(run)

    def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a run.

        Args:
            permit: The permit returned by ``begin``.
            outcome: Outcome of the run.
            answer: The complete answer, if there is one.
        """
        key = records.key_digest(permit.account, permit.key)
        run = self._runs.get(key)
        if run is None or run.claim_id != permit.id:
            return
        if run.stage is not runs_lib.Stage.RUNNING:
            return
        if answer is not None:
            self.answers.put(permit.id, answer)
        run.stage = runs_lib.Stage.ENDED
        run.outcome = outcome
        self._queue_end(run.claim, outcome, answer)
        self._changed[permit.id] = messages.Change.MOVED_ON

    # Methods called by the log reader and writer.

    def restart_reading(self, first_offset: int) -> None:
        """Restarts reading at ``first_offset``, after a start or a gap."""
        self.view.restart(first_offset)
        # Appended ends may be in the gap and would never be read back.
        for key, run in tuple(self._runs.items()):
            is_appended = run.claim.serial not in self.outbox.ended
            if run.stage is runs_lib.Stage.ENDED and is_appended:
                del self._runs[key]

    def on_record(
        self, offset: int, at: float, batch: records.ClaimBatch
    ) -> None:
        """Applies the next record of the claims stream."""
        for settled in self.view.apply(offset, at, batch):
            if settled.owner == self.incarnation:
                self._on_own_claim(settled)
        for ended in batch.ended:
            if ended.answer is not None:
                self.answers.put(batch.claim_id(ended.serial), ended.answer)
            if batch.owner == self.incarnation:
                self._on_own_end(ended)

    def next_batch(self) -> records.ClaimBatch | None:
        """Returns the next batch to append, if any.

        Only one append may be in flight. Its result must be reported by one of
        ``on_append_stored``, ``on_append_lost`` and ``on_append_refused``.
        """
        if not self.outbox:
            return None
        batch = self.outbox.next_batch()
        for claim in batch.claims:
            self._runs[claim.key].sent = True
        return batch

    def on_append_stored(self, batch: records.ClaimBatch) -> None:
        """Handles a batch that the log stored."""
        self.outbox.on_append_stored(batch)

    def on_append_lost(self, batch: records.ClaimBatch, now: float) -> None:
        """Handles an append without a reply, which may or may not be stored.

        The batch is appended again; the fold applies each claim once.
        """
        self.outbox.on_append_failed(now)
        for run in self._claiming(batch):
            run.reply_lost = True

    def on_append_refused(self, batch: records.ClaimBatch, now: float) -> None:
        """Abandons the claims of a batch that the log did not store."""
        self.outbox.on_append_failed(now)
        for run in self._claiming(batch):
            run.sent = run.reply_lost
            self._abandon_unstarted(run)

    def _claiming(self, batch: records.ClaimBatch) -> list[runs_lib.Run]:
        """Returns the runs of a batch whose claims were not read back yet."""
        claimed = [self._runs.get(claim.key) for claim in batch.claims]
        return [
            run
            for run, claim in zip(claimed, batch.claims, strict=True)
            if run is not None
            and run.claim == claim
            and run.stage is runs_lib.Stage.CLAIMING
        ]

    def _join(
        self, run: runs_lib.Run, request: messages.KeyedRequest, now: float
    ) -> messages.Result:
        if run.claim.fingerprint != request.fingerprint:
            return replies.reused(run.outcome or outcomes.Outcome.UNKNOWN)
        if run.stage is runs_lib.Stage.WON:
            return self._start(run, request)
        if run.stage is runs_lib.Stage.ENDED:
            return self._after_end(run, request, now)
        run.waiters.add(request.request_id)
        return messages.Wait(run.claim_id, run.claim.key)

    def _start(
        self, run: runs_lib.Run, request: messages.KeyedRequest
    ) -> permits.Permit:
        run.stage = runs_lib.Stage.RUNNING
        run.waiters.discard(request.request_id)
        return permits.Permit(
            permits.PermitKind.CLAIM,
            request.account,
            request.key,
            run.claim_id,
        )

    def _after_end(
        self, run: runs_lib.Run, request: messages.KeyedRequest, now: float
    ) -> messages.Result:
        if run.outcome is outcomes.Outcome.DONE:
            answer = self.answers.get(run.claim_id)
            return answer or replies.answer_not_kept()
        if run.outcome is outcomes.Outcome.UNKNOWN:
            return replies.outcome_unknown("the run under this key was cut off")
        return self._claim(run.claim.key, view_lib.KeyState(), request, now)

    def _claim(
        self,
        key: str,
        state: view_lib.KeyState,
        request: messages.KeyedRequest,
        now: float,
    ) -> messages.Result:
        if self.outbox.is_suspended(now):
            return replies.claim_unavailable("the log cannot be reached")
        if self.view.seconds_until_certain(now) > 0 or not state.certain:
            return self._forward_to_oldest_host(request)
        claim = records.Claim(key, next(self._serials), request.fingerprint)
        claim_id = records.claim_id(self.incarnation, claim.serial)
        run = runs_lib.Run(claim, claim_id)
        run.waiters.add(request.request_id)
        self._runs[key] = run
        self.outbox.claims[claim.serial] = claim
        return messages.Wait(claim_id, key)

    def _forward_to_oldest_host(
        self, request: messages.KeyedRequest
    ) -> messages.Result:
        address = self._find_oldest_host()
        if address in ("", self.outbox.address) or request.forwarded:
            return replies.claim_unavailable(
                "this host has not read enough of the log to know the key"
            )
        return permits.ForwardTo(address)

    def _on_own_claim(self, settled: view_lib.DecidedClaim) -> None:
        run = self._runs.get(settled.key)
        if run is None or run.claim.serial != settled.serial:
            return  # Abandoned before; its release is queued.
        if run.stage is not runs_lib.Stage.CLAIMING:
            return
        if settled.verdict is view_lib.Verdict.UNCERTAIN:
            self._abandon_unstarted(run)
            return
        self.outbox.claims.pop(settled.serial, None)
        self._changed[run.claim_id] = messages.Change.MOVED_ON
        if settled.verdict is view_lib.Verdict.WON:
            run.stage = runs_lib.Stage.WON
        else:
            del self._runs[settled.key]

    def _on_own_end(self, ended: records.Ended) -> None:
        self.outbox.ended.pop(ended.serial, None)
        run = self._runs.get(ended.key)
        if run is not None and run.claim.serial == ended.serial:
            del self._runs[ended.key]

    def _abandon_unstarted(self, run: runs_lib.Run) -> None:
        if not run.is_unstarted:
            return
        del self._runs[run.claim.key]
        self.outbox.claims.pop(run.claim.serial, None)
        self._changed[run.claim_id] = messages.Change.GIVEN_UP
        if run.sent:
            self._queue_end(run.claim, outcomes.Outcome.NOT_RUN, None)

    def _queue_end(
        self,
        claim: records.Claim,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        if answer is not None and len(answer.body) > ANSWER_LIMIT:
            answer = None
        self.outbox.ended[claim.serial] = records.Ended(
            claim.key, claim.serial, outcome, answer
        )
