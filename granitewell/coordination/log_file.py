"""One open log file: batches are appended and synced, or the complete file is replaced.

`rewrite` replaces a file in these steps: new file, sync, rename, sync of the folder. Nothing is appended
until the folder is synced. A write or sync that fails is reported, and all its data is written again: after a
failed sync the operating system may consider pages clean that never reached the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from granitewell.coordination.disk_files import Files
from granitewell.coordination.log_format import (
    HEAD_BYTES,
    Contents,
    CorruptLogError,
    fingerprint,
    frame,
    head,
    parse,
    salt_of,
)

LOG_NAME = "log"
NEW_NAME = "log.new"
CORRUPT_NAME = "log.corrupt"


class LogFile:
    """One open log, used by the disk thread only.

    Each call does one step of work or raises OSError; a failed call may be repeated.

    Args:
        files: File operations.
        folder: Folder of the log.
        owner: Name of the log's owner, stored in its header; another owner's log is refused.
        salts: Source of random salts.
    """

    def __init__(self, files: Files, folder: str, owner: str, salts: Callable[[], int]) -> None:
        self._files = files
        self._folder = folder
        self._owner = fingerprint(owner)
        self._salts = salts
        self._path = f"{folder}/{LOG_NAME}"
        self._new_path = f"{folder}/{NEW_NAME}"
        self._handle: int | None = None
        self._salt = 0
        self._length = 0
        self._must_rewrite = False
        self._tail_in_doubt = False

    @property
    def length(self) -> int:
        """Number of bytes that are synced."""
        return self._length

    @property
    def must_rewrite(self) -> bool:
        """Whether a rewrite has failed after its rename began.

        It is then unknown which file a power loss would leave, so nothing may be appended before a complete
        `rewrite`.
        """
        return self._must_rewrite

    # Opening

    def load(self) -> tuple[bytes, ...] | None:
        """Open the log and cut off what was never synced; return its batches, or None if there is no log.

        Raises:
            CorruptLogError: The log is damaged; it was not changed.
            UnknownLogVersionError: A newer version has written it; it was not changed.
            ForeignLogError: It belongs to another owner; it was not changed.
        """
        self._files.make_folder(self._folder)
        data = self._files.read(self._path)
        if data is None and (data := self._complete_new_file()) is None:
            return None
        contents = parse(self._path, data, self._owner)
        with suppress(FileNotFoundError):
            self._files.remove(self._new_path)
        handle = self._files.open(self._path, create=False)
        try:
            self._sync_contents(handle, data, contents)
            self._files.sync_folder(self._folder)
        except OSError:
            self._tail_in_doubt = True
            self._files.close(handle)
            raise
        self._replace_handle(handle, contents.salt, contents.length)
        return contents.payloads

    def _sync_contents(self, handle: int, data: bytes, contents: Contents) -> None:
        """Sync what was read to disk.

        A killed process may have left a last batch that was not synced, or whose sync had failed, so it is
        written again. A full disk may refuse that; then syncing it must suffice, unless a sync has failed
        before.
        """
        if contents.length < len(data):
            self._files.truncate(handle, contents.length)
        if self._tail_in_doubt:
            self._files.write(handle, 0, data[: contents.length])
        elif len(contents.payloads) > 1:  # the first batch was synced before the file got its name
            with suppress(OSError):
                self._files.write(handle, contents.last_offset, data[contents.last_offset : contents.length])
        self._files.sync(handle)

    def _complete_new_file(self) -> bytes | None:
        """Return the contents of a complete new file and rename it to the log; None if there is none.

        A power loss may have removed the old name without adding the new one. The new file is the log then.
        """
        data = self._files.read(self._new_path)
        if data is None:
            return None
        try:
            is_complete = len(parse(self._new_path, data, self._owner).payloads) > 0
        except CorruptLogError:
            is_complete = False
        if not is_complete:
            return None
        self._sync_again(data)
        self._files.rename(self._new_path, self._path)
        return data

    def _sync_again(self, data: bytes) -> None:
        """Sync the new file before it is renamed, because its process may have died before doing so."""
        handle = self._files.open(self._new_path, create=False)
        try:
            self._files.write(handle, 0, data)
            self._files.sync(handle)
        finally:
            self._files.close(handle)

    def _replace_handle(self, handle: int, salt: int, length: int) -> None:
        self.close()
        self._handle, self._salt, self._length = handle, salt, length

    # Writing

    def append(self, payload: bytes) -> None:
        """Write and sync a batch."""
        assert self._handle is not None and not self._must_rewrite
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
        """Replace the complete file with one that contains only this batch."""
        salt = salt_of(self._owner, self._salts())
        data = head(salt) + frame(salt, HEAD_BYTES, payload)
        handle = self._files.open(self._new_path, create=True)
        try:
            self._files.write(handle, 0, data)
            self._files.sync(handle)
            self._must_rewrite = True
            self._files.rename(self._new_path, self._path)
        except OSError:
            self._files.close(handle)
            with suppress(OSError):
                self._files.remove(self._new_path)
            raise
        self._replace_handle(handle, salt, len(data))
        self._sync_folder()
        self._must_rewrite = False

    def _sync_folder(self) -> None:
        self._files.sync_folder(self._folder)

    def copy_corrupt(self) -> None:
        """Copy a corrupt log to another file for later inspection.

        The corrupt log stays in place until it is replaced.
        """
        data = self._files.read(self._path)
        if data is None:
            return
        handle = self._files.open(f"{self._folder}/{CORRUPT_NAME}", create=True)
        try:
            self._files.write(handle, 0, data)
            self._files.sync(handle)
        finally:
            self._files.close(handle)

    def close(self) -> None:
        """Close the file."""
        if self._handle is not None:
            with suppress(OSError):
                self._files.close(self._handle)
            self._handle = None
