"""The log on disk: truncation, bit flips, kills and power losses at every step, refused writes."""

from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path
from random import Random
from threading import Event

import pytest

from granitewell.coordination import log_format
from granitewell.coordination.disk_files import OsFiles
from granitewell.coordination.disk_thread import DiskThread
from granitewell.coordination.durable_log import DurableLog, WriteFailed
from granitewell.coordination.log_file import LogFile
from granitewell.coordination.log_format import (
    HEAD_BYTES,
    CorruptLogError,
    ForeignLogError,
    UnknownLogVersionError,
    fingerprint,
    frame,
    head,
    parse,
    salt_of,
)
from tests.coordination.simulated_files import Killed, SimulatedFiles

OWNER = "group"
OWNER_MARK = fingerprint(OWNER)
SALT = salt_of(OWNER_MARK, 7)
BATCHES = (b"first", b"second " * 9, b"", b"last")


def written(batches: tuple[bytes, ...] = BATCHES) -> bytes:
    data = head(SALT)
    for batch in batches:
        data += frame(SALT, len(data), batch)
    return data


def log_file(files: SimulatedFiles) -> LogFile:
    salts = Random(1)
    return LogFile(files, "/disk", OWNER, lambda: salts.getrandbits(64))


# Reading


def test_a_truncated_file_contains_all_complete_batches() -> None:
    data = written()
    ends = [len(written(BATCHES[:count])) for count in range(len(BATCHES) + 1)]
    for length in range(ends[0], len(data) + 1):
        count = sum(end <= length for end in ends) - 1
        contents = parse("log", data[:length], OWNER_MARK)
        assert contents.payloads == BATCHES[:count]
        assert contents.length == ends[count]


def test_a_file_without_a_complete_header_is_corrupt() -> None:
    for length in range(len(head(SALT))):
        with pytest.raises(CorruptLogError):
            parse("log", written()[:length], OWNER_MARK)


def test_a_flipped_byte_is_corruption_or_in_the_last_batch() -> None:
    data = written()
    last = len(written(BATCHES[:-1]))
    for offset in range(len(data)):
        flipped = data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]
        if offset >= last:
            assert parse("log", flipped, OWNER_MARK).payloads == BATCHES[:-1]
        else:
            with pytest.raises(CorruptLogError):
                parse("log", flipped, OWNER_MARK)


def test_zeros_after_the_last_batch_are_truncated() -> None:
    assert parse("log", written() + bytes(100), OWNER_MARK).payloads == BATCHES


def test_frames_of_a_log_inside_a_payload_are_not_read() -> None:
    inner = written()
    torn = written((b"x", inner))
    torn = torn[: len(written((b"x",))) + 3] + bytes(5) + torn[len(written((b"x",))) + 8 :]
    assert parse("log", torn, OWNER_MARK).payloads == (b"x",)


def test_a_newer_version_is_refused_and_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_format, "VERSION", 3)
    newer = written()
    monkeypatch.undo()
    with pytest.raises(UnknownLogVersionError, match="version 3, known: 1 to 2"):
        parse("log", newer, OWNER_MARK)


def test_a_log_of_another_owner_is_refused_and_unchanged() -> None:
    files = SimulatedFiles(Random(0))
    other = LogFile(files, "/disk", "other", lambda: SALT)
    other.load()
    other.rewrite(b"theirs")
    before = files.state()
    with pytest.raises(ForeignLogError):
        log_file(files).load()
    assert files.state() == before
    assert LogFile(files, "/disk", "other", lambda: SALT).load() == (b"theirs",)


def test_a_log_of_the_version_without_owners_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_format, "VERSION", log_format.VERSION_WITHOUT_OWNER)
    older = head(12345) + frame(12345, HEAD_BYTES, b"first")
    monkeypatch.undo()
    assert parse("log", older, OWNER_MARK).payloads == (b"first",)


def test_frames_of_another_file_are_truncated_at_the_end_and_corruption_elsewhere() -> None:
    data = written()
    foreign_salt = salt_of(OWNER_MARK, 8)
    for count in range(len(BATCHES)):
        start = len(written(BATCHES[:count]))
        foreign = frame(foreign_salt, start, BATCHES[count])
        overwritten = data[:start] + foreign + data[start + len(foreign) :]
        if count == len(BATCHES) - 1:
            assert parse("log", overwritten, OWNER_MARK).payloads == BATCHES[:-1]
        else:
            with pytest.raises(CorruptLogError):
                parse("log", overwritten, OWNER_MARK)


def test_a_newer_log_is_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    files = SimulatedFiles(Random(0))
    monkeypatch.setattr(log_format, "VERSION", 3)
    newer = log_file(files)
    newer.load()
    newer.rewrite(b"newer")
    monkeypatch.undo()
    before = files.state()
    with pytest.raises(UnknownLogVersionError):
        log_file(files).load()
    assert files.state() == before


# Writing


def test_data_written_to_a_real_disk_is_read_back(tmp_path: Path) -> None:
    folder = str(tmp_path / "group")
    log = LogFile(OsFiles(), folder, OWNER, lambda: SALT)
    assert log.load() is None
    log.rewrite(b"start")
    log.append(b"more")
    log.close()
    with (Path(folder) / "log").open("ab") as file:
        file.write(b"torn")
    again = LogFile(OsFiles(), folder, OWNER, lambda: SALT)
    assert again.load() == (b"start", b"more")
    again.append(b"and more")
    again.rewrite(b"all")
    again.append(b"after")
    again.close()
    assert LogFile(OsFiles(), folder, OWNER, lambda: SALT).load() == (b"all", b"after")
    assert sorted(path.name for path in (tmp_path / "group").iterdir()) == ["log"]


class Writer:
    """Writes numbered batches and sometimes rewrites the log; knows what was reported as synced."""

    def __init__(self, files: SimulatedFiles) -> None:
        self.files = files
        self.log = log_file(files)
        self.synced = 0
        self.tried = 0

    def run(self, steps: int, rng: Random) -> None:
        self.log.rewrite(b"")
        for _ in range(steps):
            if rng.random() < 0.3:
                self.log.rewrite(b"".join(b"%03d" % number for number in range(1, self.tried + 1)))
            else:
                self.tried += 1
                self.log.append(b"%03d" % self.tried)
            self.synced = self.tried


def numbers(batches: tuple[bytes, ...]) -> list[int]:
    joined = b"".join(batches)
    return [int(joined[at : at + 3]) for at in range(0, len(joined), 3)]


@pytest.mark.parametrize("power", [False, True])
def test_synced_batches_survive_a_kill_at_any_call(power: bool) -> None:
    for seed in range(300):
        rng = Random(seed)
        files = SimulatedFiles(rng)
        files.kill_at = rng.randrange(1, 90)
        writer = Writer(files)
        with pytest.raises(Killed):
            writer.log.load()
            writer.run(1000, rng)
        files.restart(power=power)
        again = log_file(files)
        batches = again.load()
        if batches is None:
            assert writer.synced == 0
            continue
        found = numbers(batches)
        assert found == list(range(1, len(found) + 1)) and writer.synced <= len(found) <= writer.tried
        again.append(b"%03d" % (len(found) + 1))
        files.restart(power=True)
        assert len(numbers(log_file(files).load() or ())) == len(found) + 1


def test_a_kill_at_each_call_of_a_rewrite_leaves_the_old_or_the_new_log() -> None:
    for call in range(1, 12):
        for power in (False, True):
            for seed in range(20):
                files = SimulatedFiles(Random(seed))
                log = log_file(files)
                log.load()
                log.rewrite(b"old")
                log.append(b"acknowledged")
                files.kill_at = files.calls + call
                done = False
                try:
                    log.rewrite(b"new")
                    done = True
                    log.append(b"later")
                except Killed:
                    pass
                files.restart(power=power)
                batches = log_file(files).load()
                assert batches in ((b"old", b"acknowledged"), (b"new",), (b"new", b"later"))
                assert not done or batches != (b"old", b"acknowledged")


def test_a_refused_write_is_written_again_at_the_same_place() -> None:
    files = SimulatedFiles(Random(0))
    log = log_file(files)
    log.load()
    log.rewrite(b"start")
    files.refusing = errno.ENOSPC
    for _ in range(3):
        with pytest.raises(OSError):
            log.append(b"one")
    files.refusing = None
    log.append(b"one")
    log.append(b"two")
    files.restart(power=True)
    assert log_file(files).load() == (b"start", b"one", b"two")


def test_a_refused_rewrite_leaves_the_old_log_in_use() -> None:
    files = SimulatedFiles(Random(0))
    log = log_file(files)
    log.load()
    log.rewrite(b"start")
    files.refusing = errno.ENOSPC
    with pytest.raises(OSError):
        log.rewrite(b"other")
    files.refusing = None
    assert not log.must_rewrite
    log.append(b"one")
    files.restart(power=True)
    assert log_file(files).load() == (b"start", b"one")


# The queue


class Steps:
    """Stands for the disk thread and the event loop: work is done when the test asks for it."""

    def __init__(self) -> None:
        self.work: list[Callable[[], None]] = []
        self.pauses: list[Callable[[], None]] = []
        self.synced: list[int] = []
        self.failures: list[WriteFailed] = []

    def submit(self, work: Callable[[], None]) -> None:
        self.work.append(work)

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self.pauses.append(call)

    def step(self) -> None:
        self.work.pop(0)()

    def log(self, files: SimulatedFiles) -> tuple[DurableLog, LogFile]:
        file = log_file(files)
        file.load()
        report = self.synced.append, self.failures.append
        return DurableLog(file, self, lambda call: call(), self.later, *report), file


def test_queued_batches_are_written_together() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    for batch in (2, 3, 4):
        log.append(batch, b"%d" % batch)
    log.rewrite(4, b"a234", optional=True)
    log.append(5, b"5")
    assert len(steps.work) == 1 and steps.synced == []
    steps.step()
    assert steps.synced == [1]
    steps.step()
    assert steps.synced == [1, 4]
    steps.step()
    steps.step()
    assert steps.synced == [1, 4, 4, 5] and log.idle
    assert log_file(files).load() == (b"a234", b"5")


def test_a_refused_write_is_reported_and_retried() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    steps.step()
    files.refusing = errno.EIO
    log.append(2, b"b")
    log.append(3, b"c")
    steps.step()
    assert steps.failures == [WriteFailed(errno.EIO, "EIO")] and steps.synced == [1] and steps.work == []
    steps.pauses.pop()()
    steps.step()
    assert len(steps.failures) == 2 and steps.synced == [1]
    files.refusing = None
    steps.pauses.pop()()
    steps.step()
    steps.step()
    assert steps.synced == [1, 2, 3]
    assert log_file(files).load() == (b"a", b"b", b"c")


def test_a_refused_optional_rewrite_is_dropped() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    steps.step()
    files.refusing = errno.ENOSPC
    log.rewrite(1, b"short", optional=True)
    steps.step()
    files.refusing = None
    assert steps.failures == [] and log.idle
    log.append(2, b"b")
    steps.step()
    assert log_file(files).load() == (b"a", b"b")


def test_the_queue_of_a_refusing_disk_stays_bounded() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    steps.step()
    files.refusing = errno.ENOSPC
    log.append(2, b"2")
    state = b"2"
    for batch in range(3, 2_000):
        log.append(batch, b"." * 10)
        state += b"."
        if batch % 100 == 0:
            log.rewrite(batch, state, optional=True)
        assert log.waiting_bytes <= 2 * len(state) + 100 * 10
    files.refusing = None
    while not log.idle:
        if not steps.work:
            steps.pauses.pop()()
        steps.step()
    assert steps.synced[-1] == 1_999 and steps.synced == sorted(steps.synced)
    batches = log_file(files).load() or ()
    assert batches[0] == b"2" + b"." * 1_898 and b"".join(batches[1:]) == b"." * 990


def test_a_refused_rewrite_that_replaced_batches_is_not_dropped() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    steps.step()
    files.refusing = errno.ENOSPC
    log.append(2, b"b")
    log.append(3, b"long")
    log.rewrite(3, b"abl", optional=True)
    files.refusing = None
    steps.step()
    assert steps.synced == [1, 2]
    files.refusing = errno.ENOSPC
    steps.step()
    assert steps.synced == [1, 2] and len(steps.failures) == 1
    files.refusing = None
    steps.pauses.pop()()
    steps.step()
    assert steps.synced == [1, 2, 3] and log_file(files).load() == (b"abl",)


@pytest.mark.parametrize("call", ["open", "write", "truncate", "sync", "rename", "sync_folder"])
def test_the_log_continues_after_any_refused_call(call: str) -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, file = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    steps.step()
    files.refusing, files.refused_calls = errno.ENOSPC, frozenset({call})
    log.append(2, b"b")
    log.rewrite(2, b"ab", optional=True)
    log.append(3, b"c")
    for _ in range(20):
        if not steps.work and steps.pauses:
            steps.pauses.pop()()
        if steps.work:
            steps.step()
    files.refusing = None
    while not log.idle:
        if not steps.work:
            steps.pauses.pop()()
        steps.step()
    assert not file.must_rewrite and steps.synced[-1] == 3
    for disk in files.after_power_loss():
        assert b"".join(log_file(disk).load() or ()) == b"abc"


def test_a_partly_written_batch_is_removed() -> None:
    for room in range(40):
        files = SimulatedFiles(Random(0))
        log = log_file(files)
        log.load()
        log.rewrite(b"start")
        files.room = room
        with pytest.raises(OSError):
            log.append(b"lost " * 9)
        files.room = None
        log.append(b"kept")
        assert log_file(files).load() == (b"start", b"kept")


def test_a_corrupt_log_is_copied_or_stays() -> None:
    files = SimulatedFiles(Random(0))
    log = log_file(files)
    log.load()
    log.rewrite(b"start")
    log.append(b"more")
    files.write(files.open("/disk/log", create=False), HEAD_BYTES + 2, b"?")
    files.refusing = errno.ENOSPC
    with pytest.raises(OSError):
        log_file(files).copy_corrupt()
    files.refusing = None
    log_file(files).copy_corrupt()
    for disk in files.after_power_loss():
        assert disk.read("/disk/log.corrupt") == files.read("/disk/log")


def test_the_disk_thread_survives_failing_work() -> None:
    thread = DiskThread()
    done = Event()

    def fail() -> None:
        raise MemoryError

    thread.submit(fail)
    thread.submit(done.set)
    assert done.wait(5)


def test_a_closed_log_reports_nothing() -> None:
    files, steps = SimulatedFiles(Random(0)), Steps()
    log, _ = steps.log(files)
    log.rewrite(1, b"a", optional=False)
    log.close()
    while steps.work:
        steps.step()
    assert steps.synced == []


def test_a_missing_sync_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SimulatedFiles, "sync", lambda self, handle: self._call())
    with pytest.raises((AssertionError, CorruptLogError)):
        test_synced_batches_survive_a_kill_at_any_call(True)


def test_a_missing_sync_of_the_folder_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LogFile, "_sync_folder", lambda self: None)
    with pytest.raises(AssertionError):
        test_synced_batches_survive_a_kill_at_any_call(True)


def test_a_missing_checksum_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_format, "_checksum", lambda salt, bare, payload: 1)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        test_a_flipped_byte_is_corruption_or_in_the_last_batch()
