"""An event loop of one simulated process: run callback by callback, on a clock of its own.

Between two callbacks a process can be suspended, cut off or killed; an await ends a callback.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import math
from collections import deque
from collections.abc import Callable
from typing import Any


class SteppedLoop(asyncio.BaseEventLoop):
    """Event loop that runs one callback per call of `step`.

    Attributes:
        clock: Clock of `time`.
    """

    _ready: deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(lambda loop, context: self.failures.append(context))

    def time(self) -> float:
        """Return the time of the process's monotonic clock."""
        return self._clock()

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """Schedule a callback; there is only one thread."""
        return self.call_soon(callback, *args, context=context)

    def wake_at(self) -> float:
        """Return when a callback is due on the process's clock; minus infinity if now."""
        return -math.inf if self._ready else self.wake_at_timer()

    def step(self, *, timers_first: bool = False) -> None:
        """Run one callback, if one is due."""
        self._take_due_timers(timers_first)
        if not self._ready:
            return
        handle = self._ready.popleft()
        if handle.cancelled():
            return
        asyncio._set_running_loop(self)
        try:
            handle._run()
        finally:
            asyncio._set_running_loop(None)

    def _take_due_timers(self, first: bool) -> None:
        due: list[asyncio.TimerHandle] = []
        while self.wake_at_timer() <= self.time():
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False  # type: ignore[attr-defined]
            due.append(handle)
        if first:
            self._ready.extendleft(reversed(due))
        else:
            self._ready.extend(due)

    def wake_at_timer(self) -> float:
        """Return when the next timer is due."""
        scheduled = self._scheduled
        while scheduled and scheduled[0].cancelled():
            heapq.heappop(scheduled)._scheduled = False  # type: ignore[attr-defined]
        return scheduled[0].when() if scheduled else math.inf

    def forget(self) -> None:
        """Drop all callbacks and tasks at the end of the process."""
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with contextlib.suppress(RuntimeError):  # it awaits again while it is closed
                task.get_coro().close()
        self._ready.clear()
        self._scheduled.clear()
