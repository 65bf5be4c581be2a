"""Who the replicas of a disk are, over starts, kills and lost disks."""

from __future__ import annotations

from pathlib import Path

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


def test_a_start_that_is_interrupted_goes_on_with_the_same_first_members(tmp_path: Path) -> None:
    first = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    again = load_identity(tmp_path, "one", SEEDS[0], False, ("10.0.0.9:7",))
    assert again == first


def test_an_empty_disk_without_bootstrap_joins_under_a_fresh_id(tmp_path: Path) -> None:
    one = load_identity(tmp_path / "a", "one", SEEDS[0], False, SEEDS)
    two = load_identity(tmp_path / "b", "one", SEEDS[0], False, SEEDS)
    assert one.first_members == () and one.replica_id != two.replica_id != first_replica_id(SEEDS[0])


def test_a_machine_that_is_no_seed_joins(tmp_path: Path) -> None:
    assert load_identity(tmp_path, "four", "10.0.0.4:7", True, SEEDS).first_members == ()


def test_a_disk_with_data_ignores_bootstrap(tmp_path: Path) -> None:
    joined = load_identity(tmp_path, "one", SEEDS[0], False, SEEDS)
    assert load_identity(tmp_path, "one", SEEDS[0], True, SEEDS) == joined


def test_a_damaged_identity_is_a_fresh_one_and_no_first_member(tmp_path: Path) -> None:
    load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
    path = tmp_path / IDENTITY_NAME
    whole = path.read_bytes()
    for length in range(0, len(whole), 7):
        path.write_bytes(whole[:length])
        identity = load_identity(tmp_path, "one", SEEDS[0], True, SEEDS)
        assert identity.replica_id != first_replica_id(SEEDS[0]) and identity.first_members == ()


def test_what_is_left_of_an_interrupted_write_is_no_identity(tmp_path: Path) -> None:
    (tmp_path / f"{IDENTITY_NAME}.new").write_bytes(b"half")
    assert load_identity(tmp_path, "one", SEEDS[0], True, SEEDS).first_members == SEEDS
