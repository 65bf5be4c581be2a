"""The log of a replica in memory: a snapshot, the entries after it, and the membership at each index."""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.coordination.consensus.membership import after_entry
from granitewell.coordination.consensus.types import MEMBERSHIP_KINDS, Entry, Membership, Snapshot

ENTRY_OVERHEAD_BYTES = 64
"""Size of an entry beyond its data, in memory and on the wire, in bytes."""


class ReplicatedLog:
    """A snapshot and the entries after it, numbered without gaps."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self.bytes = 0
        self._changes: list[tuple[int, Membership]] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        """Membership in force: the one appended last, committed or not."""
        return self._changes[-1][1] if self._changes else self.snapshot.membership

    @property
    def last_change_index(self) -> int:
        """Index at which the membership in force was appended."""
        return self._changes[-1][0] if self._changes else self.snapshot.index

    def membership_at(self, index: int) -> Membership:
        """Return the membership after the entry at an index."""
        found = self.snapshot.membership
        for changed_at, membership in self._changes:
            if changed_at > index:
                break
            found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or not appended yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be present."""
        return self.entries[index - self.snapshot.index - 1]

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from `first` to `last`, both included."""
        base = self.snapshot.index + 1
        return tuple(self.entries[first - base : last - base + 1])

    def batch(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries from an index on that fit into `max_bytes`, but at least one if there is one."""
        start = first - self.snapshot.index - 1
        size = 0
        stop = start
        while stop < len(self.entries):
            size += len(self.entries[stop].data) + ENTRY_OVERHEAD_BYTES
            if size > max_bytes and stop > start:
                break
            stop += 1
        return tuple(self.entries[start:stop])

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        assert entry.index == self.last_index + 1, (entry.index, self.last_index)
        self.entries.append(entry)
        self.bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
        if entry.kind in MEMBERSHIP_KINDS:
            self._changes.append((entry.index, after_entry(self.membership, entry)))

    def truncate(self, index: int) -> None:
        """Drop the entry at an index and all entries after it."""
        position = index - self.snapshot.index - 1
        for entry in self.entries[position:]:
            self.bytes -= len(entry.data) + ENTRY_OVERHEAD_BYTES
        del self.entries[position:]
        while self._changes and self._changes[-1][0] >= index:
            self._changes.pop()

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the start of the log with a snapshot.

        Entries after the snapshot are kept if they continue it. Returns whether they do.
        """
        continues = snapshot.index >= self.snapshot.index and self.term_at(snapshot.index) == snapshot.term
        kept = self.entries[snapshot.index - self.snapshot.index :] if continues else []
        self.snapshot = snapshot
        self.entries = []
        self.bytes = 0
        self._changes = []
        for entry in kept:
            self.append(entry)
        return continues

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replace the entries up to a committed index with a snapshot of the state after it."""
        term = self.term_at(index)
        assert term is not None, index
        snapshot = Snapshot(index, term, self.membership_at(index), data)
        self.install(snapshot)
        return snapshot

    def first_of_term(self, index: int) -> int:
        """Return the first index in the log whose entry has the same term as the entry at `index`."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
