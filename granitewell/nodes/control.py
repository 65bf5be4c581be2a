"""The control role: replica groups, operator API, registry, placement and publication, joined."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
from aiohttp import web

from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import ConfigurationStore
from granitewell.controlplane.ownership.owner import Claimant
from granitewell.controlplane.ownership.record import OwnerRecord
from granitewell.controlplane.publication.publisher import EdgeCounter, Publisher
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import load_identity
from granitewell.coordination.rendezvous import shard_of
from granitewell.discovery.reader import InstanceReader, SharedReader
from granitewell.model.errors import InvalidSettings
from granitewell.model.settings import Settings
from granitewell.nodes.layout import SHARDS
from granitewell.nodes.process import SettingsFile, Signals, follow_settings, run_process
from granitewell.nodes.shards import (
    LEASE_LOOK_S,
    LIST_FRESH_PART,
    OwnedShard,
    TableFollower,
    list_every_s,
)
from granitewell.rpc.messages import (
    DemandReport,
    EdgeCount,
    GroupMessage,
    WatchRequest,
    decode,
    encode,
)
from granitewell.rpc.translation import demand_from_message
from granitewell.rpc.transport import Method, RpcPeers, RpcServer

CONFIGURATION_GROUP = "configuration"
EDGE_COUNT_EVERY_S = 1.0
EDGE_COUNT_FIRST_S = 0.3  # a process that has restarted makes that known soon
STOP_S = 1.5  # for handing leadership over, on SIGTERM; before it, at most `leave_s` for leaving


def shard_group(shard: int) -> str:
    """The name of a shard's replica group."""
    return f"shard-{shard}"


class ControlNode:
    """One process of the control role."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        if settings.data_dir is None:
            raise InvalidSettings("data-dir", "missing: the control role keeps its state there")
        if settings.listen.control is None:
            raise InvalidSettings("listen.control", "missing: operators call there")
        self.settings = settings
        self._rng = rng
        self._control_port = settings.listen.control.rpartition(":")[2]
        self.address = f"{settings.ip}:{settings.control_rpc_port}"
        self.claimant = Claimant(settings.node_name, self.address, f"{rng.getrandbits(64):016x}")
        self.incarnations: dict[str, str] = {}  # of other control nodes' processes, as heard last
        self.peers = RpcPeers()
        self.store = ConfigurationStore()
        self.records = {shard: OwnerRecord() for shard in range(SHARDS)}
        self.tables = {shard: ServerTable() for shard in range(SHARDS)}
        self.groups = self._make_groups(Path(settings.data_dir))
        self.configuration_group = self.groups[CONFIGURATION_GROUP]
        self.edges = EdgeCounter()
        self.publisher = Publisher(
            self.store, self.tables, self.control_nodes, self.configuration_group.contact_age_s, self.edges
        )
        self.owned: dict[int, OwnedShard] = {}
        self._server = RpcServer(
            {
                Method.WATCH: self._watch,
                Method.DEMAND: self._demand,
                Method.GROUP: self._group_message,
                Method.EDGES: self._edge_count,
            }
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _make_groups(self, data_dir: Path) -> dict[str, ReplicatedGroup]:
        settings = self.settings
        seeds = self._internal(settings.seeds)
        identity = load_identity(data_dir, settings.node_name, self.address, settings.bootstrap, seeds)
        machines: dict[str, Any] = {CONFIGURATION_GROUP: self.store}
        machines |= {shard_group(shard): record for shard, record in self.records.items()}
        return {
            name: ReplicatedGroup(
                name=name,
                directory=data_dir / name,
                identity=identity,
                bootstrap=settings.bootstrap,
                seeds=seeds,
                target_voters=2 * settings.fault_tolerance.machines + 1,
                machine=machine,
                send=self._send_to_group,
                rng=Random(self._rng.random()),
                on_change=self._group_changed,
            )
            for name, machine in machines.items()
        }

    def _internal(self, control_addresses: Sequence[str]) -> list[str]:
        """The internal addresses of machines whose control addresses are given."""
        port = self.settings.control_rpc_port
        return [f"{address.rpartition(':')[0]}:{port}" for address in control_addresses]

    def control_address(self, internal: str) -> str:
        """The control address of the machine with this internal address."""
        return f"{internal.rpartition(':')[0]}:{self._control_port}"

    def control_nodes(self) -> list[str]:
        """Internal addresses of all members of the configuration's group."""
        return sorted({member.address for member in self.configuration_group.members})

    # --- Messages -----------------------------------------------------------------------------------------
    def _send_to_group(self, address: str, group: str, payload: bytes) -> None:
        message = GroupMessage(group=group, sender_address=self.address, payload=payload)
        self.peers[address].send(Method.GROUP, encode(message))

    async def _group_message(self, payload: bytes, peer: str) -> bytes:
        message = decode(GroupMessage, payload)
        group = self.groups.get(message.group)
        if group is not None:
            group.receive(message.sender_address, message.payload)
        return b""

    async def _watch(self, payload: bytes, peer: str) -> bytes:
        request = decode(WatchRequest, payload)
        return encode(await self.publisher.watch(request))

    async def _edge_count(self, payload: bytes, peer: str) -> bytes:
        count = decode(EdgeCount, payload)
        self.edges.told(count.node, count.edges, time.monotonic())
        self.incarnations[count.node] = count.incarnation or ""
        return b""

    async def _demand(self, payload: bytes, peer: str) -> bytes:
        report = decode(DemandReport, payload)
        by_shard: dict[int, list[Any]] = {}
        for demand in report.demands or ():
            by_shard.setdefault(shard_of(demand.service_name, SHARDS), []).append(demand)
        for shard, demands in by_shard.items():
            self._route_demand(shard, report, demands)
        return b""

    def _route_demand(self, shard: int, report: Any, demands: list[Any]) -> None:
        owned = self.owned.get(shard)
        if owned is not None:
            owned.add_demand([demand_from_message(demand) for demand in demands], report.node)
            return
        leader = self.groups[shard_group(shard)].leader_address
        if leader is not None and leader != self.address and not report.forwarded:
            onward = DemandReport(node=report.node, zone=report.zone, demands=demands, forwarded=True)
            self.peers[leader].send(Method.DEMAND, encode(onward))

    # --- State that changes -------------------------------------------------------------------------------
    def _group_changed(self) -> None:
        if hasattr(self, "publisher"):
            self.publisher.changed()

    def take_settings(self, settings: Settings) -> None:
        """The settings file has changed: other seeds may be named."""
        self.settings = settings
        for group in self.groups.values():
            group.set_seeds(self._internal(settings.seeds))

    # --- Life ---------------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Listen and take part."""
        await self._server.start(self.settings.ip, self.settings.control_rpc_port)
        for group in self.groups.values():
            await group.start()
        await self._start_api()
        self._session = aiohttp.ClientSession(auto_decompress=False)
        reader = InstanceReader(self.settings.cloud.address, self._session)
        self.instances = SharedReader(reader, LIST_FRESH_PART * list_every_s(self.settings), time.monotonic)
        self._tasks = [asyncio.create_task(self._tell_edge_count())]
        for shard in range(SHARDS):
            self._tasks.append(asyncio.create_task(self._keep_shard(shard)))

    async def _start_api(self) -> None:
        app = web.Application(client_max_size=32 * 1024 * 1024)
        own_address = str(self.settings.listen.control)
        api = OperatorApi(self.store, self.configuration_group, self.control_address, own_address=own_address)
        api.routes(app)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        host, _, port = str(self.settings.listen.control).rpartition(":")
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()
        self._runner = runner

    async def _tell_edge_count(self) -> None:
        pause = EDGE_COUNT_FIRST_S
        while True:
            await asyncio.sleep(pause)
            pause = EDGE_COUNT_EVERY_S
            count = self.edges.here(time.monotonic())
            claimant = self.claimant
            message = encode(
                EdgeCount(node=claimant.node_name, edges=count, incarnation=claimant.incarnation)
            )
            for address in self.control_nodes():
                if address != self.address:
                    self.peers[address].send(Method.EDGES, message)

    async def _keep_shard(self, shard: int) -> None:
        """Own the shard while this node leads its group; follow its owner's table otherwise."""
        group = self.groups[shard_group(shard)]
        follower = TableFollower(shard, self.tables[shard], self.peers, self.settings, self.publisher.changed)
        while True:
            if group.holds_lease():
                owned = OwnedShard(shard, SHARDS, self, group)
                self.owned[shard] = owned
                try:
                    await owned.run()
                finally:
                    self.owned.pop(shard, None)
                continue
            leader = group.leader_address
            if leader is None or leader == self.address:
                await asyncio.sleep(0.1)
                continue
            await self._until_leading(group, follower.poll(leader))

    async def _until_leading(self, group: ReplicatedGroup, poll: Coroutine[None, None, None]) -> None:
        """A poll, given up once this node leads: its owner may be cut off and never answer."""
        task = asyncio.create_task(poll)
        try:
            while not task.done() and not group.holds_lease():
                await asyncio.wait({task}, timeout=LEASE_LOOK_S)
        finally:
            task.cancel()

    @property
    def session(self) -> aiohttp.ClientSession:
        """For calls to the platform and to servers."""
        return self._session

    async def stop(self) -> None:
        """Leave the places of this node to spares that are ready, hand leadership over and end."""
        await asyncio.gather(*(group.leave() for group in self.groups.values()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_S):
                for group in self.groups.values():
                    await group.transfer()
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()
        for group in self.groups.values():
            await group.stop()
        await self._server.stop()
        self.peers.close()
        await self._session.close()


async def _serve(file: SettingsFile, signals: Signals) -> None:
    node = ControlNode(file.settings, Random())
    await node.start()
    follow = asyncio.create_task(follow_settings(file, signals, node.take_settings))
    await signals.stop.wait()
    follow.cancel()
    await node.stop()


def main() -> int:
    """The process of the control role."""
    return run_process(_serve)
