"""A replica of a group, pure: messages, timers and disk events in, `Ready` batches out.

Time is a parameter of every event, random numbers come from the source that is passed in; nothing here waits,
reads a clock or touches a file. The shell (group.py) does what `Ready` says, in the order that ready.py
demands.

A replica is a random id on a disk. One that lost its disk, or was removed, is another replica: it joins under
a new id and never votes under its old one.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.election import Election
from granitewell.coordination.consensus.following import Following
from granitewell.coordination.consensus.joining import Joining
from granitewell.coordination.consensus.leadership import Leadership
from granitewell.coordination.consensus.messages import (
    Append,
    AppendReply,
    HandOver,
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
    Vote,
    VoteReply,
)
from granitewell.coordination.consensus.ready import Ready
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.terms import MEMBERSHIP_KINDS, Member, Role, Snapshot, StoredState
from granitewell.model.errors import NotLeader, ProposalLost

_REQUESTS = (PreVote, Vote, Append, Heartbeat, SnapshotChunk, Join, Leave)
_OF_LEADER = (Append, Heartbeat, SnapshotChunk)


@dataclass(frozen=True, slots=True)
class Position:
    """Where a proposal stands in the log: it is committed if this term's entry is committed at this index."""

    index: int
    term: int


class Replica:
    """One replica. me: its id, as on its disk, and where it is. fresh: the disk was made just now, so it has
    never heard a leader under this id. seeds: addresses to ask where no member is known."""

    def __init__(
        self,
        *,
        me: Member,
        state: StoredState,
        settings: ReplicaSettings,
        target_voters: int,
        seeds: Iterable[str],
        rng: Random,
        now: float,
        fresh: bool,
    ) -> None:
        self._core = Core(me, state, settings, rng)
        self._election = Election(self._core, now, fresh)
        self._following = Following(self._core)
        self._leadership: Leadership | None = None
        self._target_voters = target_voters
        self._handed_index = state.snapshot.index
        self._old_leader: str | None = None
        self._joining = Joining(self._core, seeds, now)
        self.removed = False
        if state.snapshot.index > 0:
            self._core.restore = state.snapshot

    # Views

    @property
    def replica_id(self) -> str:
        """The id on the disk."""
        return self._core.id

    @property
    def role(self) -> Role:
        """What this replica is now."""
        return self._core.role

    @property
    def term(self) -> int:
        """The newest term known here."""
        return self._core.term

    @property
    def leader_address(self) -> str | None:
        """Where the leader of this term is, as far as known."""
        return self._core.leader_address

    @property
    def commit_index(self) -> int:
        """The last entry known to be committed."""
        return self._core.commit_index

    @property
    def members(self) -> tuple[Member, ...]:
        """The voters in force here, those on their way out too."""
        return self._core.log.membership.all_voters()

    @property
    def log_bytes(self) -> int:
        """Of the entries since the last snapshot."""
        return self._core.log.bytes

    @property
    def log_entries(self) -> int:
        """Entries since the last snapshot."""
        return len(self._core.log.entries)

    @property
    def snapshot_index(self) -> int:
        """The last entry that the last snapshot stands for."""
        return self._core.log.snapshot.index

    @property
    def snapshot_bytes(self) -> int:
        """Of the last snapshot."""
        return len(self._core.log.snapshot.data)

    def stored_state(self) -> StoredState:
        """All that the disk should hold once everything handed out is written."""
        core = self._core
        return StoredState(core.id, core.hard_state, core.log.snapshot, tuple(core.log.entries))

    def holds_lease(self, now: float) -> bool:
        """Whether this replica leads, and no other can now."""
        return self._leadership is not None and self._leadership.holds_lease(now)

    def contact_age(self, now: float) -> float:
        """Seconds since a leader that held its lease was heard; 0 for that leader itself."""
        if self._leadership is None:
            return now - self._election.contact_at
        if self._leadership.holds_lease(now):
            return 0.0
        return now - self._leadership.acknowledged_at(now)

    def silent_s(self, address: str, now: float) -> float:
        """Seconds since this leader heard a member at an address; infinite where it leads nobody there."""
        return math.inf if self._leadership is None else self._leadership.silent_s(address, now)

    @property
    def wake_at(self) -> float:
        """When `tick` must be called at the latest."""
        if self.removed:
            return float("inf")
        if self._leadership is not None:
            return self._leadership.heartbeat_at
        if self._core.is_voter:
            return min(self._election.due_at, self._joining.due_at)
        return self._joining.due_at

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses to ask, where no member is known."""
        return self._joining.seeds

    @seeds.setter
    def seeds(self, addresses: Iterable[str]) -> None:
        self._joining.seeds = tuple(addresses)

    # Events

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.removed:
            return
        if self._leadership is not None:
            self._leadership.tick(now)
        else:
            self._election.tick(now)
            self._joining.tick(now, self._election.heard_at)
        self._settle(now)

    def propose(self, data: bytes, now: float) -> Position:
        """Append an entry; raises NotLeader, or ProposalLost where too much waits already."""
        leadership = self._leadership
        if leadership is None or leadership.handing_over or leadership.given_up:
            raise NotLeader(self._core.leader_address if leadership is None else None)
        settings = self._core.settings
        if len(data) + leadership.uncommitted_bytes() > settings.uncommitted_most_bytes:
            raise ProposalLost("too much is waiting to be committed")
        if len(data) > settings.entry_most_bytes:
            raise ProposalLost(f"{len(data)} bytes are too many for one entry")
        entry = leadership.propose(data)
        return Position(entry.index, entry.term)

    def persisted(self, batch: int, now: float) -> None:
        """The disk has synced all batches up to one."""
        self._core.persistence.persisted(batch)
        self._election.own_vote_synced()
        if self._leadership is not None:
            self._leadership.advance_commit()
        self._settle(now)

    def disk_failed(self, now: float) -> None:
        """The disk has refused a batch; the shell tries it again."""
        self._core.persistence.failed(now)

    def compact(self, index: int, data: bytes) -> None:
        """The state machine's state after a committed entry replaces the log up to it."""
        self._core.log.compact(index, data)

    def transfer(self, now: float) -> bool:
        """Hand leadership over; False where this replica does not lead or no follower answers."""
        if self._leadership is None:
            return False
        started = self._leadership.hand_over(now)
        self._settle(now)
        return started

    def leave(self, now: float) -> bool:
        """This replica is about to stop: have its place filled by a learner that is ready. Whether that may
        still come about; to be called again while it may."""
        if self.removed or self._leadership is None:
            return not self.removed and self._joining.leave(now)
        filling = self._leadership.on_leave(self._core.id, now)
        self._settle(now)
        return filling

    def receive(self, address: str, message: Message, now: float) -> None:
        """A message has come. address: where its sender is reached."""
        if self.removed:
            return
        if not self._is_for_me(message):
            self._joining.neighbour = address
            return
        if isinstance(message, _REQUESTS) and self._is_removed(message.sender):
            where = message.member.address if isinstance(message, Join) else address
            self._core.send(where, Removed(self._core.id, message.sender, self._core.term))
            return
        handler = _HANDLERS[type(message)]
        handler(self, address, message, now)
        self._settle(now)

    def _is_for_me(self, message: Message) -> bool:
        me = self._core.id
        if message.sender == me:
            return False
        return message.receiver == me or (message.receiver == "" and isinstance(message, Join))

    def _is_removed(self, replica_id: str) -> bool:
        """Whether it is committed that an id is out of the group."""
        return replica_id in self._core.log.membership_at(self._core.commit_index).removed

    # Messages

    def _on_pre_vote(self, address: str, message: PreVote, now: float) -> None:
        self._election.on_pre_vote(address, message, now)

    def _on_pre_vote_reply(self, address: str, message: PreVoteReply, now: float) -> None:
        if not message.granted and message.term > self._core.term:
            self._become_follower(message.term, now)
        self._election.on_pre_vote_reply(message)

    def _on_vote(self, address: str, message: Vote, now: float) -> None:
        if not self._election.may_consider(message, now):
            return
        if message.term > self._core.term:
            self._become_follower(message.term, now)
        self._election.on_vote(address, message, now)

    def _on_vote_reply(self, address: str, message: VoteReply, now: float) -> None:
        if message.term > self._core.term:
            self._become_follower(message.term, now)
        self._election.on_vote_reply(message)

    def _on_append(self, address: str, message: Append, now: float) -> None:
        if self._accept_leader(address, message, now):
            self._following.on_append(address, message)
        else:
            core = self._core
            core.send_in_term(address, AppendReply(core.id, message.sender, core.term, False, 0))

    def _on_heartbeat(self, address: str, message: Heartbeat, now: float) -> None:
        core = self._core
        if not self._accept_leader(address, message, now):
            core.send_in_term(address, HeartbeatReply(core.id, message.sender, core.term, 0))
            return
        if message.leased:
            self._election.contact_at = now
        core.commit(message.commit_index)
        core.send_in_term(address, HeartbeatReply(core.id, message.sender, core.term, message.round))

    def _on_snapshot_chunk(self, address: str, message: SnapshotChunk, now: float) -> None:
        if self._accept_leader(address, message, now):
            self._following.on_snapshot_chunk(address, message)

    def _accept_leader(self, address: str, message: Message, now: float) -> bool:
        """Follow the sender, unless its term is over."""
        core = self._core
        if message.term < core.term or (message.term == core.term and core.role is Role.LEADER):
            return False
        if message.term > core.term or core.role is not Role.FOLLOWER:
            self._become_follower(message.term, now)
        core.leader_id = self._old_leader = message.sender
        core.leader_address = address
        self._election.heard_leader(now)
        self._joining.heard_leader(now)
        return True

    def _on_append_reply(self, address: str, message: AppendReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._leadership is not None:
            self._leadership.on_append_reply(message, now)

    def _on_heartbeat_reply(self, address: str, message: HeartbeatReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._leadership is not None:
            self._leadership.on_heartbeat_reply(message, now)

    def _on_snapshot_reply(self, address: str, message: SnapshotReply, now: float) -> None:
        if self._is_of_my_term(message, now) and self._leadership is not None:
            self._leadership.on_snapshot_reply(message, now)

    def _is_of_my_term(self, message: Message, now: float) -> bool:
        if message.term > self._core.term:
            self._become_follower(message.term, now)
        return message.term == self._core.term

    def _on_hand_over(self, address: str, message: HandOver, now: float) -> None:
        core = self._core
        if message.term == core.term and core.role is not Role.LEADER and core.is_voter:
            self._old_leader = None
            self._election.stand(now, handed_over=True)

    def _on_join(self, address: str, message: Join, now: float) -> None:
        core = self._core
        if self._leadership is not None:
            self._leadership.on_join(message.member, now)
        elif not message.forwarded and core.leader_address is not None and self._election.sticky(now):
            core.send(core.leader_address, Join(message.sender, "", message.term, message.member, True))

    def _on_leave(self, address: str, message: Leave, now: float) -> None:
        if self._leadership is not None and message.term == self._core.term:
            filling = self._leadership.on_leave(message.sender, now)
            self._core.send(address, LeaveReply(self._core.id, message.sender, message.term, filling))

    def _on_leave_reply(self, address: str, message: LeaveReply, now: float) -> None:
        self._joining.on_leave_reply(message)

    def _on_removed(self, address: str, message: Removed, now: float) -> None:
        self.removed = True

    # Roles

    def _become_follower(self, term: int, now: float) -> None:
        core = self._core
        if term > core.term:
            core.set_hard_state(term, "")
        if core.role is not Role.FOLLOWER:
            self._election.restart_timer(now)
        core.role = Role.FOLLOWER
        core.leader_id = core.leader_address = None
        self._leadership = None

    def _settle(self, now: float) -> None:
        """Change role where that is due."""
        core = self._core
        if self._leadership is not None and self._leadership.given_up:
            self._become_follower(core.term, now)
        if core.role is Role.PRE_CANDIDATE and self._election.has_quorum():
            self._election.stand(now)
        if core.role is Role.CANDIDATE and self._election.has_quorum():
            self._lead(now)

    def _lead(self, now: float) -> None:
        core = self._core
        core.role = Role.LEADER
        core.leader_id = core.id
        core.leader_address = core.me.address
        heard_at = self._election.heard_at
        self._leadership = Leadership(core, now, self._target_voters, self._old_leader, heard_at)
        self._leadership.tick(now)

    # Work for the shell

    def ready(self, now: float) -> Ready | None:
        """The next batch of work; None where there is none."""
        core = self._core
        if self._leadership is not None:
            self._leadership.flush(now)
        persistence = core.persistence
        records = persistence.take(core.log.last_index, core.term, now)
        messages, synced = core.messages, core.synced_messages
        core.messages, core.synced_messages = [], []
        if persistence.settled:
            messages, synced = messages + synced, []
        restore, core.restore = core.restore, None
        committed = self._newly_committed(restore)
        if not (records or messages or synced or committed or restore):
            return None
        return Ready(persistence.newest_batch, records, tuple(messages), tuple(synced), restore, committed)

    def _newly_committed(self, restore: Snapshot | None) -> tuple[Any, ...]:
        core = self._core
        if restore is not None:
            self._handed_index = restore.index
        committed = core.log.between(self._handed_index + 1, core.commit_index)
        self._handed_index = core.commit_index
        if any(entry.kind in MEMBERSHIP_KINDS for entry in committed) and self._is_removed(core.id):
            self.removed = True
        return committed


_Handler = Callable[[Replica, str, Any, float], None]
_HANDLERS: dict[type[Message], _Handler] = {
    PreVote: Replica._on_pre_vote,
    PreVoteReply: Replica._on_pre_vote_reply,
    Vote: Replica._on_vote,
    VoteReply: Replica._on_vote_reply,
    Append: Replica._on_append,
    AppendReply: Replica._on_append_reply,
    Heartbeat: Replica._on_heartbeat,
    HeartbeatReply: Replica._on_heartbeat_reply,
    SnapshotChunk: Replica._on_snapshot_chunk,
    SnapshotReply: Replica._on_snapshot_reply,
    HandOver: Replica._on_hand_over,
    Join: Replica._on_join,
    Removed: Replica._on_removed,
    Leave: Replica._on_leave,
    LeaveReply: Replica._on_leave_reply,
}
