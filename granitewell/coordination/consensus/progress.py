"""Replication progress of each peer, and the send time of each heartbeat round."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from granitewell.coordination.consensus.quorum import NEVER
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Member, Snapshot

MAX_REMEMBERED_ROUNDS = 64
"""How many heartbeat rounds are remembered; a reply to an older one does not extend the lease."""


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to a peer, one chunk at a time."""

    snapshot: Snapshot
    offset: int = 0


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer.

    Attributes:
        match_index: Last entry known to be on the peer's disk.
        next_index: Next entry to send.
        probing: Whether one message is sent at a time, until it is known where both logs agree.
        acknowledged_at: Send time of the newest heartbeat that the peer has replied to.
        stamp: Stamp of its last heartbeat reply.
        answered: Whether it has sent anything in this term.
        advanced_at: Time at which match_index last rose.
        nearly_caught_up_at: Time since which a learner has lacked only a few entries.
    """

    member: Member
    next_index: int
    heard_at: float
    match_index: int = 0
    probing: bool = True
    waiting: bool = False
    in_flight_bytes: int = 0
    moved_at: float = NEVER
    acknowledged_at: float = NEVER
    stamp: int = 0
    transfer: SnapshotTransfer | None = None
    learner: bool = False
    advanced_at: float = NEVER
    nearly_caught_up_at: float | None = None
    answered: bool = False

    def sent(self, last_index: int, size: int, now: float) -> None:
        """Record that entries up to an index were sent."""
        if self.in_flight_bytes == 0:
            self.moved_at = now
        self.in_flight_bytes += size
        if self.probing:
            self.waiting = True
            self.moved_at = now
        else:
            self.next_index = last_index + 1

    def accepted(self, index: int, now: float) -> None:
        """Record that all entries up to an index are on the peer's disk."""
        if index > self.match_index:
            self.match_index = index
            self.moved_at = self.advanced_at = now
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.waiting = False
        if self.next_index == self.match_index + 1:
            self.in_flight_bytes = 0

    def heard(self, now: float, settings: ReplicaSettings) -> None:
        """Record that the peer responds; entries sent while it was unresponsive are sent again."""
        if self.is_unresponsive(now, settings):
            self.restart(self.match_index + 1)
            self.moved_at = NEVER
        self.heard_at = now
        self.answered = True

    def is_unresponsive(self, now: float, settings: ReplicaSettings) -> bool:
        """Return whether the peer gets only heartbeats, because it does not respond."""
        return now - self.heard_at > settings.reachable_s

    def rejected(self, hint: int) -> None:
        """Record that the peer's log does not continue what was sent.

        Args:
            hint: The last index at which both logs may agree.
        """
        self.restart(min(self.next_index - 1, hint + 1))

    def restart(self, next_index: int) -> None:
        """Continue at an index, one message at a time."""
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.waiting = False
        self.in_flight_bytes = 0

    def overdue(self, now: float, settings: ReplicaSettings) -> bool:
        """Return whether the entries in flight should have been acknowledged by now."""
        under_way = self.waiting or self.transfer is not None or self.next_index > self.match_index + 1
        patience = settings.retransmit_s + self.in_flight_bytes / settings.slowest_link_bytes_s
        return under_way and now - self.moved_at > patience


@dataclass(slots=True)
class HeartbeatRounds:
    """Send times of the last heartbeat rounds of a term."""

    number: int = 0
    _sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_REMEMBERED_ROUNDS))

    def begin(self, now: float) -> int:
        """Begin a new round; return its number."""
        self.number += 1
        self._sent_at.append(now)
        return self.number

    def sent_at(self, number: int) -> float:
        """Return when a round was sent, NEVER if unknown."""
        age = self.number - number
        if 0 <= age < len(self._sent_at):
            return self._sent_at[-1 - age]
        return NEVER
