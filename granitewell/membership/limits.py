"""Time that stands still, for a process that was stopped.

It owns the process's own time. It must never know why it matters.
"""

from __future__ import annotations


class OwnTime:
    """The process's time without what it has stood still.

    A process that was stopped for 3 s has not waited 3 s for any answer.

    Attributes:
        least_us: Being woken less late than that is no standing still; 0: none ever is.
    """

    __slots__ = ("_least_us", "_now_us", "_stood_us", "_wanted_us")

    def __init__(self, least_us: int) -> None:
        self._least_us, self._stood_us, self._now_us = least_us, 0, 0
        self._wanted_us = -1  # when we wanted to be woken, by the clock

    def read(self, clock_us: int) -> tuple[int, int]:
        """The time now, and how long we have stood still just before. A clock that goes back stands."""
        late = clock_us - self._wanted_us if self._wanted_us >= 0 else 0
        stood = late if 0 < self._least_us < late else 0
        self._stood_us += stood
        self._now_us = max(self._now_us, clock_us - self._stood_us)
        return self._now_us, stood

    def want(self, due_us: int) -> None:
        """When we want to be woken, in our own time; -1 for never."""
        self._wanted_us = due_us + self._stood_us if due_us >= 0 else -1

    @property
    def wanted_us(self) -> int:
        """The same by the clock."""
        return self._wanted_us
