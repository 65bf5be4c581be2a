"""The node's clock: whole microseconds of monotonic time, read once per turn of the event loop."""

from __future__ import annotations

import asyncio
import time

from granitewell.net.logs import CLOCK_ORIGIN_US


class Clock:
    """Monotonic microseconds since shortly before the process started."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._cached_us = -1
        self._start = time.monotonic_ns() // 1000 - CLOCK_ORIGIN_US

    @property
    def unix_offset_us(self) -> int:
        """Return Unix time minus this clock's time, as of now.

        It changes over months of running: the wall clock is corrected, and may step.
        """
        return time.time_ns() // 1000 - self.read_now()

    def from_unix(self, unix_us: int) -> int:
        """Convert a past Unix time to this clock; a time in the future becomes now."""
        now = self.read_now()
        return min(unix_us - time.time_ns() // 1000 + now, now)

    def read_now(self) -> int:
        """Read the clock anew, to measure within one turn of the loop."""
        return time.monotonic_ns() // 1000 - self._start

    def from_monotonic(self, monotonic_us: int) -> int:
        """Convert a time of the machine's monotonic clock to this clock."""
        return monotonic_us - self._start

    def now(self) -> int:
        """Return the time of this turn of the loop."""
        if self._cached_us < 0:
            self._cached_us = self.read_now()
            self._loop.call_soon(self._next)
        return self._cached_us

    def _next(self) -> None:
        self._cached_us = -1
