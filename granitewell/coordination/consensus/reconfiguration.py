"""Changes of members, carried out by a leader step by step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.membership import (
    ProposedChange,
    is_voter,
    move_voter,
    next_change,
    next_end,
    stays_voter,
)
from granitewell.coordination.consensus.messages import Removed
from granitewell.coordination.consensus.tracker import ProgressTracker
from granitewell.coordination.consensus.types import EntryKind, Member


@dataclass(frozen=True, slots=True)
class _Leaving:
    """A voter that is about to stop.

    Attributes:
        until: Time at which the request expires, in seconds.
        index: Commit index when the voter first sent the request.
    """

    until: float
    index: int


class Reconfiguration:
    """The part of a leader that changes members, for one term.

    Args:
        append: Appends an entry to the leader's log.
        transfer_leadership: Transfers leadership to a voter that stays; returns whether that has begun.
    """

    def __init__(
        self,
        core: Core,
        tracker: ProgressTracker,
        target_voters: int,
        now: float,
        append: Callable[[EntryKind, bytes], object],
        transfer_leadership: Callable[[float], bool],
    ) -> None:
        self._core = core
        self._tracker = tracker
        self._target_voters = target_voters
        self._append = append
        self._transfer = transfer_leadership
        self._changed_at = now
        self._leaving: dict[str, _Leaving] = {}
        self._removals: list[Member] = []

    # Voters that are about to stop

    def record_leaving(self, replica_id: str, now: float) -> None:
        """Record that a voter is about to stop, so that a spare replica may replace it."""
        core = self._core
        asked = self._leaving.get(replica_id)
        index = asked.index if asked is not None and now < asked.until else core.commit_index
        self._leaving[replica_id] = _Leaving(now + core.settings.leave_s, index)

    def should_wait(self, replica_id: str, now: float) -> bool:
        """Return whether a voter that is about to stop should wait.

        It should if it is being replaced, or if it holds one of too few copies of an entry while responsive
        voters are still behind.
        """
        if not stays_voter(self._core.log.membership, replica_id):
            return True
        return self._tracker.lacks_copies(self._leaving[replica_id].index, replica_id, now)

    # Changes

    def step(self, now: float) -> None:
        """Begin the next change or end the current one, if that is due. The last change must be committed."""
        if self._core.log.membership.is_joint:
            self._end(now)
        elif self._tracker.has_learners:
            self._begin(now)

    def move(self, member: Member, now: float) -> None:
        """Record the new address of a voter."""
        self._change(move_voter(member), now)

    def _begin(self, now: float) -> None:
        core = self._core
        change = next_change(
            core.log.membership,
            self._tracker.voter_views(now),
            self._tracker.learner_views(now),
            self._target_voters,
            [replica_id for replica_id, leaving in self._leaving.items() if now < leaving.until],
            core.settings,
        )
        if change is not None:
            self._change(change, now)

    def _end(self, now: float) -> None:
        """End the current change.

        A leader that is itself removed leaves this to a voter that stays, because the lease moves with the
        leadership.
        """
        core = self._core
        membership = core.log.membership
        under_way_s = now - self._changed_at
        change = next_end(membership, self._tracker.voter_views(now), under_way_s, core.settings)
        if change is None:
            return
        if change.takes_over and not stays_voter(membership, core.id) and self._transfer(now):
            return
        self._change(change, now)
        if change.takes_over:
            staying = core.log.membership
            self._removals = [
                voter for voter in membership.outgoing_voters if not is_voter(staying, voter.replica_id)
            ]

    def _change(self, change: ProposedChange, now: float) -> None:
        self._append(change.kind, change.data)
        self._changed_at = now
        self._tracker.follow_membership(now)

    def notify_removed(self) -> None:
        """Notify voters whose removal is committed.

        One that misses the message is notified when it next asks.
        """
        core = self._core
        if not self._removals or core.commit_index < core.log.last_change_index:
            return
        removals, self._removals = self._removals, []
        for member in removals:
            if member.replica_id != core.id:
                core.send(member.address, Removed(core.id, member.replica_id, core.term))
