"""Handlers for messages of other nodes, and announcements to other control nodes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from granitewell.controlplane.ownership.owner import Claimant
from granitewell.controlplane.ownership.processes import ANNOUNCEMENT_INTERVAL_S, KnownProcesses
from granitewell.controlplane.publication.publisher import EdgeCounter, Publisher
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.rendezvous import shard_of
from granitewell.nodes.layout import SHARD_COUNT, shard_group
from granitewell.nodes.shards import OwnedShard
from granitewell.rpc.messages import (
    DemandReport,
    EdgeCount,
    GroupMessage,
    WatchRequest,
    decode,
    encode,
)
from granitewell.rpc.translation import demand_from_message
from granitewell.rpc.transport import Handler, Method, RpcPeers

STARTUP_ANNOUNCEMENT_INTERVAL_S = 0.1
"""Announcement interval during STARTUP_PERIOD_S.

After a power loss of all machines, gateways, and through them edges, learn of the replicas only by these
announcements, and a gateway may start later than the replicas.
"""
STARTUP_PERIOD_S = 3.0


class ControlMessages:
    """Message handlers of one control node.

    Attributes:
        handlers: Handlers by method.
        processes: Processes of other control nodes, known by their announcements.
    """

    def __init__(
        self,
        claimant: Claimant,
        peers: RpcPeers,
        groups: Mapping[str, ReplicatedGroup],
        publisher: Publisher,
        edges: EdgeCounter,
        owned: Mapping[int, OwnedShard],
    ) -> None:
        self._claimant = claimant
        self._peers = peers
        self._groups = groups
        self._publisher = publisher
        self._edges = edges
        self._owned = owned
        self.processes = KnownProcesses(time.monotonic)
        self.handlers: dict[int, Handler] = {
            Method.WATCH: self._watch,
            Method.DEMAND: self._demand,
            Method.GROUP: self._group_message,
            Method.EDGES: self._edge_count,
        }

    async def _group_message(self, payload: bytes, _peer: str) -> bytes:
        message = decode(GroupMessage, payload)
        group = self._groups.get(message.group)
        if group is not None:
            group.receive(message.sender_address, message.payload)
        return b""

    async def _watch(self, payload: bytes, _peer: str) -> bytes:
        request = decode(WatchRequest, payload)
        return encode(await self._publisher.watch(request))

    async def _edge_count(self, payload: bytes, _peer: str) -> bytes:
        count = decode(EdgeCount, payload)
        self._edges.record_report(count.node, count.edges, time.monotonic())
        if count.address:
            self.processes.announce(count.address, count.incarnation or "")
        return b""

    async def _demand(self, payload: bytes, _peer: str) -> bytes:
        report = decode(DemandReport, payload)
        by_shard: dict[int, list[Any]] = {}
        for demand in report.demands or ():
            by_shard.setdefault(shard_of(demand.service_name, SHARD_COUNT), []).append(demand)
        for shard, demands in by_shard.items():
            self._route_demand(shard, report, demands)
        return b""

    def _route_demand(self, shard: int, report: Any, demands: list[Any]) -> None:
        owned = self._owned.get(shard)
        if owned is not None:
            owned.add_demand([demand_from_message(demand) for demand in demands], report.node)
            return
        leader = self._groups[shard_group(shard)].leader_address
        if leader is not None and leader != self._claimant.address and not report.forwarded:
            onward = DemandReport(node=report.node, zone=report.zone, demands=demands, forwarded=True)
            self._peers[leader].send(Method.DEMAND, encode(onward))

    async def announce(self, targets: Callable[[], Sequence[str]], has_members: Callable[[], bool]) -> None:
        """Announce this process and its number of edges to other control nodes, until cancelled.

        Control nodes without a vote are no members. They are told because they announce themselves.

        Args:
            targets: Returns the internal addresses of the control nodes and of the seeds. A seed without
                replicas learns by the announcement which nodes have some.
            has_members: Returns whether this node knows the members of the configuration's group. Until it
                has joined, no one is referred to it.
        """
        started_at = time.monotonic()
        while True:
            is_new = time.monotonic() - started_at < STARTUP_PERIOD_S
            await asyncio.sleep(STARTUP_ANNOUNCEMENT_INTERVAL_S if is_new else ANNOUNCEMENT_INTERVAL_S)
            count = self._edges.local_count(time.monotonic())
            claimant = self._claimant
            message = encode(
                EdgeCount(
                    node=claimant.node_name,
                    edges=count,
                    incarnation=claimant.incarnation,
                    address=claimant.address,
                    has_members=has_members(),
                )
            )
            for address in sorted({*targets(), *self.processes.responsive_addresses()}):
                if address != claimant.address:
                    self._peers[address].send(Method.EDGES, message)
