"""What outlives a process: the files of bans and of who runs, whole, cut, foreign and unwritable."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from pytest import MonkeyPatch as Patch

from granitewell.handover import KEEP_S, MAX_FILES, Handover, Moment, form

NOW = Moment(1_800_000_000_000_000, 7_000_000_000)


def after(us: int, step_us: int = 0) -> Moment:
    """So long after NOW, in which the wall clock was set by a step."""
    return Moment(NOW.unix_us + us + step_us, NOW.mono_us + us)


def test_bans_and_their_ends_are_read_back(tmp_path: Path) -> None:
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")
    assert one.enter() == ""
    assert one.keep(b"s-a", True, NOW) == one.keep(b"../s b", True, NOW) == two.keep(b"s-c", True, NOW) == ""
    assert two.keep(b"s-a", False, after(5)) == ""
    kept = one.kept(after(10))
    assert kept.bans == {b"../s b", b"s-c"} and kept.back_us == {b"s-a": NOW.mono_us + 5} and not kept.broken
    assert one.kept(after(int((KEEP_S + 1) * 1e6))).back_us == {}
    assert Handover(str(tmp_path), "n2").kept(NOW).bans == frozenset()  # another node's


def test_an_id_of_any_length_that_the_console_takes_can_be_banned(tmp_path: Path) -> None:
    """From 118 bytes on the file's name was too long, and the call got a 500.

    The name spelt the id in hexadecimal.
    """
    files = Handover(str(tmp_path), "n1")
    ids = {bytes([65 + n % 50]) * n for n in (1, 95, 96, 97, 117, 118, 200, 256)}
    assert [files.keep(eid, True, NOW) for eid in ids] == [""] * 8 and files.kept(NOW).bans == ids


def test_a_file_cut_at_any_length_or_with_a_flipped_byte_is_told_of_and_passed_over(tmp_path: Path) -> None:
    """A write that was cut short by a kill or a full folder must neither stop a start nor count as a ban."""
    files = Handover(str(tmp_path), "n1")
    files.keep(b"s-a", True, NOW)
    path, whole = tmp_path / "granitewell-n1" / f"ban-{b's-a'.hex()}", form(b"s-a", True, NOW)
    assert path.read_bytes() == whole
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        kept = files.kept(NOW)
        assert not kept.bans and len(kept.broken) == 1 and path.name in kept.broken[0]
        flipped = bytearray(whole)
        flipped[cut] ^= 0x10
        path.write_bytes(flipped)
        assert not files.kept(NOW).bans
    path.rename(path.with_name("ban-00"))
    path.with_name("ban-00").write_bytes(whole)
    assert not files.kept(NOW).bans


def test_who_else_runs_is_known_by_lock_also_after_a_kill(tmp_path: Path) -> None:
    """A pid in a file would count a killed process for ever, and half of the descriptors with it."""
    mine = Handover(str(tmp_path), "n1")
    assert mine.enter() == "" and mine.others() == []
    source = "import sys; from granitewell.handover import Handover; h = Handover(sys.argv[1], 'n1'); "
    source += "h.enter(); h.claim(200); "
    child = subprocess.Popen(
        [sys.executable, "-c", source + "print(1, flush=True); sys.stdin.read()", str(tmp_path)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE,
    )  # fmt: skip
    try:
        assert child.stdout is not None and child.stdout.readline() == b"1\n"
        assert mine.changed() and mine.others() == [200]
    finally:
        child.kill()
        child.communicate()
    assert mine.others() == [] and len(os.listdir(tmp_path / "granitewell-n1")) == 1


def test_whatever_lies_in_the_folder_the_next_process_starts(tmp_path: Path) -> None:
    """A pipe under a ban's name was opened like a file, and waited for: the next process never came up."""
    mine, name = Handover(str(tmp_path), "n1"), f"ban-{b's-a'.hex()}"
    assert mine.enter() == "" and mine.keep(b"s-b", True, NOW) == ""
    folder = tmp_path / "granitewell-n1"
    os.mkfifo(folder / name)
    os.mkfifo(folder / "run-1")
    (folder / "run-2").mkdir()
    (folder / f"{name}7a").mkdir()
    (folder / f"{name}7b").symlink_to("/dev/zero")
    (folder / f"{name}7c").symlink_to(folder / "nowhere")
    (folder / f"{name}7d").write_bytes(b"x" * 100_000)
    kept = []
    looking = threading.Thread(target=lambda: kept.append((mine.others(), mine.kept(NOW))), daemon=True)
    looking.start()
    looking.join(20.0)
    ((others, found),) = kept
    assert others == [] and found.bans == {b"s-b"} and len(found.broken) == 5


def test_what_killed_processes_leave_goes_and_hides_no_ban(tmp_path: Path) -> None:
    """Files that were being written stayed for ever, and of all that lies there 10,000 were looked at.

    With as many leftovers no ban was seen any more.
    """
    files, folder = Handover(str(tmp_path), "n1"), tmp_path / "granitewell-n1"
    assert files.enter() == ""
    for k in range(MAX_FILES):
        (folder / f"ban-{k:06x}.{k}.new").touch()
    assert files.keep(b"s-a", True, NOW) == "" and files.kept(NOW).bans == {b"s-a"}
    for entry in os.scandir(folder):
        if entry.name.endswith(".new"):
            os.utime(entry.path, (1, 1))
    (folder / "run-7.new").touch()  # another process that is just starting
    files.leave()
    assert Handover(str(tmp_path), "n1").enter() == ""
    assert sum(x.endswith(".new") for x in os.listdir(folder)) == 1


def test_two_processes_of_one_number_know_of_each_other(tmp_path: Path) -> None:
    """Two process spaces over one folder, or a number that came again.

    Each took the other's file for its own, and held the whole limit of descriptors.
    """
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")  # of this one process
    assert one.enter() == two.enter() == ""
    one.claim(200)
    two.claim(56)
    assert (one.others(), two.others()) == ([56], [200])
    two.leave()
    assert one.others() == [] and len(os.listdir(tmp_path / "granitewell-n1")) == 1
    one.leave()


@pytest.mark.parametrize("room", [0, 10])
def test_a_folder_without_room_leaves_no_half_file(tmp_path: Path, room: int) -> None:
    """The shortage is a limit on what one child may write to a file."""
    source = (
        "import resource, sys; from granitewell.handover import *; h = Handover(sys.argv[1], 'n1'); "
        f"h.enter(); resource.setrlimit(resource.RLIMIT_FSIZE, ({room}, {room})); "
        "print(h.keep(b's-a', True, Moment(1, 1))); h.leave()"
    )
    done = subprocess.run([sys.executable, "-c", source, str(tmp_path)], capture_output=True, text=True)
    assert "could not be written down" in done.stdout and done.returncode == 0
    assert os.listdir(tmp_path / "granitewell-n1") == []


@pytest.mark.parametrize("step_s", [-86_400, -30, 30, 86_400])
def test_a_wall_clock_that_is_set_moves_no_ban(tmp_path: Path, step_s: int) -> None:
    """Times were Unix times, and each process had its own view of them.

    After a step back between two starts a call back at one process lay before the ban at the other, which
    went on banning; after a step ahead the end of a ban was forgotten at once, or lay ahead, and the endpoint
    was held for cold for as long.
    """
    files = Handover(str(tmp_path), "n1")
    assert files.keep(b"s-a", False, NOW) == "" and files.keep(b"s-b", True, NOW) == ""
    kept = files.kept(after(2_000_000, step_s * 1_000_000))
    assert kept.bans == {b"s-b"} and kept.back_us == {b"s-a": NOW.mono_us}


def test_a_file_of_before_is_read_by_the_wall_clock(tmp_path: Path) -> None:
    """Bans hold over an upgrade from a version that wrote no monotonic time."""
    files = Handover(str(tmp_path), "n1")
    for eid, banned, ago_us in ((b"s-a", True, 9), (b"s-b", False, 5), (b"s-c", False, -5)):
        files.keep(eid, banned, Moment(NOW.unix_us - ago_us, -1))
    kept = files.kept(NOW)
    assert kept.bans == {b"s-a"} and kept.back_us == {b"s-b": NOW.mono_us - 5}


def test_a_change_within_one_tick_of_the_file_system_is_not_missed(tmp_path: Path) -> None:
    """A ban called at the process beside this one, right behind another change, did not show.

    Requests went on to an endpoint that an operator had been told was out, until something else changed
    there.
    """
    files, folder = Handover(str(tmp_path), "n1"), tmp_path / "granitewell-n1"
    assert files.enter() == "" and files.changed()
    tick = os.stat(folder).st_mtime_ns
    files.keep(b"s-a", True, NOW)
    os.utime(folder, ns=(tick, tick))
    assert files.changed()  # although the time is the same
    os.utime(folder, ns=(10**18, 10**18))
    assert files.changed() and not files.changed()  # an old one is believed, and costs no further look
    files.leave()


def test_what_could_not_be_said_of_descriptors_is_said_again(tmp_path: Path, monkeypatch: Patch) -> None:
    """It counted as said: the next process went by an older figure for as long as both ran."""
    one, two = Handover(str(tmp_path), "n1"), Handover(str(tmp_path), "n1")
    assert one.enter() == two.enter() == ""

    def full(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as short:
        short.setattr(os, "pwrite", full)
        one.claim(300)
    assert two.others() == [-1]
    one.claim(300)
    assert two.others() == [300]


SHORT = """
import resource, sys
from granitewell.handover import Handover, Moment
now, mine, other = Moment(9, 9), Handover(sys.argv[1], "n1"), Handover(sys.argv[1], "n1")
mine.enter(), other.enter(), other.claim(200), mine.changed(), mine.kept(now)
before = mine.others()
other.keep(b"s-a", True, now)
spare = open("/dev/null")
resource.setrlimit(resource.RLIMIT_NOFILE, (spare.fileno(), 4096))
told = mine.changed(), mine.others(), mine.kept(now).bans, mine.others()
resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
print(before, told, mine.changed(), mine.kept(now).bans, mine.others())
"""


def test_without_a_descriptor_to_look_by_nothing_is_taken_for_gone(tmp_path: Path) -> None:
    """Where none was left the other process counted as ended, and this one took its descriptors too.

    And a ban called there was never heard of, as its folder had been looked at.
    """
    told = subprocess.run([sys.executable, "-c", SHORT, str(tmp_path)], capture_output=True, text=True)
    assert told.stdout == "[200] (True, [200], frozenset(), [200]) True frozenset({b's-a'}) [200]\n", told


def test_without_a_folder_nothing_is_written() -> None:
    files = Handover("", "n1")
    assert files.enter() == files.keep(b"s-a", True, NOW) == "" and files.others() == []
    assert not files.kept(NOW).bans and not files.changed()
