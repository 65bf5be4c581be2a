"""An event loop of one simulated process: run callback by callback, on a clock of its own.

Between two callbacks a process can be frozen, cut off or killed; an await is where one callback ends and
another begins.
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
    """Runs nothing by itself: `step` runs one callback.

    Attributes:
        clock: What `time` gives.
    """

    _ready: deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(lambda loop, context: self.failures.append(context))

    def time(self) -> float:
        """The process's steady clock."""
        return self._clock()

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """There is one thread."""
        return self.call_soon(callback, *args, context=context)

    def wake_at(self) -> float:
        """When a callback is due on the process's clock; minus infinity for at once."""
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
        """When the next timer is due."""
        scheduled = self._scheduled
        while scheduled and scheduled[0].cancelled():
            heapq.heappop(scheduled)._scheduled = False  # type: ignore[attr-defined]
        return scheduled[0].when() if scheduled else math.inf

    def forget(self) -> None:
        """The process ends: nothing of it ever runs again."""
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with contextlib.suppress(RuntimeError):  # it waits in a block that waits again
                task.get_coro().close()
        self._ready.clear()
        self._scheduled.clear()
