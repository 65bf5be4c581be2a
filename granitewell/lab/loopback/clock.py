"""The day's clock of one process, and its agenda: calls at given microseconds on an asyncio loop.

It owns one timer descriptor. The loop's own timers count whole milliseconds, too coarse for work of a few
milliseconds, so calls wait on a timerfd. All processes of a day share one zero on the monotonic clock; until
the director has set it the day's time stands at 0 and no call comes due. It must never know who calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import struct
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

_LIBC = ctypes.CDLL(None, use_errno=True)
LATE_US, LATE_STEPS = 100, 2000  # lateness is counted in steps of 0.1 ms, up to 0.2 s
_MONOTONIC, _NONBLOCK, _CLOEXEC, _ABSTIME = 1, 0o4000, 0o2000000, 1


class DayClock:
    """Microseconds since the day began; 0 before it has."""

    def __init__(self) -> None:
        self.zero_ns = 0  # on the monotonic clock; 0: not begun

    def begin(self, zero_ns: int) -> None:
        """The day begins at this monotonic time, now or a little later."""
        self.zero_ns = zero_ns

    def now(self) -> int:
        """The day's time."""
        return max(0, (time.monotonic_ns() - self.zero_ns) // 1000) if self.zero_ns else 0


class Agenda:
    """Calls that are due at a time of the day. Calls of one time keep the order of asking."""

    def __init__(self, clock: DayClock, loop: asyncio.AbstractEventLoop) -> None:
        self.clock, self._loop = clock, loop
        self._calls: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._seq = 0
        self._armed_us = -1
        self._late = [0] * LATE_STEPS
        self._fd = _LIBC.timerfd_create(_MONOTONIC, _NONBLOCK | _CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        loop.add_reader(self._fd, self._due)

    def at(self, when_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Call at that time of the day, or soon where it has passed."""
        self._seq += 1
        heappush(self._calls, (when_us, self._seq, call, args))
        if self._armed_us < 0 or when_us < self._armed_us:
            self._arm()

    def begin(self, zero_ns: int) -> None:
        """The day begins: what has been asked for can come due."""
        self.clock.begin(zero_ns)
        self._arm()

    def lateness(self) -> tuple[int, int]:
        """How late calls came, in microseconds: the 99th percentile and the most.

        A process that was late had too little of the machine, and what it saw is not the node's doing alone.
        """
        total, seen, p99 = sum(self._late), 0, 0
        for step, count in enumerate(self._late):
            if seen < 0.99 * total <= seen + count:
                p99 = step * LATE_US
            seen += count
        return p99, max((k * LATE_US for k, n in enumerate(self._late) if n), default=0)

    def close(self) -> None:
        """Nothing comes due any more."""
        self._calls.clear()
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1

    def _arm(self) -> None:
        if not self._calls or not self.clock.zero_ns or self._fd < 0:
            return
        self._armed_us = self._calls[0][0]
        # at least a nanosecond after the epoch: a zero would disarm the timer
        due_ns = max(self.clock.zero_ns + self._armed_us * 1000, 1)
        spec = struct.pack("qqqq", 0, 0, due_ns // 1_000_000_000, due_ns % 1_000_000_000)
        if _LIBC.timerfd_settime(self._fd, _ABSTIME, spec, None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def _due(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._fd, 8)
        self._armed_us = -1
        now, due = self.clock.now(), []
        while self._calls and self._calls[0][0] <= now:
            due.append(heappop(self._calls))
        if due:
            self._late[min((now - due[0][0]) // LATE_US, LATE_STEPS - 1)] += 1
        self._arm()  # first, and what is due taken out before: a call that asks for itself waits its turn
        for _, _, call, args in due:
            call(*args)
