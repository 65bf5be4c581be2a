"""Models for which requests may be sent to each server, and which servers have changed. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from granitewell.controlplane.placement.observation import ServerRecord, too_many_unreachable
from granitewell.domain.servers import LoadedModel


class Readiness:
    """Ready models by server.

    An unreachable server has none, unless so many are unreachable that this node is probably partitioned.
    """

    def __init__(self, records: Mapping[str, ServerRecord]) -> None:
        self._records = records
        self._published: dict[str, Mapping[str, LoadedModel]] = {}
        self._changed: set[str] = set()

    def ready_models(self, server_id: str) -> Mapping[str, LoadedModel]:
        """Return the models for which requests may be sent to a server now."""
        return self._published.get(server_id, {})

    def take_changes(self) -> list[str]:
        """Return the ids of servers whose ready models have changed since the last call."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def unreachable(self, now: float) -> set[str]:
        """Return the ids of servers that count as unreachable.

        If most do, these are only servers whose address belongs to another instance now.
        """
        unreachable = {server_id for server_id, record in self._records.items() if record.is_unreachable(now)}
        certain = {server_id for server_id in unreachable if self._records[server_id].misdirected}
        return certain if too_many_unreachable(len(unreachable), len(self._records)) else unreachable

    def publish_all(self, now: float) -> None:
        """Update the ready models of all servers."""
        for gone in [known for known in self._published if known not in self._records]:
            del self._published[gone]
        unreachable = self.unreachable(now)
        for server_id, record in self._records.items():
            self._set(server_id, {} if server_id in unreachable else record.ready())

    def publish(self, now: float, record: ServerRecord) -> None:
        """Update the ready models of one server, unless it is no longer listed."""
        server_id = record.listed.id
        if self._records.get(server_id) is not record:
            return
        unreachable = record.is_unreachable(now) and server_id in self.unreachable(now)
        self._set(server_id, {} if unreachable else record.ready())

    def _set(self, server_id: str, ready: Mapping[str, LoadedModel]) -> None:
        if self._published.get(server_id) != ready:
            self._published[server_id] = ready
            self._changed.add(server_id)
