"""Ownership of one shard by this node: gained with leadership, and valid only during the lease."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.ownership.record import NO_OWNER, OwnerClaimed

MAX_ORDER_DELIVERY_S = 1.0  # after it was sent, an order has arrived or its connection was reset
UNRESPONSIVE_AFTER_S = 1.2  # longest pause of a healthy process (1 s), and 0.2 s for messages in flight


class LeasedGroup(Protocol):
    """Interface of the replica group that ownership uses."""

    @property
    def term(self) -> int:
        """Term of the group."""

    def holds_lease(self) -> bool:
        """Return whether this node leads and holds the lease."""

    def seconds_since_contact(self, address: str) -> float:
        """Return the seconds since the last message of a member; infinite if there is no such member."""

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
    """When a new owner may send orders to servers that another machine has sent orders to.

    Attributes:
        lease_s: Minimum time between the orders of two machines, in seconds.
        contact_s: How long a machine must be free of faults to count as in contact, in seconds.
        fencing: Whether servers refuse lower fencing tokens. Then the minimum time applies only to machines
            in contact.
    """

    lease_s: float
    contact_s: float
    fencing: bool

    @property
    def wait_s(self) -> float:
        """Time from a claim to the first order if another machine owned the shard before, in seconds."""
        return self.lease_s + MAX_ORDER_DELIVERY_S

    @property
    def fault_replaces_wait(self) -> bool:
        """Whether no wait is needed after the previous owner was lost to a fault.

        After such a fault this machine does not count as in contact either, for at least as long as the wait.
        """
        return self.fencing and self.contact_s >= self.lease_s


class ShardOwnership:
    """The right of this process to send orders to a shard's servers.

    `holder` and `fencing_token` are part of each order. Two machines must not send orders to a server within
    `lease-ms` of each other, so the first order after a claim waits if another machine owned the shard. A
    previous owner counts as lost to a fault if this leader has heard neither from its replica nor from its
    process for some time (it is down, suspended or partitioned), or if its process announces another
    incarnation (it has restarted). Then there is no wait if `TakeoverRules` permit that. A previous owner
    that is no longer a member may have been replaced while it ran, so the wait applies.

    There is one object per shard for the lifetime of the process, so a wait continues if this process loses
    leadership and claims again. If the process never learned the outcome of a claim of its own, that claim
    may be the recorded predecessor, and hides the owner before it.
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
        """Return whether an order may be sent in this iteration of the event loop."""
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
        """Start the wait after a claim."""
        if previous == self._last_claim:
            return
        self._predecessor = NO_OWNER if self._is_own(previous) else previous
        self._orders_allowed_at = self._clock() + (self._rules.wait_s if previous != NO_OWNER else 0.0)

    def _is_own(self, claim: OwnerClaimed) -> bool:
        own = self._claimant
        return claim.address == own.address and claim.incarnation == own.incarnation

    def _predecessor_is_gone(self) -> bool:
        """End the wait if the previous owner was lost to a fault; return whether that is so."""
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
        """Return whether the previous owner's replica and process are both unresponsive.

        With a stalled disk, its replica is unresponsive while its process still runs: a replica replies only
        once its term is synced.
        """
        address = self._predecessor.address
        return UNRESPONSIVE_AFTER_S <= self._group.seconds_since_contact(
            address
        ) < math.inf and self._processes.is_unresponsive(address)
