"""Run of a claim of this host, from the claim to its end."""

from __future__ import annotations

import enum

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core.once import records


class Stage(enum.Enum):
    """Stage of a run."""

    CLAIMING = enum.auto()  # The claim has not been read back.
    WON = enum.auto()  # The claim holds the key, but the run has not started.
    RUNNING = enum.auto()
    ENDED = enum.auto()  # The end has not been read back.


@attrs.define(eq=False)
class Run:
    """Claim made by this process, and its current state.

    Attributes:
        claim: The claim.
        claim_id: Id of the claim, unique over all hosts.
        stage: Current stage.
        waiters: Ids of the requests that wait for the run.
        sent: Whether an append with the claim was started.
        reply_lost: Whether the reply to such an append was lost.
        outcome: Outcome of the run, once it has ended.
    """

    claim: records.Claim
    claim_id: str
    stage: Stage = Stage.CLAIMING
    waiters: set[str] = attrs.field(factory=set)
    sent: bool = False
    lost: bool = False
    outcome: outcomes.Outcome | None = None

    @property
    def is_unstarted(self) -> bool:
        """Whether the claim can still be abandoned without a run."""
        return self.stage in (Stage.CLAIMING, Stage.WON)
