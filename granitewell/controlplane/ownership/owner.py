"""Ownership of one shard by this node: gained with leadership, valid only within its lease."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.ownership.record import NO_OWNER, OwnerClaimed

MAX_ORDER_DELIVERY_S = (
    1.0  # an order that has left has arrived, or its connection was reset, within this time
)
UNRESPONSIVE_AFTER_S = (
    1.2  # longer than a process that is well may be busy with itself, by 0.2 s for what is on its way
)


class LeasedGroup(Protocol):
    """What ownership needs of a replica group."""

    @property
    def term(self) -> int:
        """Term of the group."""

    def holds_lease(self) -> bool:
        """Return whether this node leads and holds the lease."""

    def seconds_since_contact(self, address: str) -> float:
        """Return the seconds since the member at an internal address was heard from; infinite if none."""

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Commit an entry; return the result of applying it."""


@dataclass(frozen=True, slots=True)
class Claimant:
    """The process that claims shards.

    Attributes:
        node_name: Name of the machine.
        address: Internal address, `ip:port`.
        incarnation: Random id of the process.
    """

    node_name: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class TakeoverRules:
    """When two machines may send orders to the same server.

    Attributes:
        lease_s: Minimum time between their orders.
        contact_s: How long a machine must be free of faults to count as in contact.
        fencing: Whether servers refuse lower fencing tokens, so that only machines in contact matter.
    """

    lease_s: float
    contact_s: float
    fencing: bool

    @property
    def wait_s(self) -> float:
        """Time from a claim to the first order if another machine sent its last order before the claim."""
        return self.lease_s + MAX_ORDER_DELIVERY_S

    @property
    def fault_replaces_wait(self) -> bool:
        """Whether no wait is needed after an owner that was lost to a fault.

        The fault also counts against this machine's contact, for at least as long as the wait.
        """
        return self.fencing and self.contact_s >= self.lease_s


class ShardOwnership:
    """The right of this process to send orders to a shard's servers.

    `holder` and `fencing_token` are part of each order. Two machines must not alternate within `lease-ms`, so
    a claim that follows another machine's is followed by a wait. An owner whose replica and process this
    leader has not heard from for a while is down, frozen or partitioned, and one that is heard from under
    another incarnation has restarted. After these there is no wait if faults excuse it (`TurnRules`). An
    owner that is no longer a member proves nothing: it may have been replaced while it ran.

    An object lives as long as its process. A wait continues if this process loses leadership and claims
    again. A claim of its own whose outcome it never learned hides the owner before it.
    """

    def __init__(
        self,
        group: LeasedGroup,
        claimant: Claimant,
        processes: KnownProcesses,
        rules: TakeoverRules,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = claimant.node_name
        self._group = group
        self._claimant = claimant
        self._processes = processes
        self._rules = rules
        self._clock = clock
        self._claimed_term = 0
        self._last_claim = NO_OWNER
        self._orders_allowed_at = -math.inf
        self._predecessor = NO_OWNER

    @property
    def fencing_token(self) -> int:
        """Fencing token: the term in which this node claimed the shard."""
        return self._claimed_term

    def owns(self) -> bool:
        """Return whether this node owns the shard now."""
        return self._claimed_term == self._group.term and self._group.holds_lease()

    def may_order(self) -> bool:
        """Return whether an order may be sent in this turn of the event loop."""
        return self.owns() and (self._clock() >= self._orders_allowed_at or self._predecessor_is_gone())

    async def claim(self) -> None:
        """Write the claim to the log; raises NotLeaderError and ProposalLostError.

        The previous owner has sent its last order before the claim is committed.
        """
        term = self._group.term
        claimant = self._claimant
        claim = OwnerClaimed(self.holder, term, claimant.address, claimant.incarnation)
        previous = await self._group.propose(claim.encode())
        if not isinstance(previous, OwnerClaimed):
            return
        self._start_wait(previous)
        self._last_claim = claim
        if self._group.term == term:
            self._claimed_term = term

    def _start_wait(self, previous: OwnerClaimed) -> None:
        """Begin the wait that must follow a claim."""
        if previous == self._last_claim:
            return
        self._predecessor = NO_OWNER if self._is_own(previous) else previous
        self._orders_allowed_at = self._clock() + (self._rules.wait_s if previous != NO_OWNER else 0.0)

    def _is_own(self, claim: OwnerClaimed) -> bool:
        own = self._claimant
        return claim.address == own.address and claim.incarnation == own.incarnation

    def _predecessor_is_gone(self) -> bool:
        """Return whether the previous owner's process is known to be out of contact."""
        if not self._rules.fault_replaces_wait or not self._predecessor.address:
            return False
        if not self._has_restarted() and not self._is_unresponsive():
            return False
        self._orders_allowed_at = self._clock()
        return True

    def _has_restarted(self) -> bool:
        predecessor = self._predecessor
        if predecessor.address == self._claimant.address:
            return True
        announced = self._processes.incarnation_at(predecessor.address)
        return (
            announced is not None and bool(predecessor.incarnation) and announced != predecessor.incarnation
        )

    def _is_unresponsive(self) -> bool:
        """Return whether the previous owner is unresponsive.

        Its replica alone may be unresponsive because of a stalled disk: a replica replies only once its term
        is synced.
        """
        address = self._predecessor.address
        return UNRESPONSIVE_AFTER_S <= self._group.seconds_since_contact(
            address
        ) < math.inf and self._processes.is_unresponsive(address)
