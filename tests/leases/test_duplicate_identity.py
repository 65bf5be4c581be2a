"""Two processes with one name agree which of them is younger."""

from __future__ import annotations

from granitewell.leases.duplicate_identity import is_younger
from granitewell.protocols.peers.leases import (
    Here,
)
from tests.leases.planner import (
    SECOND,
)


def test_two_processes_with_one_name_agree_which_is_younger() -> None:
    assert is_younger(Here(10 * SECOND), 1, 2, 3 * SECOND) and not is_younger(
        Here(3 * SECOND), 2, 1, 10 * SECOND
    )
    assert is_younger(Here(5), 1, 2, 9) and not is_younger(
        Here(9), 2, 1, 5
    )  # close together: the boot ids decide
