"""Files on a simulated disk, which a loss of power leaves in any state that a real one might."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random


class Killed(BaseException):
    """The process dies at this call."""


@dataclass
class _Write:
    """One change of a file that is not synced. data None: its length was set to offset."""

    offset: int
    data: bytes | None


@dataclass
class _File:
    synced: bytes = b""
    unsynced: list[_Write] = field(default_factory=list)

    def content(self) -> bytes:
        """What a process reads."""
        return _apply(self.synced, self.unsynced)


def _apply(content: bytes, writes: list[_Write]) -> bytes:
    now = bytearray(content)
    for write in writes:
        if write.data is None:
            now = now[: write.offset].ljust(write.offset, b"\0")
        else:
            now = now.ljust(write.offset, b"\0")
            now[write.offset : write.offset + len(write.data)] = write.data
    return bytes(now)


class SimulatedFiles:
    """The calls of `disk_files.Files`. kill_at: the call by number at which the process dies; refusing: the
    error number of all writes."""

    def __init__(self, rng: Random) -> None:
        self.calls = 0
        self.kill_at: int | None = None
        self.refusing: int | None = None
        self._rng = rng
        self._files: dict[int, _File] = {}
        self._names: dict[str, int] = {}
        self._synced_names: dict[str, int] = {}

    def _call(self, *, writes: bool = True) -> None:
        self.calls += 1
        if self.kill_at is not None and self.calls >= self.kill_at:
            raise Killed
        if writes and self.refusing is not None:
            raise OSError(self.refusing, errno.errorcode[self.refusing])

    def read(self, path: str) -> bytes | None:
        """The whole file, or None."""
        self._call(writes=False)
        number = self._names.get(path)
        return None if number is None else self._files[number].content()

    def open(self, path: str, *, create: bool) -> int:
        """The file's number stands for a handle."""
        self._call(writes=create)
        if create:
            number = self._names.get(path)
            if number is None:
                number = self._names[path] = len(self._files)
                self._files[number] = _File()
            else:
                self._files[number].unsynced.append(_Write(0, None))
        return self._names[path]

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Half of it, then the rest: a process may die between."""
        half = len(data) // 2
        for at, part in ((0, data[:half]), (half, data[half:])):
            self._call()
            self._files[handle].unsynced.append(_Write(offset + at, part))

    def truncate(self, handle: int, length: int) -> None:
        """Not synced either."""
        self._call()
        self._files[handle].unsynced.append(_Write(length, None))

    def sync(self, handle: int) -> None:
        """The file, and the name of a new file."""
        self._call()
        file = self._files[handle]
        file.synced, file.unsynced = file.content(), []
        if handle not in self._synced_names.values():
            for name, number in self._names.items():
                if number == handle:
                    self._synced_names[name] = number

    def close(self, handle: int) -> None:
        """Nothing to do."""

    def rename(self, old: str, new: str) -> None:
        """Lost or kept until the folder is synced."""
        self._call()
        self._names[new] = self._names.pop(old)

    def remove(self, path: str) -> None:
        """Lost or kept until the folder is synced."""
        self._call()
        if path not in self._names:
            raise FileNotFoundError(path)
        del self._names[path]

    def sync_folder(self, path: str) -> None:
        """All names."""
        self._call()
        self._synced_names = dict(self._names)

    def make_folder(self, path: str) -> None:
        """There is only one."""
        self._call(writes=False)

    def restart(self, *, power: bool) -> None:
        """The process has died; with a loss of power, what was not synced is there, missing or torn, and each
        name that was not synced is the old one or the new one."""
        self.kill_at = None
        if not power:
            return
        for name in sorted({*self._names, *self._synced_names}):
            if self._rng.random() < 0.5:
                self._put_back(name)
        self._synced_names = dict(self._names)
        for file in self._files.values():
            file.synced = _apply(file.synced, [self._torn(write) for write in file.unsynced if self._kept()])
            file.unsynced = []

    def _put_back(self, name: str) -> None:
        old = self._synced_names.get(name)
        if old is None:
            self._names.pop(name, None)
        else:
            self._names[name] = old

    def _kept(self) -> bool:
        return self._rng.random() < 0.6

    def _torn(self, write: _Write) -> _Write:
        if write.data is None or self._rng.random() < 0.5:
            return write
        return _Write(write.offset, write.data[: self._rng.randrange(len(write.data) + 1)])
