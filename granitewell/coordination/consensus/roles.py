"""Which role a replica has, and how it changes: follower, candidate, leader."""

from __future__ import annotations

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.election import Election
from granitewell.coordination.consensus.leadership import Leadership
from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.types import Role


class Roles:
    """Role changes of one replica.

    Attributes:
        leadership: Leader state; None while this replica does not lead.
        old_leader: Id of the last leader that this replica followed, unless that one has transferred its
            leadership.
    """

    def __init__(self, core: Core, election: Election, target_voters: int) -> None:
        self._core = core
        self._election = election
        self._target_voters = target_voters
        self.leadership: Leadership | None = None
        self.old_leader: str | None = None

    def follow(self, address: str, message: Message, now: float) -> bool:
        """Follow the sender of a leader's message unless its term is over; return whether it is followed."""
        core = self._core
        if message.term < core.term or (message.term == core.term and core.role is Role.LEADER):
            return False
        if message.term > core.term or core.role is not Role.FOLLOWER:
            self.become_follower(message.term, now)
        core.leader_id = self.old_leader = message.sender
        core.leader_address = address
        self._election.heard_leader(now)
        return True

    def see_term(self, term: int, now: float) -> None:
        """Become a follower if a message carries a higher term."""
        if term > self._core.term:
            self.become_follower(term, now)

    def become_follower(self, term: int, now: float) -> None:
        """Become a follower in a term."""
        core = self._core
        if term > core.term:
            core.set_hard_state(term, "")
        if core.role is not Role.FOLLOWER:
            self._election.restart_timer(now)
        core.role = Role.FOLLOWER
        core.leader_id = core.leader_address = None
        self.leadership = None

    def update_role(self, now: float) -> None:
        """Change the role if that is due."""
        core = self._core
        if self.leadership is not None and self.leadership.stepped_down:
            self.become_follower(core.term, now)
        if core.role is Role.PRE_CANDIDATE and self._election.has_quorum():
            self._election.campaign(now)
        if core.role is Role.CANDIDATE and self._election.has_quorum():
            self._lead(now)

    def _lead(self, now: float) -> None:
        core = self._core
        core.role = Role.LEADER
        core.leader_id = core.id
        core.leader_address = core.me.address
        heard_at = self._election.heard_at
        self.leadership = Leadership(core, now, self._target_voters, self.old_leader, heard_at)
        self.leadership.tick(now)
