"""Peers of a leader: the voters in force and the learners.

Tracks the progress of each peer and what a quorum of them has reached.
"""

from __future__ import annotations

from collections.abc import Callable

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.membership import MemberView, is_voter, stays_voter
from granitewell.coordination.consensus.progress import Progress
from granitewell.coordination.consensus.quorum import NEVER, quorum_of
from granitewell.coordination.consensus.types import Member

CAUGHT_UP_MAX_MISSING_ENTRIES = 16
CAUGHT_UP_MIN_DURATION_S = 1.0
"""How long a learner must have lacked no more than a few entries before it may become a voter, in seconds."""


class ProgressTracker:
    """Progress of all peers, for one term.

    Attributes:
        peers: Progress by replica id.
    """

    def __init__(self, core: Core, now: float) -> None:
        self._core = core
        self.peers: dict[str, Progress] = {}
        self.follow_membership(now)

    def follow_membership(self, now: float) -> None:
        """Track each voter in force and each learner.

        A voter whose addition was rolled back becomes a learner again; one that was removed is no longer
        tracked.
        """
        membership = self._core.log.membership
        voters = {voter.replica_id: voter for voter in self._core.peers()}
        for peer_id in [peer_id for peer_id in self.peers if peer_id in membership.removed]:
            del self.peers[peer_id]
        for peer_id, peer in self.peers.items():
            peer.learner = peer_id not in voters
        for peer_id, voter in voters.items():
            if peer_id in self.peers:
                self.peers[peer_id].member = voter
            else:
                self.peers[peer_id] = Progress(voter, self._core.log.last_index + 1, now)

    def reached(self, own: float, of_peer: Callable[[Progress], float]) -> float:
        """Return the greatest value that a quorum has reached.

        Args:
            own: This leader's value.
            of_peer: Returns the value of a peer.
        """
        values = {peer_id: of_peer(peer) for peer_id, peer in self.peers.items()}
        values[self._core.id] = own
        return quorum_of(self._core.log.membership).reached(values)

    def heard(self, replica_id: str, now: float) -> Progress | None:
        """Record that a peer has replied.

        Returns its progress, or None if it is no longer a peer.
        """
        peer = self.peers.get(replica_id)
        if peer is not None:
            peer.heard(now, self._core.settings)
        return peer

    def seconds_since_contact(self, address: str, now: float) -> float:
        """Return the seconds since the member at an address was heard from; infinite if none."""
        heard = [peer.heard_at for peer in self.peers.values() if peer.member.address == address]
        return now - max(heard, default=NEVER)

    def lacks_copies(self, index: int, leaving_id: str, now: float) -> bool:
        """Return whether an entry is on the disks of no quorum without one voter, but will be.

        The voters that lack the entry respond.
        """
        matches = {peer_id: peer.match_index for peer_id, peer in self.peers.items() if peer_id != leaving_id}
        if leaving_id != self._core.id:
            matches[self._core.id] = self._core.persistence.stable_index
        membership = self._core.log.membership
        if quorum_of(membership).satisfied_by(
            [peer_id for peer_id, match in matches.items() if match >= index]
        ):
            return False
        behind = [
            peer_id for peer_id, match in matches.items() if match < index and is_voter(membership, peer_id)
        ]
        return any(self._answers(peer_id, now) for peer_id in behind)

    def _answers(self, replica_id: str, now: float) -> bool:
        peer = self.peers.get(replica_id)
        return peer is None or (peer.answered and now - peer.heard_at <= self._core.settings.answering_s)

    # Learners

    @property
    def has_learners(self) -> bool:
        """Whether any learner waits to become a voter."""
        return any(peer.learner for peer in self.peers.values())

    def add_learner(self, member: Member, now: float) -> None:
        """Replicate to a replica that wants to join, unless there are too many learners."""
        peer = self.peers.get(member.replica_id)
        if peer is not None:
            peer.member = member
            peer.heard(now, self._core.settings)
            return
        if sum(peer.learner for peer in self.peers.values()) < self._core.settings.max_learners:
            next_index = self._core.log.last_index + 1
            self.peers[member.replica_id] = Progress(member, next_index, now, learner=True)

    def forget_learners(self, now: float) -> None:
        """Drop learners that no longer respond."""
        expiry = self._core.settings.learner_expiry_s
        is_unresponsive = [
            peer_id for peer_id, peer in self.peers.items() if peer.learner and now - peer.heard_at > expiry
        ]
        for peer_id in is_unresponsive:
            del self.peers[peer_id]

    # Views for changes of members

    def voter_views(self, now: float) -> list[MemberView]:
        """Return all voters, including the leader."""
        return [self._voter_view(voter, now) for voter in self._core.log.membership.all_voters()]

    def learner_views(self, now: float) -> list[MemberView]:
        """Return all learners.

        A learner that has lacked only a few entries for a while, and keeps accepting them, counts as caught
        up. While changes arrive faster than its replies it never catches up completely, and the entry that
        makes it a voter comes after all of them.
        """
        return [self._learner_view(peer, now) for peer in self.peers.values() if peer.learner]

    def _learner_view(self, peer: Progress, now: float) -> MemberView:
        commit_index = self._core.commit_index
        unreachable_s = self._core.settings.unreachable_s
        stopped = peer.match_index < commit_index and now - peer.advanced_at >= unreachable_s
        far = peer.match_index < commit_index - CAUGHT_UP_MAX_MISSING_ENTRIES
        if peer.transfer is not None or far or stopped:
            peer.nearly_caught_up_at = None
        elif peer.nearly_caught_up_at is None:
            peer.nearly_caught_up_at = now
        long_enough = (
            peer.nearly_caught_up_at is not None
            and now - peer.nearly_caught_up_at >= CAUGHT_UP_MIN_DURATION_S
        )
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

    # Leadership transfer

    def best_successor(self, now: float) -> Progress | None:
        """Return the most advanced responsive voter that stays a voter.

        None if none has all committed entries.
        """
        core = self._core
        candidates = [
            peer
            for peer_id, peer in self.peers.items()
            if stays_voter(core.log.membership, peer_id) and now - peer.heard_at <= core.settings.reachable_s
        ]
        best = max(candidates, key=lambda peer: peer.match_index, default=None)
        if best is None or best.match_index < core.commit_index:
            return None
        return best
