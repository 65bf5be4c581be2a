"""Ownership of one shard by this node: gained with leadership, used only inside its lease."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.ownership.record import NOBODY, OwnerClaimed

ORDER_LASTS_S = 1.0  # an order that has left has arrived, or its connection was reset, within this time
UNRESPONSIVE_AFTER_S = (
    1.2  # longer than a process that is well may be busy with itself, by 0.2 s for what is on its way
)


class LeasedGroup(Protocol):
    """What ownership needs of a replica group."""

    @property
    def term(self) -> int:
        """The group's term."""

    def holds_lease(self) -> bool:
        """Whether this node leads and a quorum grants it that now."""

    def seconds_since_contact(self, address: str) -> float:
        """Seconds since the member at an internal address was heard; infinite where there is none."""

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Commit an entry; the result of its apply."""


@dataclass(frozen=True, slots=True)
class Claimant:
    """The process that claims shards.

    Attributes:
        address: Internal, `ip:port`.
        incarnation: A random id of it.
    """

    node_name: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class TurnRules:
    """When two machines may order one server.

    Attributes:
        lease_s: The least time between their orders.
        contact_s: How long a machine must be free of faults to be in touch.
        fencing: Whether servers refuse a lower token, so that only the turns of machines in touch count.
    """

    lease_s: float
    contact_s: float
    fencing: bool

    @property
    def wait_s(self) -> float:
        """From a claim to the first order, behind another machine whose last order left before the claim."""
        return self.lease_s + ORDER_LASTS_S

    @property
    def faults_excuse(self) -> bool:
        """Whether nothing need be waited for behind a holder that a fault took away.

        The fault puts this machine out of touch as well, for at least as long as the wait.
        """
        return self.fencing and self.contact_s >= self.lease_s


class ShardOwnership:
    """The right of this process to order a shard's servers. holder and fence go into each order.

    Two machines must not take turns within `lease-ms`, so a claim behind another machine is followed by a
    wait. A holder whose replica and process this leader has not heard for a while is down, frozen or cut off,
    and one that is heard under another incarnation has restarted; behind these nothing is waited for where
    faults excuse it (`TurnRules`). One that is no longer a member proves nothing: it may have been replaced
    while it ran.

    One object lasts as long as its process: a wait that has begun goes on where this process loses leadership
    and claims again, and a claim of its own whose outcome it never learned hides the holder before it.
    """

    def __init__(
        self,
        group: LeasedGroup,
        claimant: Claimant,
        processes: KnownProcesses,
        rules: TurnRules,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = claimant.node_name
        self._group = group
        self._claimant = claimant
        self._processes = processes
        self._rules = rules
        self._clock = clock
        self._claimed_term = 0
        self._last_claim = NOBODY
        self._order_from = -math.inf
        self._predecessor = NOBODY

    @property
    def fencing_token(self) -> int:
        """The fencing token: the term in which this node claimed the shard."""
        return self._claimed_term

    def owns(self) -> bool:
        """Whether this node owns the shard now."""
        return self._claimed_term == self._group.term and self._group.holds_lease()

    def may_order(self) -> bool:
        """Whether an order may be sent in this turn."""
        return self.owns() and (self._clock() >= self._order_from or self._predecessor_is_gone())

    async def claim(self) -> None:
        """Write the claim to the log; raises NotLeaderError or ProposalLostError.

        The last order of whoever it follows left before this commits.
        """
        term = self._group.term
        claimant = self._claimant
        claim = OwnerClaimed(self.holder, term, claimant.address, claimant.incarnation)
        previous = await self._group.propose(claim.encode())
        if not isinstance(previous, OwnerClaimed):
            return
        self._follow(previous)
        self._last_claim = claim
        if self._group.term == term:
            self._claimed_term = term

    def _follow(self, previous: OwnerClaimed) -> None:
        """Begin the wait that is due behind a claim."""
        if previous == self._last_claim:
            return
        self._predecessor = NOBODY if self._is_own(previous) else previous
        self._order_from = self._clock() + (self._rules.wait_s if previous != NOBODY else 0.0)

    def _is_own(self, claim: OwnerClaimed) -> bool:
        own = self._claimant
        return claim.address == own.address and claim.incarnation == own.incarnation

    def _predecessor_is_gone(self) -> bool:
        """Whether the process that ordered before is known to be out of touch."""
        if not self._rules.faults_excuse or not self._predecessor.address:
            return False
        if not self._has_restarted() and not self._is_unresponsive():
            return False
        self._order_from = self._clock()
        return True

    def _has_restarted(self) -> bool:
        predecessor = self._predecessor
        if predecessor.address == self._claimant.address:
            return True
        heard = self._processes.incarnation_at(predecessor.address)
        return heard is not None and bool(predecessor.incarnation) and heard != predecessor.incarnation

    def _is_unresponsive(self) -> bool:
        """Silence in the group alone may be a disk that hangs: a replica answers once its term is synced."""
        address = self._predecessor.address
        return UNRESPONSIVE_AFTER_S <= self._group.seconds_since_contact(
            address
        ) < math.inf and self._processes.is_unresponsive(address)
