"""Confirmation of orders that take some ms: the state after it, and reports that are ignored."""

from __future__ import annotations

from random import Random

import pytest

from granitewell.controlplane.placement import confirmation
from granitewell.controlplane.placement.observation import MAX_REPORT_AGE_S, ListedServer
from granitewell.controlplane.placement.orders import Operation, Order, OrderResult, Report
from granitewell.controlplane.placement.reconciler import PlacementReconciler
from granitewell.controlplane.placement.steps import Poll, Send
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef, ServerState

ENGINE = Engine(
    slots=8, models=(Model("m0", 100.0, 2.0, 9, 1.0),), weights_mb=200.0, max_adapters=2, loads_per_s=9
)
ADAPTER = ModelRef("m0", "a1")


def report(sequence: int, *adapters: str, busy: bool = False) -> Report:
    return Report(sequence, busy, {"m0": LoadedModel("m0", frozenset(adapters))})


def waiting_for_adapter(now: float = 10.0) -> tuple[PlacementReconciler, Send]:
    """Return a reconciler that has just ordered an adapter that a request waits for, and the order."""
    made = PlacementReconciler(Random(1))
    made.start(now)
    made.set_engine(now, ENGINE, 1.0)
    made.set_servers(now, [ListedServer("i-1", "10.0.0.1:80", "z", ServerState.READY, 8)])
    assert any(isinstance(step, Poll) for step in made.due(now + 0.06, "node-1", 7, True))
    made.on_report(now + 0.07, "i-1", now + 0.06, report(4))
    made.add_demand(now + 0.07, [ModelDemand("llm", ADAPTER, 1, 1, 0, 1)], "edge-1")
    (step,) = (s for s in made.due(now + 0.12, "node-1", 7, True) if isinstance(s, Send))
    assert step.order == Order("i-1", Operation.LOAD, ADAPTER) and step.ticket.revision == 4
    return made, step


def confirming(now: float = 10.0) -> tuple[PlacementReconciler, Send, float]:
    """Return the same once the order was accepted and is sent again, and the time of that."""
    made, first = waiting_for_adapter(now)
    made.on_order(now + 0.13, first.order, 7, OrderResult.ACCEPTED)
    at = now + 0.13 + confirmation.FIRST_CONFIRMATION_DELAY_S
    assert made.due(at - 0.001, "node-1", 7, True) == []
    (again,) = made.due(at, "node-1", 7, True)
    assert isinstance(again, Send) and again.order is first.order
    assert again.ticket.revision == 5
    return made, again, at


def test_an_adapter_is_ready_once_its_order_is_confirmed() -> None:
    made, again, at = confirming()
    assert not made.ready_models("i-1")["m0"].adapters
    made.on_order(at + 0.002, again.order, 7, OrderResult.ALREADY_DONE)
    assert made.ready_models("i-1")["m0"].adapters == {"a1"}
    assert made.take_changes() == ["i-1"]


@pytest.mark.parametrize("stale", [report(4), report(5, busy=True)])
def test_a_report_that_may_be_older_than_the_confirmation_changes_nothing(stale: Report) -> None:
    made, again, at = confirming()
    made.on_order(at, again.order, 7, OrderResult.ALREADY_DONE)
    made.on_report(at + 0.1, "i-1", at + 0.05, stale)
    assert made.ready_models("i-1")["m0"].adapters == {"a1"}


def test_a_report_from_after_the_confirmation_counts() -> None:
    made, again, at = confirming()
    made.on_order(at, again.order, 7, OrderResult.ALREADY_DONE)
    made.on_report(at + 1.0, "i-1", at + MAX_REPORT_AGE_S + 0.1, report(4))
    assert not made.ready_models("i-1")["m0"].adapters


def test_confirmations_back_off_and_then_reports_are_polled() -> None:
    made, again, at = confirming()
    for number in range(1, confirmation.MAX_CONFIRMATIONS):
        made.on_order(at, again.order, 7, OrderResult.CONFLICT)
        at += confirmation.confirmation_delay_s(number)
        (again,) = made.due(at, "node-1", 7, True)  # type: ignore[assignment]
        assert isinstance(again, Send)
    made.on_order(at, again.order, 7, OrderResult.CONFLICT)
    (poll,) = made.due(
        at + confirmation.confirmation_delay_s(confirmation.MAX_CONFIRMATIONS), "node-1", 7, True
    )
    assert isinstance(poll, Poll)
    made.on_report(at + 1.0, "i-1", at + 0.9, report(5, "a1"))
    assert made.ready_models("i-1")["m0"].adapters == {"a1"}


def test_without_a_confirmation_reports_are_polled() -> None:
    made, again, at = confirming()
    made.on_order(at + 0.8, again.order, 7, OrderResult.UNKNOWN)
    (poll,) = made.due(at + 0.8, "node-1", 7, True)
    assert isinstance(poll, Poll)
    assert not made.ready_models("i-1")["m0"].adapters


def test_an_order_accepted_again_stays_pending_until_a_later_report() -> None:
    made, again, at = confirming()
    made.on_order(at, again.order, 7, OrderResult.ACCEPTED)
    made.on_report(at + 0.1, "i-1", at, report(5))
    assert not made.ready_models("i-1")["m0"].adapters
    sends = [s for s in made.due(at + 0.2, "node-1", 7, True) if isinstance(s, Send)]
    assert sends == []


def test_no_confirmation_without_the_lease() -> None:
    made, first = waiting_for_adapter()
    made.on_order(10.13, first.order, 7, OrderResult.ACCEPTED)
    steps = made.due(10.13 + confirmation.FIRST_CONFIRMATION_DELAY_S, "node-1", 7, False)
    assert not any(isinstance(step, Send) for step in steps)


def test_only_quick_orders_are_confirmed() -> None:
    assert confirmation.is_quick(Order("i", Operation.LOAD, ADAPTER))
    assert confirmation.is_quick(Order("i", Operation.UNLOAD, ModelRef("m0")))
    assert not confirmation.is_quick(Order("i", Operation.LOAD, ModelRef("m0")))


@pytest.mark.parametrize(
    ("operation", "ref", "after"),
    [
        (Operation.LOAD, ADAPTER, {"m0": {"a1", "a2"}}),
        (Operation.LOAD, ModelRef("m1"), {"m0": {"a2"}, "m1": set()}),
        (Operation.UNLOAD, ModelRef("m0", "a2"), {"m0": set()}),
        (Operation.UNLOAD, ModelRef("m0"), {}),
        (Operation.UNLOAD, ModelRef("m7"), {"m0": {"a2"}}),
    ],
)
def test_predicted_report(operation: Operation, ref: ModelRef, after: dict[str, set[str]]) -> None:
    later = confirmation.predicted_report(report(4, "a2"), Order("i", operation, ref), 5)
    assert {name: set(model.adapters) for name, model in later.models.items()} == after
    assert later.sequence == 5 and not later.busy


def test_an_operation_that_servers_never_confirm_is_no_longer_sent_again() -> None:
    record = confirmation.ConfirmationRecord()
    load, unload = Order("i", Operation.LOAD, ADAPTER), Order("i", Operation.UNLOAD, ADAPTER)
    for _ in range(confirmation.MIN_CONFIRMATION_SAMPLES):
        assert record.is_useful(unload)
        record.ended(unload, confirmed=False)
        record.ended(load, confirmed=True)
    assert not record.is_useful(unload)
    assert record.is_useful(load)
