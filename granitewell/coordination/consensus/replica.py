"""A replica of a Raft group, without I/O: messages, timers and disk events in, `Ready` batches out.

Time is a parameter of every event, and random numbers come from a source that is passed in. Nothing here
waits, reads a clock or touches a file. The process part (group.py) does what `Ready` says, in the order that
ready.py requires.

A replica is a random id on a disk. One that lost its disk or was removed is another replica: it joins under a
new id and never votes under the old one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.election import Election
from granitewell.coordination.consensus.handlers import MessageHandlers
from granitewell.coordination.consensus.leadership import Leadership
from granitewell.coordination.consensus.membership_requests import MembershipRequests
from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.read_staleness import ReadStaleness
from granitewell.coordination.consensus.ready import Ready
from granitewell.coordination.consensus.roles import Roles
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import MEMBERSHIP_KINDS, Member, Role, Snapshot, StoredState
from granitewell.domain.errors import NotLeaderError, ProposalLostError


@dataclass(frozen=True, slots=True)
class Position:
    """Position of a proposal in the log.

    The proposal is committed if the entry of this term at this index is committed.
    """

    index: int
    term: int


class Replica:
    """One replica of a group.

    Args:
        me: Id of this replica, as on its disk, and its address.
        state: State on disk.
        settings: Timeouts and limits.
        target_voters: How many voters the group should have.
        seeds: Addresses to ask while no member is known.
        rng: Source of random numbers.
        now: Current time, in seconds.
        fresh: Whether the disk was created just now, so that this id has never heard from a leader.
    """

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
        self._staleness = ReadStaleness()
        self._delivered_index = state.snapshot.index
        self._membership_requests = MembershipRequests(self._core, seeds, now)
        self._roles = Roles(self._core, self._election, target_voters)
        self._handlers = MessageHandlers(
            self._core, self._roles, self._election, self._membership_requests, self._staleness
        )
        if state.snapshot.index > 0:
            self._core.restore = state.snapshot

    @property
    def _leadership(self) -> Leadership | None:
        """Leader state of this replica; None while it does not lead."""
        return self._roles.leadership

    # Views

    @property
    def removed(self) -> bool:
        """Whether this replica was removed from the group. It sends nothing any more."""
        return self._core.removed

    @property
    def replica_id(self) -> str:
        """Id on the disk."""
        return self._core.id

    @property
    def role(self) -> Role:
        """Current role."""
        return self._core.role

    @property
    def term(self) -> int:
        """Highest term known to this replica."""
        return self._core.term

    @property
    def leader_address(self) -> str | None:
        """Address of the leader of this term, if known."""
        return self._core.leader_address

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters in force, including outgoing ones."""
        return self._core.log.membership.all_voters()

    @property
    def log_bytes(self) -> int:
        """Size of the entries since the last snapshot, in bytes."""
        return self._core.log.bytes

    @property
    def log_entries(self) -> int:
        """Number of entries since the last snapshot."""
        return len(self._core.log.entries)

    @property
    def snapshot_index(self) -> int:
        """Index of the last snapshot."""
        return self._core.log.snapshot.index

    @property
    def snapshot_bytes(self) -> int:
        """Size of the last snapshot, in bytes."""
        return len(self._core.log.snapshot.data)

    def has_peer_behind(self, now: float) -> bool:
        """Return whether this replica leads and a responsive peer has yet to catch up."""
        return self._leadership is not None and self._leadership.has_peer_behind(now)

    def stored_state(self) -> StoredState:
        """Return the state that the disk holds once all batches are written."""
        core = self._core
        return StoredState(core.id, core.hard_state, core.log.snapshot, tuple(core.log.entries))

    def holds_lease(self, now: float) -> bool:
        """Return whether this replica leads and no other replica can lead now."""
        return self._leadership is not None and self._leadership.holds_lease(now)

    def read_staleness(self, now: float) -> float:
        """Return an upper bound on the age of the local state, in seconds; 0 for the holder of the lease."""
        leadership = self._leadership
        if leadership is None or not leadership.established:
            return now - self._staleness.proven_at(self._core.commit_index)
        if leadership.holds_lease(now):
            return 0.0
        return now - leadership.acknowledged_at(now)

    def seconds_since_contact(self, address: str, now: float) -> float:
        """Return the seconds since this leader heard from the member at an address; infinite if none."""
        return math.inf if self._leadership is None else self._leadership.seconds_since_contact(address, now)

    @property
    def wake_at(self) -> float:
        """Time by which `tick` must be called, in seconds."""
        if self.removed:
            return float("inf")
        if self._leadership is not None:
            return self._leadership.heartbeat_at
        if self._core.is_voter:
            return min(self._election.due_at, self._membership_requests.due_at)
        return self._membership_requests.due_at

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses to ask while no member is known."""
        return self._membership_requests.seeds

    @seeds.setter
    def seeds(self, addresses: Iterable[str]) -> None:
        self._membership_requests.seeds = tuple(addresses)

    # Events

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.removed:
            return
        if self._leadership is not None:
            self._leadership.tick(now)
        else:
            self._election.tick(now)
            self._membership_requests.tick(now, self._election.heard_at)
        self._roles.update_role(now)

    def propose(self, data: bytes, _now: float) -> Position:
        """Append an entry.

        Raises:
            NotLeaderError: This replica does not lead.
            ProposalLostError: Too many uncommitted bytes are pending.
        """
        leadership = self._leadership
        if leadership is None or leadership.is_transferring_leadership or leadership.stepped_down:
            raise NotLeaderError(self._core.leader_address if leadership is None else None)
        settings = self._core.settings
        if len(data) + leadership.uncommitted_bytes() > settings.uncommitted_max_bytes:
            raise ProposalLostError("too much is waiting to be committed")
        if len(data) > settings.entry_max_bytes:
            raise ProposalLostError(f"{len(data)} bytes are too many for one entry")
        entry = leadership.propose(data)
        return Position(entry.index, entry.term)

    def persisted(self, batch: int, now: float) -> None:
        """Record that the disk has synced all batches up to one."""
        self._core.persistence.persisted(batch)
        self._election.own_vote_synced()
        if self._leadership is not None:
            self._leadership.advance_commit()
        self._roles.update_role(now)

    def disk_failed(self, now: float) -> None:
        """Record that the disk has refused a batch, which will be retried."""
        self._core.persistence.failed(now)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the log up to a committed index with the state machine's state after it."""
        self._core.log.compact(index, data)

    def transfer(self, now: float) -> bool:
        """Begin to transfer leadership.

        Returns False if this replica does not lead or no follower responds.
        """
        if self._leadership is None:
            return False
        started = self._leadership.transfer_leadership(now)
        self._roles.update_role(now)
        return started

    def leave(self, now: float) -> bool:
        """Prepare to stop: ask to be replaced by a learner, or to have entries copied.

        Returns whether to wait and call again.
        """
        if self.removed or self._leadership is None:
            return not self.removed and self._membership_requests.leave(now)
        wait = self._leadership.on_leave(self._core.id, now)
        self._roles.update_role(now)
        return wait

    def receive(self, address: str, message: Message, now: float) -> None:
        """Handle a message.

        Args:
            address: Address at which the sender can be reached.
            message: The message.
            now: Current time, in seconds.
        """
        if self.removed:
            return
        self._handlers.handle(address, message, now)
        self._roles.update_role(now)

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
        if persistence.is_idle:
            messages, synced = messages + synced, []
        restore, core.restore = core.restore, None
        committed = self._newly_committed(restore)
        if not (records or messages or synced or committed or restore):
            return None
        return Ready(persistence.newest_batch, records, tuple(messages), tuple(synced), restore, committed)

    def _newly_committed(self, restore: Snapshot | None) -> tuple[Any, ...]:
        core = self._core
        if restore is not None:
            self._delivered_index = restore.index
        committed = core.log.between(self._delivered_index + 1, core.commit_index)
        self._delivered_index = core.commit_index
        if any(entry.kind in MEMBERSHIP_KINDS for entry in committed) and core.is_removed(core.id):
            core.removed = True
        return committed
