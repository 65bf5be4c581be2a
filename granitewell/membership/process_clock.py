"""Time that stands still, for a process that was stopped.

It owns the process's own time. It must never know why it matters.
"""

from __future__ import annotations


class ProcessClock:
    """The process's time without what it has stood still.

    A process that was stopped for 3 s has not waited 3 s for any answer.

    Attributes:
        least_us: Being woken less late than that is no standing still; 0: none ever is.
    """

    __slots__ = ("_min_stall_us", "_now_us", "_stalled_us", "_wake_us")

    def __init__(self, min_stall_us: int) -> None:
        self._min_stall_us, self._stalled_us, self._now_us = min_stall_us, 0, 0
        self._wake_us = -1  # when we wanted to be woken, by the clock

    def read(self, clock_us: int) -> tuple[int, int]:
        """The time now, and how long we have stood still just before. A clock that goes back stands."""
        late_us = clock_us - self._wake_us if self._wake_us >= 0 else 0
        stalled_us = late_us if 0 < self._min_stall_us < late_us else 0
        self._stalled_us += stalled_us
        self._now_us = max(self._now_us, clock_us - self._stalled_us)
        return self._now_us, stalled_us

    def schedule(self, due_us: int) -> None:
        """When we want to be woken, in our own time; -1 for never."""
        self._wake_us = due_us + self._stalled_us if due_us >= 0 else -1

    @property
    def wake_us(self) -> int:
        """The same by the clock."""
        return self._wake_us
