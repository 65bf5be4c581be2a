"""The record in memory and on disk, and the messages that may be sent only once it is on disk.

This module owns the order: write first, send afterwards. It does not decide what is written. What the disk
refuses is not announced, and stays in memory as if it might be on disk, which is safe either way.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.leases.record import KEY, Record
from granitewell.protocols.peers.leases import Message
from granitewell.state_machine import Store, Stored


@dataclass(frozen=True, slots=True)
class Reply:
    """Send a message to a planner, unless the record has changed in the meantime."""

    to: str
    body: Message


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue with a step that waits for the disk."""

    step: str


Continuation = Reply | Resume


class Persistence:
    """The record of a planner.

    Attributes:
        record: The record in memory.
        durable: The record that was last on disk for certain, None if unknown.
    """

    __slots__ = ("_pending_writes", "_token", "durable", "record")

    def __init__(self, record: Record, durable: bool) -> None:
        self.record = record
        self.durable: Record | None = record if durable else None
        self._pending_writes: dict[int, tuple[Record, Continuation | None]] = {}
        self._token = 0

    @property
    def is_idle(self) -> bool:
        """Whether everything in memory is on disk."""
        return self.durable == self.record

    @property
    def waiting(self) -> bool:
        """Return whether a write of this very record is in progress."""
        return any(record == self.record for record, _ in self._pending_writes.values())

    def write(self, record: Record, then: Continuation | None) -> Store:
        """Replace the record and write it."""
        self.record = record
        self._token += 1
        self._pending_writes[self._token] = (record, then)
        return Store(KEY, record.write(), self._token)

    def stored(self, event: Stored) -> Continuation | None:
        """Return what may be done now.

        Nothing if the disk has refused the write, or if the record no longer contains the vote in question.
        """
        record, then = self._pending_writes.pop(event.token, (None, None))
        if record is None:
            return None
        self.durable = record if event.ok else None
        same = (record.term, record.voted, record.incarnation) == (
            self.record.term, self.record.voted, self.record.incarnation,
        )  # fmt: skip
        return then if event.ok and same else None
