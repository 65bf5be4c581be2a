"""Members of a group: the effect of an entry on them, and the next change that a leader should propose.

Members change by joint consensus. One entry adds and removes voters together. From the moment it is appended,
both the voters before it (the outgoing voters) and the voters after it count, each with a majority of its
own. A second entry ends the change, in favor of the new voters, or of the old ones if the new voters do not
respond. A change is in force as soon as it is appended, and the next one is proposed only after it is
committed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from granitewell.coordination.consensus.encoding import (
    decode_change,
    decode_end,
    decode_member,
    encode_change,
    encode_end,
    encode_member,
)
from granitewell.coordination.consensus.quorum import quorum_of
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Entry, EntryKind, Member, Membership, VoterChange

MAX_REMOVED_IDS = 64
"""How many ids of removed replicas are kept, so that one that returns late can be notified."""


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member as the leader sees it.

    Attributes:
        member: The member.
        seconds_since_contact: Seconds since its last reply or since the term began; 0 for the leader itself.
        answering: Whether it has replied recently.
        caught_up: Whether all committed entries are on its disk; while members change, the entry that began
            the change.
    """

    member: Member
    seconds_since_contact: float
    answering: bool
    caught_up: bool

    @property
    def dependable(self) -> bool:
        """Whether a change may rely on this member: it responds, and its disk keeps up."""
        return self.answering and self.caught_up


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A change of members to propose: the kind and the data of an entry."""

    kind: EntryKind
    data: bytes
    takes_over: bool = False
    """Whether the entry ends a change in favor of the new voters."""


def is_voter(membership: Membership, replica_id: str) -> bool:
    """Return whether a replica has a vote, possibly as an outgoing voter."""
    return any(member.replica_id == replica_id for member in membership.all_voters())


def stays_voter(membership: Membership, replica_id: str) -> bool:
    """Return whether a replica has a vote after the current change has ended."""
    return any(member.replica_id == replica_id for member in membership.voters)


# What entries do


def after_entry(membership: Membership, entry: Entry) -> Membership:
    """Return the membership after an entry is appended."""
    if entry.kind is EntryKind.CHANGE_VOTERS:
        return _joint(membership, decode_change(entry.data))
    if entry.kind is EntryKind.END_CHANGE:
        return _ended(membership, taken_over=decode_end(entry.data))
    if entry.kind is EntryKind.ADD_VOTER:
        return _with_voter(membership, decode_member(entry.data))
    if entry.kind is EntryKind.REMOVE_VOTER:
        return _without_voter(membership, decode_member(entry.data))
    return membership


def _joint(membership: Membership, change: VoterChange) -> Membership:
    leaving = {member.replica_id for member in (*change.removed, *change.added)}
    staying = tuple(member for member in membership.voters if member.replica_id not in leaving)
    return Membership((*staying, *change.added), membership.removed, membership.voters)


def _ended(membership: Membership, *, taken_over: bool) -> Membership:
    if not membership.is_joint:
        return membership
    if not taken_over:
        return Membership(membership.outgoing_voters, membership.removed)
    removed_ids = tuple(
        member.replica_id
        for member in membership.outgoing_voters
        if not stays_voter(membership, member.replica_id)
    )
    return Membership(membership.voters, (*membership.removed, *removed_ids)[-MAX_REMOVED_IDS:])


def _with_voter(membership: Membership, added: Member) -> Membership:
    """Apply the new address of a voter or, in logs of older versions, add a voter."""
    others = tuple(member for member in membership.voters if member.replica_id != added.replica_id)
    outgoing = tuple(
        added if member.replica_id == added.replica_id else member for member in membership.outgoing_voters
    )
    if membership.is_joint and not stays_voter(membership, added.replica_id):
        return Membership(membership.voters, membership.removed, outgoing)
    return Membership((*others, added), membership.removed, outgoing)


def _without_voter(membership: Membership, removed: Member) -> Membership:
    others = tuple(member for member in membership.voters if member.replica_id != removed.replica_id)
    return Membership(others, (*membership.removed, removed.replica_id)[-MAX_REMOVED_IDS:])


def move_voter(member: Member) -> ProposedChange:
    """Return the change for a voter with a new address. It changes no quorum."""
    return ProposedChange(EntryKind.ADD_VOTER, encode_member(member))


# What to propose


def predecessor(membership: Membership, learner: Member) -> Member | None:
    """Return the voter that a learner replaces: the same machine under an older id."""
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
    leaving: Collection[str],
    settings: ReplicaSettings,
) -> ProposedChange | None:
    """Return the change that a leader should begin, or None if none is needed or safe.

    The previous change must be committed and ended.

    Args:
        membership: Membership in force.
        voters: All voters.
        learners: All learners.
        target_voters: How many voters the group should have.
        leaving: Ids of voters that are about to stop.
        settings: Timeouts.
    """
    ready = [view for view in learners if view.dependable]
    for change in _wanted_changes(membership, voters, ready, target_voters, leaving, settings):
        if may_begin(membership, change, voters):
            return ProposedChange(EntryKind.CHANGE_VOTERS, encode_change(change))
    return None


def _wanted_changes(
    membership: Membership,
    voters: Sequence[MemberView],
    ready: Sequence[MemberView],
    target_voters: int,
    leaving: Collection[str],
    settings: ReplicaSettings,
) -> Iterable[VoterChange]:
    spares: list[Member] = []
    for view in ready:
        old = predecessor(membership, view.member)
        if old is None:
            spares.append(view.member)
        else:
            yield VoterChange((view.member,), (old,))
    for spare in spares:
        if len(voters) < target_voters:
            yield VoterChange((spare,), ())
        for view in sorted(voters, key=lambda view: -view.seconds_since_contact):
            if view.seconds_since_contact >= settings.unreachable_s or view.member.replica_id in leaving:
                yield VoterChange((spare,), (view.member,))


def may_begin(membership: Membership, change: VoterChange, voters: Sequence[MemberView]) -> bool:
    """Return whether a quorum on both sides of a change is dependable.

    A voter that replaces another is not counted: the change must not rely on it, so that its loss leaves the
    group no worse off than before.
    """
    dependable = _dependable(voters)
    if not change.removed:
        dependable |= {member.replica_id for member in change.added}
    return quorum_of(_joint(membership, change)).satisfied_by(dependable)


def _dependable(views: Iterable[MemberView]) -> set[str]:
    return {view.member.replica_id for view in views if view.dependable}


def next_end(
    membership: Membership, voters: Sequence[MemberView], under_way_s: float, settings: ReplicaSettings
) -> ProposedChange | None:
    """Return how to end the current change, or None while neither way is safe.

    The change ends with the new voters once all of them hold the entry that added them. It is rolled back if
    that does not happen.
    """
    taken_over = _has_arrived(membership, voters)
    if not taken_over and not _is_stuck(membership, voters, under_way_s, settings):
        return None
    if not quorum_of(_ended(membership, taken_over=taken_over)).satisfied_by(_dependable(voters)):
        return None
    return ProposedChange(EntryKind.END_CHANGE, encode_end(taken_over), taken_over)


def _incoming(membership: Membership, voters: Iterable[MemberView]) -> list[MemberView]:
    before = {member.replica_id for member in membership.outgoing_voters}
    return [view for view in voters if view.member.replica_id not in before]


def _outgoing(membership: Membership, voters: Iterable[MemberView]) -> list[MemberView]:
    return [view for view in voters if not stays_voter(membership, view.member.replica_id)]


def _has_arrived(membership: Membership, voters: Iterable[MemberView]) -> bool:
    return all(view.dependable for view in _incoming(membership, voters))


def _is_stuck(
    membership: Membership, voters: Sequence[MemberView], under_way_s: float, settings: ReplicaSettings
) -> bool:
    """Return whether to roll back a change.

    That is so if a new voter is unresponsive, or slow while all outgoing voters still respond, or so slow
    that another replica should have its turn.
    """
    if under_way_s < settings.unreachable_s:
        return False
    if any(view.seconds_since_contact >= settings.unreachable_s for view in _incoming(membership, voters)):
        return True
    if under_way_s >= settings.change_max_s:
        return True
    return all(view.answering for view in _outgoing(membership, voters))
