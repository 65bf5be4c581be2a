"""Tests of the durable folder: one process holds its lock, and a killed writer leaves an intact record."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from granitewell.durable_folder import BLOCK_BYTES, LEGACY_FILE, LOCK_FILE, SLOTS, DurableFolder

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 20.0
WRITER = """
import sys
from granitewell.durable_folder import DurableFolder
folder = DurableFolder(sys.argv[1])
print(folder.try_lock(), flush=True)
k = 0
while len(sys.argv) > 2:
    assert folder.write((b"%08d" % k) * 5_000) == ""
    k += 1
sys.stdin.read()
"""


def start_writer(folder: Path, *more: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-c", WRITER, str(folder), *more], env=os.environ | {"PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE, stdin=subprocess.PIPE,
    )  # fmt: skip


def test_lock_is_held_by_one_process_until_it_ends_or_is_killed(tmp_path: Path) -> None:
    holder = start_writer(tmp_path / "kept")
    assert holder.stdout is not None and holder.stdout.readline() == b"(True, '')\n"
    folder = DurableFolder(str(tmp_path / "kept"))
    assert folder.try_lock() == (False, "") and not folder.holds_lock and folder.write(b"x") == ""
    # only the holder of the lock writes
    assert not any((tmp_path / "kept" / slot).exists() for slot in SLOTS)
    holder.send_signal(signal.SIGKILL)
    holder.wait()
    assert folder.try_lock() == (True, "") and folder.try_lock() == (True, "")
    folder.release_lock()
    third = DurableFolder(str(tmp_path / "kept"))
    assert third.try_lock() == (True, "")
    third.release_lock()


def test_killed_writer_leaves_the_old_record_or_the_new(tmp_path: Path) -> None:
    for k in range(12):
        writer = start_writer(tmp_path, "on")
        assert writer.stdout is not None and writer.stdout.readline()
        end = time.monotonic() + LIMIT_S
        while not (tmp_path / SLOTS[0]).exists() and time.monotonic() < end:
            time.sleep(0.001)
        time.sleep(0.002 * k)
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        data, problem = DurableFolder(str(tmp_path)).read(1 << 20)
        # the record may be missing only during the very first write
        assert data == data[:8] * 5_000 and ((problem == "" and len(data) == 40_000) or k == 0), (k, problem)
    assert data and not data.startswith(b"00000000")


def test_unusable_folder_is_reported_and_stops_nobody(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    unusable = DurableFolder(str(tmp_path / "file" / "folder"))
    acquired, problem = unusable.try_lock()
    assert acquired and "can't be used" in problem and unusable.holds_lock and unusable.write(b"x") == ""
    assert DurableFolder("").try_lock() == (True, "") and DurableFolder("").read(9) == (b"", "")
    folder = DurableFolder(str(tmp_path))
    assert folder.try_lock() == (True, "") and folder.read(99) == (b"", "")
    assert folder.write(b"12345") == "" and folder.read(99) == (b"12345", "")
    assert "over 4 bytes" in folder.read(4)[1]
    (tmp_path / SLOTS[0]).unlink()
    os.mkfifo(tmp_path / SLOTS[0])
    assert "no regular file" in folder.read(99)[1]
    assert folder.write(b"67890") == "" and folder.read(99) == (b"67890", "")  # the other slot is usable
    assert "Illegal seek" in folder.write(b"more") and folder.read(99) == (b"67890", "")
    folder.release_lock()
    (tmp_path / LOCK_FILE).unlink()
    os.symlink(tmp_path / "elsewhere", tmp_path / LOCK_FILE)
    assert "can't be used" in DurableFolder(str(tmp_path)).try_lock()[1]


def test_truncated_or_damaged_slot_gives_the_previous_record(tmp_path: Path) -> None:
    folder = DurableFolder(str(tmp_path))
    assert folder.try_lock() == (True, "")
    for data in (b"the old one", b"and the new"):
        assert folder.write(data) == ""
    new = tmp_path / SLOTS[1]
    good = new.read_bytes()
    assert len(good) == BLOCK_BYTES
    end = good.index(b"and the new") + len(b"and the new")
    for data in (*(good[:n] for n in range(end)), *(_turned(good, n) for n in range(end))):
        new.write_bytes(data)
        assert DurableFolder(str(tmp_path)).read(99) == (b"the old one", ""), data[:end]
    new.write_bytes(_turned(good, BLOCK_BYTES - 1))  # padding, which is not part of the record
    assert DurableFolder(str(tmp_path)).read(99) == (b"and the new", "")
    (tmp_path / SLOTS[0]).write_bytes(b"")
    new.write_bytes(good[: end - 1])
    data, problem = DurableFolder(str(tmp_path)).read(99)
    assert data == b"" and "cut off" in problem


def _turned(data: bytes, at: int) -> bytes:
    return data[:at] + bytes((data[at] ^ 0x10,)) + data[at + 1 :]


def test_slots_never_shrink_and_the_legacy_file_is_read_once(tmp_path: Path) -> None:
    """Freeing blocks of a file blocks the writer on a file system mounted with `discard`."""
    (tmp_path / LEGACY_FILE).write_bytes(b"as it was")
    folder = DurableFolder(str(tmp_path))
    assert folder.try_lock() == (True, "") and folder.read(99) == (b"as it was", "")
    assert folder.write(b"x" * (BLOCK_BYTES + 1)) == "" and not (tmp_path / LEGACY_FILE).exists()
    inode = (tmp_path / SLOTS[0]).stat().st_ino
    for k in range(5):
        assert folder.write(b"%d" % k) == ""
        assert DurableFolder(str(tmp_path)).read(99) == (b"%d" % k, "")
    folder = DurableFolder(str(tmp_path))  # a write without a previous read continues the sequence
    folder.try_lock()
    now = (tmp_path / SLOTS[0]).stat()
    assert now.st_ino == inode and now.st_size == 2 * BLOCK_BYTES
