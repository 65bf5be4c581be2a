"""Ownership of one shard by this node: gained with leadership, used only inside its lease."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from granitewell.controlplane.ownership.record import NOBODY, OwnerClaimed

TURN_MARGIN_S = 0.1  # beyond lease-ms, for timers that fire late


class LeasedGroup(Protocol):
    """What ownership needs of a replica group."""

    @property
    def term(self) -> int:
        """The group's term."""

    def holds_lease(self) -> bool:
        """Whether this node leads and a quorum grants it that now."""

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Commit an entry; the result of its apply."""


class ShardOwnership:
    """The right to order a shard's servers. holder and fence go into each order."""

    def __init__(
        self, group: LeasedGroup, holder: str, lease_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.holder = holder
        self._group = group
        self._lease_s = lease_s
        self._clock = clock
        self._claimed_term = 0
        self._order_from = 0.0

    @property
    def fence(self) -> int:
        """The fencing token: the term in which this node claimed the shard."""
        return self._claimed_term

    def owns(self) -> bool:
        """Whether this node owns the shard now."""
        return self._claimed_term == self._group.term and self._group.holds_lease()

    def may_order(self) -> bool:
        """Whether an order may be sent in this turn."""
        return self._clock() >= self._order_from and self.owns()

    async def claim(self) -> None:
        """Write the claim to the log; raises NotLeader or ProposalLost. Another holder's last order was sent
        before this commits, so orders begin `lease-ms` later."""
        term = self._group.term
        previous = await self._group.propose(OwnerClaimed(self.holder, term).encode())
        if self._group.term != term:
            return
        follows_another = previous != NOBODY and getattr(previous, "holder", "") != self.holder
        wait = self._lease_s + TURN_MARGIN_S if follows_another else 0.0
        self._order_from = self._clock() + wait
        self._claimed_term = term
