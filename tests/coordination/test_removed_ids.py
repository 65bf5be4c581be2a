"""Replicas that return after their removal was forgotten, because more ids were removed than are kept."""

from __future__ import annotations

import asyncio

import pytest

from granitewell.coordination.consensus import membership
from tests.coordination.cluster import Cluster, Node, group_of, until
from tests.coordination.virtual_loop import run

KEPT = 2


def test_a_replica_removed_long_ago_returns_as_a_learner_without_disruption(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership, "MAX_REMOVED_IDS", KEPT)

    async def scenario() -> None:
        cluster = Cluster(1)
        leader = await cluster.start()
        await group_of(leader).propose(b"first")
        away, staying = cluster.others(leader)
        old_id = group_of(away).replica_id
        await away.die(power=False)
        spare = cluster.nodes["10.0.0.9:7"] = Node(cluster, "10.0.0.9:7", first=False)
        await spare.start()
        await until(lambda: group_of(spare).is_voter and len(group_of(leader).members) == 3, 6)
        for number in range(2 * KEPT + 1):
            await spare.die(power=True)
            spare.wipe()
            await spare.start()
            await until(lambda: group_of(spare).is_voter and len(group_of(leader).members) == 3, 6)
            await group_of(leader).propose(b"%d" % number)
        removed = group_of(leader)._replica._core.log.membership.removed  # type: ignore[union-attr]
        assert len(removed) == KEPT and old_id not in removed
        term = group_of(leader).term
        await away.start()
        assert group_of(away).replica_id == old_id and group_of(away).is_voter
        await until(lambda: away.machine.words == leader.machine.words, 6)
        await asyncio.sleep(3)
        assert group_of(leader).holds_lease() and group_of(leader).term == term
        assert not group_of(away).is_voter and len(group_of(leader).members) == 3
        await staying.die(power=True)
        staying.wipe()
        await until(lambda: group_of(away).is_voter, 6)
        assert await group_of(leader).propose(b"last") == 2 * KEPT + 3
        await until(lambda: away.machine.words == leader.machine.words, 6)

    run(scenario())
