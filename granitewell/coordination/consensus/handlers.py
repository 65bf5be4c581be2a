"""Dispatch of messages to the parts of a replica."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.election import Election
from granitewell.coordination.consensus.follower import Follower
from granitewell.coordination.consensus.membership_requests import MembershipRequests
from granitewell.coordination.consensus.messages import (
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    Join,
    Leave,
    LeaveReply,
    Message,
    PreVote,
    PreVoteReply,
    Removed,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from granitewell.coordination.consensus.read_staleness import ReadStaleness
from granitewell.coordination.consensus.roles import Roles
from granitewell.coordination.consensus.types import Role

_REQUESTS = (PreVote, Vote, Append, Heartbeat, SnapshotChunk, Join, Leave)


class MessageHandlers:
    """Passes each message to the part of the replica that handles it."""

    def __init__(
        self,
        core: Core,
        roles: Roles,
        election: Election,
        joining: MembershipRequests,
        staleness: ReadStaleness,
    ) -> None:
        self._core = core
        self._roles = roles
        self._election = election
        self._membership_requests = joining
        self._staleness = staleness
        self._follower = Follower(core)

    def handle(self, address: str, message: Message, now: float) -> None:
        """Handle a message.

        Args:
            address: Address at which the sender can be reached.
            message: The message.
            now: Current time, in seconds.
        """
        if not self._is_for_me(message):
            self._membership_requests.neighbour = address
            return
        core = self._core
        if isinstance(message, _REQUESTS) and core.is_removed(message.sender):
            where = message.member.address if isinstance(message, Join) else address
            core.send(where, Removed(core.id, message.sender, core.term))
            return
        _HANDLERS[type(message)](self, address, message, now)

    def _is_for_me(self, message: Message) -> bool:
        me = self._core.id
        if message.sender == me:
            return False
        return message.receiver == me or (message.receiver == "" and isinstance(message, Join))

    def _on_pre_vote(self, address: str, message: PreVote, now: float) -> None:
        self._election.on_pre_vote(address, message, now)

    def _on_pre_vote_reply(self, _address: str, message: PreVoteReply, now: float) -> None:
        if not message.granted:
            self._roles.see_term(message.term, now)
        self._election.on_pre_vote_reply(message)

    def _on_vote(self, address: str, message: Vote, now: float) -> None:
        if not self._election.may_consider(message, now):
            return
        self._roles.see_term(message.term, now)
        self._election.on_vote(address, message, now)

    def _on_vote_reply(self, _address: str, message: VoteReply, now: float) -> None:
        self._roles.see_term(message.term, now)
        self._election.on_vote_reply(message)

    def _on_append(self, address: str, message: Append, now: float) -> None:
        if self._accept_leader(address, message, now):
            self._follower.on_append(address, message)
        else:
            core = self._core
            core.send_in_term(address, AppendReply(core.id, message.sender, core.term, False, 0))

    def _on_heartbeat(self, address: str, message: Heartbeat, now: float) -> None:
        core = self._core
        if not self._accept_leader(address, message, now):
            core.send_in_term(address, HeartbeatReply(core.id, message.sender, core.term, 0, 0))
            return
        stamp = self._staleness.on_heartbeat(message, now)
        core.commit(message.commit_index)
        core.send_in_term(address, HeartbeatReply(core.id, message.sender, core.term, message.round, stamp))

    def _on_snapshot_chunk(self, address: str, message: SnapshotChunk, now: float) -> None:
        if self._accept_leader(address, message, now):
            self._follower.on_snapshot_chunk(address, message)

    def _accept_leader(self, address: str, message: Message, now: float) -> bool:
        """Follow the sender unless its term is over; return whether the message is to be handled."""
        if not self._roles.follow(address, message, now):
            return False
        self._membership_requests.heard_leader(now)
        return True

    def _on_append_reply(self, _address: str, message: AppendReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._roles.leadership is not None:
            self._roles.leadership.on_append_reply(message, now)

    def _on_heartbeat_reply(self, _address: str, message: HeartbeatReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._roles.leadership is not None:
            self._roles.leadership.on_heartbeat_reply(message, now)

    def _on_snapshot_reply(self, _address: str, message: SnapshotReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._roles.leadership is not None:
            self._roles.leadership.on_snapshot_reply(message, now)

    def _is_of_my_term(self, message: Message, now: float) -> bool:
        self._roles.see_term(message.term, now)
        return message.term == self._core.term

    def _on_timeout_now(self, _address: str, message: TimeoutNow, now: float) -> None:
        core = self._core
        if message.term == core.term and core.role is not Role.LEADER and core.is_voter:
            self._roles.old_leader = None
            self._election.campaign(now, leadership_transfer=True)

    def _on_join(self, _address: str, message: Join, now: float) -> None:
        core = self._core
        if self._roles.leadership is not None:
            self._roles.leadership.on_join(message.member, now)
        elif not message.forwarded and core.leader_address is not None and self._election.sticky(now):
            core.send(core.leader_address, Join(message.sender, "", message.term, message.member, True))

    def _on_leave(self, address: str, message: Leave, now: float) -> None:
        if self._roles.leadership is not None and message.term == self._core.term:
            wait = self._roles.leadership.on_leave(message.sender, now)
            self._core.send(address, LeaveReply(self._core.id, message.sender, message.term, wait))

    def _on_leave_reply(self, _address: str, message: LeaveReply, _now: float) -> None:
        self._membership_requests.on_leave_reply(message)

    def _on_removed(self, _address: str, _message: Removed, _now: float) -> None:
        self._core.removed = True


_Handler = Callable[[MessageHandlers, str, Any, float], None]
_HANDLERS: dict[type[Message], _Handler] = {
    PreVote: MessageHandlers._on_pre_vote,
    PreVoteReply: MessageHandlers._on_pre_vote_reply,
    Vote: MessageHandlers._on_vote,
    VoteReply: MessageHandlers._on_vote_reply,
    Append: MessageHandlers._on_append,
    AppendReply: MessageHandlers._on_append_reply,
    Heartbeat: MessageHandlers._on_heartbeat,
    HeartbeatReply: MessageHandlers._on_heartbeat_reply,
    SnapshotChunk: MessageHandlers._on_snapshot_chunk,
    SnapshotReply: MessageHandlers._on_snapshot_reply,
    TimeoutNow: MessageHandlers._on_timeout_now,
    Join: MessageHandlers._on_join,
    Removed: MessageHandlers._on_removed,
    Leave: MessageHandlers._on_leave,
    LeaveReply: MessageHandlers._on_leave_reply,
}
