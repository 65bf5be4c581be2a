"""The folder of a node: one process at a time has it, and its file is whole whenever its writer is killed."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from granitewell.kept import FILE, LOCK, Kept

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 20.0
WRITER = """
import sys
from granitewell.kept import Kept
kept = Kept(sys.argv[1])
print(kept.take(), flush=True)
k = 0
while len(sys.argv) > 2:
    assert kept.write((b"%08d" % k) * 5_000) == ""
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
    kept = Kept(str(tmp_path / "kept"))
    assert kept.take() == (False, "") and not kept.held and kept.write(b"x") == ""
    assert not (tmp_path / "kept" / FILE).exists()  # only by whoever has the lock
    other.send_signal(signal.SIGKILL)
    other.wait()
    assert kept.take() == (True, "") and kept.take() == (True, "")
    kept.release()
    again = Kept(str(tmp_path / "kept"))
    assert again.take() == (True, "")
    again.release()


def test_a_kill_at_any_byte_leaves_the_old_file_or_the_new(tmp_path: Path) -> None:
    for k in range(12):
        writer = started(tmp_path, "on")
        assert writer.stdout is not None and writer.stdout.readline()
        end = time.monotonic() + LIMIT_S
        while not (tmp_path / FILE).exists() and time.monotonic() < end:
            time.sleep(0.001)
        time.sleep(0.002 * k)
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        raw, wrong = Kept(str(tmp_path)).read(1 << 20)
        assert wrong == "" and len(raw) == 40_000 and raw == raw[:8] * 5_000


def test_what_is_wrong_with_a_folder_is_told_and_stops_nobody(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    broken = Kept(str(tmp_path / "file" / "folder"))
    had, wrong = broken.take()
    assert had and "can't be used" in wrong and broken.held and broken.write(b"x") == ""
    assert Kept("").take() == (True, "") and Kept("").read(9) == (b"", "")
    kept = Kept(str(tmp_path))
    assert kept.take() == (True, "") and kept.read(99) == (b"", "")
    assert kept.write(b"12345") == "" and kept.read(99) == (b"12345", "")
    assert "over 4 bytes" in kept.read(4)[1]
    (tmp_path / FILE).unlink()
    os.mkfifo(tmp_path / FILE)
    assert "no regular file" in kept.read(99)[1]
    kept.release()
    (tmp_path / LOCK).unlink()
    os.symlink(tmp_path / "elsewhere", tmp_path / LOCK)
    assert "can't be used" in Kept(str(tmp_path)).take()[1]
