"""Which of a replica's records are on the disk, while batches of them are on their way there."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.types import Record


@dataclass(slots=True)
class _Batch:
    number: int
    last_index: int
    term: int
    started_at: float


class Persistence:
    """Batches are numbered and synced in order.

    Attributes:
        stable_index: The last entry that is on the disk.
        stable_term: The newest term that is.
    """

    def __init__(self, stable_index: int, stable_term: int, first_batch: int = 0) -> None:
        self.stable_index = stable_index
        self.stable_term = stable_term
        self.newest_batch = first_batch
        self.records: list[Record] = []
        self._in_flight: deque[_Batch] = deque()
        self._failed_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether all that was written is on the disk."""
        return not self._in_flight and not self.records

    def take(self, last_index: int, term: int, now: float) -> tuple[Record, ...]:
        """The records to write next, as a new batch."""
        if not self.records:
            return ()
        self.newest_batch += 1
        self._in_flight.append(_Batch(self.newest_batch, last_index, term, now))
        records = tuple(self.records)
        self.records.clear()
        return records

    def persisted(self, batch: int) -> None:
        """All batches up to one are on the disk."""
        self._failed_at = None
        while self._in_flight and self._in_flight[0].number <= batch:
            done = self._in_flight.popleft()
            self.stable_index = max(self.stable_index, done.last_index)
            self.stable_term = max(self.stable_term, done.term)

    def truncated(self, index: int) -> None:
        """Entries from an index on are dropped: what is on the disk of them no longer counts."""
        self.stable_index = min(self.stable_index, index - 1)
        for batch in self._in_flight:
            batch.last_index = min(batch.last_index, index - 1)

    def failed(self, now: float) -> None:
        """The disk has refused a batch; it will be tried again."""
        if self._failed_at is None:
            self._failed_at = now

    def stalled_for(self, now: float) -> float:
        """How long the oldest batch has waited, or the disk has refused it."""
        waited = now - self._in_flight[0].started_at if self._in_flight else 0.0
        refused = now - self._failed_at if self._failed_at is not None else 0.0
        return max(waited, refused)

    @property
    def failing(self) -> bool:
        """Whether the last attempt to write was refused."""
        return self._failed_at is not None
