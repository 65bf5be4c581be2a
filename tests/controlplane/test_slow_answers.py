"""Servers and owner that stand still for 90 ms ten times a second: nothing counts as down."""

from __future__ import annotations

import pytest

from tests.controlplane import test_placement_fleet
from tests.controlplane.test_placement_fleet import play_usual, usual_fleet

BUSY = [f"m{number}" for number in range(6)]
ONE_WAY_S = 0.092  # a pause of the receiver, and the network


@pytest.mark.parametrize("seed", range(4))
def test_answers_that_wait_for_a_pause_make_no_server_dark(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(test_placement_fleet, "NETWORK_S", ONE_WAY_S)
    fleet = usual_fleet(seed)
    fleet.start()
    play_usual(fleet, 10.0, BUSY)
    dark: list[str] = []

    def look() -> None:
        dark.extend(fleet.reconciler._readiness.unreachable(fleet.now))
        fleet.after(0.02, look)

    look()
    fleet.run(12.0)
    assert dark == []
    fleet.assert_rules()


def test_a_server_without_answers_does_count_as_dark() -> None:
    """The test above can fail."""
    fleet = usual_fleet(1)
    fleet.start()
    fleet.run(2.0)
    next(iter(fleet.servers.values())).dark = True
    fleet.run(2.0)
    assert fleet.reconciler._readiness.unreachable(fleet.now)
