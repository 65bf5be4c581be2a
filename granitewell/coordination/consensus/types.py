"""The nouns of consensus: members, entries, hard state, snapshots.

Plain values without behaviour of their own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Role(IntEnum):
    """What a replica is at the moment. A learner is a follower that is no voter of its own membership."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1
    CANDIDATE = 2
    LEADER = 3


class EntryKind(IntEnum):
    """What an entry of the log carries. Values are on disks and on the wire: never changed."""

    NO_OPERATION = 0
    DATA = 1
    ADD_VOTER = 2
    """A voter's new address; a new voter in logs that older versions wrote."""

    REMOVE_VOTER = 3
    """Only in logs that older versions wrote."""

    CHANGE_VOTERS = 4
    END_CHANGE = 5


MEMBERSHIP_KINDS = frozenset(
    (EntryKind.ADD_VOTER, EntryKind.REMOVE_VOTER, EntryKind.CHANGE_VOTERS, EntryKind.END_CHANGE)
)
"""Entries that change the members."""


@dataclass(frozen=True, slots=True)
class Member:
    """A replica and where it is.

    Attributes:
        address: `ip:port` of internal messages.
        node_name: "" where not known.
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
    """What must be on the disk before a vote or a reply that names the term leaves."""

    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class VoterChange:
    """Voters that come in and voters that go, together."""

    added: tuple[Member, ...]
    removed: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Membership:
    """The voters after some entry, and the ids of the replicas removed last.

    Attributes:
        outgoing_voters: While members change, all voters from before the change, each of which still counts;
            else empty.
    """

    voters: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    outgoing_voters: tuple[Member, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Whether a change is under way, so that majorities of both sides count."""
        return bool(self.outgoing_voters)

    def all_voters(self) -> tuple[Member, ...]:
        """All that have a vote, each once."""
        if not self.outgoing_voters:
            return self.voters
        by_id = {member.replica_id: member for member in (*self.outgoing_voters, *self.voters)}
        return tuple(by_id.values())


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine and the membership after the entry at `index`."""

    index: int = 0
    term: int = 0
    membership: Membership = field(default_factory=Membership)
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose log a file is. Always its first record."""

    replica_id: str


Record = Identity | HardState | Entry | Snapshot
"""What a replica has written to its disk, in order."""


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica starts from: the sum of the records on its disk."""

    replica_id: str
    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]
