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

from granitewell.files import whole

LOCK, FILE = "member.lock", "member"
SLOTS = ("member.a", "member.b")
MAGIC = b"GWK1"
MOST = 16 * 1024 * 1024  # bytes of a slot that this can tell from another
BLOCK = 4_096  # a slot is a multiple of that, and never gets shorter
HEAD = Struct(">4sI")  # magic, check sum of all that follows up to the end of the data
_HEADED = Struct(">QI")  # which write, bytes of data


class Kept:
    """The folder; without one nobody else can have the lock, and nothing is kept."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._lock = -1
        self._count, self._slot = 0, 0  # of the last write, and where the next one goes
        self._looked = False  # whether both are known

    @property
    def lasting(self) -> bool:
        """Is there a folder at all?"""
        return self._folder is not None

    @property
    def held(self) -> bool:
        """Is the lock this process's?"""
        return self._lock >= 0 or self._folder is None

    def take(self) -> tuple[bool, str]:
        """Try to have the lock: whether it is had now, and what is wrong, if it is not for another process
        that has it. A folder that can't be used is told of, and the lock counts as had: a node must not stay
        out of its fleet for a disk.
        """
        if self.held:
            return True, ""
        assert self._folder is not None
        lock = -1
        try:
            self._folder.mkdir(mode=0o700, exist_ok=True)
            lock = os.open(self._folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False, ""
        except OSError as error:
            if lock >= 0:
                os.close(lock)
            folder, self._folder = self._folder, None
            return True, f"{folder} can't be used, nothing is kept: {error.strerror}"
        self._lock = lock
        return True, ""

    def release(self) -> None:
        """Another process may have it."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def read(self, most: int) -> tuple[bytes, str]:
        """What was last written whole, nothing where nothing was; and what is wrong."""
        if self._folder is None:
            return b"", ""
        self._looked = True
        found: list[tuple[int, bytes, int]] = []
        wrong = ""
        for number, name in enumerate(SLOTS):
            try:
                raw = whole(self._folder / name, MOST + BLOCK, os.O_NOFOLLOW)  # never shorter than it was
                found.append((*_read(raw, most), number))
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as error:
                wrong = f"{self._folder / name}: {getattr(error, 'strerror', None) or error}"
        if found:
            self._count, data, last = max(found)
            self._slot = 1 - last
            return data, ""  # of the other one a writer may have been killed
        if wrong:
            return b"", wrong
        return self._before(most)

    def _before(self, most: int) -> tuple[bytes, str]:
        """What a program wrote that had one file, replaced by rename."""
        assert self._folder is not None
        try:
            return whole(self._folder / FILE, most, os.O_NOFOLLOW), ""
        except FileNotFoundError:
            return b"", ""
        except (OSError, ValueError) as error:
            return b"", f"{self._folder / FILE}: {getattr(error, 'strerror', None) or error}"

    def write(self, data: bytes) -> str:
        """Put that in place of what was last read or written; what is wrong, or nothing.

        Only by whoever has the lock.
        """
        if self._folder is None or not self.held:
            return ""
        if not self._looked:
            self.read(MOST)
        path, count = self._folder / SLOTS[self._slot], self._count + 1
        body = _HEADED.pack(count, len(data)) + data
        raw = HEAD.pack(MAGIC, crc32(body)) + body
        try:
            slot = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            try:
                rest = memoryview(raw.ljust(-(-len(raw) // BLOCK) * BLOCK, b"\0"))
                at = 0
                while rest:
                    done = os.pwrite(slot, rest, at)
                    at, rest = at + done, rest[done:]
            finally:
                os.close(slot)
            if self._count == 0:
                (self._folder / FILE).unlink(missing_ok=True)  # or a program of before takes it for new
        except OSError as error:
            return f"{path}: {error.strerror}"
        self._count, self._slot = count, 1 - self._slot
        return ""


def _read(raw: bytes, most: int) -> tuple[int, bytes]:
    """Which write that was, and what it wrote. ValueError: not whole, or too long."""
    if len(raw) < HEAD.size + _HEADED.size:
        raise ValueError("cut off")
    magic, check = HEAD.unpack_from(raw)
    if magic != MAGIC:
        raise ValueError("of another version, or not written by this program")
    count: int
    length: int
    count, length = _HEADED.unpack_from(raw, HEAD.size)
    start = HEAD.size + _HEADED.size
    if length > most:
        raise ValueError(f"over {most} bytes")
    if len(raw) < start + length or crc32(raw[HEAD.size : start + length]) != check:
        raise ValueError("cut off, or damaged")
    return count, raw[start : start + length]
