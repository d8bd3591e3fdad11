"""State of each key, as one reader of the claims stream knows it.

The stream is folded in the order of its offsets. The states of a key are:

    free --claim--> held --done--> done
                     |  `--unknown--> unknown
                     `--not_run--> free

The claim with the lowest offset acquires a free key. A claim that is stored
while the key is held, done or unknown is permanently void, even if the key
becomes free again.

A key is forgotten after a window without any record for it. A reader that
starts after the beginning of the stream cannot distinguish a free key from one
whose older records it missed. It may accept a claim as the winner only if it
has read a whole window before the claim. See docs/design/at-most-once.md.
"""

from __future__ import annotations

import collections
import enum
import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import identity
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from hoistmoor.core.once import records

_MAX_OWNERS = 10_000  # Maximum number of interned owners.
DEFAULT_WINDOW = 1800.0  # Seconds; the log retains records for longer.


class Status(enum.Enum):
    """Status of a key."""

    FREE = enum.auto()
    HELD = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


class Verdict(enum.Enum):
    """Result of a claim, decided by its position in the stream."""

    WON = enum.auto()
    VOID = enum.auto()
    UNCERTAIN = enum.auto()  # Unknown to this reader; treated as void.


@attrs.frozen
class Settled:
    """Claim read from the stream, with its result.

    Attributes:
        owner: Process that made the claim.
        serial: Serial of the claim at its owner.
        key: Digest of the key.
        verdict: Result of the claim.
    """

    owner: identity.Incarnation
    serial: int
    key: str
    verdict: Verdict


@attrs.define
class KeyState:
    """Known state of one key.

    Attributes:
        status: Status of the key.
        certain: Whether this reader saw all relevant records for the key.
        holder: Id of the claim that holds or held the key.
        owner: Process that owns that claim.
        address: ``ip:port`` of the owner's interface for callers.
        fingerprint: Digest of the holder's request.
        answer_offset: Offset of the batch with the answer; -1 if there is none.
        last_at: Time at which the newest record for the key was stored.
        void_claims: Ids of claims that can no longer win.
    """

    status: Status = Status.FREE
    certain: bool = True
    holder: str = ""
    owner: identity.Incarnation | None = None
    address: str = ""
    fingerprint: str = ""
    answer_offset: int = -1
    last_at: float = 0.0
    spent: tuple[str, ...] = ()

    def is_reused(self, fingerprint: str) -> bool:
        """Returns whether the key belongs to a different request."""
        if self.status is Status.FREE or not self.fingerprint:
            return False
        return self.fingerprint != fingerprint

    def void_claim(self, claim_id: str) -> None:
        """Makes a claim permanently void."""
        if claim_id not in self.spent:
            self.spent += (claim_id,)


_FREE = KeyState()

_STATUS_BY_OUTCOME = {
    outcomes.Outcome.DONE: Status.DONE,
    outcomes.Outcome.UNKNOWN: Status.UNKNOWN,
}


class KeyView:
    """Fold of the claims stream.

    Attributes:
        window: Seconds for which a key is remembered after its newest record.
        next_offset: Offset of the next record to read.
        last_at: Time at which the newest record read was stored, by the log's
            clock.
    """

    def __init__(self, window: float = DEFAULT_WINDOW) -> None:
        self.window = window
        self.next_offset = 0
        self.last_at = 0.0
        self._owners: dict[str, tuple[identity.Incarnation, str]] = {}
        # Time at which the first record read was stored. None if it was the
        # first of the stream, infinite if none was read yet.
        self._since: float | None = None
        self._keys: collections.OrderedDict[str, KeyState] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of remembered keys."""
        return len(self._keys)

    def restart(self, first_offset: int) -> None:
        """Clears the state and continues from ``first_offset``.

        Args:
            first_offset: The oldest offset that can be read.
        """
        self.next_offset = first_offset
        self._since = None if first_offset == 0 else math.inf
        self._keys.clear()

    def blind_for(self, now: float) -> float:
        """Returns the seconds until this reader can recognize a free key.

        Args:
            now: Seconds since the epoch.
        """
        if self._since is None:
            return 0.0
        latest = max(now, self.last_at)  # The later of the two clocks.
        return max(self._since + self.window - latest, 0.0)

    def find(self, key: str) -> KeyState:
        """Returns the known state of a key."""
        return self._keys.get(key, _FREE)

    def skip(self, offset: int, at: float) -> None:
        """Skips a record that cannot be decoded."""
        self.next_offset = offset + 1
        if self._since == math.inf:
            self._since = at
        self._advance(at)

    def apply(
        self, offset: int, at: float, batch: records.ClaimBatch
    ) -> list[Settled]:
        """Applies the next record.

        Args:
            offset: Offset of the record; must be the next one.
            at: Time at which the log stored it.
            batch: The record.

        Returns:
            The claims of the record that were read for the first time.
        """
        self.skip(offset, at)
        for ended in batch.ended:
            self._end(offset, batch, ended)
        settled = (self._claim(batch, claim) for claim in batch.claims)
        return [item for item in settled if item is not None]

    def _advance(self, at: float) -> None:
        self.last_at = max(self.last_at, at)
        horizon = self.last_at - self.window
        while self._keys:
            key, state = next(iter(self._keys.items()))
            if state.last_at >= horizon:
                return
            del self._keys[key]

    def _touch(self, key: str) -> KeyState:
        state = self._keys.get(key)
        if state is None:
            state = self._keys[key] = KeyState(certain=self._sees_window())
        state.last_at = self.last_at
        self._keys.move_to_end(key)
        return state

    def _owner(
        self, batch: records.ClaimBatch
    ) -> tuple[identity.Incarnation, str]:
        """Returns the owner and address of a batch as an interned object."""
        owner = batch.owner
        name = str(owner)
        if len(self._owners) > _MAX_OWNERS:
            self._owners.clear()
        return self._owners.setdefault(name, (owner, batch.address))

    def _sees_window(self) -> bool:
        if self._since is None:
            return True
        return self._since < self.last_at - self.window

    def _claim(
        self, batch: records.ClaimBatch, claim: records.Claim
    ) -> Settled | None:
        claim_id = batch.claim_id(claim.serial)
        state = self._touch(claim.key)
        if claim_id == state.holder:
            return None  # A duplicate, appended again after a lost reply.
        verdict = self._judge(state, claim_id)
        if verdict is Verdict.WON:
            state.status = Status.HELD
            state.holder = claim_id
            state.owner, state.address = self._owner(batch)
            state.fingerprint = claim.fingerprint
        else:
            state.void_claim(claim_id)
        return Settled(self._owner(batch)[0], claim.serial, claim.key, verdict)

    def _judge(self, state: KeyState, claim_id: str) -> Verdict:
        if claim_id in state.spent or state.status is not Status.FREE:
            return Verdict.VOID
        return Verdict.WON if state.certain else Verdict.UNCERTAIN

    def _end(
        self, offset: int, batch: records.ClaimBatch, ended: records.Ended
    ) -> None:
        claim_id = batch.claim_id(ended.serial)
        state = self._touch(ended.key)
        status = _STATUS_BY_OUTCOME.get(ended.outcome)
        if status is None:
            state.void_claim(claim_id)
            if claim_id == state.holder and state.status is Status.HELD:
                state.status = Status.FREE
                state.holder = ""
            return
        if state.status is Status.DONE:
            return
        # The owner's record of a run also counts for a reader that missed the
        # claim.
        state.status = status
        state.holder = claim_id
        state.owner, state.address = self._owner(batch)
        if ended.answer is not None:
            state.answer_offset = offset
