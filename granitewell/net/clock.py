"""The node's time: whole microseconds on the monotonic clock, read once a turn of the loop.

It owns the start that times are counted from. It must never hold a timer.
"""

from __future__ import annotations

import asyncio
import time

from granitewell.net.logs import HEAD_START_US


class Clock:
    """Microseconds, read once a turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._turn = -1
        self._start = time.monotonic_ns() // 1000 - HEAD_START_US

    @property
    def unix_offset_us(self) -> int:
        """Unix time less ours, as of now: over months the wall clock is set right, and then moves in
        steps.
        """
        return time.time_ns() // 1000 - self.fresh()

    def ours(self, unix_us: int) -> int:
        """A past moment of Unix time on our clock; what claims to lie ahead is now."""
        now = self.fresh()
        return min(unix_us - time.time_ns() // 1000 + now, now)

    def fresh(self) -> int:
        """The time now, for what is measured inside one turn."""
        return time.monotonic_ns() // 1000 - self._start

    def by_machine(self, mono_us: int) -> int:
        """A moment of the machine's monotonic clock on ours."""
        return mono_us - self._start

    def now(self) -> int:
        """The time of this turn."""
        if self._turn < 0:
            self._turn = self.fresh()
            self._loop.call_soon(self._next)
        return self._turn

    def _next(self) -> None:
        self._turn = -1
