"""Durable record of one node, in a folder that only one process of the node uses at a time.

The process that holds the lock file is the one that takes part in the cluster; the kernel releases the lock
when that process ends, however it ends. No call waits for the lock, and errors are returned as text and not
raised. The contents of the record are the caller's business.

The record has two slots (A and B). Writes alternate between them and overwrite in place. Each slot carries a
sequence number and a checksum, and the intact slot with the higher number is the current record, so a process
that is killed in the middle of a write leaves the previous record. Earlier versions replaced one file by
rename instead. That frees the file's blocks at each write, and on a file system mounted with `discard` such a
rename was seen to block for up to 3 s.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from struct import Struct
from zlib import crc32

from granitewell.files import read_regular_file

LOCK_FILE, LEGACY_FILE = "member.lock", "member"
SLOTS = ("member.a", "member.b")
MAGIC = b"GWK1"
MAX_SLOT_BYTES = 16 * 1024 * 1024  # of data; larger slots are not read
BLOCK_BYTES = 4_096  # slots are padded to a multiple of this, and never shrink
CHECKSUM_HEADER = Struct(">4sI")  # magic, CRC-32 of what follows up to the end of the data
_RECORD_HEADER = Struct(">QI")  # sequence number, bytes of data


class DurableFolder:
    """The folder with its lock and its record.

    Without a folder (empty path) the lock counts as held, and nothing is stored.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._lock_descriptor = -1
        self._sequence, self._next_slot = 0, 0  # of the last write; index for the next one
        self._is_read = False  # whether these two have been read from the slots

    @property
    def is_persistent(self) -> bool:
        """Whether there is a folder to store the record in."""
        return self._folder is not None

    @property
    def holds_lock(self) -> bool:
        """Whether this process holds the lock."""
        return self._lock_descriptor >= 0 or self._folder is None

    def try_lock(self) -> tuple[bool, str]:
        """Try to acquire the lock, without waiting.

        If the folder can't be used, the lock counts as acquired and nothing is stored from then on: a faulty
        disk must not keep the node out of the cluster.

        Returns:
            Whether this process holds the lock now, and the error if the folder can't be used.
        """
        if self.holds_lock:
            return True, ""
        assert self._folder is not None
        descriptor = -1
        try:
            self._folder.mkdir(mode=0o700, exist_ok=True)
            descriptor = os.open(
                self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600
            )
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False, ""
        except OSError as error:
            if descriptor >= 0:
                os.close(descriptor)
            folder, self._folder = self._folder, None
            return True, f"{folder} can't be used, nothing is kept: {error.strerror}"
        self._lock_descriptor = descriptor
        return True, ""

    def release_lock(self) -> None:
        """Release the lock, so that another process can acquire it."""
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def read(self, max_bytes: int) -> tuple[bytes, str]:
        """Return the current record and an error text.

        The record is empty if none was written or none is intact. An error in one slot is not reported if the
        other slot is intact.
        """
        if self._folder is None:
            return b"", ""
        self._is_read = True
        found: list[tuple[int, bytes, int]] = []
        problem = ""
        for index, name in enumerate(SLOTS):
            try:
                # slots never shrink, so the file may be longer than `max_bytes` although its record is not
                raw = read_regular_file(self._folder / name, MAX_SLOT_BYTES + BLOCK_BYTES, os.O_NOFOLLOW)
                found.append((*_decode_slot(raw, max_bytes), index))
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as error:
                problem = f"{self._folder / name}: {getattr(error, 'strerror', None) or error}"
        if found:
            self._sequence, data, last = max(found)
            self._next_slot = 1 - last
            return data, ""  # an error of the other slot is expected: its writer may have been killed
        if problem:
            return b"", problem
        return self._read_legacy_file(max_bytes)

    def _read_legacy_file(self, max_bytes: int) -> tuple[bytes, str]:
        """Return the record of an earlier version, which had a single file, and an error text."""
        assert self._folder is not None
        try:
            return read_regular_file(self._folder / LEGACY_FILE, max_bytes, os.O_NOFOLLOW), ""
        except FileNotFoundError:
            return b"", ""
        except (OSError, ValueError) as error:
            return b"", f"{self._folder / LEGACY_FILE}: {getattr(error, 'strerror', None) or error}"

    def write(self, data: bytes) -> str:
        """Replace the record; return an error text, or "" on success.

        Nothing is written if this process doesn't hold the lock or there is no folder.
        """
        if self._folder is None or not self.holds_lock:
            return ""
        if not self._is_read:
            self.read(MAX_SLOT_BYTES)
        path, sequence = self._folder / SLOTS[self._next_slot], self._sequence + 1
        body = _RECORD_HEADER.pack(sequence, len(data)) + data
        raw = CHECKSUM_HEADER.pack(MAGIC, crc32(body)) + body
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            try:
                remaining = memoryview(raw.ljust(-(-len(raw) // BLOCK_BYTES) * BLOCK_BYTES, b"\0"))
                offset = 0
                while remaining:
                    written = os.pwrite(descriptor, remaining, offset)
                    offset, remaining = offset + written, remaining[written:]
            finally:
                os.close(descriptor)
            if self._sequence == 0:
                # an earlier version would otherwise take the outdated file for the current record
                (self._folder / LEGACY_FILE).unlink(missing_ok=True)
        except OSError as error:
            return f"{path}: {error.strerror}"
        self._sequence, self._next_slot = sequence, 1 - self._next_slot
        return ""


def _decode_slot(raw: bytes, max_bytes: int) -> tuple[int, bytes]:
    """Return the sequence number and the data of a slot.

    Raises:
        ValueError: The slot is truncated, damaged, of another format, or its data exceeds `max_bytes`.
    """
    if len(raw) < CHECKSUM_HEADER.size + _RECORD_HEADER.size:
        raise ValueError("cut off")
    magic, checksum = CHECKSUM_HEADER.unpack_from(raw)
    if magic != MAGIC:
        raise ValueError("unsupported format version, or not written by this program")
    sequence: int
    length: int
    sequence, length = _RECORD_HEADER.unpack_from(raw, CHECKSUM_HEADER.size)
    start = CHECKSUM_HEADER.size + _RECORD_HEADER.size
    if length > max_bytes:
        raise ValueError(f"over {max_bytes} bytes")
    if len(raw) < start + length or crc32(raw[CHECKSUM_HEADER.size : start + length]) != checksum:
        raise ValueError("cut off, or damaged")
    return sequence, raw[start : start + length]
