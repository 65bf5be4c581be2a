"""Ownership of a shard: claimed in the log, valid within the lease, with a wait after another owner."""

from __future__ import annotations

import asyncio
import math

import pytest

from granitewell.controlplane.ownership.owner import (
    MAX_ORDER_DELIVERY_S,
    UNRESPONSIVE_AFTER_S,
    Claimant,
    ShardOwnership,
    TakeoverRules,
)
from granitewell.controlplane.ownership.processes import (
    ANNOUNCEMENT_INTERVAL_S,
    PROCESS_UNRESPONSIVE_AFTER_S,
    KnownProcesses,
)
from granitewell.controlplane.ownership.record import MalformedClaimError, OwnerClaimed, OwnerRecord
from granitewell.controlplane.placement.orders import ORDER_TIMEOUT_S
from granitewell.domain.errors import NotLeaderError, ProposalLostError

OTHER_ADDRESS = "10.0.0.2:7660"
OWN_ADDRESS = "10.0.0.1:7660"


class Group:
    """A replica group that leads in `term` while `lease` is true."""

    def __init__(self, record: OwnerRecord) -> None:
        self.record, self.term, self.lease = record, 1, True
        self.silent_s: dict[str, float] = {}

    def holds_lease(self) -> bool:
        return self.lease

    def seconds_since_contact(self, address: str) -> float:
        return self.silent_s.get(address, 0.0)

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        if not self.lease:
            raise NotLeaderError()
        return self.record.apply(1, data)


class Clock:
    now = 50.0

    def __call__(self) -> float:
        return self.now


def owner(
    record: OwnerRecord, fencing: bool = True, contact_s: float = 3.0
) -> tuple[ShardOwnership, Group, Clock]:
    group, clock = Group(record), Clock()
    claimant = Claimant("core-1", OWN_ADDRESS, "process-1")
    rules = TakeoverRules(3.0, contact_s, fencing)
    return ShardOwnership(group, claimant, KnownProcesses(clock), rules, clock), group, clock


def processes_of(ownership: ShardOwnership) -> KnownProcesses:
    return ownership._processes


def test_the_first_owner_orders_at_once() -> None:
    ownership, _, _ = owner(OwnerRecord())
    assert not ownership.may_order()
    asyncio.run(ownership.claim())
    assert ownership.may_order() and ownership.fencing_token == 1


def test_after_another_owner_orders_wait_for_its_lease() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-2", 4).encode())
    ownership, group, clock = owner(record)
    group.term = 5
    asyncio.run(ownership.claim())
    assert ownership.owns() and not ownership.may_order()
    clock.now += 3.0
    assert not ownership.may_order()
    clock.now += MAX_ORDER_DELIVERY_S
    assert ownership.may_order() and ownership.fencing_token == 5


def claimed_after_another(fencing: bool, contact_s: float = 3.0) -> tuple[ShardOwnership, Group, Clock]:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-2", 4, OTHER_ADDRESS, "process-2").encode())
    ownership, group, clock = owner(record, fencing, contact_s)
    group.term = 5
    asyncio.run(ownership.claim())
    return ownership, group, clock


def test_after_an_unresponsive_owner_orders_do_not_wait() -> None:
    ownership, group, clock = claimed_after_another(fencing=True)
    clock.now += PROCESS_UNRESPONSIVE_AFTER_S + 0.01
    group.silent_s[OTHER_ADDRESS] = UNRESPONSIVE_AFTER_S - 0.1
    assert not ownership.may_order()
    group.silent_s[OTHER_ADDRESS] = UNRESPONSIVE_AFTER_S
    assert ownership.may_order()
    group.silent_s[OTHER_ADDRESS] = 0.0  # back, but no longer the owner, and in contact only after contact-ms
    assert ownership.may_order()


def test_after_an_owner_with_a_stalled_disk_orders_wait() -> None:
    ownership, group, clock = claimed_after_another(fencing=True)
    group.silent_s[OTHER_ADDRESS] = 2.0  # its replica replies only once its term is synced
    clock.now += 2.0
    processes_of(ownership).announce(OTHER_ADDRESS, "process-2")
    assert not ownership.may_order()
    clock.now += PROCESS_UNRESPONSIVE_AFTER_S + 0.01
    assert ownership.may_order()


def test_a_process_that_never_announced_itself_becomes_unresponsive() -> None:
    clock = Clock()
    processes = KnownProcesses(clock)
    assert not processes.is_unresponsive(OTHER_ADDRESS) and processes.incarnation_at(OTHER_ADDRESS) is None
    clock.now += PROCESS_UNRESPONSIVE_AFTER_S + 0.01
    assert processes.is_unresponsive(OTHER_ADDRESS)
    processes.announce(OTHER_ADDRESS, "process-2")
    assert not processes.is_unresponsive(OTHER_ADDRESS)
    assert processes.incarnation_at(OTHER_ADDRESS) == "process-2"
    assert PROCESS_UNRESPONSIVE_AFTER_S > ANNOUNCEMENT_INTERVAL_S + 0.2


def test_after_a_restarted_owner_orders_do_not_wait() -> None:
    ownership, group, _ = claimed_after_another(fencing=True)
    processes_of(ownership).announce(OTHER_ADDRESS, "process-2")
    assert not ownership.may_order()
    processes_of(ownership).announce(OTHER_ADDRESS, "process-9")
    assert ownership.may_order()


def test_without_fencing_a_restart_does_not_end_the_wait() -> None:
    ownership, group, _ = claimed_after_another(fencing=False)
    processes_of(ownership).announce(OTHER_ADDRESS, "process-9")
    assert not ownership.may_order()


def test_without_fencing_an_unresponsive_owner_does_not_end_the_wait() -> None:
    ownership, group, clock = claimed_after_another(fencing=False)
    group.silent_s[OTHER_ADDRESS] = 100.0
    assert not ownership.may_order()
    clock.now += 3.0
    assert not ownership.may_order()  # an order that was sent may still be in the network
    clock.now += MAX_ORDER_DELIVERY_S
    assert ownership.may_order()


def test_an_order_is_over_before_a_follower_without_fences_orders() -> None:
    assert ORDER_TIMEOUT_S + 0.2 <= MAX_ORDER_DELIVERY_S


def test_after_a_removed_member_orders_wait() -> None:
    ownership, group, _ = claimed_after_another(fencing=True)
    group.silent_s[OTHER_ADDRESS] = math.inf  # replaced, perhaps while it ran
    assert not ownership.may_order()


def test_with_a_contact_time_below_the_lease_an_unresponsive_owner_does_not_end_the_wait() -> None:
    ownership, group, clock = claimed_after_another(fencing=True, contact_s=2.9)
    group.silent_s[OTHER_ADDRESS] = 100.0
    processes_of(ownership).announce(OTHER_ADDRESS, "process-9")
    assert not ownership.may_order()
    clock.now += 3.0 + MAX_ORDER_DELIVERY_S
    assert ownership.may_order()


def test_another_machine_under_the_same_name_is_another_holder() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-1", 4, OTHER_ADDRESS, "process-2").encode())
    ownership, group, clock = owner(record)
    group.term = 5
    asyncio.run(ownership.claim())
    assert not ownership.may_order()
    clock.now += 3.0 + MAX_ORDER_DELIVERY_S
    assert ownership.may_order()


@pytest.mark.parametrize("fencing", [True, False])
def test_after_its_own_claim_there_is_no_wait_and_the_token_increases(fencing: bool) -> None:
    ownership, group, _ = owner(OwnerRecord(), fencing)
    asyncio.run(ownership.claim())
    group.term = 6
    asyncio.run(ownership.claim())
    assert ownership.may_order() and ownership.fencing_token == 6


def test_after_its_own_earlier_process_it_waits_only_without_fencing() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-1", 4, OWN_ADDRESS, "process-0").encode())
    fenced, group, _ = owner(record)
    group.term = 5
    asyncio.run(fenced.claim())
    assert fenced.may_order()

    record.apply(2, OwnerClaimed("core-1", 6, OWN_ADDRESS, "process-0").encode())
    unfenced, group, clock = owner(record, fencing=False)  # the owner before that process is unknown
    group.term = 7
    asyncio.run(unfenced.claim())
    assert not unfenced.may_order()
    clock.now += 3.0 + MAX_ORDER_DELIVERY_S
    assert unfenced.may_order()


@pytest.mark.parametrize("fencing", [True, False])
def test_a_wait_goes_on_where_leadership_is_lost_and_gained_again(fencing: bool) -> None:
    ownership, group, clock = claimed_after_another(fencing)
    clock.now += 1.5
    group.term = 7
    asyncio.run(ownership.claim())
    assert ownership.owns() and not ownership.may_order()
    clock.now += 1.5 + MAX_ORDER_DELIVERY_S
    assert ownership.may_order()


def test_a_claim_whose_outcome_was_not_learned_hides_whom_it_follows() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-2", 4, OTHER_ADDRESS, "process-2").encode())
    ownership, group, clock = owner(record)
    real = group.propose

    async def lost(data: bytes, timeout_s: float = 3.0) -> object:
        await real(data)
        raise ProposalLostError("stepped down")

    group.term = 5
    group.propose = lost  # type: ignore[method-assign]
    with pytest.raises(ProposalLostError):
        asyncio.run(ownership.claim())
    group.term = 6
    group.propose = real  # type: ignore[method-assign]
    asyncio.run(ownership.claim())
    assert ownership.owns() and not ownership.may_order()
    clock.now += 3.0 + MAX_ORDER_DELIVERY_S
    assert ownership.may_order()


def test_without_the_lease_or_in_another_term_nothing_is_ordered() -> None:
    ownership, group, _ = owner(OwnerRecord())
    asyncio.run(ownership.claim())
    group.lease = False
    assert not ownership.may_order()
    group.lease = True
    group.term = 2
    assert not ownership.may_order()


def test_a_term_that_changes_while_claiming_is_not_claimed() -> None:
    ownership, group, _ = owner(OwnerRecord())
    real = group.propose

    async def propose(data: bytes, timeout_s: float = 3.0) -> object:
        result = await real(data)
        group.term = 2
        return result

    group.propose = propose  # type: ignore[method-assign]
    asyncio.run(ownership.claim())
    assert not ownership.may_order()


def test_the_record_survives_a_snapshot_and_refuses_garbage() -> None:
    record, other = OwnerRecord(), OwnerRecord()
    record.apply(1, OwnerClaimed("core-3", 9).encode())
    other.restore(record.snapshot())
    assert other.owner == OwnerClaimed("core-3", 9)
    with pytest.raises(MalformedClaimError):
        other.apply(2, b"{}")
    assert other.owner == OwnerClaimed("core-3", 9)
