"""Scenarios of many proposals, drawn from seeds; hundreds_of_changes.py describes faults and invariants.

`python -m tests.coordination.test_hundreds_of_changes FIRST LAST` runs the scenarios of a range of seeds;
`... CHANGES` alone runs one scenario with that many proposals.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable, Sequence

import pytest

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.ready import Ready
from granitewell.coordination.consensus.state_machine import AppliedState
from granitewell.coordination.consensus.types import Snapshot
from granitewell.coordination.durable_log import DurableLog
from granitewell.coordination.log_file import LogFile
from tests.coordination.cluster import Cluster, group_of, until
from tests.coordination.hundreds_of_changes import Fault, Scenario, ViolationError, play
from tests.coordination.virtual_loop import run

SCENARIOS = 16
SCENARIOS_PER_TEST = 4
LONG_SCENARIO_CHANGES = 600
MAX_SEEDS = 150


@pytest.mark.parametrize("first", range(0, SCENARIOS, SCENARIOS_PER_TEST))
def test_random_scenarios(first: int) -> None:
    confirmed = sum(len(play(seed).confirmed) for seed in range(first, first + SCENARIOS_PER_TEST))
    assert confirmed > 50 * SCENARIOS_PER_TEST


def test_a_long_scenario() -> None:
    assert len(play(1, LONG_SCENARIO_CHANGES).confirmed) > LONG_SCENARIO_CHANGES / 2


def longer_log_of_an_older_term() -> None:
    """A partitioned former leader has more entries than its successor, all of the older term.

    The newer leader is killed at the moment at which the older one is reachable again.
    """

    async def scenario() -> None:
        cluster = Cluster(1)
        old = await cluster.start()
        await group_of(old).propose(b"first")
        cluster.cut = {(old.address, True), (old.address, False)}
        vain = [asyncio.ensure_future(group_of(old).propose(b"vain", 30)) for _ in range(20)]
        await asyncio.sleep(0.4)
        others = cluster.others(old)
        await until(lambda: any(group_of(node).holds_lease() for node in others))
        newer = next(node for node in others if group_of(node).holds_lease())
        await group_of(newer).propose(b"second")
        await newer.die(power=True)
        cluster.cut = set()
        term = max(group_of(node).term for node in (old, *others) if node.group is not None)
        alive = [node for node in (old, *others) if node.group is not None]
        await until(lambda: any(group_of(node).is_leader and group_of(node).term > term for node in alive))
        assert not group_of(old).is_leader
        await newer.start()
        await asyncio.gather(*vain, return_exceptions=True)
        leader = await cluster.leader()
        await until(lambda: all(node.machine.words == leader.machine.words for node in others))
        assert old.machine.words == leader.machine.words == [b"first", b"second"]

    run(scenario())


def test_a_longer_log_of_an_older_term_does_not_win() -> None:
    longer_log_of_an_older_term()


def test_votes_that_ignore_the_last_term_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def up_to_date(self: Core, last_term: int, last_index: int) -> bool:
        return last_index >= self.log.last_index

    monkeypatch.setattr(Core, "up_to_date", up_to_date)
    with pytest.raises(AssertionError):
        longer_log_of_an_older_term()


# Planted defects


def folder_is_not_synced(patch: pytest.MonkeyPatch) -> None:
    """A rewrite does not wait for the sync of its folder."""
    patch.setattr(LogFile, "_sync_folder", lambda self: None)


def refused_counts_as_written(patch: pytest.MonkeyPatch) -> None:
    """A write that the disk has refused is reported as synced."""
    patch.setattr(DurableLog, "_failed", lambda self, job, failure: self._done(job))


def synced_is_not_awaited(patch: pytest.MonkeyPatch) -> None:
    """Votes and acknowledgements are sent, and a candidate's own vote counts, before they are synced."""
    real = ReplicatedGroup._persist

    def persist(self: ReplicatedGroup, ready: Ready) -> None:
        self._send_all(ready.synced_messages)
        bare = Ready(ready.batch, ready.records, ready.messages, (), ready.restore, ready.committed)
        real(self, bare)
        assert self._replica is not None
        self._replica._core.persistence.stable_term = self._replica.term

    patch.setattr(ReplicatedGroup, "_persist", persist)


def log_is_ignored(patch: pytest.MonkeyPatch) -> None:
    """A vote is granted to any candidate."""
    patch.setattr(Core, "up_to_date", lambda self, last_term, last_index: True)


def snapshot_counts_before_it_is_restored(patch: pytest.MonkeyPatch) -> None:
    """A replica continues from a snapshot that its state machine has not restored."""

    def restore(self: AppliedState, snapshot: Snapshot) -> None:
        self.index = snapshot.index

    patch.setattr(AppliedState, "restore", restore)


@pytest.mark.parametrize(
    ("plant", "faults", "first"),
    [
        (folder_is_not_synced, (Scenario.stop_one, Scenario.stop_all), 8),
        (
            refused_counts_as_written,
            (Scenario.stop_one, Scenario.stop_all, Scenario.slow_disk, Scenario.full_disk),
            0,
        ),
        (synced_is_not_awaited, (Scenario.stop_one, Scenario.stop_all, Scenario.slow_disk), 47),
        (log_is_ignored, (Scenario.stop_one, Scenario.cut, Scenario.cut), 30),
        (snapshot_counts_before_it_is_restored, (Scenario.stop_one, Scenario.stop_all), 0),
    ],
)
def test_planted_defects_are_detected(
    plant: Callable[[pytest.MonkeyPatch], None],
    faults: Sequence[Fault],
    first: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant(monkeypatch)
    for seed in range(first, first + MAX_SEEDS):
        try:
            play(seed, faults=faults)
        except (ViolationError, AssertionError) as violation:
            print(f"seed {seed}: {violation}")
            return
    pytest.fail(f"{MAX_SEEDS} scenarios without a violation")


def main(numbers: Sequence[int]) -> None:
    """Run the scenarios of a range of seeds, or one long scenario, and print the result."""
    began_at = time.monotonic()
    if len(numbers) == 1:
        scenarios = [play(1, numbers[0])]
    else:
        scenarios = [play(seed) for seed in range(numbers[0], numbers[1])]
    confirmed = sum(len(scenario.confirmed) for scenario in scenarios)
    converged_s = max(scenario.converged_s for scenario in scenarios)
    took_s = time.monotonic() - began_at
    print(
        f"{len(scenarios)} scenarios, {confirmed} changes confirmed, "
        f"converged after {converged_s:.2f} s; {took_s:.0f} s"
    )


if __name__ == "__main__":
    main([int(number) for number in sys.argv[1:]])
