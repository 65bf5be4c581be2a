"""The peers of a leader: the voters in force and the learners, how far each is, and what a quorum of them has
reached.
"""

from __future__ import annotations

from collections.abc import Callable

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.membership import MemberView, is_voter, stays_voter
from granitewell.coordination.consensus.progress import Progress
from granitewell.coordination.consensus.quorum import NEVER, quorum_of
from granitewell.coordination.consensus.types import Member

LEARNER_LATE_ENTRIES = 16
LEARNER_LATE_S = 1.0
"""A learner that has lacked no more than these entries for so long may become a voter."""


class ProgressTracker:
    """Progress of each peer, for one term.

    Attributes:
        peers: By replica id.
    """

    def __init__(self, core: Core, now: float) -> None:
        self._core = core
        self.peers: dict[str, Progress] = {}
        self.follow_membership(now)

    def follow_membership(self, now: float) -> None:
        """Have progress of each voter in force and of the learners.

        A voter that was taken back is a learner again; one that was removed is nobody.
        """
        membership = self._core.log.membership
        voters = {voter.replica_id: voter for voter in self._core.peers()}
        for id in [id for id in self.peers if id in membership.removed]:
            del self.peers[id]
        for id, peer in self.peers.items():
            peer.learner = id not in voters
        for id, voter in voters.items():
            if id in self.peers:
                self.peers[id].member = voter
            else:
                self.peers[id] = Progress(voter, self._core.log.last_index + 1, now)

    def reached(self, own: float, of_peer: Callable[[Progress], float]) -> float:
        """The greatest value that a quorum has reached.

        Args:
            own: This leader's.
        """
        values = {id: of_peer(peer) for id, peer in self.peers.items()}
        values[self._core.id] = own
        return quorum_of(self._core.log.membership).reached(values)

    def heard(self, replica_id: str, now: float) -> Progress | None:
        """A peer has answered; None where it is no peer any more."""
        peer = self.peers.get(replica_id)
        if peer is not None:
            peer.heard(now, self._core.settings)
        return peer

    def seconds_since_contact(self, address: str, now: float) -> float:
        """Seconds since anything was heard from a member at an address; infinite where none is there."""
        heard = [peer.heard_at for peer in self.peers.values() if peer.member.address == address]
        return now - max(heard, default=NEVER)

    def lacks_copies(self, index: int, leaving_id: str, now: float) -> bool:
        """Whether an entry is on the disks of no quorum without one voter, but will be.

        Voters that lack it answer.
        """
        matches = {id: peer.match_index for id, peer in self.peers.items() if id != leaving_id}
        if leaving_id != self._core.id:
            matches[self._core.id] = self._core.persistence.stable_index
        membership = self._core.log.membership
        if quorum_of(membership).satisfied_by([id for id, match in matches.items() if match >= index]):
            return False
        behind = [id for id, match in matches.items() if match < index and is_voter(membership, id)]
        return any(self._answers(id, now) for id in behind)

    def _answers(self, replica_id: str, now: float) -> bool:
        peer = self.peers.get(replica_id)
        return peer is None or (peer.answered and now - peer.heard_at <= self._core.settings.answering_s)

    # Learners

    @property
    def has_learners(self) -> bool:
        """Whether anybody waits to be a voter."""
        return any(peer.learner for peer in self.peers.values())

    def add_learner(self, member: Member, now: float) -> None:
        """Serve a replica that wants to be taken in, unless there are too many."""
        peer = self.peers.get(member.replica_id)
        if peer is not None:
            peer.member = member
            peer.heard(now, self._core.settings)
            return
        if sum(peer.learner for peer in self.peers.values()) < self._core.settings.max_learners:
            next_index = self._core.log.last_index + 1
            self.peers[member.replica_id] = Progress(member, next_index, now, learner=True)

    def forget_learners(self, now: float) -> None:
        """Learners that no longer answer are nobody."""
        expiry = self._core.settings.learner_expiry_s
        is_unresponsive = [
            id for id, peer in self.peers.items() if peer.learner and now - peer.heard_at > expiry
        ]
        for id in is_unresponsive:
            del self.peers[id]

    # Views for changes of members

    def voter_views(self, now: float) -> list[MemberView]:
        """All voters, the leader among them."""
        return [self._voter_view(voter, now) for voter in self._core.log.membership.all_voters()]

    def learner_views(self, now: float) -> list[MemberView]:
        """All learners.

        One that has been a few entries late for a while, and goes on taking them, counts as caught up: while
        changes go on faster than its replies come it is never level, and its vote's entry comes after all of
        them.
        """
        return [self._learner_view(peer, now) for peer in self.peers.values() if peer.learner]

    def _learner_view(self, peer: Progress, now: float) -> MemberView:
        commit_index = self._core.commit_index
        unreachable_s = self._core.settings.unreachable_s
        stopped = peer.match_index < commit_index and now - peer.advanced_at >= unreachable_s
        far = peer.match_index < commit_index - LEARNER_LATE_ENTRIES
        if peer.transfer is not None or far or stopped:
            peer.nearly_level_at = None
        elif peer.nearly_level_at is None:
            peer.nearly_level_at = now
        long_enough = peer.nearly_level_at is not None and now - peer.nearly_level_at >= LEARNER_LATE_S
        return self._view(peer, peer.match_index if long_enough else commit_index, now)

    def _voter_view(self, voter: Member, now: float) -> MemberView:
        core = self._core
        min_index = core.log.last_change_index if core.log.membership.is_joint else core.commit_index
        if voter.replica_id == core.id:
            return MemberView(voter, 0.0, True, core.persistence.stable_index >= min_index)
        return self._view(self.peers[voter.replica_id], min_index, now)

    def _view(self, peer: Progress, min_index: int, now: float) -> MemberView:
        caught_up = peer.transfer is None and peer.match_index >= min_index
        answering = self._answers(peer.member.replica_id, now)
        return MemberView(peer.member, now - peer.heard_at, answering, caught_up)

    # Handing over

    def best_successor(self, now: float) -> Progress | None:
        """The voter that is furthest of those that answer and stay.

        None where none has all that is committed.
        """
        core = self._core
        candidates = [
            peer
            for id, peer in self.peers.items()
            if stays_voter(core.log.membership, id) and now - peer.heard_at <= core.settings.reachable_s
        ]
        best = max(candidates, key=lambda peer: peer.match_index, default=None)
        if best is None or best.match_index < core.commit_index:
            return None
        return best
