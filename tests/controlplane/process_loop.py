"""An asyncio loop inside one process of a simulated world.

Its callbacks run as events of that world, pause while the process is suspended, at any await, and never run
again after the process has ended.
"""

from __future__ import annotations

import asyncio
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any

from tests.coordination.world import Process

TIMER_LATE_S = 1e-6
"""As on real machines. One that a rounded time fires early would be set again for that moment, for ever."""


class ProcessLoop(asyncio.AbstractEventLoop):
    """Event loop on the machine's monotonic clock."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._ready: deque[asyncio.Handle] = deque()
        self._turn_scheduled = False
        self._tasks: set[asyncio.Task[Any]] = (
            set()
        )  # references, so that no running task is garbage-collected

    # Interface of an asyncio loop

    def time(self) -> float:
        """Return the time of the machine's monotonic clock."""
        return self._process.now

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in the next iteration."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        self._schedule()
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay on the machine's clock."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time of the machine's clock."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        machine = self._process.machine
        due_at = machine.true_time(when) + TIMER_LATE_S
        self._process.world.at(due_at, lambda: self._process.run(lambda: self._due(handle)))
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **options: Any) -> asyncio.Task[Any]:  # type: ignore[override]
        """Create a task of this loop."""
        task = asyncio.Task(coro, loop=self, **options)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def abandon(self) -> None:
        """Close all tasks at the end of the simulation."""
        for task in list(self._tasks):
            task.get_coro().close()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    def get_debug(self) -> bool:
        """Return False: debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True: it is only asked by callbacks."""
        return True

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Raise the error of a failed callback."""
        error = context.get("exception")
        if isinstance(error, BaseException):
            raise error

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    # Iterations

    def _due(self, handle: asyncio.Handle) -> None:
        self._ready.append(handle)
        self._schedule()

    def _schedule(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._process.world.after(0.0, lambda: self._process.run(self._turn))

    def _turn(self) -> None:
        self._turn_scheduled = False
        outer = events._get_running_loop()
        events._set_running_loop(self)
        try:
            for _ in range(len(self._ready)):
                handle = self._ready.popleft()
                if not handle.cancelled():
                    handle._run()
        finally:
            events._set_running_loop(outer)
        if self._ready:
            self._schedule()
