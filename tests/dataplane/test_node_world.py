"""Random simulation of a whole node; GRANITEWELL_SEEDS sets the number of seeds."""

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
MAX_SEEDS = 60  # within which a planted defect must be found


def test_random_faults_violate_no_rule() -> None:
    statuses: Counter[Any] = Counter()
    for seed in range(SEEDS):
        try:
            world = play_simulated(play(seed))
        except ViolationError as violation:
            raise AssertionError(f"seed {seed}: {violation}") from violation
        statuses.update("left" if r.left_at else r.answer and r.answer.status for r in world.sent)
    assert statuses[200] > SEEDS and statuses["left"] > SEEDS  # the simulations are not empty
    assert {500, 502, 503, 504} <= set(statuses)


def always_answers_503(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempts, "failure_status", property(lambda attempts: 503))


def retries_possibly_executed_requests(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Attempts, "may_retry", lambda attempts: attempts.servers_reached < attempts._max_attempts)


def requests_never_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Dispatcher, "ended", lambda dispatcher, dispatch_request, record, now: None)


def grace_period_exceeded(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("granitewell.dataplane.edge.SHUTDOWN_MARGIN_S", -1.0)
    patch.setattr(RequestForwarder, "expire", lambda exchange: None)


DEFECTS: tuple[Callable[[pytest.MonkeyPatch], None], ...] = (
    always_answers_503,
    retries_possibly_executed_requests,
    requests_never_end,
    grace_period_exceeded,
    defects.full_timeout_sent_to_servers,
    defects.queue_position_kept,
    defects.handlers_outlive_clients,
    defects.timeouts_disabled,
    defects.listener_closed_at_once,
)


@pytest.mark.parametrize("plant", DEFECTS, ids=lambda plant: plant.__name__)
def test_planted_defect_is_found(plant: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            play_simulated(play(seed))
        except (ViolationError, TimeoutError):
            return
    raise AssertionError(f"not noticed in {MAX_SEEDS} seeds")
