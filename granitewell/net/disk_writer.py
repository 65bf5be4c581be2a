"""Writes a member's file away from the loop, one write at a time.

It owns the thread that a write has, and the order of writes: the newest wins, and what somebody waits for is
on the disk before he hears of it. It must never run on the loop what may wait for a disk (a rename alone can
stand still for seconds where the disk frees blocks), hold up the end of the process, or know what the file
says.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable

from granitewell.durable_folder import Kept

LONG_US = 1_000_000  # for a write, beyond which it is told of


class Notebook:
    """Of one folder. Its calls are made in the loop's thread; the disk is asked in another."""

    def __init__(self, kept: Kept, now: Callable[[], int], wrong: Callable[[str], None]) -> None:
        """now: microseconds; wrong: takes what could not be written, in words."""
        self._kept, self._now, self._wrong = kept, now, wrong
        self._loop = asyncio.get_running_loop()
        self._next: bytes | None = None
        self._since_us = -1  # of the write that is under way
        self._waiting: list[Callable[[], None]] = []

    @property
    def at_work(self) -> bool:
        """Is a write under way?"""
        return self._since_us >= 0

    def write(self, data: bytes) -> None:
        """Put that in the file's place as soon as the write that is under way is done.

        Of several that wait only the last is written.
        """
        self._next = data
        self._go()

    def then(self, call: Callable[[], None]) -> None:
        """Call this once all that was given has been written, or could not be: at once, where nothing is."""
        if self.at_work:
            self._waiting.append(call)
        else:
            call()

    def _go(self) -> None:
        if self.at_work or self._next is None:
            return
        data, self._next, self._since_us = self._next, None, self._now()
        # a daemon: a disk that answers no more must not keep the process from ending
        threading.Thread(target=self._work, args=(data,), name="notebook", daemon=True).start()

    def _work(self, data: bytes) -> None:
        """In the thread."""
        try:
            wrong = self._kept.write(data)
        except Exception as error:  # the loop must hear that it is over
            wrong = f"{type(error).__name__}: {error}"
        with contextlib.suppress(RuntimeError):  # the loop is closed: the process ends
            self._loop.call_soon_threadsafe(self._done, wrong)

    def _done(self, wrong: str) -> None:
        took_us, self._since_us = self._now() - self._since_us, -1
        if wrong:
            self._wrong(f"not written down: {wrong}")
        elif took_us >= LONG_US:
            self._wrong(f"the disk took {took_us / 1e6:.1f} s for the folder's file; nothing waited for it")
        self._go()
        if not self.at_work:
            waiting, self._waiting = self._waiting, []
            for call in waiting:
                call()
