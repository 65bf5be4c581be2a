"""Tests of the handover folder: ban files and run files, also truncated, foreign or unwritable."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from pytest import MonkeyPatch as Patch

from granitewell.handover import BAN_END_RETENTION_S, MAX_FILES, ClockReading, Handover, encode_ban

NOW = ClockReading(1_800_000_000_000_000, 7_000_000_000)


def after(us: int, step_us: int = 0) -> ClockReading:
    """Return the time `us` after NOW, with the wall clock set by `step_us` in between."""
    return ClockReading(NOW.unix_us + us + step_us, NOW.monotonic_us + us)


def test_bans_and_their_ends_are_read_back(tmp_path: Path) -> None:
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")
    assert one.register() == ""
    assert (
        one.write_ban(b"s-a", True, NOW)
        == one.write_ban(b"../s b", True, NOW)
        == two.write_ban(b"s-c", True, NOW)
        == ""
    )
    assert two.write_ban(b"s-a", False, after(5)) == ""
    stored = one.read_bans(after(10))
    assert (
        stored.banned_endpoints == {b"../s b", b"s-c"}
        and stored.ended_us == {b"s-a": NOW.monotonic_us + 5}
        and not stored.problems
    )
    assert one.read_bans(after(int((BAN_END_RETENTION_S + 1) * 1e6))).ended_us == {}
    assert Handover(str(tmp_path), "n2").read_bans(NOW).banned_endpoints == frozenset()  # another node's


def test_endpoint_id_of_any_length_can_be_banned(tmp_path: Path) -> None:
    """Guards against file names that are too long.

    The file name contained the id in hexadecimal. From 118 bytes on it was too long and the call got a 500.
    """
    files = Handover(str(tmp_path), "n1")
    ids = {bytes([65 + n % 50]) * n for n in (1, 95, 96, 97, 117, 118, 200, 256)}
    assert [files.write_ban(endpoint, True, NOW) for endpoint in ids] == [""] * 8 and files.read_bans(
        NOW
    ).banned_endpoints == ids


def test_truncated_or_damaged_file_is_reported_and_skipped(tmp_path: Path) -> None:
    """A write cut short by a kill or a full disk must neither prevent a start nor count as a ban."""
    files = Handover(str(tmp_path), "n1")
    files.write_ban(b"s-a", True, NOW)
    path, intact = tmp_path / "granitewell-n1" / f"ban-{b's-a'.hex()}", encode_ban(b"s-a", True, NOW)
    assert path.read_bytes() == intact
    for cut in range(len(intact)):
        path.write_bytes(intact[:cut])
        stored = files.read_bans(NOW)
        assert not stored.banned_endpoints and len(stored.problems) == 1 and path.name in stored.problems[0]
        flipped = bytearray(intact)
        flipped[cut] ^= 0x10
        path.write_bytes(flipped)
        assert not files.read_bans(NOW).banned_endpoints
    path.rename(path.with_name("ban-00"))
    path.with_name("ban-00").write_bytes(intact)
    assert not files.read_bans(NOW).banned_endpoints


def test_other_processes_are_detected_by_their_lock_also_after_a_kill(tmp_path: Path) -> None:
    """A pid in a file would count a killed process forever, and half of the descriptors with it."""
    mine = Handover(str(tmp_path), "n1")
    assert mine.register() == "" and mine.other_claims() == []
    source = "import sys; from granitewell.handover import Handover; h = Handover(sys.argv[1], 'n1'); "
    source += "h.register(); h.claim(200); "
    child = subprocess.Popen(
        [sys.executable, "-c", source + "print(1, flush=True); sys.stdin.read()", str(tmp_path)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE,
    )  # fmt: skip
    try:
        assert child.stdout is not None and child.stdout.readline() == b"1\n"
        assert mine.has_changed() and mine.other_claims() == [200]
    finally:
        child.kill()
        child.communicate()
    assert mine.other_claims() == [] and len(os.listdir(tmp_path / "granitewell-n1")) == 1


def test_foreign_files_in_the_folder_do_not_prevent_a_start(tmp_path: Path) -> None:
    """A pipe with the name of a ban file was opened and blocked the next process forever at its start."""
    mine, name = Handover(str(tmp_path), "n1"), f"ban-{b's-a'.hex()}"
    assert mine.register() == "" and mine.write_ban(b"s-b", True, NOW) == ""
    folder = tmp_path / "granitewell-n1"
    os.mkfifo(folder / name)
    os.mkfifo(folder / "run-1")
    (folder / "run-2").mkdir()
    (folder / f"{name}7a").mkdir()
    (folder / f"{name}7b").symlink_to("/dev/zero")
    (folder / f"{name}7c").symlink_to(folder / "nowhere")
    (folder / f"{name}7d").write_bytes(b"x" * 100_000)
    stored = []
    reader = threading.Thread(
        target=lambda: stored.append((mine.other_claims(), mine.read_bans(NOW))), daemon=True
    )
    reader.start()
    reader.join(20.0)
    ((others, found),) = stored
    assert others == [] and found.banned_endpoints == {b"s-b"} and len(found.problems) == 5


def test_leftovers_of_killed_processes_are_removed_and_hide_no_ban(tmp_path: Path) -> None:
    """Guards against temporary files that stay forever and count towards the limit of files that are read.

    With 10,000 leftovers no ban was read any more.
    """
    files, folder = Handover(str(tmp_path), "n1"), tmp_path / "granitewell-n1"
    assert files.register() == ""
    for k in range(MAX_FILES):
        (folder / f"ban-{k:06x}.{k}.new").touch()
    assert files.write_ban(b"s-a", True, NOW) == "" and files.read_bans(NOW).banned_endpoints == {b"s-a"}
    for entry in os.scandir(folder):
        if entry.name.endswith(".new"):
            os.utime(entry.path, (1, 1))
    (folder / "run-7.new").touch()  # another process that is just starting
    files.unregister()
    assert Handover(str(tmp_path), "n1").register() == ""
    assert sum(x.endswith(".new") for x in os.listdir(folder)) == 1


def test_two_processes_with_the_same_pid_detect_each_other(tmp_path: Path) -> None:
    """Pids are equal if two pid namespaces share the folder, or if one is reused.

    Each process took the other's file for its own, and used the whole limit of descriptors.
    """
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")  # both in this process
    assert one.register() == two.register() == ""
    one.claim(200)
    two.claim(56)
    assert (one.other_claims(), two.other_claims()) == ([56], [200])
    two.unregister()
    assert one.other_claims() == [] and len(os.listdir(tmp_path / "granitewell-n1")) == 1
    one.unregister()


@pytest.mark.parametrize("max_file_bytes", [0, 10])
def test_full_disk_leaves_no_partial_file(tmp_path: Path, max_file_bytes: int) -> None:
    """The full disk is simulated by a limit on the size of the files that a child process writes."""
    source = (
        "import resource, sys; from granitewell.handover import *; h = Handover(sys.argv[1], 'n1'); "
        f"h.register(); resource.setrlimit(resource.RLIMIT_FSIZE, ({max_file_bytes}, {max_file_bytes})); "
        "print(h.write_ban(b's-a', True, ClockReading(1, 1))); h.unregister()"
    )
    finished = subprocess.run([sys.executable, "-c", source, str(tmp_path)], capture_output=True, text=True)
    assert "could not be written down" in finished.stdout and finished.returncode == 0
    assert os.listdir(tmp_path / "granitewell-n1") == []


@pytest.mark.parametrize("step_s", [-86_400, -30, 30, 86_400])
def test_setting_the_wall_clock_changes_no_ban(tmp_path: Path, step_s: int) -> None:
    """Guards against ordering bans by Unix time, as earlier versions did.

    If the wall clock was set back between two starts, the end of a ban at one process seemed to precede the
    ban, and the other process kept the endpoint banned. If it was set ahead, the end of a ban was forgotten
    at once, or lay in the future and the endpoint was treated as cold until then.
    """
    files = Handover(str(tmp_path), "n1")
    assert files.write_ban(b"s-a", False, NOW) == "" and files.write_ban(b"s-b", True, NOW) == ""
    stored = files.read_bans(after(2_000_000, step_s * 1_000_000))
    assert stored.banned_endpoints == {b"s-b"} and stored.ended_us == {b"s-a": NOW.monotonic_us}


def test_file_of_an_earlier_version_is_read_by_the_wall_clock(tmp_path: Path) -> None:
    """Bans survive an upgrade from a version that wrote no monotonic time."""
    files = Handover(str(tmp_path), "n1")
    for endpoint, banned, ago_us in ((b"s-a", True, 9), (b"s-b", False, 5), (b"s-c", False, -5)):
        files.write_ban(endpoint, banned, ClockReading(NOW.unix_us - ago_us, -1))
    stored = files.read_bans(NOW)
    assert stored.banned_endpoints == {b"s-a"} and stored.ended_us == {b"s-b": NOW.monotonic_us - 5}


def test_two_changes_within_one_file_system_tick_are_both_noticed(tmp_path: Path) -> None:
    """Guards against missing a ban that another process stores right after another change.

    Requests went on to an endpoint that the operator had been told was banned, until something else changed
    in the folder.
    """
    files, folder = Handover(str(tmp_path), "n1"), tmp_path / "granitewell-n1"
    assert files.register() == "" and files.has_changed()
    tick = os.stat(folder).st_mtime_ns
    files.write_ban(b"s-a", True, NOW)
    os.utime(folder, ns=(tick, tick))
    assert files.has_changed()  # although the time is the same
    os.utime(folder, ns=(10**18, 10**18))
    assert (
        files.has_changed() and not files.has_changed()
    )  # an old modification time is reliable, and is not checked again
    files.unregister()


def test_claim_that_could_not_be_written_is_written_again(tmp_path: Path, monkeypatch: Patch) -> None:
    """A failed write counted as written, and the next process used an outdated claim as long as both ran."""
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")
    assert one.register() == two.register() == ""

    def full(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as short:
        short.setattr(os, "pwrite", full)
        one.claim(300)
    assert two.other_claims() == [-1]
    one.claim(300)
    assert two.other_claims() == [300]


WITHOUT_FREE_DESCRIPTORS = """
import resource, sys
from granitewell.handover import Handover, ClockReading
now, mine, other = ClockReading(9, 9), Handover(sys.argv[1], "n1"), Handover(sys.argv[1], "n1")
mine.register(), other.register(), other.claim(200), mine.has_changed(), mine.read_bans(now)
before = mine.other_claims()
other.write_ban(b"s-a", True, now)
spare = open("/dev/null")
resource.setrlimit(resource.RLIMIT_NOFILE, (spare.fileno(), 4096))
result = mine.has_changed(), mine.other_claims(), mine.read_bans(now).banned_endpoints, mine.other_claims()
resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
print(before, result, mine.has_changed(), mine.read_bans(now).banned_endpoints, mine.other_claims())
"""


def test_lack_of_descriptors_makes_no_process_count_as_ended(tmp_path: Path) -> None:
    """Guards against treating a failed check of the folder as an empty folder.

    Without a free descriptor the other process counted as ended, and this one used its descriptors too. A ban
    stored there was never noticed, as the folder counted as checked.
    """
    finished = subprocess.run(
        [sys.executable, "-c", WITHOUT_FREE_DESCRIPTORS, str(tmp_path)], capture_output=True, text=True
    )
    assert (
        finished.stdout == "[200] (True, [200], frozenset(), [200]) True frozenset({b's-a'}) [200]\n"
    ), finished


def test_without_a_folder_nothing_is_written() -> None:
    files = Handover("", "n1")
    assert files.register() == files.write_ban(b"s-a", True, NOW) == "" and files.other_claims() == []
    assert not files.read_bans(NOW).banned_endpoints and not files.has_changed()
