"""A folder of one node with what its next process has to know, and a lock that one process at a time has.

It owns how that is replaced (whole: a kill at any byte leaves the old or the new) and whose turn it is. It
must never know what it says, wait for the lock, or fail its caller: what is wrong comes back as words.
Whoever has the lock is the node's member; the kernel gives it back when its process ends, however it ends.

There are two slots, written in turn and in place, each with a number and a check sum; the whole one with the
higher number counts. A file that is replaced by rename, as it was before, gives its blocks back each time,
and where the disk is told of that (`discard`) a rename was seen to stand still for up to 3 s.
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
MAX_SLOT_BYTES = 16 * 1024 * 1024  # bytes of a slot that this can tell from another
BLOCK_BYTES = 4_096  # a slot is a multiple of that, and never gets shorter
CHECKSUM_HEADER = Struct(">4sI")  # magic, check sum of all that follows up to the end of the data
_RECORD_HEADER = Struct(">QI")  # which write, bytes of data


class DurableFolder:
    """The folder; without one nobody else can have the lock, and nothing is kept."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._lock_descriptor = -1
        self._sequence, self._next_slot = 0, 0  # of the last write, and where the next one goes
        self._is_read = False  # whether both are known

    @property
    def is_persistent(self) -> bool:
        """Is there a folder at all?"""
        return self._folder is not None

    @property
    def holds_lock(self) -> bool:
        """Is the lock this process's?"""
        return self._lock_descriptor >= 0 or self._folder is None

    def try_lock(self) -> tuple[bool, str]:
        """Try to have the lock: whether it is had now, and what is wrong, if it is not for another process
        that has it. A folder that can't be used is told of, and the lock counts as had: a node must not stay
        out of its fleet for a disk.
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
        """Another process may have it."""
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def read(self, max_bytes: int) -> tuple[bytes, str]:
        """What was last written whole, nothing where nothing was; and what is wrong."""
        if self._folder is None:
            return b"", ""
        self._is_read = True
        found: list[tuple[int, bytes, int]] = []
        problem = ""
        for index, name in enumerate(SLOTS):
            try:
                raw = read_regular_file(
                    self._folder / name, MAX_SLOT_BYTES + BLOCK_BYTES, os.O_NOFOLLOW
                )  # never shorter than it was
                found.append((*_decode_slot(raw, max_bytes), index))
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as error:
                problem = f"{self._folder / name}: {getattr(error, 'strerror', None) or error}"
        if found:
            self._sequence, data, last = max(found)
            self._next_slot = 1 - last
            return data, ""  # of the other one a writer may have been killed
        if problem:
            return b"", problem
        return self._read_legacy_file(max_bytes)

    def _read_legacy_file(self, max_bytes: int) -> tuple[bytes, str]:
        """What a program wrote that had one file, replaced by rename."""
        assert self._folder is not None
        try:
            return read_regular_file(self._folder / LEGACY_FILE, max_bytes, os.O_NOFOLLOW), ""
        except FileNotFoundError:
            return b"", ""
        except (OSError, ValueError) as error:
            return b"", f"{self._folder / LEGACY_FILE}: {getattr(error, 'strerror', None) or error}"

    def write(self, data: bytes) -> str:
        """Put that in place of what was last read or written; what is wrong, or nothing.

        Only by whoever has the lock.
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
                (self._folder / LEGACY_FILE).unlink(
                    missing_ok=True
                )  # or a program of before takes it for new
        except OSError as error:
            return f"{path}: {error.strerror}"
        self._sequence, self._next_slot = sequence, 1 - self._next_slot
        return ""


def _decode_slot(raw: bytes, max_bytes: int) -> tuple[int, bytes]:
    """Which write that was, and what it wrote. ValueError: not whole, or too long."""
    if len(raw) < CHECKSUM_HEADER.size + _RECORD_HEADER.size:
        raise ValueError("cut off")
    magic, checksum = CHECKSUM_HEADER.unpack_from(raw)
    if magic != MAGIC:
        raise ValueError("of another version, or not written by this program")
    sequence: int
    length: int
    sequence, length = _RECORD_HEADER.unpack_from(raw, CHECKSUM_HEADER.size)
    start = CHECKSUM_HEADER.size + _RECORD_HEADER.size
    if length > max_bytes:
        raise ValueError(f"over {max_bytes} bytes")
    if len(raw) < start + length or crc32(raw[CHECKSUM_HEADER.size : start + length]) != checksum:
        raise ValueError("cut off, or damaged")
    return sequence, raw[start : start + length]
