"""The calls that a durable log makes on files, and the operating system's."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


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
