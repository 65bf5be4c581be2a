"""The edge role: the data plane, fed by long-polls to the control plane."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

import aiohttp
from logbook import Logger

from granitewell.controlplane.configuration.view import ConfigurationView
from granitewell.controlplane.publication.publisher import members_digest, update_from_message
from granitewell.controlplane.publication.table import Version
from granitewell.coordination.rendezvous import rank
from granitewell.dataplane.plane import DataPlane
from granitewell.discovery.instances import BadList, ListedInstance
from granitewell.discovery.reader import InstanceReader, ListUnavailable
from granitewell.model.errors import GranitewellError, RpcError
from granitewell.model.servers import Server, ServerState
from granitewell.model.settings import Settings
from granitewell.nodes.process import SettingsFile, Signals, follow_settings, run_process
from granitewell.rpc.messages import DemandReport, TableVersion, WatchReply, WatchRequest, decode, encode
from granitewell.rpc.translation import demand_to_message
from granitewell.rpc.transport import Method, RpcPeers

HOLD_S = 1.0
REPLY_SLACK_S = 0.4  # beyond the hold, after which a control node is given up
RETRY_S = 0.1
DEMAND_EVERY_S = 1.0
DEMAND_LEAST_S = 0.05
LIST_OLD_S = 1.5  # a list older than that is read from the platform itself
LIST_LOOK_S = 0.3

log = Logger("granitewell.edge")


class ControlNodes:
    """Which control node this edge asks: those of its own zone can't be told apart, so by rendezvous, and the
    next one after a failure."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: list[str] = []
        self._seeds: list[str] = []
        self._order: list[str] = []
        self._at = 0

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """From the settings."""
        self._seeds = list(addresses)
        self._arrange()

    def set_known(self, addresses: Sequence[str]) -> None:
        """As the control plane tells."""
        self._known = list(addresses)
        self._arrange()

    def _arrange(self) -> None:
        current = self._order[self._at % len(self._order)] if self._order else None
        known = rank(self._name, self._known)
        rest = rank(self._name, [seed for seed in self._seeds if seed not in self._known])
        self._order = known + rest
        self._at = self._order.index(current) if current in self._order else 0

    @property
    def digest(self) -> int:
        """Of the nodes that the control plane has told of."""
        return members_digest(self._known)

    @property
    def current(self) -> str | None:
        """The one to ask."""
        return self._order[self._at % len(self._order)] if self._order else None

    def failed(self) -> None:
        """The current one did not answer."""
        self._at += 1


class ControlWatch:
    """Long-polls for everything an edge needs."""

    def __init__(self, settings: Settings, plane: DataPlane) -> None:
        self._settings = settings
        self._plane = plane
        self._view = ConfigurationView()
        self._versions: dict[int, Version] = {}
        self._servers: dict[int, dict[str, Server]] = {}  # by shard and id
        self.listed_at: dict[int, float] = {}
        self.peers = RpcPeers()
        self.nodes = ControlNodes(settings.node_name)
        self._wanted_whole = False
        self.take_settings(settings)

    def take_settings(self, settings: Settings) -> None:
        """Other seeds."""
        port = settings.control_rpc_port
        self.nodes.set_seeds([f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds])

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            node = self.nodes.current
            if node is None:
                await asyncio.sleep(RETRY_S)
                continue
            try:
                payload = encode(self._request())
                reply = await self.peers[node].call(Method.WATCH, payload, HOLD_S + REPLY_SLACK_S)
                self._take(decode(WatchReply, reply))
            except RpcError as error:
                log.debug("control node {}: {}", node, error)
                self.nodes.failed()
                await asyncio.sleep(RETRY_S)

    def _request(self) -> Any:
        return WatchRequest(
            node=self._settings.node_name,
            zone=self._settings.zone,
            edge=True,
            configuration_version=0 if self._wanted_whole else self._view.version,
            tables=[
                TableVersion(shard=shard, epoch=version.epoch, sequence=version.sequence)
                for shard, version in self._versions.items()
            ],
            hold_ms=int(HOLD_S * 1000),
            members_digest=self.nodes.digest,
        )

    def _take(self, reply: Any) -> None:
        if reply.control_nodes:
            self.nodes.set_known(reply.control_nodes)
        if reply.configuration is not None:
            self._take_configuration(reply.configuration)
        for message in reply.tables or ():
            self._take_table(message)
        self._plane.set_edges(max(reply.edges, 1), max(reply.most_edges, 1))

    def _take_configuration(self, message: Any) -> None:
        try:
            configuration = self._view.apply(message.version, bool(message.whole), message.documents or ())
        except GranitewellError as error:
            log.warning("configuration {} does not fit: {}", message.version, error)
            self._wanted_whole = True
            return
        self._wanted_whole = False
        if configuration is not None:
            self._plane.apply_configuration(configuration)

    def _take_table(self, message: Any) -> None:
        shard = message.version.shard
        update = update_from_message(message)
        known = self._versions.get(shard, Version())
        if update.version < known:
            return
        if message.list_age_ms >= 0:
            listed_at = time.monotonic() - message.list_age_ms / 1000.0
            self.listed_at[shard] = max(self.listed_at.get(shard, listed_at), listed_at)
        if update.version == known and not update.whole:
            return
        servers = self._servers.setdefault(shard, {})
        removed = list(update.removed)
        if update.whole:
            kept = {server.id for server in update.changed}
            removed += [key for key in servers if key not in kept]
        self._versions[shard] = update.version
        for key in removed:
            servers.pop(key, None)
        servers.update({server.id: server for server in update.changed})
        self._plane.apply_servers(update.changed, removed)

    def take_own_list(self, instances: Sequence[ListedInstance]) -> None:
        """This edge has read the platform's list itself: servers that drain or are gone are used no more.
        What the control plane tells next counts again."""
        listed = {one.id: one for one in instances}
        now = time.monotonic()
        for shard, servers in self._servers.items():
            gone = [key for key in servers if key not in listed]
            draining = [
                replace(server, state=ServerState.DRAINING)
                for key, server in servers.items()
                if key in listed
                and listed[key].state is ServerState.DRAINING
                and server.state is not ServerState.DRAINING
            ]
            for key in gone:
                del servers[key]
            servers.update({server.id: server for server in draining})
            self.listed_at[shard] = now
            if gone or draining:
                self._plane.apply_servers(draining, gone)

    def list_age_s(self) -> float:
        """Of the oldest table; infinite before the first."""
        if not self.listed_at:
            return float("inf")
        return time.monotonic() - min(self.listed_at.values())


class OwnList:
    """Reads the platform's list itself while the control plane's is old, for what must not wait: servers that
    drain or are gone."""

    def __init__(self, settings: Settings, watch: ControlWatch, plane: DataPlane, rng: Random) -> None:
        self._settings = settings
        self._watch = watch
        self._plane = plane
        self._rng = rng

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Until cancelled."""
        reader = InstanceReader(self._settings.cloud.address, session)
        while True:
            await asyncio.sleep(LIST_LOOK_S * (0.5 + self._rng.random()))
            if self._watch.list_age_s() < LIST_OLD_S or not self._plane.ready:
                continue
            try:
                instances = await reader.read()
            except (ListUnavailable, BadList) as error:
                log.debug("own list: {}", error)
                continue
            self._watch.take_own_list(instances)
            await asyncio.sleep(0.7 + 0.3 * self._rng.random())


class DemandReporter:
    """Tells the control plane what is asked for: at once where a request waits, else now and then."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._urgent = asyncio.Event()

    def urgent(self) -> None:
        """A request waits for a model."""
        self._urgent.set()

    async def run(self, plane: DataPlane, watch: ControlWatch) -> None:
        """Until cancelled."""
        while True:
            try:
                async with asyncio.timeout(DEMAND_EVERY_S):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            self._urgent.clear()
            demands = plane.take_demand()
            node = watch.nodes.current
            if demands and node is not None:
                report = DemandReport(
                    node=self._settings.node_name,
                    zone=self._settings.zone,
                    demands=[demand_to_message(demand) for demand in demands],
                    forwarded=False,
                )
                watch.peers[node].send(Method.DEMAND, encode(report))
            await asyncio.sleep(DEMAND_LEAST_S)


async def _serve(file: SettingsFile, signals: Signals) -> None:
    settings = file.settings
    reporter = DemandReporter(settings)
    plane = DataPlane(settings, Random(), on_demand=reporter.urgent)
    watch = ControlWatch(settings, plane)
    await plane.start()
    session = aiohttp.ClientSession(auto_decompress=False)
    own_list = OwnList(settings, watch, plane, Random())
    tasks = [
        asyncio.create_task(watch.run()),
        asyncio.create_task(reporter.run(plane, watch)),
        asyncio.create_task(own_list.run(session)),
        asyncio.create_task(follow_settings(file, signals, watch.take_settings)),
    ]
    await signals.stop.wait()
    plane.begin_drain()
    await plane.finish(file.settings.bounds.grace_s)
    for task in tasks:
        task.cancel()
    watch.peers.close()
    await session.close()


def main() -> int:
    """The process of the edge role."""
    return run_process(_serve)
