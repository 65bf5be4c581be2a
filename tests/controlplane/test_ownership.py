"""Ownership of a shard: claimed in the log, used inside the lease, with a pause behind another holder."""

from __future__ import annotations

import asyncio

import pytest

from granitewell.controlplane.ownership.owner import TURN_MARGIN_S, ShardOwnership
from granitewell.controlplane.ownership.record import BadClaim, OwnerClaimed, OwnerRecord
from granitewell.model.errors import NotLeader


class Group:
    """A replica group that leads in `term` as long as `lease`."""

    def __init__(self, record: OwnerRecord) -> None:
        self.record, self.term, self.lease = record, 1, True

    def holds_lease(self) -> bool:
        return self.lease

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        if not self.lease:
            raise NotLeader()
        return self.record.apply(1, data)


class Clock:
    now = 50.0

    def __call__(self) -> float:
        return self.now


def owner(record: OwnerRecord, name: str = "core-1") -> tuple[ShardOwnership, Group, Clock]:
    group, clock = Group(record), Clock()
    return ShardOwnership(group, name, 3.0, clock), group, clock


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
