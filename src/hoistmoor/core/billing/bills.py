"""Records of the stream ``bills``."""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import streams


@attrs.frozen
class Bill:
    """The charge for one request.

    Attributes:
        account: Client account that is charged.
        request_id: Id of the request. Further bills with the same id are
            duplicates.
        item: Key of the model version or call that was used.
        prompt_tokens: Prompt tokens, summed over all charged attempts.
        output_tokens: Generated tokens, summed over all charged attempts.
        amount: Price in micros.
        attempts: Number of times the request was dispatched.
        at: Time of the charge, in seconds since the epoch.
        table_revision: Table revision whose prices were applied.
    """

    account: str
    request_id: str
    item: str
    prompt_tokens: int
    output_tokens: int
    amount: int
    attempts: int
    at: float
    table_revision: int


@attrs.frozen
class BillBatch:
    """A batch of bills, the unit of replication and of appending.

    Attributes:
        owner_host: Host that served the billed requests.
        owner_incarnation: Incarnation number of that host.
        batch_id: ``host.number.serial``. Retried appends reuse the id.
        bills: Bills in the batch.
    """

    owner_host: str
    owner_incarnation: int
    batch_id: str
    bills: tuple[Bill, ...]

    @property
    def owner(self) -> identity.Incarnation:
        """The incarnation that served the billed requests."""
        return identity.Incarnation(self.owner_host, self.owner_incarnation)

    @property
    def size(self) -> int:
        """The number of bills in the batch."""
        return len(self.bills)

    @property
    def stream(self) -> str:
        """The stream that the batch is appended to."""
        return streams.BILLS

    @property
    def record(self) -> BillBatch:
        """The record to append."""
        return self


codec.register("bills", BillBatch)
