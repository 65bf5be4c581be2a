"""Once a server has refused a fencing token, nothing more is sent with that token.

Two nodes own one service alternately, with different tokens, and each believes that it still owns it. At
random, one stops and starts again with its old token. Servers check fencing tokens.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from granitewell.controlplane.placement.orders import Operation, Order, OrderResult
from granitewell.controlplane.placement.reconciler import PlacementReconciler
from granitewell.controlplane.placement.steps import Send, Step
from granitewell.domain.servers import ModelRef
from tests.controlplane.test_placement_fleet import Fleet, play_typical, tiny_fleet, typical_fleet

TOKENS = (7, 8)
BUSY = [f"m{number}" for number in range(6)]
SECONDS = 12.0


class RecordingReconciler(PlacementReconciler):
    """A reconciler that records what is sent with a token after a server has refused it."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.refused: set[int] = set()
        self.sent_after_refusal: list[Send] = []
        self.sent = 0

    def due(self, now: float, holder: str, fencing_token: int, may_order: bool) -> list[Step]:
        steps = super().due(now, holder, fencing_token, may_order)
        sends = [step for step in steps if isinstance(step, Send)]
        self.sent += len(sends)
        self.sent_after_refusal += [step for step in sends if step.ticket.fencing_token in self.refused]
        return steps

    def on_order(self, now: float, order: Order, fencing_token: int, result: OrderResult) -> None:
        if result is OrderResult.FENCED:
            self.refused.add(fencing_token)
        super().on_order(now, order, fencing_token, result)


def two_owners(
    seed: int, lost_answers: float, spans_s: tuple[float, float]
) -> tuple[Fleet, list[RecordingReconciler]]:
    """Play typical traffic with two owners that act alternately."""
    fleet = typical_fleet(seed)
    fleet.lose_answers = lost_answers
    owners = [RecordingReconciler(Random(seed + number)) for number in range(len(TOKENS))]
    rng = Random(seed)
    fleet.reconciler = owners[0]
    fleet.start()
    owners[1].set_engine(fleet.now, fleet.engine, 1.0)
    owners[1].set_servers(fleet.now, fleet.listed())
    owners[1].start(fleet.now)
    play_typical(fleet, SECONDS, BUSY)

    def switch_owner() -> None:
        number = rng.randrange(len(TOKENS))
        fleet.reconciler, fleet.fencing_token = owners[number], TOKENS[number]
        fleet.reconciler.set_servers(fleet.now, fleet.listed())
        if rng.random() < 0.3:  # it has lost its lease for a while, without a new token
            fleet.reconciler.stop(fleet.now)
            fleet.reconciler.start(fleet.now)
        fleet.after(rng.uniform(*spans_s), switch_owner)

    fleet.after(2.0, switch_owner)
    fleet.run(SECONDS)
    return fleet, owners


@settings(max_examples=12, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(
    seed=st.integers(0, 10_000),
    lost_answers=st.sampled_from((0.0, 0.2, 0.5)),
    spans_s=st.sampled_from(((0.05, 0.3), (0.3, 1.5), (1.0, 3.0))),
)
def test_nothing_is_sent_with_a_refused_token(
    seed: int, lost_answers: float, spans_s: tuple[float, float]
) -> None:
    _, owners = two_owners(seed, lost_answers, spans_s)
    assert not any(owner.sent_after_refusal for owner in owners)
    assert not owners[1].refused


def test_the_lower_token_is_refused_in_some_scenario() -> None:
    refused = [two_owners(seed, 0.2, (0.3, 1.5))[1][0].refused for seed in range(4)]
    assert any(refused)


def _forgets_refusal_at_start(made: PlacementReconciler, now: float) -> None:
    made._refused_token = -1
    REAL_START(made, now)


def _ignores_refused_confirmation(
    made: PlacementReconciler, now: float, order: Order, fencing_token: int, result: OrderResult
) -> None:
    hidden = OrderResult.INVALID if result is OrderResult.FENCED else result
    REAL_ON_ORDER(made, now, order, fencing_token, hidden)


REAL_START, REAL_ON_ORDER = PlacementReconciler.start, PlacementReconciler.on_order


@pytest.mark.parametrize(
    ("name", "defect"),
    [("start", _forgets_refusal_at_start), ("on_order", _ignores_refused_confirmation)],
    ids=["forgotten-at-a-start", "refusal-ignored"],
)
def test_defect_is_detected(name: str, defect: Callable[..., None], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PlacementReconciler, name, defect)
    plays = [two_owners(seed, 0.2, (0.3, 1.5))[1] for seed in range(8)]
    assert any(owner.sent_after_refusal for owners in plays for owner in owners)


def test_a_late_refusal_of_an_earlier_token_does_not_stop_the_present_one() -> None:
    """An order of an earlier term is answered after this node has become owner again."""
    fleet = tiny_fleet(("m0", "m1"))
    fleet.start()
    fleet.run(1.0)
    fleet.reconciler.stop(fleet.now)
    fleet.fencing_token = 9
    fleet.reconciler.start(fleet.now)
    stale = Order("i-1", Operation.LOAD, ModelRef("m4"))
    fleet.reconciler.on_order(fleet.now, stale, 7, OrderResult.FENCED)
    fleet.ask(ModelRef("m5"), deadline_s=20.0)
    fleet.run(4.0)
    assert "m5" in fleet.servers["i-1"].held
