"""Requests of a service that wait for a server, the most urgent first. Pure and bounded."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

MAX_WAITING = 512  # of one service at one node: beyond it a request is refused at once

T = TypeVar("T")


@dataclass(slots=True, order=True)
class QueuePosition(Generic[T]):
    """A request's place in the line: priority (0 first), then the order of coming."""

    priority: int
    number: int
    request: T = field(compare=False)


class QueueFullError(Exception):
    """No more requests may wait."""


class RequestQueue(Generic[T]):
    """In order of priority, then of coming."""

    def __init__(self, most: int = MAX_WAITING) -> None:
        self._positions: list[QueuePosition[T]] = []
        self._number = 0
        self._max = most

    def __len__(self) -> int:
        return len(self._positions)

    def __iter__(self) -> Iterator[QueuePosition[T]]:
        return iter(list(self._positions))

    def join(self, priority: int, request: T) -> QueuePosition[T]:
        """Its place; raises QueueFullError."""
        if len(self._positions) >= self._max:
            raise QueueFullError()
        self._number += 1
        position = QueuePosition(priority, self._number, request)
        insort(self._positions, position)
        return position

    def least_urgent(self) -> QueuePosition[T] | None:
        """The last of the line."""
        return self._positions[-1] if self._positions else None

    def leave(self, position: QueuePosition[T]) -> None:
        """Sent, or given up; leaving twice does no harm."""
        if position in self._positions:
            self._positions.remove(position)

    @property
    def full(self) -> bool:
        """Whether nobody more may join."""
        return len(self._positions) >= self._max
