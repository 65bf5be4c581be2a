"""An asyncio event loop on virtual time, which advances to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Mapping
from typing import Any


class _JumpingSelector(selectors.BaseSelector):
    """A selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        self._real = selectors.DefaultSelector()
        self.now = 0.0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file, as the real selector does."""
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a file, as the real selector does."""
        return self._real.unregister(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; if nothing is, advance the time by the timeout."""
        found = self._real.select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing will ever happen")
            self.now += timeout
        return found

    def close(self) -> None:
        """Close the real selector."""
        self._real.close()

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """As the real one."""
        return self._real.get_map()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on virtual time."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_end_tasks())
        loop.close()


async def _end_tasks() -> None:
    """Cancel the remaining tasks.

    Python reports a task that is dropped while pending when its memory is collected. That may happen at any
    time: within `ast.parse` it crashes the interpreter (CPython gh-106905).
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class LoopExecutor:
    """Stands for the disk thread.

    It runs its work on the loop in order, each piece after the disk's delay.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.delay_s = 0.001
        self.dead = False
        self._loop = loop
        self._free_at = 0.0

    def submit(self, work: Callable[[], None]) -> None:
        """Run a function, after everything submitted before."""
        self._free_at = max(self._free_at, self._loop.time()) + self.delay_s
        self._loop.call_at(self._free_at, self._run, work)

    def _run(self, work: Callable[[], None]) -> None:
        if not self.dead:
            work()
