"""The bound on staleness: this replica's state contains everything that was committed that many seconds ago.

Everything that is served without a lease (the configuration and the tables for edges) relies on it.
`GRANITEWELL_SEEDS` sets the number of scenarios.
"""

from __future__ import annotations

import os
from bisect import bisect_left
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from granitewell.coordination.consensus.messages import Heartbeat
from granitewell.coordination.consensus.read_staleness import ReadStaleness, _Proof
from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.types import Entry, Membership, Role
from tests.coordination import faults, test_scenarios
from tests.coordination.faults import Fault, Scenario, play
from tests.coordination.invariants import Invariants, ViolationError
from tests.coordination.test_scenarios import Group, process_of
from tests.coordination.world import Link, Process, World

SEEDS = int(os.environ.get("GRANITEWELL_SEEDS", "24"))
MAX_SEEDS = 200
CLOCK_SLACK_S = 1e-6


class TimedInvariants(Invariants):
    """Records when each entry was first known to be committed."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self._times: list[float] = []
        self._indexes: list[int] = []

    def commit(self, entry: Entry, term: int, membership: Membership, in_force: Membership) -> None:
        """Record the time of the first commit."""
        before = self.last_committed
        super().commit(entry, term, membership, in_force)
        if self.last_committed > before:
            self._times.append(self._world.now)
            self._indexes.append(entry.index)

    def committed_before(self, time: float) -> int:
        """Return the last index that was known to be committed before a time."""
        count = bisect_left(self._times, time)
        return self._indexes[count - 1] if count else 0


class StalenessWorld(World):
    """A world in which staleness is checked after every event."""

    def __init__(self, *given: object, **more: object) -> None:
        super().__init__(*given, **more)  # type: ignore[arg-type]
        self.timed = self.invariants = TimedInvariants(self)

    def check(self) -> None:
        """Check also that no replica's state is older than its staleness bound."""
        super().check()
        for process in self.processes():
            self._check_age(process)

    def _check_age(self, process: Process) -> None:
        age_s = process.replica.read_staleness(process.now) / process.machine.rate
        if age_s == float("inf"):
            return
        least = self.timed.committed_before(self.now - age_s - CLOCK_SLACK_S)
        if process.applied_index < least:
            raise ViolationError(
                f"{process.machine.name} with a contact age of {age_s:.3f} s is at {process.applied_index}, "
                f"{least} was committed"
            )


@pytest.fixture(autouse=True)
def staleness_world(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use that world in all tests of this file."""
    monkeypatch.setattr(faults, "World", StalenessWorld)
    monkeypatch.setattr(test_scenarios, "World", StalenessWorld)


# --- Single scenarios -------------------------------------------------------------------------------------


def changes(group: Group, seconds: float) -> None:
    """Propose an entry every 0.1 s."""
    for _ in range(round(seconds / 0.1)):
        group.propose()
        group.run(0.1)


def test_a_follower_with_a_stalled_disk_still_learns_commits() -> None:
    group = Group(1)
    group.others[0].disk.delay_s = 60
    changes(group, 1)
    group.run(1)
    process = process_of(group.others[0])
    assert process.applied_index == group.world.invariants.last_committed
    assert process.replica.read_staleness(process.now) < 0.5


def test_a_follower_whose_replies_are_lost_is_stale() -> None:
    group = Group(2)
    deaf, follower = group.leader, group.others[0]
    group.world.links[follower.address, deaf.address] = Link(cut=True)
    changes(group, 3)
    process = process_of(follower)
    assert process.replica.read_staleness(process.now) > 2


def test_a_restarted_member_is_current_only_once_it_has_caught_up() -> None:
    group = Group(3)
    follower = group.others[0]
    follower.stop(power=False)
    changes(group, 3)
    group.world.links[group.leader.address, follower.address] = Link(slow_s=0.3)
    follower.start()
    changes(group, 2)
    group.heal()
    group.run(1)
    process = process_of(follower)
    assert process.replica.read_staleness(process.now) < 0.5


def test_heartbeats_that_waited_at_a_frozen_process_do_not_count() -> None:
    group = Group(4)
    frozen = group.others[0]
    process = process_of(frozen)
    process.frozen = True
    group.run(0.3)
    for other in group.world.machines:
        if other is not frozen:
            group.cut(frozen, other)
    changes(group, 3)
    process.thaw()
    assert process.replica.read_staleness(process.now) > 3


def test_a_new_leader_that_cannot_commit_is_stale() -> None:
    group = Group(5)
    first, second = group.others
    group.world.links[group.leader.address, first.address] = Link(cut=True)
    group.world.links[group.leader.address, second.address] = Link(cut=True)
    changes(group, 0.1)
    group.leader.stop(power=False)
    group.heal()
    group.run(1.5)
    leading = next(machine for machine in group.others if process_of(machine).replica.role is Role.LEADER)
    assert process_of(leading).replica.read_staleness(process_of(leading).now) < 0.5


# --- Random scenarios -------------------------------------------------------------------------------------

SEVERE_FAULTS: Sequence[Fault] = (
    Scenario.cut,
    Scenario.cut_pair,
    Scenario.freeze,
    Scenario.freeze,
    Scenario.slow_disk,
    Scenario.bad_links,
    Scenario.kill,
)


def test_no_state_is_older_than_its_staleness_bound() -> None:
    for seed in range(SEEDS):
        play(seed, SEVERE_FAULTS, pace_s=0.6)


# --- Planted defects --------------------------------------------------------------------------------------


def counted_from_arrival(patch: pytest.MonkeyPatch) -> None:
    """A heartbeat counts from its arrival."""

    def on_heartbeat(self: ReadStaleness, message: Heartbeat, now: float) -> int:
        if message.leased:
            self._proofs.append(_Proof(message.leader_commit_index, now))
        return 0

    patch.setattr(ReadStaleness, "on_heartbeat", on_heartbeat)


def lease_not_required(patch: pytest.MonkeyPatch) -> None:
    """A heartbeat of a leader that has lost its lease counts."""
    real = ReadStaleness.on_heartbeat
    patch.setattr(
        ReadStaleness,
        "on_heartbeat",
        lambda self, message, now: real(self, replace(message, leased=True), now),
    )


def commit_index_not_required(patch: pytest.MonkeyPatch) -> None:
    """Contact counts before everything that the leader has committed has arrived."""
    real = ReadStaleness.proven_at
    patch.setattr(ReadStaleness, "proven_at", lambda self, commit_index: real(self, 1 << 62))


def leader_before_its_first_entry(patch: pytest.MonkeyPatch) -> None:
    """A leader counts as up to date before an entry of its term is committed."""

    def read_staleness(self: Replica, now: float) -> float:
        if self._roles.leadership is None:
            return real(self, now)
        return now - self._roles.leadership.acknowledged_at(now)

    real = Replica.read_staleness
    patch.setattr(Replica, "read_staleness", read_staleness)


@pytest.mark.parametrize(
    "plant",
    [
        counted_from_arrival,
        lease_not_required,
        commit_index_not_required,
        leader_before_its_first_entry,
    ],
)
def test_planted_defects_are_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(ViolationError, match="with a contact age of"):
        for seed in range(MAX_SEEDS):
            play(seed, SEVERE_FAULTS, pace_s=0.6)
