"""Work of a shard's owner in a control process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import aiohttp
from logbook import Logger

from granitewell.controlplane.ownership.owner import Claimant, ShardOwnership
from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.placement.controller import ListedServer, PlacementController
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.rendezvous import shard_of
from granitewell.discovery.instances import ListedInstance, MalformedListError
from granitewell.discovery.reader import ListUnavailableError, SharedReader
from granitewell.domain.configuration import Configuration, Service
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from granitewell.domain.servers import LoadedModel, ModelDemand, Server
from granitewell.domain.settings import Settings
from granitewell.nodes.layout import SHARD_COUNT

MAX_LIST_INTERVAL_S = 0.5
LIST_INTERVAL_FRACTION = 1 / 6  # of drain-ms; leaves time for a failed read and the publication to all edges
LIST_REUSE_FRACTION = 0.8  # of the interval; a newer list is reused by all shards of a node
LEASE_POLL_S = 0.1  # between checks whether this node leads a shard's group

log = Logger("granitewell.shards")


def list_interval_s(settings: Settings) -> float:
    """Return the time between two reads of the platform's list, in seconds."""
    return min(MAX_LIST_INTERVAL_S, LIST_INTERVAL_FRACTION * settings.bounds.drain_ms / 1000.0)


@dataclass(frozen=True)
class ShardServices:
    """What a node provides to each shard that it owns.

    Attributes:
        settings: Settings in force.
        processes: Processes of the other control nodes.
        session: HTTP session for calls to servers.
        changed: Called when a table has changed.
    """

    settings: Callable[[], Settings]
    claimant: Claimant
    processes: KnownProcesses
    instances: SharedReader
    configuration: Callable[[], Configuration | None]
    session: aiohttp.ClientSession
    changed: Callable[[], None]


class OwnedShard:
    """A shard owned by this node: reads the platform's list, places models, and writes the table."""

    def __init__(
        self, shard: int, ownership: ShardOwnership, table: ServerTable, services: ShardServices
    ) -> None:
        self._shard = shard
        self._services = services
        self._table = table
        self._controllers: dict[str, PlacementController] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._instances: tuple[ListedInstance, ...] = ()
        self._listed_at: float | None = None
        self.ownership = ownership
        self._list_interval_s = list_interval_s(services.settings())

    async def run(self) -> None:
        """Work until the lease is lost."""
        try:
            await self.ownership.claim()
        except (NotLeaderError, ProposalLostError):
            await asyncio.sleep(LEASE_POLL_S)
            return
        log.info("shard ownership gained", shard=self._shard, fencing_token=self.ownership.fencing_token)
        reading = asyncio.create_task(self._read_lists())
        try:
            while self.ownership.owns():  # noqa: ASYNC110  a lease lapses without an event
                await asyncio.sleep(LEASE_POLL_S)
        finally:
            log.info("shard ownership lost", shard=self._shard)
            reading.cancel()
            for task in self._tasks.values():
                task.cancel()

    def add_demand(self, demands: Sequence[ModelDemand], source: str) -> None:
        """Record an edge's demand for models of this shard's services."""
        by_service: dict[str, list[ModelDemand]] = {}
        for demand in demands:
            by_service.setdefault(demand.service, []).append(demand)
        for service, of_service in by_service.items():
            controller = self._controllers.get(service)
            if controller is not None:
                controller.add_demand(of_service, source)

    # --- The platform's list

    async def _read_lists(self) -> None:
        while True:
            started = time.monotonic()
            try:
                listed = await self._services.instances.read()
            except (ListUnavailableError, MalformedListError) as error:
                log.warning("list of servers unavailable", error=str(error))
            else:
                self._apply_list(listed.instances, listed.asked_at)
            await asyncio.sleep(max(self._list_interval_s - (time.monotonic() - started), 0.05))

    def _apply_list(self, instances: Iterable[ListedInstance], read_at: float) -> None:
        mine = (one for one in instances if shard_of(one.service, SHARD_COUNT) == self._shard)
        self._instances = tuple(mine)
        first = self._listed_at is None
        self._listed_at = read_at
        if first:
            self._table.begin(self.ownership.fencing_token)
        self._update_controllers()
        self.publish()

    def _update_controllers(self) -> None:
        configuration = self._services.configuration()
        if configuration is None:
            return
        engines = [service for service in configuration.services.values() if service.engine is not None]
        for service in engines:
            if shard_of(service.name, SHARD_COUNT) == self._shard:
                self._update_controller(service, configuration, 1.0 / len(engines))

    def _update_controller(
        self, service: Service, _configuration: Configuration, load_rate_fraction: float
    ) -> None:
        controller = self._controllers.get(service.name)
        if controller is None:
            controller = PlacementController(
                service.name, self.ownership, self._services.session, Random(), on_change=self._model_changed
            )
            self._controllers[service.name] = controller
        if service.engine is not None:
            controller.set_engine(service.engine, load_rate_fraction)
        mine = (one for one in self._instances if one.service == service.name)
        controller.set_servers([_listed(one, self._table.models_before(one.id)) for one in mine])
        if service.name not in self._tasks:
            self._tasks[service.name] = asyncio.create_task(controller.run())

    def _model_changed(self, _server_id: str) -> None:
        self.publish()

    def publish(self) -> None:
        """Update the table from the newest list and the ready models."""
        if self._listed_at is None or not self.ownership.owns():
            return
        servers = [self._server(one) for one in self._instances]
        if self._table.replace(servers, self._listed_at):
            self._services.changed()

    def _server(self, one: ListedInstance) -> Server:
        controller = self._controllers.get(one.service)
        loaded: Mapping[str, LoadedModel] = (
            controller.ready_models(one.id) if controller is not None else {m.name: m for m in one.models}
        )
        return Server(
            one.id, one.service, one.address, one.zone, one.slots, one.state, one.remaining_ms, dict(loaded)
        )


def _listed(one: ListedInstance, loaded_before: frozenset[str]) -> ListedServer:
    return ListedServer(
        id=one.id,
        address=one.address,
        zone=one.zone,
        state=one.state,
        slots=one.slots,
        remaining_ms=one.remaining_ms,
        models=one.models,
        loaded_before=loaded_before,
    )
