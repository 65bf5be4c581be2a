"""Changes of members, played by hand.

The partitions that joint majorities are there for, with them and without.
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
    change_is_never_taken_back,
    change_without_joint_majorities,
    election_counts_new_voters_only,
    lease_counts_new_voters_only,
)
from tests.coordination.invariants import ViolationError
from tests.coordination.test_scenarios import Group, leave, process_of, voters
from tests.coordination.world import Machine


def ids(*names: str) -> tuple[Member, ...]:
    """Members by their ids."""
    return tuple(Member(name, name, f"{name}:1") for name in names)


# The quorum


def test_a_quorum_is_a_majority_of_each_side() -> None:
    quorum = quorum_of(Membership(ids("a", "b", "new"), (), ids("a", "b", "old")))
    for replica_ids in ("ab", "a old new", "b old new"):
        names = replica_ids.split() if " " in replica_ids else list(replica_ids)
        assert quorum.satisfied_by(names)
    for names in (["a"], ["a", "new"], ["a", "old"], ["old", "new"]):
        assert not quorum.satisfied_by(names)
    assert quorum.reached({"a": 5, "b": 3, "new": 4, "old": 1}) == 3
    assert quorum.reached({"a": 5, "new": 4}) == NEVER


def test_nobody_is_no_quorum() -> None:
    assert not Quorum(()).satisfied_by(["a"])
    assert Quorum(()).reached({"a": 1.0}) == NEVER


# Entries


def changed(membership: Membership, kind: EntryKind, data: bytes) -> Membership:
    """The membership after an entry."""
    return after_entry(membership, Entry(7, 1, kind, data))


def test_a_change_begins_with_both_sides_and_ends_with_either() -> None:
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
def test_a_voter_that_moves_while_members_change_changes_no_quorum(replica_id: str) -> None:
    joint = Membership(ids("a", "b", "new"), (), ids("a", "b", "old"))
    moved = changed(joint, EntryKind.ADD_VOTER, encode_member(Member(replica_id, replica_id, "elsewhere:1")))
    assert quorum_of(moved) == quorum_of(joint)
    assert "elsewhere:1" in {member.address for member in moved.all_voters()}


# Partitions


def begin_change(group: Group) -> tuple[Machine, Machine, Machine]:
    """The leader begins to put a spare in the place of a voter, in this moment.

    The voter that stays, the one that goes, the spare.
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
    """No messages between two sides."""
    for machine in one:
        for far in other:
            group.cut(machine, far)


def propose_for(group: Group, seconds: float) -> None:
    """Time with orders to all who say that they lead."""
    end = group.world.now + seconds
    while group.world.now < end:
        group.world.propose()
        group.run(0.05)


def split_as_a_change_begins(group: Group) -> None:
    """The entry reaches the spare only; the two other voters are on the other side, and know nothing."""
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
def test_the_old_voters_count_until_the_change_has_ended(seed: int) -> None:
    split_as_a_change_begins(Group(seed))


def test_a_lease_that_counts_the_new_voters_only_is_held_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    lease_counts_new_voters_only(monkeypatch)
    with pytest.raises(ViolationError, match="hold leases"):
        split_as_a_change_begins(Group(0))


def test_a_swap_without_joint_majorities_splits_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    change_without_joint_majorities(monkeypatch)
    with pytest.raises(ViolationError, match="hold leases|two leaders|committed|lacks entry"):
        split_as_a_change_begins(Group(0))


def split_as_the_leader_forgets(group: Group) -> None:
    """The entry that begins a change is on the disks of the voter that stays and of the spare.

    The leader loses power before its own disk has it, and comes back beside the voter that goes.
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
def test_a_candidate_needs_the_old_voters_until_the_change_has_ended(seed: int) -> None:
    split_as_the_leader_forgets(Group(seed))


def test_an_election_that_counts_the_new_voters_only_splits_the_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    election_counts_new_voters_only(monkeypatch)
    with pytest.raises(ViolationError, match="two leaders|lacks entry"):
        split_as_the_leader_forgets(Group(0))


# Newcomers that fail


def newcomer_is_lost(group: Group) -> bool:
    """A spare is lost as soon as it may have a vote, and some seconds later one more voter.

    Whether the group goes on: the voter that was to go still answers.
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
def test_a_change_is_taken_back_where_the_newcomer_is_lost(seed: int) -> None:
    assert newcomer_is_lost(Group(seed))


def test_a_change_that_is_never_taken_back_leaves_no_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    change_is_never_taken_back(monkeypatch)
    assert not newcomer_is_lost(Group(0))


def test_a_change_that_ends_before_the_newcomer_has_it_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    change_ends_before_arrival(monkeypatch)
    with pytest.raises(ViolationError, match="ends without"):
        newcomer_is_lost(Group(0))


def newcomer_is_behind(group: Group) -> bool:
    """The spare's disk hangs from its start, and it asks to be taken in; then a voter is lost.

    Whether the group goes on with the two that are left.
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


def test_a_change_waits_until_the_newcomer_has_caught_up() -> None:
    assert newcomer_is_behind(Group(1))


def test_a_change_that_does_not_wait_stops_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    change_begins_before_catching_up(monkeypatch)
    assert not newcomer_is_behind(Group(1))


def test_a_newcomer_whose_disk_hangs_makes_room_for_another() -> None:
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


# A voter that leaves


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_a_voter_that_leaves_is_replaced_in_a_tenth_of_a_second(seed: int, leads: bool) -> None:
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


def test_a_leader_does_not_lead_the_end_of_its_own_replacement() -> None:
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


def test_a_voter_that_has_restarted_keeps_its_place_although_a_spare_comes() -> None:
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
