"""Supervision of the shards in a control process.

Each shard is owned while this node leads its group, otherwise followed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping

from granitewell.controlplane.ownership.owner import ShardOwnership, TakeoverRules
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.nodes.shards import LEASE_POLL_S, OwnedShard, ShardServices
from granitewell.nodes.table_follower import TableFollower
from granitewell.rpc.transport import RpcPeers

LEADER_POLL_S = 0.1  # while no leader of a shard is known


class ShardSupervisor:
    """Owns or follows each shard.

    Args:
        owned: Shards that this node owns now, kept up to date by the supervisor.
    """

    def __init__(
        self,
        groups: Mapping[int, ReplicatedGroup],
        tables: Mapping[int, ServerTable],
        peers: RpcPeers,
        services: ShardServices,
        owned: dict[int, OwnedShard],
    ) -> None:
        self._groups = groups
        self._tables = tables
        self._peers = peers
        self._services = services
        self._owned = owned

    async def run_shard(self, shard: int) -> None:
        """Own a shard while this node leads its group; otherwise follow its owner's table."""
        group, table, services = self._groups[shard], self._tables[shard], self._services
        follower = TableFollower(shard, table, self._peers, services.settings(), services.changed)
        ownership = self._ownership(group)
        own_address = services.claimant.address
        while True:
            if group.holds_lease():
                await self._own(shard, ownership)
                continue
            leader = group.leader_address
            if leader is None or leader == own_address:
                await asyncio.sleep(LEADER_POLL_S)
                continue
            await self._poll_until_leading(group, follower.poll(leader))

    def _ownership(self, group: ReplicatedGroup) -> ShardOwnership:
        """Return the ownership of a shard.

        There is one object for the lifetime of the process, so that a wait after another owner continues if
        this node loses leadership and regains it.
        """
        services = self._services
        bounds = services.settings().bounds
        rules = TakeoverRules(bounds.lease_ms / 1000.0, bounds.contact_ms / 1000.0, bounds.fencing)
        return ShardOwnership(group, services.claimant, services.processes, rules)

    async def _own(self, shard: int, ownership: ShardOwnership) -> None:
        """Run as the shard's owner until the lease is lost."""
        owned = OwnedShard(shard, ownership, self._tables[shard], self._services)
        self._owned[shard] = owned
        try:
            await owned.run()
        finally:
            self._owned.pop(shard, None)

    async def _poll_until_leading(self, group: ReplicatedGroup, poll: Coroutine[None, None, None]) -> None:
        """Poll the owner, and cancel the poll once this node leads: a partitioned owner may never reply."""
        task = asyncio.create_task(poll)
        try:
            while not task.done() and not group.holds_lease():
                await asyncio.wait({task}, timeout=LEASE_POLL_S)
        finally:
            task.cancel()
