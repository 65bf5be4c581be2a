"""State that all parts of a replica share: log, term, vote, role, and outgoing messages."""

from __future__ import annotations

from random import Random

from granitewell.coordination.consensus.log import ReplicatedLog
from granitewell.coordination.consensus.membership import is_voter
from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.persistence import Persistence
from granitewell.coordination.consensus.ready import Outgoing
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Entry, HardState, Member, Role, Snapshot, StoredState


class Core:
    """Shared state of one replica.

    Attributes:
        me: This replica. Its id is the one on its disk.
        removed: Whether this replica knows that it was removed from the group.
        restore: Snapshot that the state machine has yet to load, if any.
        messages: Outgoing messages that make no claim about this replica's disk.
        synced_messages: Outgoing messages that must wait for the disk.
    """

    def __init__(self, me: Member, state: StoredState, settings: ReplicaSettings, rng: Random) -> None:
        self.me = me
        self.settings = settings
        self.rng = rng
        self.hard_state = state.hard_state
        self.log = ReplicatedLog(state.snapshot, state.entries)
        self.persistence = Persistence(self.log.last_index, state.hard_state.term)
        self.commit_index = state.snapshot.index
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_address: str | None = None
        self.restore: Snapshot | None = None
        self.removed = False
        self.messages: list[Outgoing] = []
        self.synced_messages: list[Outgoing] = []

    @property
    def id(self) -> str:
        """Replica id."""
        return self.me.replica_id

    @property
    def term(self) -> int:
        """Highest term known to this replica."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote, according to its own log."""
        return is_voter(self.log.membership, self.id)

    def is_removed(self, replica_id: str) -> bool:
        """Return whether the removal of a replica is committed."""
        return replica_id in self.log.membership_at(self.commit_index).removed

    def send(self, address: str, message: Message) -> None:
        """Send a message that makes no claim about this replica's disk."""
        self.messages.append(Outgoing(address, message))

    def send_synced(self, address: str, message: Message) -> None:
        """Send a message once everything written so far is synced to disk."""
        self.synced_messages.append(Outgoing(address, message))

    def send_in_term(self, address: str, message: Message) -> None:
        """Send a reply that claims only that this replica is in its term.

        The reply waits for the disk if the term is not synced yet.
        """
        if self.persistence.stable_term >= self.term:
            self.send(address, message)
        else:
            self.send_synced(address, message)

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change the term or the vote, and record it for the disk."""
        assert term >= self.term
        self.hard_state = HardState(term, vote)
        self.persistence.records.append(self.hard_state)

    def append(self, entry: Entry) -> None:
        """Append an entry to the log, and record it for the disk."""
        self.log.append(entry)
        self.persistence.records.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the uncommitted entries from an index on.

        The next entry written at that index also drops them on disk.
        """
        assert index > self.commit_index, (index, self.commit_index)
        self.log.truncate(index)
        self.persistence.truncated(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log up to a snapshot's index with the leader's snapshot."""
        if not self.log.install(snapshot):
            self.persistence.truncated(1)
        self.persistence.records.append(snapshot)
        self.commit_index = snapshot.index
        self.restore = snapshot

    def commit(self, index: int) -> None:
        """Mark the entries up to an index as committed, as far as this log has them."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))

    def up_to_date(self, last_term: int, last_index: int) -> bool:
        """Return whether a candidate's log is at least as new as this one."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def peers(self) -> list[Member]:
        """Return the other voters, including outgoing ones."""
        return [member for member in self.log.membership.all_voters() if member.replica_id != self.id]
