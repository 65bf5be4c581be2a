"""The control role: replica groups, operator API, shard ownership, placement and publication."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import ConfigurationStore
from granitewell.controlplane.ownership.owner import Claimant
from granitewell.controlplane.ownership.record import OwnerRecord
from granitewell.controlplane.placement.server_session import open_server_session
from granitewell.controlplane.publication.publisher import EdgeCounter, Publisher
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import load_identity
from granitewell.discovery.reader import InstanceReader, SharedReader
from granitewell.domain.errors import InvalidSettingsError
from granitewell.domain.settings import Settings
from granitewell.nodes.control_messages import ControlMessages
from granitewell.nodes.layout import CONFIGURATION_GROUP, SHARD_COUNT, shard_group
from granitewell.nodes.operator_server import OperatorServer
from granitewell.nodes.process import SettingsFile, Signals, follow_settings
from granitewell.nodes.shard_supervisor import ShardSupervisor
from granitewell.nodes.shards import LIST_REUSE_FRACTION, OwnedShard, ShardServices, list_interval_s
from granitewell.rpc.messages import GroupMessage, encode
from granitewell.rpc.transport import Method, RpcPeers, RpcServer

TRANSFER_TIMEOUT_S = 1.5  # for leadership on SIGTERM, after at most `leave_s` for leaving the groups


class ControlNode:
    """One process of the control role."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        if settings.data_dir is None:
            raise InvalidSettingsError("data-dir", "missing: replicas keep their state there")
        if settings.listen.control is None:
            raise InvalidSettingsError("listen.control", "missing: operators call there")
        self.settings = settings
        self._rng = rng
        self._control_port = settings.listen.control.rpartition(":")[2]
        self.address = f"{settings.ip}:{settings.control_rpc_port}"
        self.claimant = Claimant(settings.node_name, self.address, f"{rng.getrandbits(64):016x}")
        self.peers = RpcPeers()
        self.store = ConfigurationStore()
        self.records = {shard: OwnerRecord() for shard in range(SHARD_COUNT)}
        self.tables = {shard: ServerTable() for shard in range(SHARD_COUNT)}
        self.groups = self._make_groups(Path(settings.data_dir))
        self.configuration_group = self.groups[CONFIGURATION_GROUP]
        self.edges = EdgeCounter()
        self.publisher = Publisher(
            self.store, self.tables, self.control_nodes, self.configuration_group.read_staleness_s, self.edges
        )
        self.owned: dict[int, OwnedShard] = {}
        self._messages = ControlMessages(
            self.claimant, self.peers, self.groups, self.publisher, self.edges, self.owned
        )
        self._server = RpcServer(self._messages.handlers)
        own_address = settings.listen.control
        api = OperatorApi(self.store, self.configuration_group, self.control_address, own_address=own_address)
        self._operator_server = OperatorServer(api, own_address)
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
        """Return the internal addresses of machines with the given control addresses."""
        port = self.settings.control_rpc_port
        return [f"{address.rpartition(':')[0]}:{port}" for address in control_addresses]

    def control_address(self, internal: str) -> str:
        """Return the control address of the machine with an internal address."""
        return f"{internal.rpartition(':')[0]}:{self._control_port}"

    def control_nodes(self) -> list[str]:
        """Return the internal addresses of all members of the configuration's group."""
        return sorted({member.address for member in self.configuration_group.members})

    def _announcement_targets(self) -> list[str]:
        """Return the internal addresses of all members and all seeds."""
        return sorted({*self.control_nodes(), *self._internal(self.settings.seeds)})

    def _send_to_group(self, address: str, group: str, payload: bytes) -> None:
        message = GroupMessage(group=group, sender_address=self.address, payload=payload)
        self.peers[address].send(Method.GROUP, encode(message))

    # --- Changes

    def _group_changed(self) -> None:
        if hasattr(self, "publisher"):
            self.publisher.changed()

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings: the seeds."""
        self.settings = settings
        for group in self.groups.values():
            group.set_seeds(self._internal(settings.seeds))

    # --- Lifecycle

    async def start(self) -> None:
        """Listen and join the replica groups."""
        await self._server.start(self.settings.ip, self.settings.control_rpc_port)
        for group in self.groups.values():
            await group.start()
        await self._operator_server.start()
        self._session = open_server_session()
        groups = {shard: self.groups[shard_group(shard)] for shard in range(SHARD_COUNT)}
        supervisor = ShardSupervisor(groups, self.tables, self.peers, self._shard_services(), self.owned)
        self._tasks = [asyncio.create_task(self._announce())]
        self._tasks += [asyncio.create_task(supervisor.run_shard(shard)) for shard in range(SHARD_COUNT)]

    async def _announce(self) -> None:
        """Announce this process until cancelled."""
        await self._messages.announce(self._announcement_targets, lambda: bool(self.control_nodes()))

    def _shard_services(self) -> ShardServices:
        settings = self.settings
        reader = InstanceReader(settings.cloud.address, self._session)
        instances = SharedReader(reader, LIST_REUSE_FRACTION * list_interval_s(settings), time.monotonic)
        return ShardServices(
            settings=lambda: self.settings,
            claimant=self.claimant,
            processes=self._messages.processes,
            instances=instances,
            configuration=lambda: self.store.configuration,
            session=self._session,
            changed=self.publisher.changed,
        )

    async def stop(self) -> None:
        """Let ready learners replace this node's voters, transfer leadership, and shut down."""
        await asyncio.gather(*(group.leave() for group in self.groups.values()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                for group in self.groups.values():
                    await group.transfer()
        for task in self._tasks:
            task.cancel()
        await self._operator_server.stop()
        for group in self.groups.values():
            await group.stop()
        await self._server.stop()
        self.peers.close()
        await self._session.close()


async def serve(file: SettingsFile, signals: Signals) -> None:
    """Run a control node with replicas until it is stopped."""
    node = ControlNode(file.settings, Random())
    await node.start()
    follow = asyncio.create_task(follow_settings(file, signals, node.apply_settings))
    await signals.stop.wait()
    follow.cancel()
    await node.stop()
