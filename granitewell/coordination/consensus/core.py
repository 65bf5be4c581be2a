"""What all parts of a replica share: its log, its term and vote, its role, and what it has to say."""

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
    """The state that the parts of one replica work on.

    Attributes:
        me: This replica; its id is the one on the disk.
        removed: It knows that it is out of the group.
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
        """This replica's id."""
        return self.me.replica_id

    @property
    def term(self) -> int:
        """The newest term known here."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote, as far as its own log says."""
        return is_voter(self.log.membership, self.id)

    def is_removed(self, replica_id: str) -> bool:
        """Whether it is committed that an id is out of the group."""
        return replica_id in self.log.membership_at(self.commit_index).removed

    def send(self, address: str, message: Message) -> None:
        """A message that claims nothing of this replica's disk."""
        self.messages.append(Outgoing(address, message))

    def send_synced(self, address: str, message: Message) -> None:
        """A message that must wait until all that was written so far is on the disk."""
        self.synced_messages.append(Outgoing(address, message))

    def send_in_term(self, address: str, message: Message) -> None:
        """A reply that claims no more than that this replica is in its term: waits where that is not
        synced."""
        if self.persistence.stable_term >= self.term:
            self.send(address, message)
        else:
            self.send_synced(address, message)

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change term or vote, to be written."""
        assert term >= self.term
        self.hard_state = HardState(term, vote)
        self.persistence.records.append(self.hard_state)

    def append(self, entry: Entry) -> None:
        """Add an entry, to be written."""
        self.log.append(entry)
        self.persistence.records.append(entry)

    def truncate(self, index: int) -> None:
        """Drop uncommitted entries from an index on; what is written next at that index drops them on
        disk."""
        assert index > self.commit_index, (index, self.commit_index)
        self.log.truncate(index)
        self.persistence.truncated(index)

    def install(self, snapshot: Snapshot) -> None:
        """Take a snapshot from the leader in place of the log up to it."""
        if not self.log.install(snapshot):
            self.persistence.truncated(1)
        self.persistence.records.append(snapshot)
        self.commit_index = snapshot.index
        self.restore = snapshot

    def commit(self, index: int) -> None:
        """All entries up to an index are committed, of those that are here."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))

    def up_to_date(self, last_term: int, last_index: int) -> bool:
        """Whether a candidate's log is at least as new as this one."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def peers(self) -> list[Member]:
        """The other voters, those on their way out too."""
        return [member for member in self.log.membership.all_voters() if member.replica_id != self.id]
