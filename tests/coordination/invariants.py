"""Invariants of all replicas of a simulated group together, checked after every event."""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.coordination.consensus.encoding import decode_end
from granitewell.coordination.consensus.identity import FIRST_INDEX
from granitewell.coordination.consensus.messages import Message, VoteReply
from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.types import Entry, EntryKind, Membership, Record, Snapshot

RECHECKED_ENTRIES = 10
"""How many entries before a change are checked again when it ends."""


class ViolationError(AssertionError):
    """An invariant is broken."""


class Invariants:
    """Invariants of all replicas together, over the complete run."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.entries: dict[tuple[int, int], tuple[Entry, int]] = {}
        self.committed: dict[int, Entry] = {}
        self.chain: dict[int, bytes] = {FIRST_INDEX: b"0"}
        self.last_committed = FIRST_INDEX
        self.last_acknowledged = FIRST_INDEX
        self.dead_ids: set[str] = set()
        self.committed_in: dict[int, int] = {}
        self.membership = Membership()
        self.copies: dict[tuple[int, int], set[str]] = {}
        self.snapshots: dict[str, int] = {}
        self.change_began = Entry(0, 0, EntryKind.NO_OPERATION)

    def on_disk(self, replica_id: str, records: list[Record]) -> None:
        """Record that a replica's disk has synced records."""
        for record in records:
            if isinstance(record, Entry):
                self.copies.setdefault((record.index, record.term), set()).add(replica_id)
            elif isinstance(record, Snapshot):
                self.snapshots[replica_id] = max(record.index, self.snapshots.get(replica_id, 0))

    def _check_durable(self, entry: Entry, in_force: Membership) -> None:
        """Check that majorities of the voters and of the outgoing voters have synced a committed entry."""
        holders = self.copies.get((entry.index, entry.term), set())
        for group in (in_force.voters, in_force.outgoing_voters):
            ids = {member.replica_id for member in group}
            held = {
                replica_id
                for replica_id in ids
                if replica_id in holders or self.snapshots.get(replica_id, 0) >= entry.index
            }
            if ids and 2 * len(held) <= len(ids):
                raise ViolationError(f"committed {entry.index} on {len(held)} of {len(ids)} disks")

    def _check_change(self, entry: Entry, membership: Membership) -> None:
        """Check that a change ends in favor of the new voters only once each of them has its first entry.

        Entries committed before and during the change must be on the disks of a majority of the remaining
        voters.
        """
        if entry.kind is EntryKind.CHANGE_VOTERS:
            self.change_began = entry
        if entry.kind is EntryKind.END_CHANGE and decode_end(entry.data):
            began = self.change_began
            holders = self.copies.get((began.index, began.term), set())
            for member in membership.voters:
                replica_id = member.replica_id
                if member in self.membership.outgoing_voters or replica_id in holders:
                    continue
                if self.snapshots.get(replica_id, 0) < began.index:
                    raise ViolationError(f"the change of entry {began.index} ends without {replica_id}")
            for index in range(max(FIRST_INDEX + 1, began.index - RECHECKED_ENTRIES), entry.index):
                self._check_durable(self.committed[index], membership)

    def check_log_entry(self, entry: Entry, previous_term: int) -> None:
        """Check log matching: an index and a term identify one entry and the term of its predecessor."""
        known = self.entries.setdefault((entry.index, entry.term), (entry, previous_term))
        if known != (entry, previous_term):
            raise ViolationError(f"two entries {entry.index} in term {entry.term}")

    def commit(self, entry: Entry, term: int, membership: Membership, in_force: Membership) -> None:
        """Check that a committed entry is the same on all replicas, and is on enough disks.

        Args:
            entry: The committed entry.
            term: Term of the replica that reports it.
            membership: Membership of that replica.
            in_force: The membership whose quorum counted.
        """
        known = self.committed.get(entry.index)
        if known is not None:
            if known != entry:
                raise ViolationError(f"committed {known}, then {entry}")
            return
        if entry.index != self.last_committed + 1:
            raise ViolationError(f"committed {entry.index} after {self.last_committed}")
        self._check_durable(entry, in_force)
        self._check_change(entry, membership)
        self.committed[entry.index] = entry
        self.committed_in[entry.index] = term
        self.last_committed = entry.index
        self.membership = membership

    def check_leader(self, replica: Replica) -> None:
        """Check that a term has one leader, and that it has everything committed in earlier terms."""
        leader = self.leaders.setdefault(replica.term, replica.replica_id)
        if leader != replica.replica_id:
            raise ViolationError(f"two leaders in term {replica.term}")
        log = replica._core.log
        last = self.last_committed
        while self.committed_in.get(last, 0) >= replica.term:
            last -= 1
        if last > log.last_index or (
            last > log.snapshot.index and log.term_at(last) != self.committed[last].term
        ):
            raise ViolationError(f"the leader of term {replica.term} lacks entry {last}")

    def check_message(self, message: Message) -> None:
        """Check that a replica sends nothing after its disk was lost, and votes once per term."""
        if message.sender in self.dead_ids:
            raise ViolationError(f"{message.sender} speaks after its disk was lost")
        if isinstance(message, VoteReply) and message.granted:
            vote = self.votes.setdefault((message.sender, message.term), message.receiver)
            if vote != message.receiver:
                raise ViolationError(f"{message.sender} votes twice in term {message.term}")

    def check_leases(self, applied: Sequence[int]) -> None:
        """Check that at most one replica holds a lease, and that it has everything acknowledged.

        Args:
            applied: Applied index of each holder.
        """
        if len(applied) > 1:
            raise ViolationError(f"{len(applied)} hold leases")
        if applied and applied[0] < self.last_acknowledged:
            raise ViolationError(f"a lease at {applied[0]}, acknowledged {self.last_acknowledged}")
