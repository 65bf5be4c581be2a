"""A shard in a control process: what its owner does, and how everybody else follows the owner's table."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger

from granitewell.controlplane.ownership.owner import ShardOwnership
from granitewell.controlplane.placement.controller import ListedServer, PlacementController
from granitewell.controlplane.publication.publisher import update_from_message
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.rendezvous import shard_of
from granitewell.discovery.instances import BadList, ListedInstance
from granitewell.discovery.reader import ListUnavailable
from granitewell.model.configuration import Configuration, Service
from granitewell.model.errors import NotLeader, ProposalLost, RpcError
from granitewell.model.servers import HeldModel, ModelDemand, Server
from granitewell.model.settings import Settings
from granitewell.rpc.messages import TableVersion, WatchReply, WatchRequest, decode, encode
from granitewell.rpc.transport import Method, RpcPeers

if TYPE_CHECKING:
    from granitewell.coordination.consensus.group import ReplicatedGroup
    from granitewell.nodes.control import ControlNode

MOST_LIST_EVERY_S = 0.5
LIST_EVERY_PART = 1 / 6  # of drain-ms: a reading that fails, and the way to every edge, fit in
LIST_FRESH_PART = 0.8  # of the time between two readings: so fresh, a list serves all shards of a node
LEASE_LOOK_S = 0.1  # between two looks whether this node leads a shard's group
FOLLOW_HOLD_S = 0.4
FOLLOW_PAUSE_S = 0.1

log = Logger("granitewell.shards")


def list_every_s(settings: Settings) -> float:
    """Seconds between two readings of the platform's list."""
    return min(MOST_LIST_EVERY_S, LIST_EVERY_PART * settings.bounds.drain_ms / 1000.0)


class TableFollower:
    """Keeps a copy of a shard's table by long-polls to its owner."""

    def __init__(
        self, shard: int, table: ServerTable, peers: RpcPeers, settings: Settings, changed: Callable[[], None]
    ) -> None:
        self._shard = shard
        self._table = table
        self._peers = peers
        self._settings = settings
        self._changed = changed

    async def poll(self, owner: str) -> None:
        """One long-poll at the owner."""
        version = self._table.version
        request = WatchRequest(
            node=self._settings.node_name,
            zone=self._settings.zone,
            edge=False,
            configuration_version=0,
            tables=[TableVersion(shard=self._shard, epoch=version.epoch, sequence=version.sequence)],
            hold_ms=int(FOLLOW_HOLD_S * 1000),
            members_digest=0,
        )
        try:
            data = await self._peers[owner].call(Method.WATCH, encode(request), FOLLOW_HOLD_S + 0.6)
            reply = decode(WatchReply, data)
        except RpcError:
            await asyncio.sleep(FOLLOW_PAUSE_S)
            return
        updates = [update for update in reply.tables or () if update.version.shard == self._shard]
        for message in updates:
            self._take(message)
        if not updates:
            await asyncio.sleep(FOLLOW_PAUSE_S)

    def _take(self, message: object) -> None:
        update = update_from_message(message)
        age_ms = message.list_age_ms  # type: ignore[attr-defined]
        listed_at = None if age_ms < 0 else time.monotonic() - age_ms / 1000.0
        news = update.version != self._table.version
        self._table.update(update, listed_at)
        if news:
            self._changed()


class OwnedShard:
    """What the owner of a shard does: reads the platform's list, places models, writes the table."""

    def __init__(self, shard: int, shards: int, node: ControlNode, group: ReplicatedGroup) -> None:
        self._shard = shard
        self._shards = shards
        self._node = node
        self._group = group
        self._table = node.tables[shard]
        self._controllers: dict[str, PlacementController] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._instances: tuple[ListedInstance, ...] = ()
        self._listed_at: float | None = None
        settings = node.settings
        bounds = settings.bounds
        self.ownership = ShardOwnership(
            group, node.claimant, node.incarnations.get, bounds.lease_ms / 1000.0, bounds.fencing
        )
        self._reader = node.instances
        self._list_every_s = list_every_s(settings)

    async def run(self) -> None:
        """Until the lease is lost."""
        try:
            await self.ownership.claim()
        except (NotLeader, ProposalLost):
            await asyncio.sleep(LEASE_LOOK_S)
            return
        log.info("owner of shard {} under fence {}", self._shard, self.ownership.fence)
        reading = asyncio.create_task(self._read_lists())
        try:
            while self.ownership.owns():
                await asyncio.sleep(LEASE_LOOK_S)
        finally:
            log.info("no longer owner of shard {}", self._shard)
            reading.cancel()
            for task in self._tasks.values():
                task.cancel()

    def add_demand(self, demands: Sequence[ModelDemand], source: str) -> None:
        """An edge's demand for models of this shard's services."""
        by_service: dict[str, list[ModelDemand]] = {}
        for demand in demands:
            by_service.setdefault(demand.service, []).append(demand)
        for service, of_service in by_service.items():
            controller = self._controllers.get(service)
            if controller is not None:
                controller.add_demand(of_service, source)

    # --- The platform's list --------------------------------------------------------------------------------
    async def _read_lists(self) -> None:
        while True:
            started = time.monotonic()
            try:
                listed = await self._reader.read()
            except (ListUnavailable, BadList) as error:
                log.warning("no list of servers: {}", error)
            else:
                self._take_list(listed.instances, listed.asked_at)
            await asyncio.sleep(max(self._list_every_s - (time.monotonic() - started), 0.05))

    def _take_list(self, instances: Iterable[ListedInstance], read_at: float) -> None:
        mine = (one for one in instances if shard_of(one.service, self._shards) == self._shard)
        self._instances = tuple(mine)
        first = self._listed_at is None
        self._listed_at = read_at
        if first:
            self._table.begin(self.ownership.fence)
        self._update_controllers()
        self.publish()

    def _update_controllers(self) -> None:
        configuration = self._node.store.configuration
        if configuration is None:
            return
        engines = [service for service in configuration.services.values() if service.engine is not None]
        for service in engines:
            if shard_of(service.name, self._shards) == self._shard:
                self._update_controller(service, configuration, 1.0 / len(engines))

    def _update_controller(self, service: Service, configuration: Configuration, load_share: float) -> None:
        controller = self._controllers.get(service.name)
        if controller is None:
            controller = PlacementController(
                service.name, self.ownership, self._node.session, Random(), on_change=self._model_changed
            )
            self._controllers[service.name] = controller
        if service.engine is not None:
            controller.set_engine(service.engine, load_share)
        controller.set_servers([_listed(one) for one in self._instances if one.service == service.name])
        if service.name not in self._tasks:
            self._tasks[service.name] = asyncio.create_task(controller.run())

    def _model_changed(self, server_id: str) -> None:
        self.publish()

    def publish(self) -> None:
        """Write the table from what is known now."""
        if self._listed_at is None or not self.ownership.owns():
            return
        servers = [self._server(one) for one in self._instances]
        if self._table.replace(servers, self._listed_at):
            self._node.publisher.changed()

    def _server(self, one: ListedInstance) -> Server:
        controller = self._controllers.get(one.service)
        held: Mapping[str, HeldModel] = (
            controller.ready_models(one.id) if controller is not None else {m.name: m for m in one.models}
        )
        return Server(
            one.id, one.service, one.address, one.zone, one.slots, one.state, one.leaves_in_ms, dict(held)
        )


def _listed(one: ListedInstance) -> ListedServer:
    return ListedServer(
        id=one.id,
        address=one.address,
        zone=one.zone,
        state=one.state,
        slots=one.slots,
        leaves_in_ms=one.leaves_in_ms,
        models=one.models,
    )
