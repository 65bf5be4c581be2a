"""Answers long-polls: a watcher states its versions, and gets a reply on a change or after the hold time.

Every control node publishes the configuration from its replica of the log, and the tables of servers from the
shards that it owns or from its copies of the other shards' tables.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from granitewell.controlplane.publication.table import ServerTable, Update, Version
from granitewell.domain.errors import GranitewellError
from granitewell.rpc.messages import (
    ConfigurationUpdate,
    TableUpdate,
    TableVersion,
    WatchReply,
)
from granitewell.rpc.translation import server_from_message, server_to_message

MAX_HOLD_S = 2.0
BATCH_DELAY_S = 0.015  # changes within this time are sent in one reply
EDGE_TTL_S = 4.0  # after its last request; then an edge is no longer counted
COUNT_COMPLETE_AFTER_S = 2.3  # in contact: two intervals of reports, and the delay of a lost packet
PEAK_TTL_S = 120.0  # of the recent maximum number of edges
MAX_READ_STALENESS_S = 0.75  # of published data; 0.3 s normally, two lost heartbeats are tolerated


class StaleReplicaError(GranitewellError):
    """This control node's data may be outdated; the watcher should ask another node."""


class ConfigurationSource(Protocol):
    """Source of configuration updates."""

    @property
    def version(self) -> int:
        """Current version, 0 for none."""

    def changes_since(self, version: int) -> Any:
        """Return the update from a version, with version, is_complete and documents."""


def members_digest(nodes: Sequence[str]) -> int:
    """Return a digest of a list of control nodes, independent of its order."""
    text = ",".join(sorted(nodes)).encode()
    return int.from_bytes(hashlib.sha256(text).digest()[:7], "big")


class EdgeCounter:
    """Counts the edges that poll this node, and those that other control nodes report."""

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}
        self._others: dict[str, tuple[int, float]] = {}
        self._peak = 0
        self._peak_at = 0.0

    def record_request(self, edge: str, now: float) -> None:
        """Record a request of an edge."""
        self._asked_at[edge] = now

    def record_report(self, node: str, edges: int, now: float) -> None:
        """Record the number of edges that another control node reports."""
        self._others[node] = (edges, now)

    def local_count(self, now: float) -> int:
        """Return the number of edges that poll this node."""
        self._asked_at = {e: at for e, at in self._asked_at.items() if now - at < EDGE_TTL_S}
        return len(self._asked_at)

    def total(self, now: float) -> int:
        """Return the number of edges that poll any node, at least 1."""
        others = sum(edges for edges, at in self._others.values() if now - at < EDGE_TTL_S)
        return max(self.local_count(now) + others, 1)

    def recent_maximum(self, now: float) -> int:
        """Return the recent maximum of the total; shared budgets are divided by it."""
        count = self.total(now)
        if count >= self._peak or now - self._peak_at > PEAK_TTL_S:
            self._peak, self._peak_at = count, now
        return self._peak


class Publisher:
    """Answers the long-polls of one control node."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        tables: Mapping[int, ServerTable],
        control_nodes: Callable[[], Sequence[str]],
        read_staleness_s: Callable[[], float],
        edges: EdgeCounter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._configuration = configuration
        self._tables = tables
        self._control_nodes = control_nodes
        self._read_staleness_s = read_staleness_s
        self._edges = edges
        self._clock = clock
        self._in_contact_since: float | None = None
        self._changed = asyncio.Event()

    def changed(self) -> None:
        """Wake the waiting watchers, because published data has changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(self, request: Any) -> Any:
        """Return the reply to a long-poll; raises StaleReplicaError."""
        deadline = self._clock() + min(max(request.hold_ms, 0) / 1000.0, MAX_HOLD_S)
        while True:
            changed = self._changed
            if request.edge:
                self._edges.record_request(request.node, self._clock())
            if request.edge or request.members_only:
                self._check_read_staleness()
            reply = self._reply(request)
            left = deadline - self._clock()
            if reply is not None or left <= 0:
                return reply if reply is not None else self._reply(request, allow_empty=True)
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(min(BATCH_DELAY_S, left))

    def _check_read_staleness(self) -> None:
        """Raise StaleReplicaError if the group has no leader here, or this replica has not joined it yet.

        A replica that has not joined knows neither the configuration nor the members of the group.
        """
        if self._read_staleness_s() > MAX_READ_STALENESS_S:
            self._in_contact_since = None
            raise StaleReplicaError("no leader is known")
        if self._in_contact_since is None:
            self._in_contact_since = self._clock()

    def _counts_are_partial(self) -> bool:
        """Return whether other control nodes may not have reported their edges yet.

        That is so after this node has started, joined, or been cut off from the others.
        """
        since = self._in_contact_since
        return since is None or self._clock() - since < COUNT_COMPLETE_AFTER_S

    def _reply(self, request: Any, allow_empty: bool = False) -> Any | None:
        """Return the updates for a watcher; None if there are none and `allow_empty` is false."""
        configuration = self._configuration_update(request)
        updates = list(self._table_updates(request))
        members_wanted = request.edge or request.members_only
        nodes = list(self._control_nodes()) if members_wanted else []
        digest = members_digest(nodes) if members_wanted else request.members_digest
        update = configuration is not None or any(has_changes for _, has_changes in updates)
        if not update and digest == request.members_digest and not allow_empty:
            return None
        now = self._clock()
        return WatchReply(
            configuration=configuration,
            tables=[update for update, _ in updates],
            control_nodes=nodes if digest != request.members_digest else [],
            members_digest=digest,
            edges=self._edges.total(now),
            max_edges=self._edges.recent_maximum(now),
            edges_partial=self._counts_are_partial() or None,
        )

    def _configuration_update(self, request: Any) -> Any | None:
        if not request.edge or self._configuration.version <= request.configuration_version:
            return None
        delta = self._configuration.changes_since(request.configuration_version)
        return ConfigurationUpdate(
            version=delta.version, is_complete=delta.is_complete, documents=list(delta.documents)
        )

    def _table_updates(self, request: Any) -> Sequence[tuple[Any, bool]]:
        """Return the updates of the requested shards (all for an edge), and whether any contains a change."""
        had = {version.shard: Version(version.epoch, version.sequence) for version in request.tables or ()}
        shards = self._tables if request.edge else had
        updates = []
        for shard in shards:
            table = self._tables.get(shard)
            if table is None or table.version == Version():
                continue
            version = had.get(shard, Version())
            if version > table.version:  # the watcher is newer than this copy
                continue
            updates.append((self._table_update(shard, table, version), version != table.version))
        return updates

    def _table_update(self, shard: int, table: ServerTable, had: Version) -> Any:
        update = table.since(had)
        age = -1 if table.listed_at is None else int((self._clock() - table.listed_at) * 1000)
        return TableUpdate(
            version=TableVersion(shard=shard, epoch=update.version.epoch, sequence=update.version.sequence),
            is_complete=update.is_complete,
            changed=[server_to_message(server) for server in update.changed],
            removed=list(update.removed),
            list_age_ms=age,
        )


def update_from_message(message: Any) -> Update:
    """Convert a message to a typed update."""
    return Update(
        Version(message.version.epoch, message.version.sequence),
        bool(message.is_complete),
        tuple(server_from_message(server) for server in message.changed or ()),
        tuple(message.removed or ()),
    )
