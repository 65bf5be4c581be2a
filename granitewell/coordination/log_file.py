"""One open log file: batches are appended and synced, or the file is replaced as a whole.

A file is replaced by `rewrite`: new file, sync, rename, sync of the folder. Until the folder is synced
nothing later counts as synced. A write that fails is reported and may be tried again at the same place, from
the first byte that was not synced.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from granitewell.coordination.disk_files import Files
from granitewell.coordination.log_format import HEAD_BYTES, CorruptLog, frame, head, parse

LOG_NAME = "log"
NEW_NAME = "log.new"
CORRUPT_NAME = "log.corrupt"


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
        data = head(salt) + frame(salt, HEAD_BYTES, payload)
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
