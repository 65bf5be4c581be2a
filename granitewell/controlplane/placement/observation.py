"""What is known of each server, from the platform's list, its reports and the answers to orders. Pure.

A report is some hundred ms old when it comes. An order therefore stays on the record until a report shows it:
its sequence has moved, nothing is under way, and the result is there. An order of unknown fate stays until a
report that was asked for well after it shows that it came or that it didn't.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from granitewell.controlplane.placement.limits import ModelSizes, Usage, usage
from granitewell.controlplane.placement.orders import Operation, Order, Report, ReportFailure
from granitewell.domain.servers import LoadedModel, ModelRef, ServerState

REPORT_LAG_S = 0.6  # a report is surely not older than this ("some hundred ms")
OVERDUE_S = 3.0  # beyond its expected time, after which an order that left no trace is given up
RESERVED_S = 1.5  # for which room stays reserved for what it was made for
PURPOSE_LASTS_S = 0.5  # of an unload: one that takes longer waits for runs
REPORT_LASTS_S = 2.5  # an older report is no basis for an order
DARK_AFTER_S = 0.9  # without any answer, counted from the first failed call: two calls
REFUSALS_TO_BE_DARK = 2  # connections refused one after the other: nobody listens there


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server as the platform lists it.

    Attributes:
        remaining_ms: -1 for no end in sight.
        models: As the list says, about a second old.
    """

    id: str
    address: str
    zone: str
    state: ServerState
    slots: int
    remaining_ms: int = -1
    models: tuple[LoadedModel, ...] = ()


class OrderStage(Enum):
    """How far an order has come."""

    SENDING = "sending"
    TAKEN = "taken"  # answered 202
    UNKNOWN = "unknown"  # no clear answer
    SETTLING = "settling"  # answered 200: it changes nothing, but the report may be older than that


@dataclass(slots=True)
class PendingOrder:
    """An order that no report has shown done.

    Attributes:
        revision: The sequence it was conditional on.
        expected_s: Time it should take.
        at_once: Loads under way when it began.
    """

    order: Order
    revision: int
    sent_at: float
    expected_s: float
    at_once: int = 1
    stage: OrderStage = OrderStage.SENDING
    answered_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """An unload that edges are being told of before it is ordered at `at`."""

    order: Order
    at: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that an unload made for a model or adapter, kept for it until then."""

    ref: ModelRef
    until: float


class ServerRecord:
    """One server. Calls to it go one at a time (calling), orders too (pending)."""

    def __init__(self, listed: ListedServer, now: float) -> None:
        self.listed = listed
        self.report: Report | None = None
        self.report_asked_at = -math.inf
        self.calling = False
        self.next_poll_at = now
        self.pending: PendingOrder | None = None
        self.withdrawal: Withdrawal | None = None
        self.reservation: Reservation | None = None
        self.loaded_before: set[str] = {model.name for model in listed.models}
        self.fenced_at: int | None = None
        self.misdirected = False
        self.no_orders_until = -math.inf
        self.dark_noticed = False
        self._failing_since = math.inf
        self._failures = 0
        self._refusals = 0

    def relist(self, listed: ListedServer) -> None:
        """Take the newest entry of the list."""
        self.listed = listed
        self.loaded_before.update(model.name for model in listed.models)

    def forget_calls(self, now: float) -> None:
        """Start from nothing: no report, no order; what the server has held stays known."""
        self.report = None
        self.report_asked_at = -math.inf
        self.calling = False
        self.next_poll_at = now
        self.pending = None
        self.withdrawal = None
        self.reservation = None
        self.fenced_at = None
        self._answered()

    # Reports

    def take_report(self, asked_at: float, report: Report) -> PendingOrder | None:
        """Take a report; gives the order that it shows done or never begun, now off the record."""
        self._answered()
        self.report = report
        self.report_asked_at = asked_at
        self.loaded_before.update(report.models)
        pending = self.pending
        if pending is None or not _settled(pending, asked_at, report):
            return None
        self.pending = None
        if pending.order.purpose is not None:
            self.reservation = Reservation(pending.order.purpose, asked_at + RESERVED_S)
        return pending

    def reserved_for(self, now: float) -> ModelRef | None:
        """What its free room is kept for."""
        reservation = self.reservation
        return reservation.ref if reservation is not None and now < reservation.until else None

    def miss_report(self, asked_at: float, failure: ReportFailure) -> None:
        """A report was asked for and did not come."""
        if failure is ReportFailure.OTHER_SERVER:
            self.misdirected = True
            return
        self._failing_since = min(self._failing_since, asked_at)
        self._failures += 1
        self._refusals = self._refusals + 1 if failure is ReportFailure.REFUSED else 0

    def _answered(self) -> None:
        self.dark_noticed = False
        self._failing_since = math.inf
        self._failures = 0
        self._refusals = 0

    @property
    def failing(self) -> bool:
        """Whether the last call for a report failed."""
        return self._failures > 0

    def dark(self, now: float) -> bool:
        """Whether the server has given no answer for so long that it counts as down."""
        if self.misdirected or self._refusals >= REFUSALS_TO_BE_DARK:
            return True
        return now - self._failing_since >= DARK_AFTER_S

    def dark_at(self) -> float:
        """When it will count as down if no answer comes; infinite once that was noticed."""
        if self.dark_noticed:
            return math.inf
        return self._failing_since + DARK_AFTER_S

    # What it holds

    def loaded(self) -> Mapping[str, LoadedModel]:
        """What the newest report shows, or the list where there is none yet."""
        if self.report is not None:
            return self.report.models
        return {model.name: model for model in self.listed.models}

    def ready(self) -> Mapping[str, LoadedModel]:
        """What requests may be sent for: held, and not about to be unloaded."""
        going = self.going()
        loaded = self.loaded()
        if going is None or going.model not in loaded:
            return loaded
        ready = dict(loaded)
        if not going.adapter:
            del ready[going.model]
            return ready
        model = ready[going.model]
        ready[going.model] = LoadedModel(model.name, model.adapters - {going.adapter})
        return ready

    def going(self) -> ModelRef | None:
        """What is being unloaded or is about to be."""
        order = self._unload()
        return order.ref if order else None

    def coming(self) -> ModelRef | None:
        """What may be loading: under way or of unknown fate."""
        pending = self.pending
        if pending is None or pending.order.operation is not Operation.LOAD:
            return None
        return pending.order.ref

    def purpose(self, now: float) -> ModelRef | None:
        """What the unload under way makes room for, unless it takes long: another place may be better."""
        if self.pending is not None and now - self.pending.sent_at > PURPOSE_LASTS_S:
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
        """What it holds, with all that may be loading."""
        coming = self.coming()
        return usage(self.loaded().values(), () if coming is None else (coming,), sizes)

    # Orders

    @property
    def lasting(self) -> bool:
        """Whether it is to stay."""
        listed = self.listed
        return listed.state is ServerState.READY and listed.remaining_ms < 0 and not self.misdirected

    def orderable(self, now: float, fencing_token: int) -> bool:
        """Whether an order may go to it now."""
        report = self.report
        return (
            report is not None
            and not report.busy
            and not self.calling
            and self.pending is None
            and self.lasting
            and not self.failing
            and (self.fenced_at is None or self.fenced_at < fencing_token)
            and now >= self.no_orders_until
            and self.report_asked_at >= self.no_orders_until
            and now - self.report_asked_at <= REPORT_LASTS_S
        )


def _settled(pending: PendingOrder, asked_at: float, report: Report) -> bool:
    """Whether a report tells how an order ended."""
    if report.busy or pending.stage is OrderStage.SENDING:
        return False
    if pending.stage is OrderStage.TAKEN:
        overdue = asked_at > pending.answered_at + pending.expected_s + OVERDUE_S
        return overdue or (report.sequence > pending.revision and shows(report, pending.order))
    if asked_at > pending.answered_at + REPORT_LAG_S:
        return True
    return report.sequence > pending.revision and shows(report, pending.order)


def shows(report: Report, order: Order) -> bool:
    """Whether the result of an order stands in a report."""
    loaded = report.models.get(order.ref.model)
    present = loaded is not None and (not order.ref.adapter or order.ref.adapter in loaded.adapters)
    return present is (order.operation is Operation.LOAD)


def too_many_dark(dark: int, all_servers: int) -> bool:
    """Whether so many servers are silent at once that it is rather this node that is cut off."""
    return all_servers >= 3 and dark > all_servers * 0.6


def by_id(servers: Sequence[ListedServer]) -> dict[str, ListedServer]:
    """A list by the ids of its servers."""
    return {server.id: server for server in servers}
