"""Settings, the transition table, and the allowances for clock drift."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab.cluster.clock import Clock
from granitewell.lab.cluster.leases import planners
from granitewell.leases.types import (
    MAX_LEASE_US,
    TRANSITIONS,
    Cause,
    LeaseSettingsError,
    State,
)
from tests.leases.planner import (
    FLEET,
)

RATE = st.integers(-100_000, 100_000)


@pytest.mark.parametrize(
    ("changed", "words"),
    [
        ({"planners": planners(2)}, "planners: found 2, allowed are 3 to 7"),
        ({"planners": (*planners(3), ("p4", "p1"))}, "different names and addresses"),
        ({"name": "p9"}, "name: found 'p9'"), ({"lease_us": 1}, "lease_us: found 1"),
        ({"drift_ppm": 300_000}, "drift_ppm: found 300000"), ({"epoch": 0}, "epoch: found 0"),
    ],
)  # fmt: skip
def test_invalid_settings_name_the_field(changed: dict[str, object], words: str) -> None:
    with pytest.raises(LeaseSettingsError, match=words):
        replace(FLEET, **changed)  # type: ignore[arg-type]


def test_every_state_is_reachable_and_only_two_are_final() -> None:
    assert {to for to in TRANSITIONS.values()} | {State.BLANK} == {*State}
    ways = {state: {to for (s, _), to in TRANSITIONS.items() if s is state} - {state} for state in State}
    assert ways[State.STOPPED] == set() and ways[State.REFUSED] == {State.STOPPED}
    assert all(ways[state] for state in State if state is not State.STOPPED)
    assert {cause for _, cause in TRANSITIONS} == {*Cause}


@settings(max_examples=300, deadline=None)
@given(RATE, RATE, st.integers(0, 10**9), st.integers(0, 10**6), st.integers(100_000, MAX_LEASE_US))
def test_a_promise_outlasts_the_lease_at_any_clock_drift(
    holder: int, voter: int, asked: int, way: int, lease: int
) -> None:
    """Compare the last microsecond of the holder's lease with the end of the promise, in real time."""
    ours, theirs = Clock(77, holder), Clock(5, voter)
    until = ours.local(asked) + FLEET.requester_lease_us(lease)
    promised = theirs.local(asked + way) + FLEET.promiser_lease_us(lease)
    assert ours.real(until) - 1 < theirs.real(promised)
