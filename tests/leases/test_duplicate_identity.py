"""Of two processes with one name, both find the same younger one."""

from __future__ import annotations

from granitewell.leases.duplicate_identity import is_younger
from granitewell.protocols.peers.leases import (
    Here,
)
from tests.leases.planner import (
    SECOND,
)


def test_of_two_processes_the_younger_is_found_by_both() -> None:
    assert is_younger(Here(10 * SECOND), 1, 2, 3 * SECOND) and not is_younger(
        Here(3 * SECOND), 2, 1, 10 * SECOND
    )
    assert is_younger(Here(5), 1, 2, 9) and not is_younger(Here(9), 2, 1, 5)  # close together: by their boots
