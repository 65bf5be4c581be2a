"""The folder of a node: one process at a time has it, and its file is whole whenever its writer is killed."""

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


def started(folder: Path, *more: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-c", WRITER, str(folder), *more], env=os.environ | {"PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE, stdin=subprocess.PIPE,
    )  # fmt: skip


def test_one_process_has_the_lock_until_it_ends_however_it_ends(tmp_path: Path) -> None:
    other = started(tmp_path / "kept")
    assert other.stdout is not None and other.stdout.readline() == b"(True, '')\n"
    kept = DurableFolder(str(tmp_path / "kept"))
    assert kept.try_lock() == (False, "") and not kept.holds_lock and kept.write(b"x") == ""
    assert not any((tmp_path / "kept" / slot).exists() for slot in SLOTS)  # only by whoever has the lock
    other.send_signal(signal.SIGKILL)
    other.wait()
    assert kept.try_lock() == (True, "") and kept.try_lock() == (True, "")
    kept.release_lock()
    again = DurableFolder(str(tmp_path / "kept"))
    assert again.try_lock() == (True, "")
    again.release_lock()


def test_a_kill_at_any_byte_leaves_the_old_file_or_the_new(tmp_path: Path) -> None:
    for k in range(12):
        writer = started(tmp_path, "on")
        assert writer.stdout is not None and writer.stdout.readline()
        end = time.monotonic() + LIMIT_S
        while not (tmp_path / SLOTS[0]).exists() and time.monotonic() < end:
            time.sleep(0.001)
        time.sleep(0.002 * k)
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        raw, problem = DurableFolder(str(tmp_path)).read(1 << 20)
        # of the very first write all may be missing, after it never
        assert raw == raw[:8] * 5_000 and ((problem == "" and len(raw) == 40_000) or k == 0), (k, problem)
    assert raw and not raw.startswith(b"00000000")


def test_what_is_wrong_with_a_folder_is_told_and_stops_nobody(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    broken = DurableFolder(str(tmp_path / "file" / "folder"))
    acquired, problem = broken.try_lock()
    assert acquired and "can't be used" in problem and broken.holds_lock and broken.write(b"x") == ""
    assert DurableFolder("").try_lock() == (True, "") and DurableFolder("").read(9) == (b"", "")
    kept = DurableFolder(str(tmp_path))
    assert kept.try_lock() == (True, "") and kept.read(99) == (b"", "")
    assert kept.write(b"12345") == "" and kept.read(99) == (b"12345", "")
    assert "over 4 bytes" in kept.read(4)[1]
    (tmp_path / SLOTS[0]).unlink()
    os.mkfifo(tmp_path / SLOTS[0])
    assert "no regular file" in kept.read(99)[1]
    assert kept.write(b"67890") == "" and kept.read(99) == (b"67890", "")  # the other one is good
    assert "Illegal seek" in kept.write(b"more") and kept.read(99) == (b"67890", "")
    kept.release_lock()
    (tmp_path / LOCK_FILE).unlink()
    os.symlink(tmp_path / "elsewhere", tmp_path / LOCK_FILE)
    assert "can't be used" in DurableFolder(str(tmp_path)).try_lock()[1]


def test_cut_at_every_length_and_with_every_byte_turned_the_write_before_counts(tmp_path: Path) -> None:
    kept = DurableFolder(str(tmp_path))
    assert kept.try_lock() == (True, "")
    for data in (b"the old one", b"and the new"):
        assert kept.write(data) == ""
    new = tmp_path / SLOTS[1]
    good = new.read_bytes()
    assert len(good) == BLOCK_BYTES
    end = good.index(b"and the new") + len(b"and the new")
    for raw in (*(good[:n] for n in range(end)), *(_turned(good, n) for n in range(end))):
        new.write_bytes(raw)
        assert DurableFolder(str(tmp_path)).read(99) == (b"the old one", ""), raw[:end]
    new.write_bytes(_turned(good, BLOCK_BYTES - 1))  # behind the end, which nothing reads
    assert DurableFolder(str(tmp_path)).read(99) == (b"and the new", "")
    (tmp_path / SLOTS[0]).write_bytes(b"")
    new.write_bytes(good[: end - 1])
    data, problem = DurableFolder(str(tmp_path)).read(99)
    assert data == b"" and "cut off" in problem


def _turned(raw: bytes, at: int) -> bytes:
    return raw[:at] + bytes((raw[at] ^ 0x10,)) + raw[at + 1 :]


def test_slots_never_shrink_and_the_one_file_of_before_is_read_once(tmp_path: Path) -> None:
    """What gives blocks back waits for the disk where that is told of it."""
    (tmp_path / LEGACY_FILE).write_bytes(b"as it was")
    kept = DurableFolder(str(tmp_path))
    assert kept.try_lock() == (True, "") and kept.read(99) == (b"as it was", "")
    assert kept.write(b"x" * (BLOCK_BYTES + 1)) == "" and not (tmp_path / LEGACY_FILE).exists()
    place = (tmp_path / SLOTS[0]).stat().st_ino
    for k in range(5):
        assert kept.write(b"%d" % k) == ""
        assert DurableFolder(str(tmp_path)).read(99) == (b"%d" % k, "")
    kept = DurableFolder(str(tmp_path))  # who writes without having read goes on all the same
    kept.try_lock()
    now = (tmp_path / SLOTS[0]).stat()
    assert now.st_ino == place and now.st_size == 2 * BLOCK_BYTES
