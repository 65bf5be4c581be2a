"""Value types of consensus: members, entries, hard state, snapshots."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Role(IntEnum):
    """Role of a replica. A learner is a follower that is not a voter."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1
    CANDIDATE = 2
    LEADER = 3


class EntryKind(IntEnum):
    """Kind of a log entry. The values are stored and sent, and never change."""

    NO_OPERATION = 0
    DATA = 1
    ADD_VOTER = 2
    """New address of a voter; in logs of older versions, a new voter."""

    REMOVE_VOTER = 3
    """Found only in logs of older versions."""

    CHANGE_VOTERS = 4
    END_CHANGE = 5


MEMBERSHIP_KINDS = frozenset(
    (EntryKind.ADD_VOTER, EntryKind.REMOVE_VOTER, EntryKind.CHANGE_VOTERS, EntryKind.END_CHANGE)
)
"""Kinds of entries that change the members."""


@dataclass(frozen=True, slots=True)
class Member:
    """A replica and its address.

    Attributes:
        replica_id: Id of the replica.
        node_name: Name of its machine; "" if unknown.
        address: Internal address, `ip:port`.
    """

    replica_id: str
    node_name: str
    address: str


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class HardState:
    """State that must be on disk before a vote, or a reply that names the term, is sent."""

    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class VoterChange:
    """Voters that are added and removed together."""

    added: tuple[Member, ...]
    removed: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Membership:
    """Voters after some entry, and the ids of the replicas removed last.

    Attributes:
        voters: The voters.
        removed: Ids of the replicas removed last.
        outgoing_voters: While members change, all voters from before the change, each of which still counts;
            else empty.
    """

    voters: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    outgoing_voters: tuple[Member, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Whether a change is in progress, so that majorities of both sides count."""
        return bool(self.outgoing_voters)

    def all_voters(self) -> tuple[Member, ...]:
        """Return all replicas that have a vote, each once."""
        if not self.outgoing_voters:
            return self.voters
        by_id = {member.replica_id: member for member in (*self.outgoing_voters, *self.voters)}
        return tuple(by_id.values())


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State machine and membership after the entry at `index`."""

    index: int = 0
    term: int = 0
    membership: Membership = field(default_factory=Membership)
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Identity:
    """The replica that owns a log file. Always the first record."""

    replica_id: str


Record = Identity | HardState | Entry | Snapshot
"""A record that a replica writes to its disk."""


@dataclass(frozen=True, slots=True)
class StoredState:
    """State that the records on a disk add up to; a replica starts from it."""

    replica_id: str
    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]
