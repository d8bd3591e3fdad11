"""Results for requests whose key was claimed before, by the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core.once import messages
from hoistmoor.core.once import permits
from hoistmoor.core.once import replies
from hoistmoor.core.once import view as view_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core import identity
    from hoistmoor.core.once import answers as answers_lib
    from hoistmoor.core.once import outbox as outbox_lib

    _Handler = Callable[
        [view_lib.KeyState, messages.KeyedRequest, float], messages.Result
    ]

_OUTCOMES = {
    view_lib.Status.FREE: outcomes.Outcome.NOT_RUN,
    view_lib.Status.HELD: outcomes.Outcome.UNKNOWN,
    view_lib.Status.DONE: outcomes.Outcome.DONE,
    view_lib.Status.UNKNOWN: outcomes.Outcome.UNKNOWN,
}


class KnownKeys:
    """Answers requests whose keys have no run on this host.

    Attributes:
        incarnation: Incarnation of this process.
        is_alive: Returns whether a process is believed to be running.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        is_alive: Callable[[identity.Incarnation], bool],
        answers: answers_lib.AnswerCache,
        outbox: outbox_lib.Outbox,
    ) -> None:
        """Sets the handlers up; ``answers`` and ``outbox`` are only read."""
        self.incarnation = incarnation
        self.is_alive = is_alive
        self._answers = answers
        self._outbox = outbox
        self._handlers: dict[view_lib.Status, _Handler] = {
            view_lib.Status.HELD: self._held,
            view_lib.Status.DONE: self._done,
            view_lib.Status.UNKNOWN: self._unknown,
        }

    def answer(
        self,
        state: view_lib.KeyState,
        request: messages.KeyedRequest,
        now: float,
    ) -> messages.Result | None:
        """Returns the result, or None if the key is free to be claimed."""
        if state.is_reused(request.fingerprint):
            return replies.reused(_OUTCOMES[state.status])
        if state.status is view_lib.Status.FREE:
            return None
        return self._handlers[state.status](state, request, now)

    def _held(
        self,
        state: view_lib.KeyState,
        request: messages.KeyedRequest,
        now: float,
    ) -> messages.Result:
        assert state.owner is not None
        if state.owner == self.incarnation:
            # Abandoned here; its release has not been read back yet.
            return replies.in_progress("the key is being released")
        if self.is_alive(state.owner):
            if request.forwarded:
                return replies.in_progress("another host runs this key")
            return permits.ForwardTo(state.address)
        if self._outbox.is_suspended(now):
            return replies.claim_unavailable("the log cannot be reached")
        return replies.outcome_unknown(
            f"host {state.owner.host} went away while it held this key"
        )

    def _done(self, state: view_lib.KeyState, *_: object) -> messages.Result:
        cached = self._answers.get(state.holder)
        if cached is not None:
            return cached
        if state.answer_offset < 0:
            return replies.answer_not_kept()
        return messages.ReadAnswer(state.answer_offset, state.holder)

    def _unknown(self, state: view_lib.KeyState, *_: object) -> messages.Result:
        assert state.owner is not None
        return replies.outcome_unknown(
            f"the run at host {state.owner.host} was cut off"
        )
