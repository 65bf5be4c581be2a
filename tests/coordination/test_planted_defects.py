"""Guards taken out on purpose: the simulation must notice each, or it proves nothing of the guard.

Defects that random troubles meet too rarely have their own days in test_scenarios.py.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import pytest

from tests.coordination import defects
from tests.coordination.faults import Day, Trouble, play
from tests.coordination.invariants import ViolationError

MAX_SEEDS = 400


@dataclass(frozen=True)
class Defect:
    """A guard that is taken out, the troubles that show it, and what the violation says: an expression."""

    plant: Callable[[pytest.MonkeyPatch], None]
    troubles: Sequence[Trouble]
    shows: str


DISKS = (
    Day.kill,
    Day.power_off,
    Day.wipe,
    Day.wipe_and_power_off_all,
    Day.wipe_after_acknowledgement,
    Day.slow_disk,
)
NETWORK = (Day.cut, Day.freeze, Day.bad_links, Day.kill)
LEASES = (Day.cut_pair, Day.cut_pair, Day.freeze)
MEMBERS = (Day.wipe, Day.replace, Day.cut, Day.kill, Day.kill_all, Day.bad_links, Day.freeze)

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
def test_the_simulation_notices(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            play(seed, defect.troubles, pace_s=0.7)
        except ViolationError as violation:
            print(violation)
            assert re.search(defect.shows, str(violation))
            return
    pytest.fail(f"{MAX_SEEDS} days without a violation")
