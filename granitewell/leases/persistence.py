"""The record as it is in memory and on the disk, and what may be said only once it is there.

It owns the order: written first, said afterwards. It must never decide what is written. What the disk refuses
is not said, and stays in memory as if it might be on the disk, which is the safe side of both.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.leases.record import KEY, Record
from granitewell.protocols.peers.leases import Said
from granitewell.state_machine import Store, Stored


@dataclass(frozen=True, slots=True)
class Reply:
    """Say this to a planner, if the record has not moved on meanwhile."""

    to: str
    body: Said


@dataclass(frozen=True, slots=True)
class Go:
    """Go on with what waits for the disk: `step` names it."""

    step: str


Then = Reply | Go


class Desk:
    """record: as it is in memory; durable: as it was last on the disk for certain, None for not known."""

    __slots__ = ("_asked", "_token", "durable", "record")

    def __init__(self, record: Record, durable: bool) -> None:
        self.record = record
        self.durable: Record | None = record if durable else None
        self._asked: dict[int, tuple[Record, Then | None]] = {}
        self._token = 0

    @property
    def settled(self) -> bool:
        """Whether all that is in memory is on the disk."""
        return self.durable == self.record

    @property
    def waiting(self) -> bool:
        """Whether a write of just this record is under way."""
        return any(record == self.record for record, _ in self._asked.values())

    def write(self, record: Record, then: Then | None) -> Store:
        """Take a new record, and write it."""
        self.record = record
        self._token += 1
        self._asked[self._token] = (record, then)
        return Store(KEY, record.write(), self._token)

    def stored(self, event: Stored) -> Then | None:
        """What may be done now: nothing where the disk has refused, or the vote in question is not the
        record's any more.
        """
        record, then = self._asked.pop(event.token, (None, None))
        if record is None:
            return None
        self.durable = record if event.ok else None
        same = (record.term, record.voted, record.life) == (
            self.record.term, self.record.voted, self.record.life,
        )  # fmt: skip
        return then if event.ok and same else None
