"""Ownership of a shard: claimed in the log, used inside the lease, with a pause behind another holder."""

from __future__ import annotations

import asyncio

import pytest

from granitewell.controlplane.ownership.owner import SILENT_S, TURN_MARGIN_S, Claimant, ShardOwnership
from granitewell.controlplane.ownership.record import BadClaim, OwnerClaimed, OwnerRecord
from granitewell.model.errors import NotLeader


class Group:
    """A replica group that leads in `term` as long as `lease`."""

    def __init__(self, record: OwnerRecord) -> None:
        self.record, self.term, self.lease = record, 1, True
        self.silent: dict[str, float] = {}
        self.incarnations: dict[str, str] = {}

    def holds_lease(self) -> bool:
        return self.lease

    def silent_s(self, address: str) -> float:
        return self.silent.get(address, 0.0)

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        if not self.lease:
            raise NotLeader()
        return self.record.apply(1, data)


class Clock:
    now = 50.0

    def __call__(self) -> float:
        return self.now


def owner(record: OwnerRecord, fencing: bool = True) -> tuple[ShardOwnership, Group, Clock]:
    group, clock = Group(record), Clock()
    claimant = Claimant("core-1", "10.0.0.1:7660", "process-1")
    return ShardOwnership(group, claimant, group.incarnations.get, 3.0, fencing, clock), group, clock


def test_the_first_owner_orders_at_once() -> None:
    ownership, _, _ = owner(OwnerRecord())
    assert not ownership.may_order()
    asyncio.run(ownership.claim())
    assert ownership.may_order() and ownership.fence == 1


def test_behind_another_holder_orders_wait_for_its_lease() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-2", 4).encode())
    ownership, group, clock = owner(record)
    group.term = 5
    asyncio.run(ownership.claim())
    assert ownership.owns() and not ownership.may_order()
    clock.now += 3.0
    assert not ownership.may_order()
    clock.now += TURN_MARGIN_S
    assert ownership.may_order() and ownership.fence == 5


def claimed_behind_another(fencing: bool) -> tuple[ShardOwnership, Group, Clock]:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-2", 4, "10.0.0.2:7660", "process-2").encode())
    ownership, group, clock = owner(record, fencing)
    group.term = 5
    asyncio.run(ownership.claim())
    return ownership, group, clock


def test_behind_a_holder_that_has_fallen_silent_orders_do_not_wait() -> None:
    ownership, group, _ = claimed_behind_another(fencing=True)
    group.silent["10.0.0.2:7660"] = SILENT_S - 0.1
    assert not ownership.may_order()
    group.silent["10.0.0.2:7660"] = SILENT_S
    assert ownership.may_order()
    group.silent["10.0.0.2:7660"] = 0.0  # back: in touch only after contact-ms, and no holder any more
    assert ownership.may_order()


def test_behind_a_holder_that_has_restarted_orders_do_not_wait() -> None:
    ownership, group, _ = claimed_behind_another(fencing=True)
    group.incarnations["core-2"] = "process-2"
    assert not ownership.may_order()
    group.incarnations["core-2"] = "process-9"
    assert ownership.may_order()


def test_without_fences_a_restart_shortens_nothing() -> None:
    ownership, group, _ = claimed_behind_another(fencing=False)
    group.incarnations["core-2"] = "process-9"
    assert not ownership.may_order()


def test_where_servers_check_no_fences_silence_shortens_nothing() -> None:
    ownership, group, clock = claimed_behind_another(fencing=False)
    group.silent["10.0.0.2:7660"] = 100.0
    assert not ownership.may_order()
    clock.now += 3.0 + TURN_MARGIN_S
    assert ownership.may_order()


def test_behind_itself_there_is_no_pause_and_the_fence_rises() -> None:
    record = OwnerRecord()
    record.apply(1, OwnerClaimed("core-1", 4).encode())
    ownership, group, _ = owner(record)
    group.term = 6
    asyncio.run(ownership.claim())
    assert ownership.may_order() and ownership.fence == 6


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
    with pytest.raises(BadClaim):
        other.apply(2, b"{}")
    assert other.owner == OwnerClaimed("core-3", 9)
