"""Copy of a shard's table on a control node that does not own the shard."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from granitewell.controlplane.publication.publisher import update_from_message
from granitewell.controlplane.publication.table import ServerTable
from granitewell.domain.errors import RpcError
from granitewell.domain.settings import Settings
from granitewell.rpc.messages import TableVersion, WatchReply, WatchRequest, decode, encode
from granitewell.rpc.transport import Method, RpcPeers

FOLLOW_HOLD_S = 0.4
FOLLOW_RETRY_S = 0.1


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
        """Make one long-poll to the owner."""
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
            await asyncio.sleep(FOLLOW_RETRY_S)
            return
        updates = [update for update in reply.tables or () if update.version.shard == self._shard]
        for message in updates:
            self._apply_update(message)
        if not updates:
            await asyncio.sleep(FOLLOW_RETRY_S)

    def _apply_update(self, message: object) -> None:
        update = update_from_message(message)
        age_ms = message.list_age_ms  # type: ignore[attr-defined]
        listed_at = None if age_ms < 0 else time.monotonic() - age_ms / 1000.0
        changed = update.version != self._table.version
        self._table.update(update, listed_at)
        if changed:
            self._changed()
