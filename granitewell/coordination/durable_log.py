"""An append-only log of batches, as the event loop uses it: written and synced in order on the disk thread.

A write that fails is reported and retried. A batch reported by `on_synced` is on disk. The file and its
format are in log_file.py and log_format.py.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from granitewell.coordination.disk_thread import Executor
from granitewell.coordination.log_file import LogFile

APPEND_RETRY_S = 0.1
"""Pause before a write that the disk has refused is retried, in seconds."""
REWRITE_RETRY_S = 0.5
"""The same for a rewrite of the complete file."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Report of a write or sync that the disk has refused; it will be retried.

    Attributes:
        number: Error number of the operating system.
        reason: Its text.
    """

    number: int
    reason: str


@dataclass(slots=True)
class _Job:
    batch: int
    payload: bytes
    replaces_file: bool
    optional: bool = False


class DurableLog:
    """A log as the event loop uses it.

    Batches go in; `on_synced(batch)` and `on_failed(WriteFailed)` come out. Batches that wait while another
    one is being written are joined into one write.

    Args:
        file: The open log file.
        executor: Runs disk work.
        to_loop: Schedules a call on the event loop from the disk thread.
        later: Schedules a call on the event loop after a delay.
        on_synced: Called when a batch is on disk.
        on_failed: Called when the disk has refused a write.
    """

    def __init__(
        self,
        file: LogFile,
        executor: Executor,
        to_loop: Callable[[Callable[[], None]], None],
        later: Callable[[float, Callable[[], None]], None],
        on_synced: Callable[[int], None],
        on_failed: Callable[[WriteFailed], None],
    ) -> None:
        self._file = file
        self._executor = executor
        self._to_loop = to_loop
        self._later = later
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._waiting: deque[_Job] = deque()
        self._busy = False
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether everything is written."""
        return not self._busy and not self._waiting

    @property
    def waiting_bytes(self) -> int:
        """Size of the batches in the queue, in bytes; the one being written does not count."""
        return sum(len(job.payload) for job in self._waiting)

    def append(self, batch: int, payload: bytes) -> None:
        """Write a batch after all others."""
        self._waiting.append(_Job(batch, payload, replaces_file=False))
        self._next()

    def rewrite(self, batch: int, payload: bytes, *, optional: bool) -> None:
        """Replace the file, after earlier batches are written, with a payload that stands for all of them.

        Args:
            batch: Number of the batch.
            payload: The new contents.
            optional: Whether the rewrite only makes the file shorter, so that it is dropped if the disk
                refuses it. It replaces batches in the queue that are not shorter than it, so that the queue
                of a disk that refuses writes stays bounded.
        """
        if self.waiting_bytes >= len(payload):
            optional = optional and not self._waiting
            self._waiting.clear()
        self._waiting.append(_Job(batch, payload, replaces_file=True, optional=optional))
        self._next()

    def close(self) -> None:
        """Write nothing more; the batch being written may still reach the disk."""
        self._closed = True
        self._waiting.clear()
        self._executor.submit(self._file.close)

    def _next(self) -> None:
        if self._busy or self._closed or not self._waiting:
            return
        self._busy = True
        job = self._take_job()
        self._executor.submit(lambda: self._run(job))

    def _take_job(self) -> _Job:
        job = self._waiting.popleft()
        if job.replaces_file:
            return job
        parts = [job.payload]
        while self._waiting and not self._waiting[0].replaces_file:
            following = self._waiting.popleft()
            parts.append(following.payload)
            job = following
        return _Job(job.batch, b"".join(parts), replaces_file=False)

    def _run(self, job: _Job) -> None:
        """Write a job; runs on the disk thread."""
        try:
            if job.replaces_file:
                self._file.rewrite(job.payload)
            else:
                self._file.append(job.payload)
        except OSError as error:
            if job.optional and not self._file.must_rewrite:
                self._to_loop(lambda: self._done(job))  # the old file contains all of it
                return
            failure = WriteFailed(error.errno or 0, error.strerror or repr(error))
            self._to_loop(lambda: self._failed(job, failure))
        else:
            self._to_loop(lambda: self._done(job))

    def _done(self, job: _Job) -> None:
        self._busy = False
        if not self._closed:
            self._on_synced(job.batch)
            self._next()

    def _failed(self, job: _Job, failure: WriteFailed) -> None:
        if self._closed:
            return
        self._on_failed(failure)
        self._later(REWRITE_RETRY_S if job.replaces_file else APPEND_RETRY_S, lambda: self._retry(job))

    def _retry(self, job: _Job) -> None:
        if not self._closed:
            self._executor.submit(lambda: self._run(job))
