"""Identity of a disk's replicas across starts, kills and lost disks."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path

import pytest

from granitewell.coordination.consensus.identity import (
    IDENTITY_NAME,
    first_replica_id,
    first_state,
    load_identity,
)

SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")


def test_a_seed_at_the_first_start_is_a_first_member(tmp_path: Path) -> None:
    identity = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    assert identity.replica_id == first_replica_id(SEEDS[0]) and identity.first_members == SEEDS
    voters = first_state(identity).snapshot.membership.voters
    assert [voter.replica_id for voter in voters] == [first_replica_id(seed) for seed in SEEDS]


def test_an_interrupted_start_continues_with_the_same_first_members(tmp_path: Path) -> None:
    first = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    again = load_identity(tmp_path, "one", SEEDS[0], False, ("10.0.0.9:7",))
    assert again == first


def test_an_empty_disk_without_bootstrap_joins_under_a_new_id(tmp_path: Path) -> None:
    one = load_identity(tmp_path / "a", "one", SEEDS[0], False, SEEDS)
    two = load_identity(tmp_path / "b", "one", SEEDS[0], False, SEEDS)
    assert one.first_members == () and one.replica_id != two.replica_id != first_replica_id(SEEDS[0])


def test_a_machine_that_is_not_a_seed_joins(tmp_path: Path) -> None:
    assert load_identity(tmp_path, "four", "10.0.0.4:7", True, SEEDS).first_members == ()


def test_a_disk_with_data_ignores_bootstrap(tmp_path: Path) -> None:
    joined = load_identity(tmp_path, "one", SEEDS[0], False, SEEDS)
    assert load_identity(tmp_path, "one", SEEDS[0], True, SEEDS) == joined


def test_a_corrupt_identity_is_replaced_and_no_first_member(tmp_path: Path) -> None:
    load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    path = tmp_path / IDENTITY_NAME
    whole = path.read_bytes()
    for length in range(0, len(whole), 7):
        path.write_bytes(whole[:length])
        identity = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
        assert identity.replica_id != first_replica_id(SEEDS[0]) and identity.first_members == ()


def test_a_complete_identity_under_its_temporary_name_is_used(tmp_path: Path) -> None:
    first = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    (tmp_path / IDENTITY_NAME).rename(tmp_path / f"{IDENTITY_NAME}.new")
    assert load_identity(tmp_path, "one", SEEDS[0], False, ("10.0.0.9:7",)) == first
    assert (tmp_path / IDENTITY_NAME).exists()


def test_a_partly_written_identity_is_completed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    monkeypatch.setattr(os, "write", lambda handle, data: real(handle, data[:7]))
    first = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    monkeypatch.undo()
    assert load_identity(tmp_path, "one", SEEDS[0], False, ()) == first


def test_a_refused_write_of_the_identity_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    refusals = iter([OSError(errno.ENOSPC, "full")] * 3)
    real = os.fsync

    def fsync(handle: int) -> None:
        for refusal in refusals:
            raise refusal
        real(handle)

    monkeypatch.setattr(os, "fsync", fsync)
    monkeypatch.setattr(time, "sleep", lambda seconds: None)
    assert load_identity(tmp_path, "one", SEEDS[0], True, SEEDS).first_members == SEEDS


def test_a_permanently_refused_identity_is_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now = iter(range(10_000))

    def fsync(handle: int) -> None:
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "fsync", fsync)
    monkeypatch.setattr(time, "sleep", lambda seconds: None)
    monkeypatch.setattr(time, "monotonic", lambda: float(next(now)))
    with pytest.raises(OSError, match="full"):
        load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    assert next(now) < 30


def test_an_incomplete_identity_is_not_used(tmp_path: Path) -> None:
    (tmp_path / f"{IDENTITY_NAME}.new").write_bytes(b"half")
    assert load_identity(tmp_path, "one", SEEDS[0], True, SEEDS).first_members == SEEDS
