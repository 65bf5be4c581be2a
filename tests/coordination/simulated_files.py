"""Files on a simulated disk, which a power loss leaves in any state that a real disk might have."""

from __future__ import annotations

import errno
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import product
from random import Random


class Killed(BaseException):
    """The process is killed at this call."""


@dataclass(frozen=True)
class _Write:
    """A change of a file that is not synced. Without data, the length was set to `offset`."""

    offset: int
    data: bytes | None

    def outcomes(self) -> tuple[_Write | None, ...]:
        """Return what a power loss may leave of this write: nothing, all, or a part."""
        if not self.data:
            return (None, self)
        return (None, self, _Write(self.offset, self.data[: (len(self.data) + 1) // 2]))


@dataclass
class _File:
    """A file.

    Attributes:
        synced: Contents that survive any power loss.
        unsynced: Writes that the next sync makes durable.
        cached: Contents as a process reads them; after a failed sync they include what never reaches the
            disk.
    """

    synced: bytearray = field(default_factory=bytearray)
    cached: bytearray = field(default_factory=bytearray)
    unsynced: list[_Write] = field(default_factory=list)

    def change(self, write: _Write) -> None:
        """Apply a write or a truncation by a process."""
        _apply(self.cached, [write])
        self.unsynced.append(write)


def _apply(content: bytearray, writes: Sequence[_Write | None]) -> None:
    for write in writes:
        if write is None:
            continue
        if len(content) < write.offset:
            content += bytes(write.offset - len(content))
        if write.data is None:
            del content[write.offset :]
        else:
            content[write.offset : write.offset + len(write.data)] = write.data


class SimulatedFiles:
    """Implementation of `disk_files.Files`.

    Attributes:
        kill_at: Number of the call at which the process is killed.
        refusing: Error number of all writes, or only of the calls in `refused_calls`.
        failing_syncs: How many of the next syncs fail.
        room: How many more bytes the disk accepts.
        refuse_at: Number of the one call that is refused; a rename may take effect all the same
            (`renames_anyway`). A failed sync of a file drops the writes, as on Linux; that of a folder keeps
            its names to be synced.
    """

    def __init__(self, rng: Random) -> None:
        self.calls = 0
        self.kill_at: int | None = None
        self.refusing: int | None = None
        self.refused_calls: frozenset[str] = frozenset()
        self.failing_syncs = 0
        self.room: int | None = None
        self.refuse_at: int | None = None
        self.renames_anyway = False
        self._rng = rng
        self._files: dict[int, _File] = {}
        self._names: dict[str, int] = {}
        self._synced_names: dict[str, int] = {}
        self._unsynced_names: set[str] = set()

    def _call(self, name: str = "", *, writes: bool = True) -> None:
        self.calls += 1
        if self.kill_at is not None and self.calls >= self.kill_at:
            raise Killed
        refused = not self.refused_calls or name in self.refused_calls
        if writes and refused and self.refusing is not None:
            raise OSError(self.refusing, errno.errorcode[self.refusing])
        if writes and self.calls == self.refuse_at:
            self._refuse_once(name)

    def _refuse_once(self, name: str) -> None:
        if name in ("sync", "sync_folder"):
            self.failing_syncs = 1
        elif name != "rename" or not self.renames_anyway:
            raise OSError(errno.EIO, "EIO")

    def read(self, path: str) -> bytes | None:
        """Return the contents of a file, or None."""
        self._call(writes=False)
        number = self._names.get(path)
        return None if number is None else bytes(self._files[number].cached)

    def open(self, path: str, *, create: bool) -> int:
        """Return the number of a file as its handle."""
        self._call("open", writes=create)
        if create:
            number = self._names.get(path)
            if number is None:
                number = self._names[path] = len(self._files)
                self._files[number] = _File()
                self._unsynced_names.add(path)
            else:
                self._files[number].change(_Write(0, None))
        return self._names[path]

    def write(self, handle: int, offset: int, data: bytes) -> None:
        """Write in two halves, since a process may be killed in between."""
        half = len(data) // 2
        for at, part in ((0, data[:half]), (half, data[half:])):
            self._call("write")
            self._write(handle, offset + at, part)

    def _write(self, handle: int, offset: int, data: bytes) -> None:
        if self.room is None:
            self._files[handle].change(_Write(offset, data))
            return
        part = data[: self.room]
        self._files[handle].change(_Write(offset, part))
        self.room -= len(part)
        if len(part) < len(data):
            raise OSError(errno.ENOSPC, "ENOSPC")

    def truncate(self, handle: int, length: int) -> None:
        """Set the length of a file; not synced either."""
        self._call("truncate")
        self._files[handle].change(_Write(length, None))

    def sync(self, handle: int) -> None:
        """Sync a file, and its name if it is new."""
        self._call("sync")
        file = self._files[handle]
        writes, file.unsynced = file.unsynced, []
        self._fail_sync()
        _apply(file.synced, writes)
        if handle not in self._synced_names.values():
            for name, number in self._names.items():
                if number == handle:
                    self._synced_names[name] = number
                    self._unsynced_names.discard(name)

    def _fail_sync(self) -> None:
        if self.failing_syncs > 0:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "EIO")

    def close(self, handle: int) -> None:
        """Do nothing."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; lost or kept until the folder is synced."""
        self._call("rename")
        self._names[new] = self._names.pop(old)
        self._unsynced_names |= {old, new}
        if self.calls == self.refuse_at:
            raise OSError(errno.EIO, "EIO")

    def remove(self, path: str) -> None:
        """Remove a file; lost or kept until the folder is synced."""
        self._call("remove")
        if path not in self._names:
            raise FileNotFoundError(path)
        del self._names[path]
        self._unsynced_names.add(path)

    def sync_folder(self, path: str) -> None:
        """Sync all names."""
        self._call("sync_folder")
        self._fail_sync()
        for name in self._unsynced_names:
            self._put(self._synced_names, name, self._names.get(name))
        self._unsynced_names = set()

    def make_folder(self, path: str) -> None:
        """Do nothing: there is only one folder."""
        self._call(writes=False)

    @staticmethod
    def _put(names: dict[str, int], name: str, number: int | None) -> None:
        if number is None:
            names.pop(name, None)
        else:
            names[name] = number

    # Restarts

    def restart(self, *, power: bool) -> None:
        """Kill the process, with or without a power loss.

        After a power loss, each unsynced write is present, missing or torn, and each unsynced name is the old
        or the new one.
        """
        self.kill_at = None
        if not power:
            return
        kept_names = {name for name in sorted(self._unsynced_names) if self._rng.random() < 0.5}
        kept_writes = {
            number: [self._torn(write) for write in file.unsynced if self._rng.random() < 0.6]
            for number, file in self._files.items()
        }
        self._lose(kept_names, kept_writes)

    def _torn(self, write: _Write) -> _Write:
        if write.data is None or self._rng.random() < 0.5:
            return write
        return _Write(write.offset, write.data[: self._rng.randrange(len(write.data) + 1)])

    def after_power_loss(self) -> Iterator[SimulatedFiles]:
        """Return every disk that a power loss may leave now: each write and each name independently."""
        names = sorted(self._unsynced_names)
        files = [(number, file) for number, file in self._files.items() if file.unsynced]
        writes = [[write.outcomes() for write in file.unsynced] for _, file in files]
        for kept in product((False, True), repeat=len(names)):
            for chosen in product(*(product(*outcomes) for outcomes in writes)):
                copy = self.copy()
                kept_writes = {number: some for (number, _), some in zip(files, chosen, strict=True)}
                copy._lose({name for name, there in zip(names, kept, strict=True) if there}, kept_writes)
                yield copy

    def _lose(self, kept_names: set[str], kept_writes: Mapping[int, Sequence[_Write | None]]) -> None:
        for name in kept_names:
            self._put(self._synced_names, name, self._names.get(name))
        self._names = dict(self._synced_names)
        self._unsynced_names = set()
        for number, file in self._files.items():
            _apply(file.synced, kept_writes.get(number, []))
            file.cached = file.synced[:]
            file.unsynced = []

    def copy(self) -> SimulatedFiles:
        """Return a copy of the disk without faults."""
        other = SimulatedFiles(self._rng)
        other._files = {
            number: _File(file.synced[:], file.cached[:], list(file.unsynced))
            for number, file in self._files.items()
        }
        other._names = dict(self._names)
        other._synced_names = dict(self._synced_names)
        other._unsynced_names = set(self._unsynced_names)
        return other

    def state(self) -> tuple[object, ...]:
        """Return everything on which the next process and the next power loss may depend, as a value."""
        numbers = sorted({*self._names.values(), *self._synced_names.values()})
        files = [self._files[number] for number in numbers]
        return (
            tuple((name, numbers.index(number)) for name, number in sorted(self._names.items())),
            tuple((name, numbers.index(number)) for name, number in sorted(self._synced_names.items())),
            tuple(sorted(self._unsynced_names)),
            tuple((bytes(file.synced), bytes(file.cached), tuple(file.unsynced)) for file in files),
        )
