"""A member that is about to stop (SIGTERM).

It is replaced if a spare is ready, and remains a voter otherwise.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from granitewell.coordination.consensus.settings import ReplicaSettings
from tests.coordination.cluster import Cluster, Node, group_of, until
from tests.coordination.virtual_loop import run

SPARE = "10.0.1.1:7"
LEAVE_S = ReplicaSettings().leave_s
UNREACHABLE_S = ReplicaSettings().unreachable_s


def scenario(seed: int, check: Callable[[Cluster, Node], Coroutine[Any, Any, None]]) -> None:
    """Return three nodes with a leader and something acknowledged."""

    async def play() -> None:
        cluster = Cluster(seed)
        leader = await cluster.start()
        await group_of(leader).propose(b"first")
        await check(cluster, leader)

    run(play())


async def add_spare(cluster: Cluster) -> Node:
    """Add a fourth node, and wait until it has caught up."""
    spare = cluster.nodes[SPARE] = Node(cluster, SPARE, first=False)
    await spare.start()
    await until(lambda: spare.machine.words == [b"first"])
    await asyncio.sleep(0.5)
    return spare


async def leave(cluster: Cluster, node: Node) -> float:
    """Do what a process does on SIGTERM; return how long it takes."""
    started = cluster.loop.time()
    await group_of(node).leave()
    await group_of(node).transfer()
    took_s = cluster.loop.time() - started
    await node.die(power=False)
    return took_s


def addresses(node: Node) -> set[str]:
    """Return the addresses of the voters that a node knows."""
    return {member.address for member in group_of(node).members}


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_a_ready_spare_replaces_a_member_before_it_stops(seed: int, leads: bool) -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        spare = await add_spare(cluster)
        leaving = leader if leads else cluster.others(leader)[0]
        others = {node.address for node in cluster.nodes.values()} - {leaving.address}
        assert await leave(cluster, leaving) < 0.3
        assert addresses(spare) == others
        leader = await cluster.leader()
        await group_of(leader).propose(b"second")
        await leaving.start()
        await until(lambda: leaving.machine.words == [b"first", b"second"])
        assert addresses(leader) == others

    scenario(seed, check)


@pytest.mark.parametrize("leads", [True, False])
def test_a_member_without_a_spare_stops_at_once_and_remains_a_voter(leads: bool) -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        leaving = leader if leads else cluster.others(leader)[0]
        replica_id = group_of(leaving).replica_id
        assert await leave(cluster, leaving) < 0.2
        await leaving.start()
        await until(lambda: group_of(leaving).leader_address is not None)
        assert group_of(leaving).replica_id == replica_id and group_of(leaving).is_voter
        assert len(addresses(leaving)) == 3

    scenario(1, check)


def test_a_member_without_a_leader_stops_after_the_timeout() -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        leaving, other = cluster.others(leader)
        await leader.die(power=False)
        await other.die(power=False)
        assert await leave(cluster, leaving) <= LEAVE_S + 0.1

    scenario(2, check)


def test_a_spare_with_a_stalled_disk_delays_neither_member_nor_group() -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        spare = await add_spare(cluster)
        assert spare.executor is not None
        spare.executor.delay_s = 1000
        leaving = cluster.others(leader)[0]
        assert await leave(cluster, leaving) <= LEAVE_S + 0.1
        await group_of(leader).propose(b"second")
        await leaving.start()
        await asyncio.sleep(UNREACHABLE_S + 0.5)
        assert addresses(leader) == set(cluster.nodes) - {SPARE}
        await group_of(leader).propose(b"third")

    scenario(3, check)


def copies(cluster: Cluster) -> set[str]:
    """Return the addresses of the nodes that have all entries on their disks."""
    cores = {
        node.address: node.group._replica._core
        for node in cluster.nodes.values()
        if node.group is not None and node.group._replica is not None
    }
    last = max(core.log.last_index for core in cores.values())
    return {address for address, core in cores.items() if core.persistence.stable_index >= last}


@pytest.mark.parametrize("leads", [True, False])
def test_a_member_with_one_of_two_copies_waits_until_the_others_have_them(leads: bool) -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        followers = cluster.others(leader)
        leaving, slow = (leader, followers[0]) if leads else (followers[0], followers[1])
        assert slow.executor is not None
        slow.executor.delay_s = 0.3
        await group_of(leader).propose(b"second")
        stays = {node.address for node in cluster.nodes.values()} - {leaving.address}
        assert not stays <= copies(cluster)
        await group_of(leaving).leave()
        assert stays <= copies(cluster)

    scenario(4, check)


@pytest.mark.parametrize("leads", [True, False])
def test_a_member_does_not_wait_for_an_unresponsive_one(leads: bool) -> None:
    async def check(cluster: Cluster, leader: Node) -> None:
        followers = cluster.others(leader)
        leaving, dead = (leader, followers[0]) if leads else (followers[0], followers[1])
        await dead.die(power=False)
        await asyncio.sleep(1)
        await group_of(leader).propose(b"second")
        assert await leave(cluster, leaving) < 0.2

    scenario(5, check)
