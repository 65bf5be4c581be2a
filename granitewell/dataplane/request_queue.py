"""Bounded priority queue of the requests of a service that wait for a server. No I/O."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

MAX_QUEUE_LENGTH = 512  # per service and node; further requests are rejected at once

T = TypeVar("T")


@dataclass(slots=True, order=True)
class QueuePosition(Generic[T]):
    """Position of a request in the queue: by priority, 0 first, then by order of arrival."""

    priority: int
    number: int
    request: T = field(compare=False)


class QueueFullError(Exception):
    """The queue is full."""


class RequestQueue(Generic[T]):
    """Requests in order of priority, then of arrival."""

    def __init__(self, max_size: int = MAX_QUEUE_LENGTH) -> None:
        self._positions: list[QueuePosition[T]] = []
        self._number = 0
        self._max_size = max_size

    def __len__(self) -> int:
        return len(self._positions)

    def __iter__(self) -> Iterator[QueuePosition[T]]:
        return iter(list(self._positions))

    def join(self, priority: int, request: T) -> QueuePosition[T]:
        """Add a request and return its position. Raises QueueFullError."""
        if len(self._positions) >= self._max_size:
            raise QueueFullError()
        self._number += 1
        position = QueuePosition(priority, self._number, request)
        insort(self._positions, position)
        return position

    def least_urgent(self) -> QueuePosition[T] | None:
        """Return the last position of the queue; None if it is empty."""
        return self._positions[-1] if self._positions else None

    def leave(self, position: QueuePosition[T]) -> None:
        """Remove a request if it is still in the queue."""
        if position in self._positions:
            self._positions.remove(position)

    @property
    def full(self) -> bool:
        """Whether the queue is full."""
        return len(self._positions) >= self._max_size
