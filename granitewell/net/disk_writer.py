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

SLOW_WRITE_US = 1_000_000  # for a write, beyond which it is told of


class DiskWriter:
    """Of one folder. Its calls are made in the loop's thread; the disk is asked in another."""

    def __init__(self, durable_folder: Kept, now: Callable[[], int], wrong: Callable[[str], None]) -> None:
        """now: microseconds; wrong: takes what could not be written, in words."""
        self._durable_folder, self._now, self._on_error = durable_folder, now, wrong
        self._loop = asyncio.get_running_loop()
        self._pending: bytes | None = None
        self._started_us = -1  # of the write that is under way
        self._callbacks: list[Callable[[], None]] = []

    @property
    def is_writing(self) -> bool:
        """Is a write under way?"""
        return self._started_us >= 0

    def write(self, data: bytes) -> None:
        """Put that in the file's place as soon as the write that is under way is done.

        Of several that wait only the last is written.
        """
        self._pending = data
        self._start_next()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Call this once all that was given has been written, or could not be: at once, where nothing is."""
        if self.is_writing:
            self._callbacks.append(callback)
        else:
            callback()

    def _start_next(self) -> None:
        if self.is_writing or self._pending is None:
            return
        data, self._pending, self._started_us = self._pending, None, self._now()
        # a daemon: a disk that answers no more must not keep the process from ending
        threading.Thread(target=self._write_in_thread, args=(data,), name="notebook", daemon=True).start()

    def _write_in_thread(self, data: bytes) -> None:
        """In the thread."""
        try:
            wrong = self._durable_folder.write(data)
        except Exception as error:  # the loop must hear that it is over
            wrong = f"{type(error).__name__}: {error}"
        with contextlib.suppress(RuntimeError):  # the loop is closed: the process ends
            self._loop.call_soon_threadsafe(self._on_written, wrong)

    def _on_written(self, wrong: str) -> None:
        took_us, self._started_us = self._now() - self._started_us, -1
        if wrong:
            self._on_error(f"not written down: {wrong}")
        elif took_us >= SLOW_WRITE_US:
            self._on_error(
                f"the disk took {took_us / 1e6:.1f} s for the folder's file; nothing waited for it"
            )
        self._start_next()
        if not self.is_writing:
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                callback()
