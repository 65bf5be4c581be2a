"""File operations that a durable log needs, and their implementation by the operating system."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """File operations that a log needs. All may raise OSError. Paths are absolute."""

    def read(self, path: str) -> bytes | None:
        """Return the contents of a file, or None if it does not exist."""

    def open(self, path: str, *, create: bool) -> int:
        """Open a file for writing; with `create`, a new and empty one."""

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Write all bytes at an offset."""

    def truncate(self, handle: int, length: int) -> None:
        """Set the length of a file."""

    def sync(self, handle: int) -> None:
        """Sync the contents and the length of a file to disk."""

    def close(self, handle: int) -> None:
        """Close a handle."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""

    def remove(self, path: str) -> None:
        """Remove a file; raises FileNotFoundError if it does not exist."""

    def sync_folder(self, path: str) -> None:
        """Sync the names in a folder to disk."""

    def make_folder(self, path: str) -> None:
        """Create a folder and sync its parent, unless it exists."""


class OsFiles:
    """File operations of the operating system."""

    def read(self, path: str) -> bytes | None:
        """Return the contents of a file, or None if it does not exist."""
        try:
            return Path(path).read_bytes()
        except FileNotFoundError:
            return None

    def open(self, path: str, *, create: bool) -> int:
        """Open a file for writing; with `create`, a new and empty one."""
        flags = os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags, 0o644)

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Write all bytes at an offset."""
        view = memoryview(data)
        while view:
            written = os.pwrite(handle, view, offset)
            view = view[written:]
            offset += written

    def truncate(self, handle: int, length: int) -> None:
        """Set the length of a file."""
        os.ftruncate(handle, length)

    def sync(self, handle: int) -> None:
        """Sync the contents and the length of a file to disk."""
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        """Close a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        Path(old).rename(new)

    def remove(self, path: str) -> None:
        """Remove a file; raises FileNotFoundError if it does not exist."""
        Path(path).unlink()

    def sync_folder(self, path: str) -> None:
        """Sync the names in a folder to disk."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def make_folder(self, path: str) -> None:
        """Create a folder and sync its parent, unless it exists."""
        Path(path).mkdir(parents=True, exist_ok=True)
        self.sync_folder(str(Path(path).parent))
