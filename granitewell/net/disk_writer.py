"""Writes the node's membership record on a background thread, one write at a time.

The loop must not wait for the disk: a rename alone can take seconds while the disk frees blocks. Only the
newest pending data is written, and callbacks run when the data that they wait for is on the disk. A hung
write does not keep the process from ending.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable

from granitewell.durable_folder import DurableFolder

SLOW_WRITE_US = 1_000_000  # a write that takes longer is logged


class DiskWriter:
    """Writes to one folder. Its methods are called on the loop's thread; the disk is used on another."""

    def __init__(
        self, durable_folder: DurableFolder, now: Callable[[], int], on_error: Callable[[str], None]
    ) -> None:
        """Bind the writer to a folder and to the running loop.

        Args:
            durable_folder: Takes the data.
            now: Returns the time in microseconds.
            on_error: Called with a message for each write that failed or was slow.
        """
        self._durable_folder, self._now, self._on_error = durable_folder, now, on_error
        self._loop = asyncio.get_running_loop()
        self._pending: bytes | None = None
        self._started_us = -1  # of the write in progress; -1 if there is none
        self._callbacks: list[Callable[[], None]] = []

    @property
    def is_writing(self) -> bool:
        """Return whether a write is in progress."""
        return self._started_us >= 0

    def write(self, data: bytes) -> None:
        """Replace the file's content once the write in progress has ended.

        Of several pending writes only the last is carried out.
        """
        self._pending = data
        self._start_next()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Call back when all pending data is written or has failed; at once if there is none."""
        if self.is_writing:
            self._callbacks.append(callback)
        else:
            callback()

    def _start_next(self) -> None:
        """Start the pending write unless one is in progress."""
        if self.is_writing or self._pending is None:
            return
        data, self._pending, self._started_us = self._pending, None, self._now()
        # a daemon thread: a hung disk must not keep the process from ending
        threading.Thread(target=self._write_in_thread, args=(data,), name="notebook", daemon=True).start()

    def _write_in_thread(self, data: bytes) -> None:
        """Write the data; runs on the background thread."""
        try:
            problem = self._durable_folder.write(data)
        except Exception as error:  # the loop has to be told that the write has ended
            problem = f"{type(error).__name__}: {error}"
        with contextlib.suppress(RuntimeError):  # the loop is closed: the process is ending
            self._loop.call_soon_threadsafe(self._on_written, problem)

    def _on_written(self, problem: str) -> None:
        """Report the outcome, then start the next write or run the callbacks."""
        took_us, self._started_us = self._now() - self._started_us, -1
        if problem:
            self._on_error(f"not written down: {problem}")
        elif took_us >= SLOW_WRITE_US:
            self._on_error(
                f"the disk took {took_us / 1e6:.1f} s for the folder's file; nothing waited for it"
            )
        self._start_next()
        if not self.is_writing:
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                callback()
