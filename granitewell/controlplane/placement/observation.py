"""State of each server, from the platform's list, its reports and the answers to orders. No I/O.

A report is some hundred ms old when it arrives. An order therefore stays recorded until a report shows it:
the sequence has advanced, nothing is in progress, and the result is visible. An order of unknown outcome
stays recorded until a report requested long enough after it shows whether it was executed.

An order that takes some ms is confirmed sooner by sending it again, conditional on the sequence that it left
behind: 200 means that its result holds, 409 that it is still in progress (confirmation.py).
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from granitewell.controlplane.placement import confirmation
from granitewell.controlplane.placement.limits import ModelSizes, Usage, usage
from granitewell.controlplane.placement.orders import Operation, Order, Report, ReportFailure
from granitewell.domain.servers import LoadedModel, ModelRef, ServerState

MAX_REPORT_AGE_S = 0.6  # maximum age of a report when it arrives (specified as "some hundred ms")
ORDER_OVERDUE_S = 3.0  # beyond its expected time; then an accepted order that no report shows is given up
RESERVATION_TTL_S = 1.5  # of freed capacity
PURPOSE_TTL_S = 0.5  # of an unload; one that takes longer waits for running requests
REPORT_TTL_S = 2.5  # no order is based on an older report
UNREACHABLE_AFTER_S = 0.9  # since the first failed call, without an answer; long enough for two calls
MAX_REFUSED_CONNECTIONS = 2  # in a row; then nothing listens there


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server in the platform's list.

    Attributes:
        remaining_ms: Remaining lifetime in milliseconds; -1 if unlimited.
        models: Loaded models according to the list, which is about a second old.
        loaded_before: Models that it has loaded at some time; their weights are on its own disk.
    """

    id: str
    address: str
    zone: str
    state: ServerState
    slots: int
    remaining_ms: int = -1
    models: tuple[LoadedModel, ...] = ()
    loaded_before: frozenset[str] = frozenset()


class OrderStage(Enum):
    """Progress of an order."""

    SENDING = "sending"
    ACCEPTED = "taken"  # answered 202
    UNKNOWN = "unknown"  # no clear answer
    SETTLING = "settling"  # answered 200: nothing to do, but no report shows the result yet


@dataclass(slots=True)
class PendingOrder:
    """An order whose end no report has shown yet.

    Attributes:
        revision: Sequence that it was conditional on.
        fencing_token: Token that it was sent with.
        expected_s: Time that it should take, in seconds.
        concurrent_loads: Loads in progress when it was sent, including itself.
    """

    order: Order
    revision: int
    fencing_token: int
    sent_at: float
    expected_s: float
    concurrent_loads: int = 1
    stage: OrderStage = OrderStage.SENDING
    answered_at: float = math.inf
    confirmations: int = 0
    """How often it was sent again to learn whether it is done (confirmation.py)."""


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """An unload that is ordered at time `at`, once edges have stopped sending requests for the model."""

    order: Order
    at: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity that an unload has freed for a model or adapter `ref`, reserved until time `until`."""

    ref: ModelRef
    until: float


class ServerRecord:
    """State of one server, with at most one call (`calling`) and one order (`pending`) at a time."""

    def __init__(self, listed: ListedServer, now: float) -> None:
        self.listed = listed
        self.report: Report | None = None
        self.report_asked_at = -math.inf
        self.confirmed_at = -math.inf  # when `report` was last derived from a confirmed order
        self.calling = False
        self.next_poll_at = now
        self.pending: PendingOrder | None = None
        self.withdrawal: Withdrawal | None = None
        self.reservation: Reservation | None = None
        self.loaded_at: dict[str, float] = {}  # start of the known loads, by model
        self.loaded_before = {model.name for model in listed.models} | listed.loaded_before
        self.misdirected = False
        self.no_orders_until = -math.inf
        self.unreachable_noticed = False
        self._failing_since = math.inf
        self._failures = 0
        self._refusals = 0

    def update_listing(self, listed: ListedServer) -> None:
        """Apply the newest entry of the list."""
        self.listed = listed
        self.loaded_before.update(model.name for model in listed.models)
        self.loaded_before |= listed.loaded_before

    def reset(self, now: float) -> None:
        """Drop the report and the order; `loaded_before` is kept."""
        self.report = None
        self.report_asked_at = -math.inf
        self.confirmed_at = -math.inf
        self.calling = False
        self.next_poll_at = now
        self.pending = None
        self.withdrawal = None
        self.reservation = None
        self._record_answer()

    # Reports

    def apply_report(self, asked_at: float, report: Report) -> PendingOrder | None:
        """Apply a report that was requested at `asked_at`.

        Returns the pending order if the report shows how it ended, and removes it from the record.
        """
        self._record_answer()
        if self._is_outdated(asked_at, report):
            return None
        self.report = report
        self.report_asked_at = asked_at
        self.loaded_before.update(report.models)
        pending = self.pending
        if pending is None or not _is_resolved(pending, asked_at, report):
            return None
        self.pending = None
        if pending.order.loads_model and shows(report, pending.order):
            self.loaded_at[pending.order.ref.model] = pending.sent_at
        if pending.order.purpose is not None:
            self.reservation = Reservation(pending.order.purpose, asked_at + RESERVATION_TTL_S)
        return pending

    def _is_outdated(self, asked_at: float, report: Report) -> bool:
        """Return whether a report may be older than the confirmed order that `self.report` shows."""
        known = self.report
        if known is None or asked_at > self.confirmed_at + MAX_REPORT_AGE_S:
            return False
        return report.sequence < known.sequence or (report.sequence == known.sequence and report.busy)

    def confirm(self, now: float) -> None:
        """Record that the server has confirmed the pending order, ahead of any report."""
        pending, report = self.pending, self.report
        if pending is None or report is None:
            return
        self._record_answer()
        self.report = confirmation.predicted_report(report, pending.order, pending.revision + 1)
        self.report_asked_at = now
        self.confirmed_at = now
        self.loaded_before.update(self.report.models)
        self.pending = None
        if pending.order.purpose is not None:
            self.reservation = Reservation(pending.order.purpose, now + RESERVATION_TTL_S)

    def reserved_for(self, now: float) -> ModelRef | None:
        """Return the model or adapter that free capacity is reserved for."""
        reservation = self.reservation
        return reservation.ref if reservation is not None and now < reservation.until else None

    def record_failure(self, asked_at: float, failure: ReportFailure) -> None:
        """Record that a requested report failed."""
        if failure is ReportFailure.OTHER_SERVER:
            self.misdirected = True
            return
        self._failing_since = min(self._failing_since, asked_at)
        self._failures += 1
        self._refusals = self._refusals + 1 if failure is ReportFailure.REFUSED else 0

    def _record_answer(self) -> None:
        self.unreachable_noticed = False
        self._failing_since = math.inf
        self._failures = 0
        self._refusals = 0

    @property
    def failing(self) -> bool:
        """Whether the last request for a report failed."""
        return self._failures > 0

    def is_unreachable(self, now: float) -> bool:
        """Whether the server counts as unreachable."""
        if self.misdirected or self._refusals >= MAX_REFUSED_CONNECTIONS:
            return True
        return now - self._failing_since >= UNREACHABLE_AFTER_S

    def unreachable_at(self) -> float:
        """Time from which it counts as unreachable without an answer; infinite once that was noticed."""
        if self.unreachable_noticed:
            return math.inf
        return self._failing_since + UNREACHABLE_AFTER_S

    # Loaded models

    def loaded(self) -> Mapping[str, LoadedModel]:
        """Return the models of the newest report, or of the list if there is no report yet."""
        if self.report is not None:
            return self.report.models
        return {model.name: model for model in self.listed.models}

    def ready(self) -> Mapping[str, LoadedModel]:
        """Return the models for which requests may be sent: loaded, and not about to be unloaded."""
        unloading = self.unloading()
        loaded = self.loaded()
        if unloading is None or unloading.model not in loaded:
            return loaded
        ready = dict(loaded)
        if not unloading.adapter:
            del ready[unloading.model]
            return ready
        ready[unloading.model] = ready[unloading.model].without_adapter(unloading.adapter)
        return ready

    def unloading(self) -> ModelRef | None:
        """Return the model or adapter that is being unloaded or is about to be."""
        order = self._unload()
        return order.ref if order else None

    def loading(self) -> ModelRef | None:
        """Return the model or adapter whose load is in progress or of unknown outcome."""
        pending = self.pending
        if pending is None or pending.order.operation is not Operation.LOAD:
            return None
        return pending.order.ref

    def purpose(self, now: float) -> ModelRef | None:
        """Return the model or adapter that the current unload frees capacity for.

        None if the unload takes long, because another server may then be a better choice.
        """
        if self.pending is not None and now - self.pending.sent_at > PURPOSE_TTL_S:
            return None
        order = self._unload()
        return order.purpose if order else None

    def _unload(self) -> Order | None:
        if self.withdrawal is not None:
            return self.withdrawal.order
        if self.pending is not None and self.pending.order.operation is Operation.UNLOAD:
            return self.pending.order
        return None

    def usage(self, sizes: ModelSizes) -> Usage:
        """Return the usage of the server, including a load in progress or of unknown outcome."""
        loading = self.loading()
        return usage(self.loaded().values(), () if loading is None else (loading,), sizes)

    # Orders

    @property
    def schedulable(self) -> bool:
        """Whether the server may get new models: ready, without an end of life, and the one expected."""
        listed = self.listed
        return listed.state is ServerState.READY and listed.remaining_ms < 0 and not self.misdirected

    def orderable(self, now: float) -> bool:
        """Return whether an order may be sent to it now."""
        report = self.report
        return (
            report is not None
            and not report.busy
            and not self.calling
            and self.pending is None
            and self.schedulable
            and not self.failing
            and now >= self.no_orders_until
            and self.report_asked_at >= self.no_orders_until
            and now - self.report_asked_at <= REPORT_TTL_S
        )


def _is_resolved(pending: PendingOrder, asked_at: float, report: Report) -> bool:
    """Return whether a report shows how an order ended."""
    if report.busy or pending.stage is OrderStage.SENDING:
        return False
    if pending.stage is OrderStage.ACCEPTED:
        overdue = asked_at > pending.answered_at + pending.expected_s + ORDER_OVERDUE_S
        return overdue or (report.sequence > pending.revision and shows(report, pending.order))
    if asked_at > pending.answered_at + MAX_REPORT_AGE_S:
        return True
    return report.sequence > pending.revision and shows(report, pending.order)


def shows(report: Report, order: Order) -> bool:
    """Return whether the result of an order is visible in a report."""
    loaded = report.models.get(order.ref.model)
    present = loaded is not None and (not order.ref.adapter or order.ref.adapter in loaded.adapters)
    return present is (order.operation is Operation.LOAD)


def too_many_unreachable(unreachable: int, all_servers: int) -> bool:
    """Return whether so many servers are unreachable that this node itself is probably partitioned."""
    return all_servers >= 3 and unreachable > all_servers * 0.6


def by_id(servers: Sequence[ListedServer]) -> dict[str, ListedServer]:
    """Return servers by id."""
    return {server.id: server for server in servers}
