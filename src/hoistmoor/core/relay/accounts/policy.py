"""What the configuration says about accounts that compete for room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration

# Ratio between the shares of two accounts whose priorities differ by one.
WEIGHT_BASE = 2.0
DEFAULT_WEIGHT = 1.0


@attrs.frozen
class AccountPolicy:
    """Weights of accounts.

    Attributes:
        weights: Weights of the accounts that have a priority of their own, by
            account. The others have the default weight.
    """

    weights: dict[str, float] = attrs.field(factory=dict)

    def weight_of(self, account: str) -> float:
        """Returns the weight of an account's share."""
        return self.weights.get(account, DEFAULT_WEIGHT)


def policy_of(found: configuration.Configuration) -> AccountPolicy:
    """Returns the policy that a configuration contains."""
    own = {
        account.name: account.priority
        for account in found.accounts or ()
        if account.priority is not None
    }
    return AccountPolicy(
        {name: WEIGHT_BASE**-priority for name, priority in own.items()}
    )
