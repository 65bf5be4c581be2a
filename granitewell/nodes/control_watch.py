"""Updates of an edge: long-polls to the control plane, and the platform's list while that data is old.

A control node publishes nothing older than MAX_READ_STALENESS_S (publisher.py). A reply may be delayed for
any time: in a process that was suspended after making it, on a slow link, or at this edge. A reply is
therefore accepted only if it arrives within `hold + REPLY_SLACK_S` of its request, by this edge's own clock.
An accepted reply contains everything that was committed `hold + REPLY_SLACK_S + MAX_READ_STALENESS_S`
earlier, even right after the edge's start. The version of its configuration never decreases.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any

import aiohttp
from logbook import Logger

from granitewell.controlplane.configuration.view import ConfigurationView
from granitewell.controlplane.publication.publisher import update_from_message
from granitewell.controlplane.publication.table import Version
from granitewell.coordination.rendezvous import shard_of
from granitewell.dataplane.edge import DataPlane
from granitewell.discovery.instances import ListedInstance, MalformedListError
from granitewell.discovery.reader import InstanceReader, ListUnavailableError
from granitewell.domain.errors import GranitewellError, RpcError, RpcTimeoutError
from granitewell.domain.servers import Server, ServerState
from granitewell.domain.settings import Settings
from granitewell.nodes.control_nodes import ControlNodes
from granitewell.nodes.layout import SHARD_COUNT
from granitewell.rpc.messages import TableVersion, WatchReply, WatchRequest, decode, encode
from granitewell.rpc.transport import Method, RpcPeers

MAX_HOLD_S = 1.0
HOLD_FRACTION = 0.4  # of config-apply-ms; leaves time for an unresponsive control node and the next one
REPLY_SLACK_S = 0.4  # beyond the hold time; then the poll fails
RETRY_S = 0.1
MAX_LIST_AGE_S = 1.5  # older data is replaced by the platform's list
MAX_LIST_AGE_FRACTION = 0.5  # of drain-ms; leaves time to check, read and remove servers
LIST_CHECK_FRACTION = 0.2  # of the maximum age: interval of checks
LIST_READ_FRACTION = 0.57  # of the maximum age: minimum time between two reads
RATE_FRACTION = 0.5  # of the platform's rate limit, for all edges together

log = Logger("granitewell.edge")


class ControlWatch:
    """Long-polls for the configuration and the tables of servers."""

    def __init__(
        self, settings: Settings, plane: DataPlane, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._plane = plane
        self._clock = clock
        self._view = ConfigurationView()
        self._versions: dict[int, Version] = {}
        self._servers: dict[int, dict[str, Server]] = {}  # by shard and id
        self._fallback_servers: dict[int, list[Server]] = {}  # by shard, until its first table arrives
        self.listed_at: dict[int, float] = {}
        self.max_edges = 1
        self._edges = 1
        self.peers = RpcPeers()
        self.nodes = ControlNodes(settings.node_name)
        self._full_configuration_needed = False
        self._hold_s = min(MAX_HOLD_S, HOLD_FRACTION * settings.bounds.config_apply_ms / 1000.0)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings: the seeds."""
        port = settings.control_rpc_port
        self.nodes.set_seeds([f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds])

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            node = self.nodes.current
            if node is None:
                await asyncio.sleep(RETRY_S)
                continue
            try:
                reply = await self._poll(node)
                if not reply.is_referral:
                    self._apply_reply(reply)
                elif not self.nodes.follow_referral(reply.control_nodes or []):
                    await asyncio.sleep(RETRY_S)
            except RpcError as error:
                log.debug("control node does not answer", node=node, error=str(error))
                self.nodes.failed()
                await asyncio.sleep(RETRY_S)

    async def _poll(self, node: str) -> Any:
        """Return a reply that is recent enough; raises RpcError."""
        reply_timeout_s = self._hold_s + REPLY_SLACK_S
        sent_at = self._clock()
        reply = await self.peers[node].call(Method.WATCH, encode(self._request()), reply_timeout_s)
        if self._clock() - sent_at > reply_timeout_s:  # this process was suspended meanwhile
            raise RpcTimeoutError(f"{node}: the reply came after {reply_timeout_s} s")
        return decode(WatchReply, reply)

    def _request(self) -> Any:
        return WatchRequest(
            node=self._settings.node_name,
            zone=self._settings.zone,
            edge=True,
            configuration_version=0 if self._full_configuration_needed else self._view.version,
            tables=[
                TableVersion(shard=shard, epoch=version.epoch, sequence=version.sequence)
                for shard, version in self._versions.items()
            ],
            hold_ms=int(self._hold_s * 1000),
            members_digest=self.nodes.digest,
        )

    def _apply_reply(self, reply: Any) -> None:
        if reply.control_nodes:
            self.nodes.set_known(reply.control_nodes)
        if reply.configuration is not None:
            self._apply_configuration(reply.configuration)
        for message in reply.tables or ():
            self._apply_table(message)
        self._apply_edge_count(reply)

    def _apply_edge_count(self, reply: Any) -> None:
        """Take up the number of edges.

        A control node that has just started knows few edges. Neither shared budgets nor this edge's share of
        a server's connections must grow because of that.
        """
        self.max_edges = max(reply.max_edges, self.max_edges)
        counted = max(reply.edges, 1)
        self._edges = max(counted, self._edges) if reply.edges_partial else counted
        self._plane.set_edges(self._edges, self.max_edges)

    def _apply_configuration(self, message: Any) -> None:
        try:
            configuration = self._view.apply(
                message.version, bool(message.is_complete), message.documents or ()
            )
        except GranitewellError as error:
            log.warning("configuration update does not fit", version=message.version, error=str(error))
            self._full_configuration_needed = True
            return
        self._full_configuration_needed = False
        if configuration is not None:
            self._plane.apply_configuration(configuration)

    def _apply_table(self, message: Any) -> None:
        shard = message.version.shard
        update = update_from_message(message)
        known = self._versions.get(shard, Version())
        if update.version < known:
            return
        if message.list_age_ms >= 0:
            listed_at = self._clock() - message.list_age_ms / 1000.0
            self.listed_at[shard] = max(self.listed_at.get(shard, listed_at), listed_at)
        if update.version == known and not update.is_complete:
            return
        servers = self._servers.setdefault(shard, {})
        removed = list(update.removed)
        removed += [server.id for server in self._fallback_servers.pop(shard, ())]
        if update.is_complete:
            kept = {server.id for server in update.changed}
            removed += [key for key in servers if key not in kept]
        self._versions[shard] = update.version
        for key in removed:
            servers.pop(key, None)
        servers.update({server.id: server for server in update.changed})
        current = {server.id for server in update.changed}
        self._plane.apply_servers(update.changed, [key for key in removed if key not in current])

    def apply_fallback_list(self, instances: Sequence[ListedInstance]) -> None:
        """Apply the platform's list as read by this edge.

        Servers that drain or are removed are no longer used. A later update from the control plane overrides
        the list.
        """
        listed = {one.id: one for one in instances}
        now = self._clock()
        self._use_fallback_servers(instances)
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

    def _use_fallback_servers(self, instances: Sequence[ListedInstance]) -> None:
        """Use the listed servers of shards whose table has never arrived."""
        self._fallback_servers = {}
        for one in instances:
            shard = shard_of(one.service, SHARD_COUNT)
            if shard not in self._servers:
                self._fallback_servers.setdefault(shard, []).append(_server(one))
        for servers in self._fallback_servers.values():
            self._plane.apply_servers(servers, [])

    def list_age_s(self) -> float:
        """Return the age of the oldest table, in seconds; infinite before the first."""
        if not self.listed_at:
            return float("inf")
        return self._clock() - min(self.listed_at.values())


def _server(one: ListedInstance) -> Server:
    """Convert a server as the platform lists it."""
    models = {known.name: known for known in one.models}
    return Server(one.id, one.service, one.address, one.zone, one.slots, one.state, one.remaining_ms, models)


class FallbackListReader:
    """Reads the platform's list while the control plane's data is old.

    Servers that drain or are removed then stop being used without the control plane.
    """

    def __init__(self, settings: Settings, watch: ControlWatch, plane: DataPlane, rng: Random) -> None:
        self._settings = settings
        self._watch = watch
        self._plane = plane
        self._rng = rng
        self._max_age_s = min(MAX_LIST_AGE_S, MAX_LIST_AGE_FRACTION * settings.bounds.drain_ms / 1000.0)

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Read the list when needed, until cancelled."""
        reader = InstanceReader(self._settings.cloud.address, session)
        while True:
            await asyncio.sleep(LIST_CHECK_FRACTION * self._max_age_s * (0.5 + self._rng.random()))
            if self._watch.list_age_s() < self._max_age_s:
                continue
            try:
                instances = await reader.read()
            except (ListUnavailableError, MalformedListError) as error:
                log.debug("own list of servers unavailable", error=str(error))
                continue
            self._watch.apply_fallback_list(instances)
            await asyncio.sleep(self._pause_s() * (0.85 + 0.3 * self._rng.random()))

    def _pause_s(self) -> float:
        """Return the time between two reads, such that all edges together stay below the rate limit."""
        return max(
            LIST_READ_FRACTION * self._max_age_s,
            self._watch.max_edges / (RATE_FRACTION * self._settings.cloud.rate_per_s),
        )
