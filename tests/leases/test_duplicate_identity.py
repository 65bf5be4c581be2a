"""Of two processes with one name, both find the same younger one."""

from __future__ import annotations

from granitewell.leases.duplicate_identity import younger
from granitewell.protocols.peers.leases import (
    Here,
)
from tests.leases.planner import (
    SECOND,
)


def test_of_two_processes_the_younger_is_found_by_both() -> None:
    assert younger(Here(10 * SECOND), 1, 2, 3 * SECOND) and not younger(Here(3 * SECOND), 2, 1, 10 * SECOND)
    assert younger(Here(5), 1, 2, 9) and not younger(Here(9), 2, 1, 5)  # close together: by their boots
