"""A monotonic clock that leaves out the time in which the process was stopped."""

from __future__ import annotations


class ProcessClock:
    """Time as the process experienced it, without the intervals in which it did not run.

    A process that was stopped for 3 s has not waited 3 s for any answer, so its timeouts must not count that
    time.
    """

    __slots__ = ("_min_stall_us", "_now_us", "_stalled_us", "_wake_us")

    def __init__(self, min_stall_us: int) -> None:
        """Start at time 0.

        Args:
            min_stall_us: A wakeup that is late by more than this counts as a stall; 0 disables detection.
        """
        self._min_stall_us, self._stalled_us, self._now_us = min_stall_us, 0, 0
        self._wake_us = -1  # requested wakeup by the outer clock; -1 for none

    def read(self, clock_us: int) -> tuple[int, int]:
        """Return the time now and the length of the stall just before it; a clock that goes back is held."""
        late_us = clock_us - self._wake_us if self._wake_us >= 0 else 0
        stalled_us = late_us if 0 < self._min_stall_us < late_us else 0
        self._stalled_us += stalled_us
        self._now_us = max(self._now_us, clock_us - self._stalled_us)
        return self._now_us, stalled_us

    def schedule(self, due_us: int) -> None:
        """Set the time of the next wakeup on this clock; -1 for never."""
        self._wake_us = due_us + self._stalled_us if due_us >= 0 else -1

    @property
    def wake_us(self) -> int:
        """The time of the next wakeup on the outer clock; -1 for never."""
        return self._wake_us
