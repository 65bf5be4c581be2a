"""Versioned table of the servers of one shard, with the changes since any version. No I/O.

The owner of the shard writes the table under its term (the epoch). Every other control node keeps a copy by
applying updates. All copies return the same changes for the same version, so that a watcher can move from one
control node to another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from granitewell.domain.servers import Server

MAX_REMEMBERED_REMOVALS = 2_000  # a watcher with an older version gets the complete table


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Version of a table.

    Attributes:
        epoch: Term of the owner.
        sequence: Number of the change within the epoch. A watcher without a table has version (0, 0).
    """

    epoch: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Update:
    """Changes that lead to `version`.

    Attributes:
        is_complete: Whether servers that are not in `changed` are removed.
    """

    version: Version
    is_complete: bool
    changed: tuple[Server, ...]
    removed: tuple[str, ...]


class ServerTable:
    """The servers of a shard's services, by id."""

    def __init__(self) -> None:
        self.version = Version()
        self.listed_at: float | None = None  # when the platform's list behind this table was read
        self._servers: dict[str, Server] = {}
        self._changed_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}
        self._models_before: dict[str, set[str]] = {}  # by server: models that it has had loaded
        self._complete_from = 0  # first sequence from which all removals are remembered

    @property
    def servers(self) -> Mapping[str, Server]:
        """All servers by id."""
        return self._servers

    def models_before(self, server_id: str) -> frozenset[str]:
        """Return the models that a server has had loaded; it has their weights on its own disk.

        Every copy of the table collects them, so that a new owner knows what previous owners have loaded.
        """
        return frozenset(self._models_before.get(server_id, ()))

    def begin(self, epoch: int) -> None:
        """Begin a new epoch with the known servers.

        If the owner's lease has ended and was renewed within one term, the epoch continues, because copies
        reject a version lower than their own.
        """
        if epoch == self.version.epoch:
            return
        self.version = Version(epoch, 1)
        self._changed_at = dict.fromkeys(self._servers, 1)
        self._removed_at = {}
        self._complete_from = 1

    def replace(self, servers: Iterable[Server], now: float) -> bool:
        """Replace all servers, from a list read at `now`; return whether anything changed."""
        self.listed_at = now
        return self.assign(servers)

    def assign(self, servers: Iterable[Server]) -> bool:
        """Replace all servers; return whether anything changed."""
        wanted = {server.id: server for server in servers}
        changed = [server for key, server in wanted.items() if self._servers.get(key) != server]
        removed = [key for key in self._servers if key not in wanted]
        if not changed and not removed:
            return False
        self._apply(Version(self.version.epoch, self.version.sequence + 1), changed, removed)
        return True

    def update(self, update: Update, listed_at: float | None) -> None:
        """Apply an update of the owner's table."""
        if update.version < self.version:
            return
        if listed_at is not None:
            self.listed_at = max(self.listed_at or listed_at, listed_at)
        if update.is_complete:
            kept = {server.id for server in update.changed}
            removed = [key for key in self._servers if key not in kept]
            if update.version.epoch != self.version.epoch:
                self._removed_at, self._changed_at = {}, {}
            self._apply(update.version, update.changed, removed)
            self._complete_from = update.version.sequence
            return
        self._apply(update.version, update.changed, update.removed)

    def _apply(self, version: Version, changed: Iterable[Server], removed: Iterable[str]) -> None:
        self.version = version
        for server in changed:
            self._servers[server.id] = server
            self._changed_at[server.id] = version.sequence
            self._removed_at.pop(server.id, None)
            self._models_before.setdefault(server.id, set()).update(server.models)
        for key in removed:
            self._models_before.pop(key, None)
            self._servers.pop(key, None)
            self._changed_at.pop(key, None)
            self._removed_at.pop(key, None)
            self._removed_at[key] = version.sequence
        while len(self._removed_at) > MAX_REMEMBERED_REMOVALS:
            self._complete_from = self._removed_at.pop(next(iter(self._removed_at))) + 1

    def since(self, version: Version) -> Update:
        """Return the changes since a version; empty if it is current."""
        same_epoch = version.epoch == self.version.epoch
        if not same_epoch or not self._complete_from <= version.sequence <= self.version.sequence:
            return Update(self.version, True, tuple(self._servers.values()), ())
        changed = tuple(self._servers[key] for key, at in self._changed_at.items() if at > version.sequence)
        removed = tuple(key for key, at in self._removed_at.items() if at > version.sequence)
        return Update(self.version, False, changed, removed)
