"""What is known of each server, from the platform's list, its reports and the answers to orders. No I/O.

A report is some hundred ms old when it arrives. An order therefore stays recorded until a report shows it:
the sequence has advanced, nothing is in progress, and the result is visible. An order of unknown outcome
stays recorded until a report requested well after it shows that it was executed or that it was not.

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

MAX_REPORT_AGE_S = 0.6  # a report is surely not older than this ("some hundred ms")
ORDER_OVERDUE_S = 3.0  # beyond its expected time, after which an order that left no trace is given up
RESERVATION_TTL_S = 1.5  # for which freed capacity stays reserved
PURPOSE_TTL_S = 0.5  # of an unload: one that takes longer waits for runs
REPORT_TTL_S = 2.5  # an older report is no basis for an order
UNREACHABLE_AFTER_S = 0.9  # without any answer, counted from the first failed call: two calls
MAX_REFUSED_CONNECTIONS = 2  # connections refused one after the other: nobody listens there


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server in the platform's list.

    Attributes:
        remaining_ms: Remaining lifetime in milliseconds, -1 for no end in sight.
        models: Models according to the list, about a second old.
        loaded_before: Models that it is known to have had loaded earlier.
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
    SETTLING = "settling"  # answered 200: it changes nothing, but the report may be older than that


@dataclass(slots=True)
class PendingOrder:
    """An order that no report has shown as done.

    Attributes:
        revision: Sequence that it was conditional on.
        fencing_token: Token that it was sent with.
        expected_s: Time that it should take, in seconds.
        at_once: Loads in progress when it began.
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
    """How often it was sent again to learn whether it is done."""


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """An unload that edges are being notified of before it is ordered at `at`."""

    order: Order
    at: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity that an unload freed for a model or adapter, reserved for it until then."""

    ref: ModelRef
    until: float


class ServerRecord:
    """One server. There is one call at a time to it (`calling`), and one order (`pending`)."""

    def __init__(self, listed: ListedServer, now: float) -> None:
        self.listed = listed
        self.report: Report | None = None
        self.report_asked_at = -math.inf
        self.confirmed_at = -math.inf  # when the report was last derived from a confirmed order
        self.calling = False
        self.next_poll_at = now
        self.pending: PendingOrder | None = None
        self.withdrawal: Withdrawal | None = None
        self.reservation: Reservation | None = None
        self.loaded_at: dict[str, float] = {}  # when the loads of its models began that are known
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
        """Drop the report and the order; the models that the server had loaded stay known."""
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
        """Apply a report.

        Returns the order that it shows as done or never begun, which is no longer recorded.
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
        """Record that the pending order is done: the server says so, and no report shows it yet."""
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
        """Return what the free capacity is reserved for."""
        reservation = self.reservation
        return reservation.ref if reservation is not None and now < reservation.until else None

    def record_failure(self, asked_at: float, failure: ReportFailure) -> None:
        """Record that a requested report did not arrive."""
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
        """Whether the server has been unresponsive for so long that it counts as down."""
        if self.misdirected or self._refusals >= MAX_REFUSED_CONNECTIONS:
            return True
        return now - self._failing_since >= UNREACHABLE_AFTER_S

    def unreachable_at(self) -> float:
        """Time at which it will count as down without an answer; infinite once that was noticed."""
        if self.unreachable_noticed:
            return math.inf
        return self._failing_since + UNREACHABLE_AFTER_S

    # Loaded models

    def loaded(self) -> Mapping[str, LoadedModel]:
        """Return what the newest report shows, or the list if there is none yet."""
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
        """Return what is being unloaded or is about to be."""
        order = self._unload()
        return order.ref if order else None

    def loading(self) -> ModelRef | None:
        """Return what may be loading: in progress or of unknown outcome."""
        pending = self.pending
        if pending is None or pending.order.operation is not Operation.LOAD:
            return None
        return pending.order.ref

    def purpose(self, now: float) -> ModelRef | None:
        """Return what the current unload frees capacity for.

        None if the unload takes long, because another server may be better.
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
        """Return the usage of the server, with everything that may be loading."""
        loading = self.loading()
        return usage(self.loaded().values(), () if loading is None else (loading,), sizes)

    # Orders

    @property
    def schedulable(self) -> bool:
        """Whether the server is to stay."""
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
    """Return whether so many servers are unresponsive at once that this node is probably partitioned."""
    return all_servers >= 3 and unreachable > all_servers * 0.6


def by_id(servers: Sequence[ListedServer]) -> dict[str, ListedServer]:
    """Return servers by id."""
    return {server.id: server for server in servers}
