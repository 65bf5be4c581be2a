"""Planted defects: the simulation must detect each, or it does not verify the safeguard.

Defects that random faults reveal too rarely have their own scenarios in test_scenarios.py.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import pytest

from tests.coordination import defects
from tests.coordination.faults import Fault, Scenario, play
from tests.coordination.invariants import ViolationError

MAX_SEEDS = 400


@dataclass(frozen=True)
class Defect:
    """A removed safeguard, the faults that reveal it, and a pattern that the violation must match."""

    plant: Callable[[pytest.MonkeyPatch], None]
    faults: Sequence[Fault]
    shows: str


DISKS = (
    Scenario.kill,
    Scenario.power_off,
    Scenario.wipe,
    Scenario.wipe_and_power_off_all,
    Scenario.wipe_after_acknowledgement,
    Scenario.slow_disk,
)
NETWORK = (Scenario.cut, Scenario.freeze, Scenario.bad_links, Scenario.kill)
LEASES = (Scenario.cut_pair, Scenario.cut_pair, Scenario.freeze)
MEMBERS = (
    Scenario.wipe,
    Scenario.replace,
    Scenario.cut,
    Scenario.kill,
    Scenario.kill_all,
    Scenario.bad_links,
    Scenario.freeze,
)

DEFECTS = (
    Defect(defects.send_before_persist, DISKS, "lacks entry|committed"),
    Defect(defects.wiped_disk_keeps_id, DISKS, "speaks after its disk was lost"),
    Defect(defects.lease_from_reply, LEASES, "lease|lacks"),
    Defect(defects.lease_without_own_entry, NETWORK, "a lease at|lacks entry"),
    Defect(defects.commit_without_quorum, NETWORK, ""),
    Defect(defects.vote_for_older_log, NETWORK, "lacks entry|committed"),
    Defect(defects.vote_not_kept, DISKS, "votes twice|two leaders"),
    Defect(defects.joiner_skips_first_members, MEMBERS, "two leaders|lacks entry|committed"),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_the_simulation_detects_planted_defects(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            play(seed, defect.faults, pace_s=0.7)
        except ViolationError as violation:
            print(violation)
            assert re.search(defect.shows, str(violation))
            return
    pytest.fail(f"{MAX_SEEDS} scenarios without a violation")
