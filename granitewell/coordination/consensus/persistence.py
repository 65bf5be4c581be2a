"""Tracks which records of a replica are on disk while batches of them are being written."""

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
    """Batches of records, numbered and synced in order.

    Attributes:
        stable_index: Index of the last entry that is on disk.
        stable_term: Highest term that is on disk.
        newest_batch: Number of the newest batch.
        records: Records of the batch that is being collected.
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
        """Whether everything written is on disk."""
        return not self._in_flight and not self.records

    def take(self, last_index: int, term: int, now: float) -> tuple[Record, ...]:
        """Return the records to write next, as a new batch."""
        if not self.records:
            return ()
        self.newest_batch += 1
        self._in_flight.append(_Batch(self.newest_batch, last_index, term, now))
        records = tuple(self.records)
        self.records.clear()
        return records

    def persisted(self, batch: int) -> None:
        """Record that all batches up to one are on disk."""
        self._failed_at = None
        while self._in_flight and self._in_flight[0].number <= batch:
            done = self._in_flight.popleft()
            self.stable_index = max(self.stable_index, done.last_index)
            self.stable_term = max(self.stable_term, done.term)

    def truncated(self, index: int) -> None:
        """Record that the entries from an index on are dropped, on disk too."""
        self.stable_index = min(self.stable_index, index - 1)
        for batch in self._in_flight:
            batch.last_index = min(batch.last_index, index - 1)

    def failed(self, now: float) -> None:
        """Record that the disk has refused a batch, which will be retried."""
        if self._failed_at is None:
            self._failed_at = now

    def stalled_for(self, now: float) -> float:
        """Return how long the oldest batch has been waiting or the disk has been refusing it, in seconds."""
        waited = now - self._in_flight[0].started_at if self._in_flight else 0.0
        refused = now - self._failed_at if self._failed_at is not None else 0.0
        return max(waited, refused)

    @property
    def failing(self) -> bool:
        """Whether the last write was refused."""
        return self._failed_at is not None
