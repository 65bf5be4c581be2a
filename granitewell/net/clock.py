"""The node's time: whole microseconds on the monotonic clock, read once a turn of the loop.

It owns the start that times are counted from. It must never hold a timer.
"""

from __future__ import annotations

import asyncio
import time

from granitewell.net.logs import CLOCK_ORIGIN_US


class Clock:
    """Microseconds, read once a turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._cached_us = -1
        self._start = time.monotonic_ns() // 1000 - CLOCK_ORIGIN_US

    @property
    def unix_offset_us(self) -> int:
        """Unix time less ours, as of now: over months the wall clock is set right, and then moves in
        steps.
        """
        return time.time_ns() // 1000 - self.read_now()

    def from_unix(self, unix_us: int) -> int:
        """A past moment of Unix time on our clock; what claims to lie ahead is now."""
        now = self.read_now()
        return min(unix_us - time.time_ns() // 1000 + now, now)

    def read_now(self) -> int:
        """The time now, for what is measured inside one turn."""
        return time.monotonic_ns() // 1000 - self._start

    def from_monotonic(self, monotonic_us: int) -> int:
        """A moment of the machine's monotonic clock on ours."""
        return monotonic_us - self._start

    def now(self) -> int:
        """The time of this turn."""
        if self._cached_us < 0:
            self._cached_us = self.read_now()
            self._loop.call_soon(self._next)
        return self._cached_us

    def _next(self) -> None:
        self._cached_us = -1
