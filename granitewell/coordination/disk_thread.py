"""The background thread for all file access, so that a slow disk never blocks the event loop."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Protocol

import logbook

log = logbook.Logger("granitewell.disk")


class DiskThread:
    """A background thread that runs disk work in order, for all logs of a process."""

    _shared: DiskThread | None = None

    def __init__(self) -> None:
        self._work: deque[Callable[[], None]] = deque()
        self._wake = threading.Condition()
        self._thread: threading.Thread | None = None

    @classmethod
    def shared(cls) -> DiskThread:
        """Return the thread of this process."""
        if cls._shared is None:
            cls._shared = cls()
        return cls._shared

    def submit(self, work: Callable[[], None]) -> None:
        """Run a function on the thread, after everything submitted before."""
        with self._wake:
            self._work.append(work)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
                self._thread.start()
            self._wake.notify()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._work:
                    self._wake.wait()
                work = self._work.popleft()
            try:
                work()
            except Exception:  # the thread is shared: other logs continue
                log.exception("disk work failed")


class Executor(Protocol):
    """Runs disk work: a DiskThread, or a stand-in in tests."""

    def submit(self, work: Callable[[], None]) -> None:
        """Run a function, after everything submitted before."""
