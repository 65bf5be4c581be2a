"""Messages between the replicas of a group.

Sender and receiver are replica ids; receiver is "" in a Join, whose sender may know addresses only.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.coordination.consensus.types import Entry, Member, Membership


@dataclass(frozen=True, slots=True)
class Message:
    """What all messages carry.

    Attributes:
        term: The sender's, but for a pre-vote the one it would stand in.
    """

    sender: str
    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class PreVote(Message):
    """Would you vote for me? Changes nothing at who is asked."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteReply(Message):
    """term: the one asked for where granted, else that of who replies."""

    granted: bool


@dataclass(frozen=True, slots=True)
class Vote(Message):
    """A candidate asks for a vote.

    Attributes:
        leadership_transfer: The leader before gave up its lease and asked it to stand.
    """

    last_index: int
    last_term: int
    leadership_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """A vote, or none."""

    granted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """The leader lives.

    Attributes:
        round: Counted by the leader, who knows when it sent it.
        commit_index: As far as the receiver's log is known to agree.
        leased: The leader held its lease.
        acknowledged_stamp: Of the receiver's last reply, 0 for none.
        leader_commit_index: All that the leader knows to be committed.
    """

    round: int
    commit_index: int
    leased: bool
    acknowledged_stamp: int
    leader_commit_index: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply(Message):
    """A heartbeat was heard; its sender grants nobody a vote for the least election timeout from now.

    Attributes:
        stamp: Comes back with a later heartbeat.
    """

    round: int
    stamp: int


@dataclass(frozen=True, slots=True)
class Append(Message):
    """Entries after a previous one."""

    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """index: the last entry on the disk that equals the leader's; where not accepted, the last that may."""

    accepted: bool
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk(Message):
    """A piece of a snapshot.

    Attributes:
        index, index_term, membership: The snapshot's.
        total: Its length.
    """

    index: int
    index_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """received: how many bytes of the snapshot at index are here."""

    index: int
    received: int


@dataclass(frozen=True, slots=True)
class TimeoutNow(Message):
    """The leader has given up: stand for election at once."""


@dataclass(frozen=True, slots=True)
class Join(Message):
    """A replica that is no voter asks to be taken in.

    Attributes:
        forwarded: Passed on by a follower.
    """

    member: Member
    forwarded: bool


@dataclass(frozen=True, slots=True)
class Removed(Message):
    """The receiver's id was removed from the group, and that is committed."""


@dataclass(frozen=True, slots=True)
class Leave(Message):
    """A voter is about to stop: a learner that is ready should take its place, and others have its copies."""


@dataclass(frozen=True, slots=True)
class LeaveReply(Message):
    """wait: that is under way. Where not, there is nothing to wait for."""

    wait: bool
