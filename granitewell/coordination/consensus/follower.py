"""How a follower handles the leader's entries and snapshots."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.messages import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
from granitewell.coordination.consensus.types import Entry, Snapshot


@dataclass(slots=True)
class _Assembly:
    """A snapshot that is being received in chunks."""

    leader_term: int
    index: int
    index_term: int
    total: int
    data: bytearray = field(default_factory=bytearray)

    def matches(self, chunk: SnapshotChunk) -> bool:
        """Return whether a chunk belongs to this snapshot and was sent by the same leader.

        Another leader's snapshot at the same index may consist of other bytes.
        """
        mine = (self.leader_term, self.index, self.index_term, self.total)
        return mine == (chunk.term, chunk.index, chunk.index_term, chunk.total)


class Follower:
    """The part of a replica that replicates the leader's log."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._assembly: _Assembly | None = None

    def on_append(self, address: str, message: Append) -> None:
        """Append entries that continue the local log, and reply how far both logs agree."""
        core = self._core
        if message.previous_index < core.commit_index:
            self._append_after_commit(address, message)
        elif core.log.term_at(message.previous_index) != message.previous_term:
            hint = self._hint(message.previous_index)
            core.send_in_term(address, AppendReply(core.id, message.sender, core.term, False, hint))
        else:
            self._append_entries(address, message, message.entries)

    def _append_after_commit(self, address: str, message: Append) -> None:
        """Append the entries after the commit index.

        Committed entries are in the log of every later leader, so they are skipped.
        """
        rest = message.entries[self._core.commit_index - message.previous_index :]
        self._append_entries(address, message, rest)

    def _append_entries(self, address: str, message: Append, entries: Sequence[Entry]) -> None:
        core = self._core
        self._store(entries)
        agreed = max(core.commit_index, message.previous_index + len(message.entries))
        core.commit(min(message.commit_index, agreed))
        core.send_synced(address, AppendReply(core.id, message.sender, core.term, True, agreed))

    def _store(self, entries: Sequence[Entry]) -> None:
        core = self._core
        for entry in entries:
            term = core.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                core.truncate(entry.index)
            core.append(entry)

    def _hint(self, previous_index: int) -> int:
        """Return the last index at which the log may agree with the leader's."""
        core = self._core
        if previous_index > core.log.last_index:
            return core.log.last_index
        return max(core.commit_index, core.log.first_of_term(previous_index) - 1)

    def on_snapshot_chunk(self, address: str, chunk: SnapshotChunk) -> None:
        """Store a chunk of a snapshot; install the snapshot with its last chunk."""
        core = self._core
        if chunk.index <= core.commit_index:
            self._assembly = None
            reply = AppendReply(core.id, chunk.sender, core.term, True, core.commit_index)
            core.send_synced(address, reply)
            return
        if chunk.total > core.settings.snapshot_max_bytes:
            return
        assembly = self._assembly
        if assembly is None or not assembly.matches(chunk):
            assembly = self._assembly = _Assembly(chunk.term, chunk.index, chunk.index_term, chunk.total)
        if chunk.offset == len(assembly.data):
            assembly.data += chunk.data
        if len(assembly.data) == chunk.total:
            self._install(address, chunk, bytes(assembly.data))
            return
        received = len(assembly.data)
        core.send_in_term(address, SnapshotReply(core.id, chunk.sender, core.term, chunk.index, received))

    def _install(self, address: str, chunk: SnapshotChunk, data: bytes) -> None:
        core = self._core
        self._assembly = None
        core.install(Snapshot(chunk.index, chunk.index_term, chunk.membership, data))
        core.send_synced(address, AppendReply(core.id, chunk.sender, core.term, True, chunk.index))
