"""Messages between the replicas of a group.

`sender` and `receiver` are replica ids. `receiver` is "" in a Join, whose sender may know addresses only.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.coordination.consensus.types import Entry, Member, Membership


@dataclass(frozen=True, slots=True)
class Message:
    """Fields that all messages have.

    Attributes:
        sender: Replica id of the sender.
        receiver: Replica id of the receiver.
        term: Term of the sender; in a PreVote, the term in which it would campaign.
    """

    sender: str
    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class PreVote(Message):
    """Asks whether the receiver would vote for the sender; changes no state."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteReply(Message):
    """Reply to a PreVote.

    Attributes:
        term: The requested term if granted, otherwise the term of the replying replica.
    """

    granted: bool


@dataclass(frozen=True, slots=True)
class Vote(Message):
    """A candidate's request for a vote.

    Attributes:
        leadership_transfer: Whether the previous leader has given up its lease and told the sender to
            campaign.
    """

    last_index: int
    last_term: int
    leadership_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """Reply to a Vote."""

    granted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the leader is alive.

    Attributes:
        round: Number of the heartbeat round, counted by the leader.
        commit_index: Commit index up to which the receiver's log is known to agree.
        leased: Whether the leader held its lease.
        acknowledged_stamp: Stamp of the receiver's last reply, 0 for none.
        leader_commit_index: Commit index of the leader.
    """

    round: int
    commit_index: int
    leased: bool
    acknowledged_stamp: int
    leader_commit_index: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply(Message):
    """Reply to a Heartbeat; the sender votes for no one during the minimum election timeout that begins now.

    Attributes:
        stamp: Returned to the sender by a later heartbeat.
    """

    round: int
    stamp: int


@dataclass(frozen=True, slots=True)
class Append(Message):
    """Entries that follow a previous entry (AppendEntries)."""

    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """Reply to an Append.

    Attributes:
        index: The last entry on disk that equals the leader's; if not accepted, the last one that may.
    """

    accepted: bool
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk(Message):
    """A chunk of a snapshot (InstallSnapshot).

    Attributes:
        index: Index of the snapshot.
        index_term: Term of the entry at that index.
        membership: Membership at that index.
        offset: Position of the chunk in the snapshot, in bytes.
        total: Size of the snapshot, in bytes.
    """

    index: int
    index_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """Reply to a SnapshotChunk.

    Attributes:
        received: How many bytes of the snapshot at `index` have been received.
    """

    index: int
    received: int


@dataclass(frozen=True, slots=True)
class TimeoutNow(Message):
    """Tells the receiver to campaign at once; the sender has stepped down."""


@dataclass(frozen=True, slots=True)
class Join(Message):
    """A replica that is no voter asks to join the group.

    Attributes:
        forwarded: Whether a follower has forwarded the message.
    """

    member: Member
    forwarded: bool


@dataclass(frozen=True, slots=True)
class Removed(Message):
    """Notifies the receiver that its removal from the group is committed."""


@dataclass(frozen=True, slots=True)
class Leave(Message):
    """A voter is about to stop: a learner should replace it, or others should copy what only it has."""


@dataclass(frozen=True, slots=True)
class LeaveReply(Message):
    """Reply to a Leave.

    Attributes:
        wait: Whether the sender should wait because it is being replaced.
    """

    wait: bool
