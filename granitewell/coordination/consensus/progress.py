"""How far each peer is, as the leader knows it, and when each heartbeat round was sent."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from granitewell.coordination.consensus.quorum import NEVER
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Member, Snapshot

ROUNDS_KEPT = 64
"""Heartbeat rounds whose send times are kept; later replies say nothing about the lease."""


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot on its way to a peer, one chunk at a time."""

    snapshot: Snapshot
    offset: int = 0


@dataclass(slots=True)
class Progress:
    """One peer.

    Attributes:
        match_index: The last entry known to be on its disk.
        next_index: The next to send.
        probing: One message at a time until its log and ours are known to agree.
        acknowledged_at: Send time of the newest heartbeat that it replied to.
        stamp: Of its last such reply.
        answered: Anything, in this term.
        advanced_at: When match_index last rose.
        nearly_level_at: Since when a learner has been no more than a few entries late.
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
    nearly_level_at: float | None = None
    answered: bool = False

    def sent(self, last_index: int, size: int, now: float) -> None:
        """Entries up to an index are on their way."""
        if self.in_flight_bytes == 0:
            self.moved_at = now
        self.in_flight_bytes += size
        if self.probing:
            self.waiting = True
            self.moved_at = now
        else:
            self.next_index = last_index + 1

    def accepted(self, index: int, now: float) -> None:
        """All entries up to an index are on the peer's disk."""
        if index > self.match_index:
            self.match_index = index
            self.moved_at = self.advanced_at = now
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        self.waiting = False
        if self.next_index == self.match_index + 1:
            self.in_flight_bytes = 0

    def heard(self, now: float, settings: ReplicaSettings) -> None:
        """The peer answers; what went to it while it was silent is sent again."""
        if self.is_unresponsive(now, settings):
            self.restart(self.match_index + 1)
            self.moved_at = NEVER
        self.heard_at = now
        self.answered = True

    def is_unresponsive(self, now: float, settings: ReplicaSettings) -> bool:
        """Whether the peer gets heartbeats only, since it does not answer."""
        return now - self.heard_at > settings.reachable_s

    def rejected(self, hint: int) -> None:
        """The peer's log does not have what was sent after; hint: the last entry that may agree."""
        self.restart(min(self.next_index - 1, hint + 1))

    def restart(self, next_index: int) -> None:
        """Go on at an index, one message at a time."""
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.waiting = False
        self.in_flight_bytes = 0

    def overdue(self, now: float, settings: ReplicaSettings) -> bool:
        """Whether what is under way should have been acknowledged by now."""
        under_way = self.waiting or self.transfer is not None or self.next_index > self.match_index + 1
        patience = settings.retransmit_s + self.in_flight_bytes / settings.slowest_link_bytes_s
        return under_way and now - self.moved_at > patience


@dataclass(slots=True)
class HeartbeatRounds:
    """When each of the last heartbeat rounds of a term was sent."""

    number: int = 0
    _sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=ROUNDS_KEPT))

    def begin(self, now: float) -> int:
        """A new round is sent; its number."""
        self.number += 1
        self._sent_at.append(now)
        return self.number

    def sent_at(self, number: int) -> float:
        """When a round was sent; NEVER where that is not known."""
        age = self.number - number
        if 0 <= age < len(self._sent_at):
            return self._sent_at[-1 - age]
        return NEVER
