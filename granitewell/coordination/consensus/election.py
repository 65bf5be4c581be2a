"""Elections: when a replica campaigns and for whom it votes.

Rules beyond the Raft paper:

- A pre-vote precedes each vote. It changes no state, so a replica that was partitioned disturbs no one.
- A replica that heard from a leader within the minimum election timeout grants neither a pre-vote nor a vote
  (stickiness). The leader's lease depends on this. A replica that restarts has forgotten what it heard, so it
  grants nothing for the minimum election timeout after its start.
- Only a vote requested because of a leadership transfer ignores stickiness. The previous leader has given up
  its lease by then.
- A replica whose disk is slow or refuses writes does not campaign.
"""

from __future__ import annotations

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.messages import PreVote, PreVoteReply, Vote, VoteReply
from granitewell.coordination.consensus.quorum import NEVER, quorum_of
from granitewell.coordination.consensus.types import Role


class Election:
    """The part of a replica that campaigns and votes.

    Args:
        core: Shared state of the replica.
        now: Current time, in seconds.
        fresh: Whether the log was created just now, so that this replica has never heard from a leader.
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
        """Restart the election timer with a random timeout."""
        settings = self._core.settings
        self.due_at = now + self._core.rng.uniform(
            settings.election_timeout_min_s, settings.election_timeout_max_s
        )

    def heard_leader(self, now: float) -> None:
        """Record that the leader of this term is alive."""
        self.heard_at = now
        self.restart_timer(now)

    def tick(self, now: float) -> None:
        """Start a pre-vote if the election timer has expired."""
        if now < self.due_at or not self._core.is_voter:
            return
        settings = self._core.settings
        if now - self.due_at > settings.late_timer_s:
            self.due_at = (
                now + settings.pre_vote_retry_s
            )  # the process was frozen: first handle the messages that arrived meanwhile
            return
        self.due_at = now + settings.pre_vote_retry_s * self._core.rng.uniform(1.0, 2.0)
        if self._core.persistence.stalled_for(now) < settings.disk_slow_s:
            self._ask_pre_votes()

    # Campaigning

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
        """Request votes in a new term.

        The replica's own vote counts once it is synced to disk. The requests leave at the same time.
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
        """Count this replica's own vote if it is synced to disk."""
        core = self._core
        if core.role is Role.CANDIDATE and core.persistence.stable_term >= core.term:
            self._votes.add(core.id)

    def has_quorum(self) -> bool:
        """Return whether a quorum of voters has granted the request."""
        return quorum_of(self._core.log.membership).satisfied_by(self._votes)

    # Voting

    def sticky(self, now: float) -> bool:
        """Return whether this replica may not vote for anyone but its current leader."""
        if self._core.role is Role.LEADER:
            return True
        return now < max(self._no_vote_before, self.heard_at + self._core.settings.election_timeout_min_s)

    def on_pre_vote(self, address: str, request: PreVote, now: float) -> None:
        """Reply whether this replica would grant its vote."""
        core = self._core
        granted = (
            request.term > core.term
            and not self.sticky(now)
            and core.up_to_date(request.last_term, request.last_index)
        )
        term = request.term if granted else core.term
        core.send_in_term(address, PreVoteReply(core.id, request.sender, term, granted))

    def may_consider(self, request: Vote, now: float) -> bool:
        """Return whether a vote request may be considered, and its term adopted."""
        return request.leadership_transfer or not self.sticky(now)

    def on_vote(self, address: str, request: Vote, now: float) -> None:
        """Grant or refuse a vote in the current term."""
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
