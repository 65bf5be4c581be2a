"""Issues the planner's orders after a last check, and learns from their results. No I/O.

Enforced independently of the planner: one order at a time per server, conditional on the sequence reported
last; no load beyond the free memory, with loads in progress and of unknown outcome counted; no load from the
weight store without a token of the bucket.
"""

from __future__ import annotations

from collections.abc import Mapping
from statistics import fmean

from granitewell.controlplane.placement.limits import (
    Capacity,
    LoadBucket,
    LoadConcurrency,
    ModelSizes,
    Usage,
    WarmLoadTime,
    usage,
)
from granitewell.controlplane.placement.observation import OrderStage, PendingOrder, ServerRecord, shows
from granitewell.controlplane.placement.orders import Operation, Order, OrderResult, OrderTicket, Report
from granitewell.controlplane.placement.steps import PlacementCounters, Send
from granitewell.domain.configuration import Engine
from granitewell.domain.servers import ModelRef

REPORT_DELAY_S = 0.1  # usual age of a report; it affects only when the first report after an order is polled
UNLOAD_DURATION_S = 0.02
ADAPTER_LOAD_DURATION_S = 0.02

_NOT_STARTED = frozenset(
    {
        OrderResult.NOT_SENT,
        OrderResult.CONFLICT,
        OrderResult.FENCED,
        OrderResult.OTHER_SERVER,
        OrderResult.ALREADY_DONE,
    }
)


class OrderIssuer:
    """Issues orders within a server's memory and the weight store's rate."""

    def __init__(self, records: Mapping[str, ServerRecord], counters: PlacementCounters) -> None:
        self.sizes = ModelSizes()
        self.bucket = LoadBucket(0.0)
        self.concurrency = LoadConcurrency()
        self.warm = WarmLoadTime()
        self._records = records
        self._counters = counters
        self._engine: Engine | None = None
        self._load_rate_fraction = 1.0

    def start(self, now: float) -> None:
        """Start with an empty token bucket: loads just ordered by a previous owner count against the rate."""
        self.concurrency = LoadConcurrency()
        self.bucket = LoadBucket(now)
        self._set_rate(now)

    def set_engine(self, now: float, engine: Engine, load_rate_fraction: float) -> None:
        """Apply a new configuration.

        Args:
            now: Current time, in seconds.
            engine: Properties of the servers.
            load_rate_fraction: This service's fraction of the weight store's rate.
        """
        self._engine = engine
        self._load_rate_fraction = load_rate_fraction
        self.sizes.learn(engine)
        self._set_rate(now)

    def _set_rate(self, now: float) -> None:
        engine = self._engine
        if engine is None:
            return
        loads_per_s = engine.loads_per_s * self._load_rate_fraction
        self.bucket.set_rate(now, loads_per_s)
        if engine.models:
            self.concurrency.expect(loads_per_s, fmean(model.load_time_s for model in engine.models))

    def issue(self, now: float, order: Order, holder: str, fencing_token: int) -> Send | None:
        """Record and issue an order, unless it would exceed a limit."""
        record = self._records.get(order.server_id)
        engine = self._engine
        if record is None or engine is None or not record.orderable(now):
            return None
        if order.operation is Operation.LOAD and not self._admits(record, engine, order):
            return None
        if order.from_store and not self.bucket.take(now):
            return None
        report = record.report
        assert report is not None  # orderable
        concurrent_loads = 1 + sum(1 for other in self._records.values() if _is_model(other.loading()))
        expected_s = self._expected_s(engine, order, concurrent_loads)
        record.pending = PendingOrder(
            order, report.sequence, fencing_token, now, expected_s, concurrent_loads
        )
        record.calling = True
        record.reservation = None
        self._count(order)
        return Send(record.listed.address, order, OrderTicket(holder, fencing_token, report.sequence))

    def answered(self, order: Order, result: OrderResult) -> None:
        """Record that an order was answered or timed out."""
        results = self._counters.results
        results[result] = results.get(result, 0) + 1
        if order.from_store and result in _NOT_STARTED:
            self.bucket.give_back()

    def done(self, done: PendingOrder, asked_at: float, report: Report) -> None:
        """Learn load times from an order whose end is shown by a report requested at `asked_at`."""
        if not done.order.loads_model or not shows(report, done.order):
            return
        if not done.order.from_store:
            if done.stage is OrderStage.ACCEPTED:
                self.warm.learn(asked_at - done.sent_at)
            return
        nominal = _load_time(self._engine, done.order.ref.model) if self._engine is not None else 0.0
        if nominal > 0 and done.stage is OrderStage.ACCEPTED:
            self.concurrency.learn(done.concurrent_loads, asked_at - done.sent_at, nominal)

    def _admits(self, record: ServerRecord, engine: Engine, order: Order) -> bool:
        after = self._usage_with(record, order.ref)
        return Capacity(engine.weights_mb, engine.max_adapters).admits(after)

    def _usage_with(self, record: ServerRecord, ref: ModelRef) -> Usage:
        loading = record.loading()
        loads = [ref] if loading is None else [loading, ref]
        return usage(record.loaded().values(), loads, self.sizes)

    def _expected_s(self, engine: Engine, order: Order, concurrent_loads: int) -> float:
        if order.operation is Operation.UNLOAD:
            return UNLOAD_DURATION_S + REPORT_DELAY_S
        if order.ref.adapter:
            return ADAPTER_LOAD_DURATION_S + REPORT_DELAY_S
        nominal_s = _load_time(engine, order.ref.model)
        if not order.from_store:
            return self.warm.estimate(nominal_s)
        return nominal_s * max(1.0, concurrent_loads / self.concurrency.concurrent_loads) + REPORT_DELAY_S

    def _count(self, order: Order) -> None:
        counters = self._counters
        if order.operation is Operation.UNLOAD:
            counters.unloads += 1
        elif order.ref.adapter:
            counters.adapter_loads += 1
        elif order.from_store:
            counters.loads_from_store += 1
        else:
            counters.loads_warm += 1


def _is_model(ref: ModelRef | None) -> bool:
    return ref is not None and not ref.adapter


def _load_time(engine: Engine, name: str) -> float:
    return next((model.load_time_s for model in engine.models if model.name == name), 1.0)
