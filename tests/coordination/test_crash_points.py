"""Every call at which a log's process may be killed, and every disk that a power loss may leave then.

The history is short: a log is created, appended to, rewritten and appended to again, by a process that is
killed at one of its calls. A second process recovers, and may be killed at one of its own calls. A third one
must find everything that was reported as synced, in order, and nothing that was never written. In between,
each unsynced write and each unsynced name is present, missing or torn, independently. Each call is also
refused once, including syncs.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from random import Random

import pytest

from granitewell.coordination import log_file, log_format
from granitewell.coordination.log_file import LogFile
from granitewell.coordination.log_format import Contents, CorruptLogError
from tests.coordination.simulated_files import Killed, SimulatedFiles

MAX_CALLS = 60


def open_log(files: SimulatedFiles) -> LogFile:
    """Return the log of one process."""
    return LogFile(files, "/disk", "group", lambda: 7)


class LostEntryError(AssertionError):
    """A recovered log does not contain what it must."""


class Writer:
    """Writes one payload per batch.

    Attributes:
        synced: How many batches were reported as synced.
        tried: How many batches were submitted.
    """

    def __init__(self, files: SimulatedFiles, synced: int = 0, tried: int = 0) -> None:
        self.log = open_log(files)
        self.synced = synced
        self.tried = tried

    def write(self) -> None:
        """Write the whole history; a refused call is retried, as the queue does."""
        self._insist(self.log.load)
        for whole in (True, False, False, True, False):
            if not whole:
                self.tried += 1
            payloads = PAYLOADS[: self.tried] if whole else PAYLOADS[self.tried - 1 : self.tried]
            self._insist(lambda w=whole, p=payloads: self.log.rewrite(p) if w else self.log.append(p))  # type: ignore[misc]
            self.synced = self.tried

    def go_on(self) -> None:
        """Recover the log in another process, and write one more payload."""
        batches = load(self.log)
        self.synced = self.tried = check(batches, self.synced, self.tried)
        if batches is not None and self.tried < len(PAYLOADS):
            self.tried += 1
            self.log.append(PAYLOADS[self.tried - 1 : self.tried])
            self.synced = self.tried

    def _insist(self, call: Callable[[], object]) -> None:
        for _ in range(5):
            try:
                call()
            except OSError:
                continue
            return
        raise AssertionError("refused for ever")


PAYLOADS = b"abcdef"


def load(log: LogFile) -> bytes | None:
    """Return what a process finds, None without a log; raises LostEntryError."""
    try:
        batches = log.load()
    except CorruptLogError as error:
        raise LostEntryError(str(error)) from error
    return None if batches is None else b"".join(batches)


def check(found: bytes | None, synced: int, tried: int) -> int:
    """Return how many payloads the log holds; raises LostEntryError."""
    if found is None:
        if synced:
            raise LostEntryError(f"{synced} were synced, and there is no log")
        return 0
    if not synced <= len(found) <= tried or found != PAYLOADS[: len(found)]:
        raise LostEntryError(f"{found!r} with {synced} synced of {tried}")
    return len(found)


def disks_after(files: SimulatedFiles) -> list[SimulatedFiles]:
    """Return the disks that the next process may find.

    These are the files as they are, after a kill, or any state that a power loss may leave.
    """
    states = [files.copy(), *files.after_power_loss()]
    return list({state.state(): state for state in states}.values())


class Search:
    """Search through all histories.

    Attributes:
        recoveries: How many second processes were run, at each of their calls.
    """

    def __init__(self) -> None:
        self.recoveries = 0
        self._seen: set[tuple[object, ...]] = set()

    def run(self) -> int:
        """Search with kills only, then with each call refused once; a refused rename may take effect."""
        calls = self.deaths()
        for call in range(1, calls + 1):
            for anyway in (False, True):
                self.deaths(call, anyway)
        return self.recoveries

    def deaths(self, refuse_at: int = 0, renames_anyway: bool = False) -> int:
        """Kill a first process, which may have a refused call, at each of its later calls.

        Returns the number of its calls.
        """
        for death in range(refuse_at + 1, MAX_CALLS):
            files = SimulatedFiles(Random(0))
            files.refuse_at, files.renames_anyway = refuse_at, renames_anyway
            files.kill_at = death
            writer = Writer(files)
            over = False
            with suppress(Killed):
                writer.write()
                over = True
            for disk in disks_after(files):
                self.recover(disk, writer.synced, writer.tried)
            if over:
                return files.calls
        raise AssertionError("the history has more calls than were tried")

    def recover(self, disk: SimulatedFiles, synced: int, tried: int) -> None:
        """Run the second process, killed at each of its calls, and the third; equal disks only once."""
        key = (disk.state(), synced, tried)
        if key in self._seen:
            return
        self._seen.add(key)
        for death in range(1, MAX_CALLS):
            self.recoveries += 1
            files = disk.copy()
            files.kill_at = death
            second = Writer(files, synced, tried)
            over = False
            with suppress(Killed):
                second.go_on()
                over = True
            files.kill_at = None
            for last in disks_after(files):
                check(load(open_log(last)), second.synced, second.tried)
            if over:
                return


def test_synced_data_survives_every_kill_and_power_loss() -> None:
    assert Search().run() > 1_000


# Planted defects


def folder_is_not_synced(patch: pytest.MonkeyPatch) -> None:
    """A rewrite does not wait for the sync of its folder."""
    patch.setattr(LogFile, "_sync_folder", lambda self: None)


def failed_sync_counts(patch: pytest.MonkeyPatch) -> None:
    """A batch whose sync has failed is synced again, but not written again."""
    real = LogFile.append

    def append(self: LogFile, payload: bytes) -> None:
        files = self._files
        sync, self._files.sync = files.sync, lambda handle: _insist_on_sync(sync, handle)  # type: ignore[method-assign]
        try:
            real(self, payload)
        finally:
            files.sync = sync  # type: ignore[method-assign]

    patch.setattr(LogFile, "append", append)


def _insist_on_sync(sync: Callable[[int], None], handle: int) -> None:
    with suppress(OSError):
        sync(handle)
        return
    sync(handle)


def failed_folder_sync_counts(patch: pytest.MonkeyPatch) -> None:
    """A rewrite whose folder sync has failed counts as done."""

    def sync_folder(self: LogFile) -> None:
        with suppress(OSError):
            self._files.sync_folder(self._folder)

    patch.setattr(LogFile, "_sync_folder", sync_folder)


def torn_tail_is_kept(patch: pytest.MonkeyPatch) -> None:
    """A batch is appended after a torn one instead of replacing it."""
    real = log_format.parse

    def parse(path: str, data: bytes, owner: int) -> Contents:
        return replace(real(path, data, owner), length=len(data))

    patch.setattr(log_file, "parse", parse)


def new_file_is_not_synced(patch: pytest.MonkeyPatch) -> None:
    """A new file is renamed to the log before the recovering process has synced it."""
    patch.setattr(LogFile, "_sync_again", lambda self, data: None)


def read_tail_counts(patch: pytest.MonkeyPatch) -> None:
    """Whatever a process reads counts as synced."""

    def settle(self: LogFile, handle: int, data: bytes, contents: Contents) -> None:
        if contents.length < len(data):
            self._files.truncate(handle, contents.length)

    patch.setattr(LogFile, "_sync_contents", settle)


def tail_is_only_synced(patch: pytest.MonkeyPatch) -> None:
    """What a process reads is synced but not written again, although its sync may have failed before."""

    def settle(self: LogFile, handle: int, data: bytes, contents: Contents) -> None:
        if contents.length < len(data):
            self._files.truncate(handle, contents.length)
        self._files.sync(handle)

    patch.setattr(LogFile, "_sync_contents", settle)


def rewrite_in_place(patch: pytest.MonkeyPatch) -> None:
    """A rewrite renames the new file before it is synced."""
    real = LogFile.rewrite

    def rewrite(self: LogFile, payload: bytes) -> None:
        files = self._files
        sync, files.sync = files.sync, lambda handle: None  # type: ignore[method-assign]
        try:
            real(self, payload)
        finally:
            files.sync = sync  # type: ignore[method-assign]

    patch.setattr(LogFile, "rewrite", rewrite)


@pytest.mark.parametrize(
    "plant",
    [
        folder_is_not_synced,
        failed_sync_counts,
        failed_folder_sync_counts,
        torn_tail_is_kept,
        new_file_is_not_synced,
        read_tail_counts,
        tail_is_only_synced,
        rewrite_in_place,
    ],
)
def test_planted_defects_are_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(LostEntryError):
        Search().run()
