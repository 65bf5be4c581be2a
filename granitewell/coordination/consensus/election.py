"""Elections: who may stand, who may be voted for, and what a follower knows of its leader.

Rules on top of Raft's:

- A pre-vote comes before each vote. It changes nothing, so a replica that was cut off disturbs nobody.
- A replica that heard a leader within the least election timeout grants neither (stickiness). The leader's
  lease rests on this. A replica that restarts forgets what it heard: for as long after its start it grants
  nothing.
- Only a vote that a leader handed over (it has given up its lease by then) goes past stickiness.
- A replica whose disk is slow or refuses does not stand.
"""

from __future__ import annotations

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.messages import PreVote, PreVoteReply, Vote, VoteReply
from granitewell.coordination.consensus.quorum import NEVER, quorum_of
from granitewell.coordination.consensus.types import Role


class Election:
    """The part of a replica that stands and votes.

    Attributes:
        fresh: Its log was made just now, so it never heard a leader.
    """

    def __init__(self, core: Core, now: float, fresh: bool) -> None:
        self._core = core
        self._votes: set[str] = set()
        self._no_vote_before = NEVER if fresh else now + core.settings.election_timeout_min_s
        self.heard_at = NEVER
        self.due_at = now
        self.restart_timer(now)

    # Timers

    def restart_timer(self, now: float) -> None:
        """Wait for a whole election timeout from now on."""
        settings = self._core.settings
        self.due_at = now + self._core.rng.uniform(
            settings.election_timeout_min_s, settings.election_timeout_max_s
        )

    def heard_leader(self, now: float) -> None:
        """The leader of this term lives."""
        self.heard_at = now
        self.restart_timer(now)

    def tick(self, now: float) -> None:
        """Stand for election where it is time."""
        if now < self.due_at or not self._core.is_voter:
            return
        settings = self._core.settings
        if now - self.due_at > settings.late_timer_s:
            self.due_at = now + settings.pre_vote_retry_s  # frozen: first read what came meanwhile
            return
        self.due_at = now + settings.pre_vote_retry_s * self._core.rng.uniform(1.0, 2.0)
        if self._core.persistence.stalled_for(now) < settings.disk_slow_s:
            self._ask_pre_votes()

    # Standing

    def _ask_pre_votes(self) -> None:
        core = self._core
        core.role = Role.PRE_CANDIDATE
        core.leader_id = core.leader_address = None
        self._votes = {core.id}
        log = core.log
        for peer in core.peers():
            request = PreVote(core.id, peer.replica_id, core.term + 1, log.last_index, log.last_term)
            core.send(peer.address, request)

    def campaign(self, now: float, leadership_transfer: bool = False) -> None:
        """Ask for votes in a new term.

        Its own vote counts once it is on the disk, which is also when the requests leave.
        """
        core = self._core
        core.set_hard_state(core.term + 1, core.id)
        core.role = Role.CANDIDATE
        core.leader_id = core.leader_address = None
        self._votes = set()
        self.due_at = now + core.settings.candidate_s * core.rng.uniform(1.0, 2.0)
        log = core.log
        for peer in core.peers():
            request = Vote(
                core.id, peer.replica_id, core.term, log.last_index, log.last_term, leadership_transfer
            )
            core.send_synced(peer.address, request)

    def on_pre_vote_reply(self, reply: PreVoteReply) -> None:
        """Count a pre-vote."""
        core = self._core
        if core.role is Role.PRE_CANDIDATE and reply.granted and reply.term == core.term + 1:
            self._votes.add(reply.sender)

    def on_vote_reply(self, reply: VoteReply) -> None:
        """Count a vote."""
        core = self._core
        if core.role is Role.CANDIDATE and reply.granted and reply.term == core.term:
            self._votes.add(reply.sender)

    def own_vote_synced(self) -> None:
        """Count the own vote, where it is on the disk."""
        core = self._core
        if core.role is Role.CANDIDATE and core.persistence.stable_term >= core.term:
            self._votes.add(core.id)

    def has_quorum(self) -> bool:
        """Whether a quorum of the voters granted what is asked for."""
        return quorum_of(self._core.log.membership).satisfied_by(self._votes)

    # Voting

    def sticky(self, now: float) -> bool:
        """Whether this replica owes its leader to vote for nobody else."""
        if self._core.role is Role.LEADER:
            return True
        return now < max(self._no_vote_before, self.heard_at + self._core.settings.election_timeout_min_s)

    def on_pre_vote(self, address: str, request: PreVote, now: float) -> None:
        """Say whether a vote would be granted."""
        core = self._core
        granted = (
            request.term > core.term
            and not self.sticky(now)
            and core.up_to_date(request.last_term, request.last_index)
        )
        term = request.term if granted else core.term
        core.send_in_term(address, PreVoteReply(core.id, request.sender, term, granted))

    def may_consider(self, request: Vote, now: float) -> bool:
        """Whether a request for a vote may be looked at, and its term taken over."""
        return request.leadership_transfer or not self.sticky(now)

    def on_vote(self, address: str, request: Vote, now: float) -> None:
        """Vote, or not, in the term that this replica has taken over from the request."""
        core = self._core
        granted = (
            request.term == core.term
            and core.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
            and core.hard_state.vote in ("", request.sender)
            and core.up_to_date(request.last_term, request.last_index)
        )
        if granted:
            core.role = Role.FOLLOWER
            self.restart_timer(now)
            if core.hard_state.vote == "":
                core.set_hard_state(core.term, request.sender)
        core.send_synced(address, VoteReply(core.id, request.sender, core.term, granted))
