"""A whole node under random troubles, by seeds: GRANITEWELL_SEEDS sets how many."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from granitewell.dataplane.dispatch import Dispatcher
from granitewell.dataplane.request import Attempts
from granitewell.dataplane.request_forwarder import RequestForwarder
from tests.dataplane import test_planted_defects as defects
from tests.dataplane.node_world import ViolationError, play
from tests.dataplane.simulated_network import play_simulated

SEEDS = int(os.environ.get("GRANITEWELL_SEEDS", "30"))
MAX_SEEDS = 60  # in which a planted defect must show


def test_no_rule_is_broken_whatever_happens() -> None:
    statuses: Counter[Any] = Counter()
    for seed in range(SEEDS):
        try:
            world = play_simulated(play(seed))
        except ViolationError as violation:
            raise AssertionError(f"seed {seed}: {violation}") from violation
        statuses.update("left" if r.left_at else r.answer and r.answer.status for r in world.sent)
    assert statuses[200] > SEEDS and statuses["left"] > SEEDS  # the days are not empty
    assert {500, 502, 503, 504} <= set(statuses)


def promises_whatever_ran(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempts, "failure_status", property(lambda attempts: 503))


def repeats_what_may_have_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempts, "may_retry", lambda attempts: attempts.servers_reached < attempts._max_attempts)


def grants_are_not_given_back(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Dispatcher, "ended", lambda dispatcher, dispatch_request, record, now: None)


def grace_is_not_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("granitewell.dataplane.edge.SHUTDOWN_MARGIN_S", -1.0)
    patch.setattr(RequestForwarder, "expire", lambda exchange: None)


DEFECTS: tuple[Callable[[pytest.MonkeyPatch], None], ...] = (
    promises_whatever_ran,
    repeats_what_may_have_run,
    grants_are_not_given_back,
    grace_is_not_kept,
    defects.deadline_handed_on_unchanged,
    defects.place_in_line_kept,
    defects.handlers_outlive_clients,
    defects.time_without_end,
    defects.listener_closed_at_once,
)


@pytest.mark.parametrize("plant", DEFECTS, ids=lambda plant: plant.__name__)
def test_a_planted_defect_is_noticed(plant: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            play_simulated(play(seed))
        except (ViolationError, TimeoutError):
            return
    raise AssertionError(f"not noticed in {MAX_SEEDS} seeds")
