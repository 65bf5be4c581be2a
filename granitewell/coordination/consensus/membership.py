"""Members of a group: what an entry changes, and which change a leader should propose next.

One change at a time, and each only after the one before is committed; a change is in force from the moment it
is appended. A voter is removed before its successor is added, and only while the voters that are left are a
quorum that answers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from granitewell.coordination.consensus.packing import pack_member, unpack_member
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.terms import Entry, EntryKind, Member, Membership

MOST_REMOVED = 64
"""Ids of removed replicas that are kept, so that one that comes back late is told so."""


@dataclass(frozen=True, slots=True)
class MemberView:
    """What the leader sees of a member. silent_s: since its last answer, 0 for the leader itself, or since
    the term began; answering: it has answered lately."""

    member: Member
    silent_s: float
    answering: bool
    caught_up: bool


@dataclass(frozen=True, slots=True)
class Change:
    """A change of members to propose."""

    kind: EntryKind
    member: Member

    @property
    def data(self) -> bytes:
        """The entry's data."""
        return pack_member(self.member)


def quorum(voters: int) -> int:
    """How many of so many voters are a majority."""
    return voters // 2 + 1


def is_voter(membership: Membership, replica_id: str) -> bool:
    """Whether a replica has a vote."""
    return any(member.replica_id == replica_id for member in membership.voters)


def after_entry(membership: Membership, entry: Entry) -> Membership:
    """The membership once an entry is appended."""
    if entry.kind is EntryKind.ADD_VOTER:
        return _with_voter(membership, unpack_member(entry.data))
    if entry.kind is EntryKind.REMOVE_VOTER:
        return _without_voter(membership, unpack_member(entry.data))
    return membership


def _with_voter(membership: Membership, added: Member) -> Membership:
    others = tuple(member for member in membership.voters if member.replica_id != added.replica_id)
    return Membership((*others, added), membership.removed)


def _without_voter(membership: Membership, removed: Member) -> Membership:
    others = tuple(member for member in membership.voters if member.replica_id != removed.replica_id)
    return Membership(others, (*membership.removed, removed.replica_id)[-MOST_REMOVED:])


def predecessor(membership: Membership, learner: Member) -> Member | None:
    """The voter whose place a learner takes: the same machine under an older id."""
    for voter in membership.voters:
        same_name = voter.node_name != "" and voter.node_name == learner.node_name
        if voter.replica_id != learner.replica_id and (same_name or voter.address == learner.address):
            return voter
    return None


def next_change(
    membership: Membership,
    voters: Sequence[MemberView],
    learners: Iterable[MemberView],
    target_voters: int,
    settings: ReplicaSettings,
) -> Change | None:
    """What a leader whose last change is committed should propose; None where all is well or nothing is
    safe."""
    ready = [view for view in learners if view.caught_up and view.answering]
    for view in ready:
        old = predecessor(membership, view.member)
        if old is not None and may_remove(old, voters):
            return Change(EntryKind.REMOVE_VOTER, old)
    for view in ready:
        if predecessor(membership, view.member) is None and len(voters) < target_voters:
            return Change(EntryKind.ADD_VOTER, view.member)
    if any(predecessor(membership, view.member) is None for view in ready):
        return _replace_unreachable(voters, settings)
    return None


def _replace_unreachable(voters: Sequence[MemberView], settings: ReplicaSettings) -> Change | None:
    for view in sorted(voters, key=lambda view: -view.silent_s):
        if view.silent_s >= settings.unreachable_s and may_remove(view.member, voters):
            return Change(EntryKind.REMOVE_VOTER, view.member)
    return None


def may_remove(old: Member, voters: Sequence[MemberView]) -> bool:
    """Whether the voters that are left without one are a quorum that answers."""
    left = [view for view in voters if view.member.replica_id != old.replica_id]
    answering = [view for view in left if view.answering]
    return len(left) > 0 and len(answering) >= quorum(len(left))
