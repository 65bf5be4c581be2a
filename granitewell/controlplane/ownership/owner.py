"""Ownership of one shard by this node: gained with leadership, used only inside its lease."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from granitewell.controlplane.ownership.record import NOBODY, OwnerClaimed

TURN_MARGIN_S = 0.1  # beyond lease-ms, for timers that fire late
SILENT_S = 0.8  # longer than any lease of a replica group and than what a loss or two can hide


class LeasedGroup(Protocol):
    """What ownership needs of a replica group."""

    @property
    def term(self) -> int:
        """The group's term."""

    def holds_lease(self) -> bool:
        """Whether this node leads and a quorum grants it that now."""

    def silent_s(self, address: str) -> float:
        """Seconds since the member at an internal address was heard."""

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Commit an entry; the result of its apply."""


@dataclass(frozen=True, slots=True)
class Claimant:
    """The process that claims shards. address: internal, `ip:port`; incarnation: a random id of it."""

    node_name: str
    address: str
    incarnation: str


class ShardOwnership:
    """The right to order a shard's servers. holder and fence go into each order.

    Two holders must not take turns within `lease-ms`. Where servers check fences that counts only among
    holders that are in touch. A previous holder that this leader has not heard for SILENT_S is not: it is
    down, frozen or cut off, and needs `contact-ms` to be in touch again. Nor is one whose process has ended:
    it is heard, but under another incarnation than the one that claimed. Behind these nothing is waited for.
    """

    def __init__(
        self,
        group: LeasedGroup,
        claimant: Claimant,
        incarnation_of: Callable[[str], str | None],
        lease_s: float,
        fencing: bool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = claimant.node_name
        self._group = group
        self._claimant = claimant
        self._incarnation_of = incarnation_of
        self._lease_s = lease_s
        self._fencing = fencing
        self._clock = clock
        self._claimed_term = 0
        self._order_from = 0.0
        self._previous = NOBODY

    @property
    def fence(self) -> int:
        """The fencing token: the term in which this node claimed the shard."""
        return self._claimed_term

    def owns(self) -> bool:
        """Whether this node owns the shard now."""
        return self._claimed_term == self._group.term and self._group.holds_lease()

    def may_order(self) -> bool:
        """Whether an order may be sent in this turn."""
        return self.owns() and (self._clock() >= self._order_from or self._previous_is_gone())

    def _previous_is_gone(self) -> bool:
        """Whether the process that ordered before is known to be out of touch."""
        if not self._fencing or not self._previous.address:
            return False
        if not self._has_restarted() and self._group.silent_s(self._previous.address) < SILENT_S:
            return False
        self._order_from = self._clock()
        return True

    def _has_restarted(self) -> bool:
        heard = self._incarnation_of(self._previous.holder)
        return heard is not None and bool(self._previous.incarnation) and heard != self._previous.incarnation

    async def claim(self) -> None:
        """Write the claim to the log; raises NotLeader or ProposalLost. Another holder's last order was sent
        before this commits, so orders begin `lease-ms` later, or once that holder is known to be silent."""
        term = self._group.term
        claimant = self._claimant
        claim = OwnerClaimed(self.holder, term, claimant.address, claimant.incarnation)
        previous = await self._group.propose(claim.encode())
        if self._group.term != term or not isinstance(previous, OwnerClaimed):
            return
        follows_another = previous.holder not in (NOBODY.holder, self.holder)
        wait = self._lease_s + TURN_MARGIN_S if follows_another else 0.0
        self._previous = previous
        self._order_from = self._clock() + wait
        self._claimed_term = term
