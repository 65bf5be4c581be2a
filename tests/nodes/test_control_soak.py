"""After any day of faults that the system promises to bear, everyone finds a control node that knows.

Long form; `GRANITEWELL_FIRST_SEED` is the first seed:

    GRANITEWELL_SEEDS=1000 python -m pytest tests/nodes/test_control_soak.py -k overlapping
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import pytest

from granitewell.controlplane.publication.publisher import Publisher
from granitewell.nodes.control_gateway import ControlGateway
from granitewell.nodes.control_nodes import ControlNodes
from granitewell.rpc.messages import EdgeCount, decode, encode
from tests.nodes.control_soak import SoakError, play

SEEDS = int(os.environ.get("GRANITEWELL_SEEDS", "100"))
FIRST_SEED = int(os.environ.get("GRANITEWELL_FIRST_SEED", "0"))
MAX_SEEDS = 60
"""Number of days within which a planted defect must show."""


def test_after_overlapping_faults_everyone_finds_a_control_node_that_knows() -> None:
    changes, faults = 0, 0
    for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
        day = play(seed)
        changes += day.acknowledged
        faults += len(day.faults)
    print(f"{SEEDS} days, {changes} changes acknowledged, {faults} faults")
    assert changes > SEEDS and faults > SEEDS


# --- Planted defects


def node_that_failed_is_polled_again(patch: pytest.MonkeyPatch) -> None:
    """An edge or a gateway stays at a node that does not answer."""
    patch.setattr(ControlNodes, "failed", lambda self: None)


def node_without_members_is_taken_for_a_member(patch: pytest.MonkeyPatch) -> None:
    """A new control node announces itself as a member and answers polls, and an empty answer is contact."""
    announcement, watch = ControlGateway._announcement, Publisher.watch

    async def announced(self: ControlGateway, payload: bytes, peer: str) -> bytes:
        count = decode(EdgeCount, payload)
        count.has_members = None
        return await announcement(self, encode(count), peer)

    async def answer(self: Publisher, request: Any) -> Any:
        if request.members_only:
            patch.setattr(self, "_check_read_staleness", lambda: None)
        return await watch(self, request)

    patch.setattr(ControlGateway, "_announcement", announced)
    patch.setattr(ControlGateway, "_names_members", lambda *_: True)
    patch.setattr(Publisher, "watch", answer)


@pytest.mark.parametrize(
    ("plant", "first"),
    [(node_that_failed_is_polled_again, 0), (node_without_members_is_taken_for_a_member, 20)],
)
def test_a_planted_defect_shows(
    plant: Callable[[pytest.MonkeyPatch], None], first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(SoakError) as shown:
        for seed in range(first, first + MAX_SEEDS):
            play(seed)
    print(shown.value)
