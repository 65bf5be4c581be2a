"""Changes of members, step by step.

Includes the partitions that joint majorities guard against, with and without the safeguard.
"""

from __future__ import annotations

import pytest

from granitewell.coordination.consensus.encoding import encode_change, encode_end, encode_member
from granitewell.coordination.consensus.membership import after_entry, is_voter, stays_voter
from granitewell.coordination.consensus.quorum import NEVER, Quorum, quorum_of
from granitewell.coordination.consensus.types import Entry, EntryKind, Member, Membership, VoterChange
from tests.coordination.defects import (
    change_begins_before_catching_up,
    change_ends_before_arrival,
    change_is_never_rolled_back,
    change_without_joint_majorities,
    election_counts_new_voters_only,
    lease_counts_new_voters_only,
)
from tests.coordination.invariants import ViolationError
from tests.coordination.test_scenarios import Group, leave, process_of, voters
from tests.coordination.world import Machine


def ids(*names: str) -> tuple[Member, ...]:
    """Return members by their ids."""
    return tuple(Member(name, name, f"{name}:1") for name in names)


# Quorums


def test_a_quorum_is_a_majority_of_each_side() -> None:
    quorum = quorum_of(Membership(ids("a", "b", "new"), (), ids("a", "b", "old")))
    for replica_ids in ("ab", "a old new", "b old new"):
        names = replica_ids.split() if " " in replica_ids else list(replica_ids)
        assert quorum.satisfied_by(names)
    for names in (["a"], ["a", "new"], ["a", "old"], ["old", "new"]):
        assert not quorum.satisfied_by(names)
    assert quorum.reached({"a": 5, "b": 3, "new": 4, "old": 1}) == 3
    assert quorum.reached({"a": 5, "new": 4}) == NEVER


def test_an_empty_group_has_no_quorum() -> None:
    assert not Quorum(()).satisfied_by(["a"])
    assert Quorum(()).reached({"a": 1.0}) == NEVER


# Entries


def changed(membership: Membership, kind: EntryKind, data: bytes) -> Membership:
    """Return the membership after an entry."""
    return after_entry(membership, Entry(7, 1, kind, data))


def test_a_change_counts_both_sides_and_ends_with_one() -> None:
    before = Membership(ids("a", "b", "old"), ("gone",))
    change = VoterChange(ids("new"), ids("old"))
    joint = changed(before, EntryKind.CHANGE_VOTERS, encode_change(change))
    assert joint == Membership(ids("a", "b", "new"), ("gone",), before.voters)
    assert {member.replica_id for member in joint.all_voters()} == {"a", "b", "old", "new"}
    assert is_voter(joint, "old") and not stays_voter(joint, "old")
    taken_over = changed(joint, EntryKind.END_CHANGE, encode_end(True))
    assert taken_over == Membership(ids("a", "b", "new"), ("gone", "old"))
    assert changed(joint, EntryKind.END_CHANGE, encode_end(False)) == before
    assert changed(before, EntryKind.END_CHANGE, encode_end(True)) == before


def test_entries_of_older_versions_still_change_members() -> None:
    before = Membership(ids("a", "b", "c"))
    (member,) = ids("d")
    added = changed(before, EntryKind.ADD_VOTER, encode_member(member))
    assert added == Membership(ids("a", "b", "c", "d"))
    removed = changed(added, EntryKind.REMOVE_VOTER, encode_member(ids("a")[0]))
    assert removed == Membership(ids("b", "c", "d"), ("a",))


@pytest.mark.parametrize("replica_id", ["a", "old", "new"])
def test_a_new_address_during_a_change_keeps_the_quorum(replica_id: str) -> None:
    joint = Membership(ids("a", "b", "new"), (), ids("a", "b", "old"))
    moved = changed(joint, EntryKind.ADD_VOTER, encode_member(Member(replica_id, replica_id, "elsewhere:1")))
    assert quorum_of(moved) == quorum_of(joint)
    assert "elsewhere:1" in {member.address for member in moved.all_voters()}


# Partitions


def begin_change(group: Group) -> tuple[Machine, Machine, Machine]:
    """Let the leader begin to replace a voter by a spare.

    Returns the voter that stays, the one that is replaced, and the spare.
    """
    stays, goes = group.others
    spare = next(machine for machine in group.world.machines if machine.name == "spare")
    leader = process_of(group.leader)
    goes_id = process_of(goes).replica.replica_id

    def begin() -> None:
        leadership = leader.replica._roles.leadership
        assert leadership is not None and leadership.on_leave(goes_id, leader.now)

    leader.run(begin)
    return stays, goes, spare


def split(group: Group, one: list[Machine], other: list[Machine]) -> None:
    """Partition the machines into two sides."""
    for machine in one:
        for far in other:
            group.cut(machine, far)


def propose_for(group: Group, seconds: float) -> None:
    """Let time pass, with proposals to all replicas that consider themselves the leader."""
    end = group.world.now + seconds
    while group.world.now < end:
        group.world.propose()
        group.run(0.05)


def split_as_a_change_begins(group: Group) -> None:
    """Partition the group so that the entry reaches the spare only, and not the two other voters."""
    group.add_spare()
    group.run(1)
    spare = group.world.machines[-1]
    split(group, [group.leader, spare], group.others)
    begin_change(group)
    propose_for(group, 4)
    group.heal()
    propose_for(group, 4)
    assert group.commits()


@pytest.mark.parametrize("seed", range(3))
def test_outgoing_voters_count_until_the_change_has_ended(seed: int) -> None:
    split_as_a_change_begins(Group(seed))


def test_a_lease_of_the_new_voters_only_is_held_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    lease_counts_new_voters_only(monkeypatch)
    with pytest.raises(ViolationError, match="hold leases"):
        split_as_a_change_begins(Group(0))


def test_a_change_without_joint_majorities_splits_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    change_without_joint_majorities(monkeypatch)
    with pytest.raises(ViolationError, match="hold leases|two leaders|committed|lacks entry"):
        split_as_a_change_begins(Group(0))


def split_as_the_leader_forgets(group: Group) -> None:
    """Let the leader lose the entry that begins a change, which only the remaining voter and the spare have.

    The leader loses power before its own disk has it, and restarts in one partition with the replaced voter.
    """
    group.add_spare()
    group.run(1)
    stays, goes = group.others
    group.cut(group.leader, goes)
    group.leader.disk.hanging = True
    _, _, spare = begin_change(group)
    group.run(0.01)
    assert process_of(stays).replica._core.log.membership.is_joint
    assert process_of(spare).replica._core.log.membership.is_joint
    group.leader.stop(power=True)
    group.leader.disk.hanging = False
    group.heal()
    split(group, [group.leader, goes], [stays, spare])
    group.leader.start()
    propose_for(group, 5)
    group.heal()
    propose_for(group, 4)
    assert group.commits()


@pytest.mark.parametrize("seed", range(3))
def test_a_candidate_needs_the_outgoing_voters_until_the_change_has_ended(seed: int) -> None:
    split_as_the_leader_forgets(Group(seed))


def test_an_election_that_counts_the_new_voters_only_splits_the_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    election_counts_new_voters_only(monkeypatch)
    with pytest.raises(ViolationError, match="two leaders|lacks entry"):
        split_as_the_leader_forgets(Group(0))


# Incoming voters that fail


def incoming_voter_is_lost(group: Group) -> bool:
    """Lose a spare as soon as it may be a voter, and one more voter some seconds later.

    Returns whether the group continues: the voter that was to be replaced still responds.
    """
    group.add_spare()
    group.run(1)
    stays, _, spare = begin_change(group)
    spare.wipe()
    spare.gone = True
    group.run(4)
    stays.wipe()
    stays.gone = True
    return group.commits()


@pytest.mark.parametrize("seed", range(3))
def test_a_change_is_rolled_back_if_the_incoming_voter_is_lost(seed: int) -> None:
    assert incoming_voter_is_lost(Group(seed))


def test_a_change_that_is_never_rolled_back_leaves_no_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    change_is_never_rolled_back(monkeypatch)
    assert not incoming_voter_is_lost(Group(0))


def test_a_change_that_ends_before_the_incoming_voter_has_it_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    change_ends_before_arrival(monkeypatch)
    with pytest.raises(ViolationError, match="ends without"):
        incoming_voter_is_lost(Group(0))


def incoming_voter_is_behind(group: Group) -> bool:
    """Let the spare's disk stall from its start while it asks to join, then lose a voter.

    Returns whether the group continues with the two remaining voters.
    """
    stays, goes = group.others
    spare = group.add_spare()
    spare.disk.hanging = True
    group.run(1)
    process = process_of(goes)
    process.run(lambda: leave(process))
    group.run(0.5)
    stays.stop(power=True)
    group.run(0.5)
    before = group.world.invariants.last_acknowledged
    propose_for(group, 1)
    return group.world.invariants.last_acknowledged > before


def test_a_change_waits_until_the_incoming_voter_has_caught_up() -> None:
    assert incoming_voter_is_behind(Group(1))


def test_a_change_that_does_not_wait_stops_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    change_begins_before_catching_up(monkeypatch)
    assert not incoming_voter_is_behind(Group(1))


def test_an_incoming_voter_with_a_stalled_disk_is_replaced_by_another() -> None:
    group = Group(3)
    spare = group.add_spare()
    group.run(1)
    dead = group.others[0]
    dead.wipe()
    dead.gone = True
    leader = process_of(group.leader).replica
    while not leader._core.log.membership.is_joint:
        group.run(0.0005)
    spare.disk.hanging = True
    other = Machine(group.world, "other", "10.0.2.2:7", group.world.seeds, first=False)
    group.world.machines.append(other)
    other.start()
    group.run(8)
    assert other.address in voters(group) and spare.address not in voters(group)
    assert len(voters(group)) == 3 and group.commits()


# Leaving voters


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_a_leaving_voter_is_replaced_within_a_tenth_of_a_second(seed: int, leads: bool) -> None:
    group = Group(seed)
    spare = group.add_spare()
    group.run(1)
    leaving = group.leader if leads else group.others[0]
    process = process_of(leaving)
    process.run(lambda: leave(process))
    group.run(0.2 if leads else 0.1)
    assert voters(group) == {machine.address for machine in group.world.machines} - {leaving.address}
    assert process_of(spare).replica.replica_id in {
        member.replica_id for member in process_of(spare).replica.members
    }


def test_a_leader_does_not_end_its_own_replacement() -> None:
    group = Group(1)
    group.add_spare()
    group.run(1)
    process = process_of(group.leader)
    process.run(lambda: leave(process))
    group.run(1)
    ends: list[Entry] = [
        entry for entry in group.world.invariants.committed.values() if entry.kind is EntryKind.END_CHANGE
    ]
    assert len(ends) == 1
    assert group.world.invariants.leaders[ends[0].term] != process.replica.replica_id


def test_a_restarted_voter_is_not_replaced_by_a_new_spare() -> None:
    group = Group(2)
    restarted = group.others[0]
    process = process_of(restarted)
    process.run(lambda: leave(process))
    group.run(0.1)
    restarted.stop(power=False)
    restarted.start()
    group.run(2)
    group.add_spare()
    group.run(3)
    assert restarted.address in voters(group)
    assert process_of(restarted).replica.replica_id == process.replica.replica_id
