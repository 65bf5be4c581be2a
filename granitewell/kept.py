"""A folder of one node with one file in it, and a lock that one process at a time has.

It owns how the file is replaced (whole, by rename: a kill at any byte leaves the old one or the new) and
whose turn it is. It must never know what the file says, wait for the lock, or fail its caller: what is wrong
comes back as words. Whoever has the lock is the node's member; the kernel gives it back when its process
ends, however it ends.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from granitewell.files import whole

LOCK, FILE, NEW = "member.lock", "member", ".new"


class Kept:
    """The folder; without one nobody else can have the lock, and nothing is kept."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._lock = -1

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
        out of its fleet for a disk."""
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
        """What the file holds, nothing where there is none; and what is wrong."""
        if self._folder is None:
            return b"", ""
        try:
            return whole(self._folder / FILE, most, os.O_NOFOLLOW), ""
        except FileNotFoundError:
            return b"", ""
        except (OSError, ValueError) as error:
            return b"", f"{self._folder / FILE}: {getattr(error, 'strerror', None) or error}"

    def write(self, data: bytes) -> str:
        """Put that in its place; what is wrong, or nothing. Only by whoever has the lock."""
        if self._folder is None or not self.held:
            return ""
        path, new = self._folder / FILE, self._folder / f"{FILE}{NEW}"
        try:
            with open(new, "wb", opener=_opener) as file:
                file.write(data)
            os.rename(new, path)
        except OSError as error:
            with contextlib.suppress(OSError):
                new.unlink()
            return f"{path}: {error.strerror}"
        return ""


def _opener(path: str, flags: int) -> int:
    return os.open(path, flags | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
