"""An append-only file of checksummed batches, synced by one thread, rewritten when it gets long.

The file is a head (magic, version, salt) and frames. A frame is one batch: a mark, its length, a checksum
that also covers the salt and the frame's place in the file, and the payload. A frame is written only once all
frames before it are synced, so after a loss of power at most the last frame is missing or torn. At opening:

- a frame that does not check and has no good frame after it was never acknowledged: the file is cut there;
- a frame that does not check and has a good frame after it is damage: `CorruptLog`;
- a file of another version is refused and left alone: `UnknownLogVersion`.

A file is replaced as a whole by `rewrite`: new file, sync, rename, sync of the folder. Until the folder is
synced nothing later counts as synced. A write that fails is reported and tried again at the same place, from
the first byte that was not synced; what `synced` reports has been on the disk.

Everything that touches files runs on a `DiskThread`; results come back into the event loop.
"""

from __future__ import annotations

import os
import struct
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol
from zlib import crc32

from granitewell.model.errors import GranitewellError

MAGIC = b"GWDL"
VERSION = 1
_HEAD = struct.Struct("!4sHQI")  # magic, version, salt, checksum of what stands before
_FRAME = struct.Struct("!4sIQI")  # mark, payload length, place in the file, checksum
_MARK = b"\xf7GWf"
MOST_FRAME_BYTES = 256 * 1024 * 1024
RETRY_S = 0.1
"""Between two attempts to write what the disk has refused."""
LOG_NAME = "log"
NEW_NAME = "log.new"
CORRUPT_NAME = "log.corrupt"


class DurableLogError(GranitewellError):
    """A log on the disk can't be used."""


class CorruptLog(DurableLogError):
    """A log is damaged before its end: something that was synced is no longer what was written."""

    def __init__(self, path: str, offset: int) -> None:
        super().__init__(f"{path} is damaged at byte {offset}")
        self.path = path
        self.offset = offset


class UnknownLogVersion(DurableLogError):
    """A log was written by a newer program."""

    def __init__(self, path: str, version: int) -> None:
        super().__init__(f"{path} has version {version}, known: {VERSION}")
        self.version = version


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The disk has refused a write or a sync; it is tried again. number: of the operating system's error."""

    number: int
    reason: str


class Files(Protocol):
    """The calls that a log makes; all may raise OSError. Paths are absolute."""

    def read(self, path: str) -> bytes | None:
        """The whole file, or None where there is none."""

    def open(self, path: str, *, create: bool) -> int:
        """A handle for writing; with create, of a new and empty file."""

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Write all of it at a place."""

    def truncate(self, handle: int, length: int) -> None:
        """Set the file's length."""

    def sync(self, handle: int) -> None:
        """Bring the file's bytes and length to the disk."""

    def close(self, handle: int) -> None:
        """Give the handle back."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another's name."""

    def remove(self, path: str) -> None:
        """Remove a file; raises FileNotFoundError."""

    def sync_folder(self, path: str) -> None:
        """Bring a folder's names to the disk."""

    def make_folder(self, path: str) -> None:
        """Make a folder, and sync the one above, unless it is there."""


class OsFiles:
    """The operating system's files."""

    def read(self, path: str) -> bytes | None:
        """The whole file, or None where there is none."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def open(self, path: str, *, create: bool) -> int:
        """A handle for writing; with create, of a new and empty file."""
        flags = os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags, 0o644)

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Write all of it at a place."""
        view = memoryview(data)
        while view:
            written = os.pwrite(handle, view, offset)
            view = view[written:]
            offset += written

    def truncate(self, handle: int, length: int) -> None:
        """Set the file's length."""
        os.ftruncate(handle, length)

    def sync(self, handle: int) -> None:
        """Bring the file's bytes and length to the disk."""
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        """Give the handle back."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Give a file another's name."""
        os.rename(old, new)

    def remove(self, path: str) -> None:
        """Remove a file; raises FileNotFoundError."""
        os.unlink(path)

    def sync_folder(self, path: str) -> None:
        """Bring a folder's names to the disk."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def make_folder(self, path: str) -> None:
        """Make a folder, and sync the one above, unless it is there."""
        Path(path).mkdir(parents=True, exist_ok=True)
        self.sync_folder(str(Path(path).parent))


# The file's format


def head(salt: int) -> bytes:
    """The head of a file."""
    bare = _HEAD.pack(MAGIC, VERSION, salt, 0)[:-4]
    return bare + struct.pack("!I", crc32(bare))


def frame(salt: int, offset: int, payload: bytes) -> bytes:
    """A batch as it stands at a place in a file."""
    bare = _FRAME.pack(_MARK, len(payload), offset, 0)[:-4]
    return bare + struct.pack("!I", _checksum(salt, bare, payload)) + payload


def _checksum(salt: int, bare: bytes, payload: bytes) -> int:
    return crc32(payload, crc32(bare, salt & 0xFFFFFFFF))


@dataclass(frozen=True, slots=True)
class Contents:
    """What a file holds. length: of what is good; the rest is to be cut off."""

    salt: int
    payloads: tuple[bytes, ...]
    length: int


def parse(path: str, data: bytes) -> Contents:
    """The batches of a file; raises CorruptLog or UnknownLogVersion."""
    salt = _parse_head(path, data)
    payloads: list[bytes] = []
    offset = _HEAD.size
    while offset < len(data):
        payload = _frame_at(salt, data, offset)
        if payload is None:
            if _good_frame_after(salt, data, offset):
                raise CorruptLog(path, offset)
            break
        payloads.append(payload)
        offset += _FRAME.size + len(payload)
    return Contents(salt, tuple(payloads), offset)


def _parse_head(path: str, data: bytes) -> int:
    if len(data) < _HEAD.size:
        raise CorruptLog(path, 0)
    magic, version, salt, checksum = _HEAD.unpack_from(data)
    if magic != MAGIC or crc32(data[: _HEAD.size - 4]) != checksum:
        raise CorruptLog(path, 0)
    if version != VERSION:
        raise UnknownLogVersion(path, version)
    return int(salt)


def _frame_at(salt: int, data: bytes, offset: int) -> bytes | None:
    if offset + _FRAME.size > len(data):
        return None
    mark, length, place, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    if mark != _MARK or place != offset or length > len(data) - start:
        return None
    payload = data[start : start + length]
    bare = data[offset : start - 4]
    return payload if _checksum(salt, bare, payload) == checksum else None


def _good_frame_after(salt: int, data: bytes, offset: int) -> bool:
    at = data.find(_MARK, offset + 1)
    while at != -1:
        if _frame_at(salt, data, at) is not None:
            return True
        at = data.find(_MARK, at + 1)
    return False


# The file on the disk


class LogFile:
    """One open log, used by the disk thread alone. Each call does one step of work or raises OSError; a
    failed call may be made again and goes on where it must."""

    def __init__(self, files: Files, folder: str, salts: Callable[[], int]) -> None:
        self._files = files
        self._folder = folder
        self._salts = salts
        self._path = f"{folder}/{LOG_NAME}"
        self._new_path = f"{folder}/{NEW_NAME}"
        self._handle: int | None = None
        self._salt = 0
        self._length = 0
        self._folder_synced = True
        self._name_unknown = False

    @property
    def length(self) -> int:
        """Bytes that are synced."""
        return self._length

    def load(self) -> tuple[bytes, ...] | None:
        """Open the log and cut off what was never synced; its batches, or None where there is no log. Raises
        CorruptLog and UnknownLogVersion too."""
        self._files.make_folder(self._folder)
        data = self._files.read(self._path)
        if data is None and (data := self._whole_new_file()) is None:
            return None
        with suppress(FileNotFoundError):
            self._files.remove(self._new_path)
        contents = parse(self._path, data)
        handle = self._files.open(self._path, create=False)
        try:
            if contents.length < len(data):
                self._files.truncate(handle, contents.length)
            self._files.sync(handle)  # a killed process may have left good frames that were not synced yet
            self._files.sync_folder(self._folder)
        except OSError:
            self._files.close(handle)
            raise
        self._take(handle, contents.salt, contents.length)
        return contents.payloads

    def _whole_new_file(self) -> bytes | None:
        """A loss of power may take the old name and not yet give the new one: then the new file is the
        log."""
        data = self._files.read(self._new_path)
        if data is None:
            return None
        try:
            whole = len(parse(self._new_path, data).payloads) > 0
        except CorruptLog:
            whole = False
        if not whole:
            return None
        self._files.rename(self._new_path, self._path)
        return data

    @property
    def must_rewrite(self) -> bool:
        """Whether a rename has failed halfway, so that nothing may be appended before a whole `rewrite`."""
        return self._name_unknown

    def _take(self, handle: int, salt: int, length: int) -> None:
        self.close()
        self._handle, self._salt, self._length = handle, salt, length

    def append(self, payload: bytes) -> None:
        """Write a batch and sync it."""
        assert self._handle is not None
        self._sync_folder()
        data = frame(self._salt, self._length, payload)
        try:
            self._files.write(self._handle, self._length, data)
            self._files.sync(self._handle)
        except OSError:
            with suppress(OSError):
                self._files.truncate(self._handle, self._length)
            raise
        self._length += len(data)

    def rewrite(self, payload: bytes) -> None:
        """Replace the whole file by one with this batch alone."""
        salt = self._salts()
        data = head(salt) + frame(salt, _HEAD.size, payload)
        handle = self._files.open(self._new_path, create=True)
        try:
            self._files.write(handle, 0, data)
            self._files.sync(handle)
            self._name_unknown = True
            self._files.rename(self._new_path, self._path)
            self._name_unknown = False
        except OSError:
            self._files.close(handle)
            with suppress(OSError):
                self._files.remove(self._new_path)
            raise
        self._take(handle, salt, len(data))
        self._folder_synced = False
        self._sync_folder()

    def _sync_folder(self) -> None:
        if not self._folder_synced:
            self._files.sync_folder(self._folder)
            self._folder_synced = True

    def keep_corrupt(self) -> None:
        """Copy a damaged log aside, for whoever wants to look at it; the damaged one stays until it is
        replaced."""
        data = self._files.read(self._path)
        if data is None:
            return
        handle = self._files.open(f"{self._folder}/{CORRUPT_NAME}", create=True)
        try:
            self._files.write(handle, 0, data)
        finally:
            self._files.close(handle)

    def close(self) -> None:
        """Give the file back."""
        if self._handle is not None:
            with suppress(OSError):
                self._files.close(self._handle)
            self._handle = None


# The thread


class DiskThread:
    """One background thread that runs disk work in order, for all logs of a process."""

    _shared: DiskThread | None = None

    def __init__(self) -> None:
        self._work: deque[Callable[[], None]] = deque()
        self._wake = threading.Condition()
        self._thread: threading.Thread | None = None

    @classmethod
    def shared(cls) -> DiskThread:
        """The thread of this process."""
        if cls._shared is None:
            cls._shared = cls()
        return cls._shared

    def submit(self, work: Callable[[], None]) -> None:
        """Run something on the thread, after all that was submitted before."""
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
            work()


class Executor(Protocol):
    """Where disk work runs: a DiskThread, or in tests whatever stands for it."""

    def submit(self, work: Callable[[], None]) -> None:
        """Run something, after all that was submitted before."""


@dataclass(slots=True)
class _Job:
    batch: int
    payload: bytes
    whole: bool
    optional: bool = False


class DurableLog:
    """A log as the event loop sees it: batches go in, `on_synced(batch)` and `on_failed(WriteFailed)` come
    out.

    to_loop brings a call into the event loop from the disk thread; later runs one after a pause. Batches that
    wait while one is being written are joined into one write.
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
        """Whether all is written."""
        return not self._busy and not self._waiting

    def append(self, batch: int, payload: bytes) -> None:
        """Write a batch after all others."""
        self._waiting.append(_Job(batch, payload, whole=False))
        self._next()

    def rewrite(self, batch: int, payload: bytes, *, optional: bool) -> None:
        """Replace the file, after all batches before, by one payload that stands for all of them. optional:
        it only makes the file shorter, so it is dropped where the disk refuses it."""
        self._waiting.append(_Job(batch, payload, whole=True, optional=optional))
        self._next()

    def close(self) -> None:
        """Write nothing more; what is being written may still reach the disk."""
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
        if job.whole:
            return job
        parts = [job.payload]
        while self._waiting and not self._waiting[0].whole:
            following = self._waiting.popleft()
            parts.append(following.payload)
            job = following
        return _Job(job.batch, b"".join(parts), whole=False)

    def _run(self, job: _Job) -> None:
        """On the disk thread."""
        try:
            if job.whole:
                self._file.rewrite(job.payload)
            else:
                self._file.append(job.payload)
        except OSError as error:
            if job.optional and not self._file.must_rewrite:
                self._to_loop(lambda: self._done(job))  # the old file holds all of it
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
        self._later(RETRY_S, lambda: self._retry(job))

    def _retry(self, job: _Job) -> None:
        if not self._closed:
            self._executor.submit(lambda: self._run(job))
