"""With pauses of 90 ms ten times a second, of servers and of the owner, no server counts as unreachable."""

from __future__ import annotations

import pytest

from tests.controlplane import test_placement_fleet
from tests.controlplane.test_placement_fleet import play_typical, typical_fleet

BUSY = [f"m{number}" for number in range(6)]
ONE_WAY_S = 0.092  # a pause of the receiver, and the network latency


@pytest.mark.parametrize("seed", range(4))
def test_delayed_answers_make_no_server_unreachable(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(test_placement_fleet, "NETWORK_S", ONE_WAY_S)
    fleet = typical_fleet(seed)
    fleet.start()
    play_typical(fleet, 10.0, BUSY)
    unresponsive: list[str] = []

    def check() -> None:
        unresponsive.extend(fleet.reconciler._readiness.unreachable(fleet.now))
        fleet.after(0.02, check)

    check()
    fleet.run(12.0)
    assert unresponsive == []
    fleet.assert_rules()


def test_a_server_without_answers_is_unreachable() -> None:
    """The check of the test above detects an unreachable server."""
    fleet = typical_fleet(1)
    fleet.start()
    fleet.run(2.0)
    next(iter(fleet.servers.values())).unresponsive = True
    fleet.run(2.0)
    assert fleet.reconciler._readiness.unreachable(fleet.now)
