"""The placement loop without I/O: events in, polls and orders out.

Rules enforced here, independently of the planner:

- At most one call per server is in progress.
- No order is sent while the caller reports that this node may not send orders.
- Once a server has refused a fencing token for a higher one, nothing is sent with that token or a lower one.
- Nothing is unloaded before every edge has had time to report its demand.
- A model in use is unloaded only after edges have had time to learn of it.

The conditions of each order are checked in issuing.py.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from random import Random

from granitewell.controlplane.placement import confirmation, polling
from granitewell.controlplane.placement.demand import DemandTable, DemandView
from granitewell.controlplane.placement.issuing import REPORT_DELAY_S, OrderIssuer
from granitewell.controlplane.placement.observation import (
    ListedServer,
    OrderStage,
    PendingOrder,
    ServerRecord,
    Withdrawal,
    by_id,
)
from granitewell.controlplane.placement.orders import (
    REPORT_TIMEOUT_S,
    Operation,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
)
from granitewell.controlplane.placement.planner import ServerView, StoreView, plan
from granitewell.controlplane.placement.readiness import Readiness
from granitewell.controlplane.placement.steps import PlacementCounters, Poll, Send, Step
from granitewell.controlplane.placement.versions import ModelVersions
from granitewell.domain.configuration import Engine
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef

WITHDRAWAL_DELAY_S = 0.2  # from the withdrawal of a model until edges have stopped sending requests for it
RECENT_USE_S = 2.0  # after the last request; later a model is unloaded without waiting for the edges
PLAN_INTERVAL_S = 0.25  # between plans without an event
MIN_PLAN_INTERVAL_S = 0.02
FIRST_PLAN_DELAY_S = 0.1  # for the first reports of all servers
FIRST_UNLOAD_DELAY_S = 1.2  # edges report every second; until then all models seem unused
CONFLICT_BACKOFF_S = 0.25  # a report requested earlier may not show the cause of the conflict
INVALID_BACKOFF_S = 2.0
UNSENT_BACKOFF_S = 0.1


class PlacementReconciler:
    """Placement of one service.

    The caller passes events as they happen, and calls due() at the time that next_at() returns.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._engine: Engine | None = None
        self._records: dict[str, ServerRecord] = {}
        self._demand = DemandTable()
        self._running = False
        self._refused_token = -1  # highest fencing token refused by a server: another owner has a higher one
        self._plan_at = math.inf
        self._planned_at = -math.inf
        self._unload_from = math.inf
        self.counters = PlacementCounters()
        self._issuer = OrderIssuer(self._records, self.counters)
        self._readiness = Readiness(self._records)
        self._versions = ModelVersions()
        self._confirmations = confirmation.ConfirmationRecord()

    # Events

    def start(self, now: float) -> None:
        """Start after ownership was gained.

        Only the platform's list and the models that servers had loaded before are known.
        """
        self._running = True
        self._demand = DemandTable()
        self._issuer.start(now)
        self._forget(now)
        self._planned_at = now + FIRST_PLAN_DELAY_S
        self._plan_at = self._planned_at
        self._unload_from = now + FIRST_UNLOAD_DELAY_S

    def stop(self, now: float) -> None:
        """Stop after ownership was lost."""
        self._running = False
        self._plan_at = math.inf
        self._forget(now)

    def _forget(self, now: float) -> None:
        for record in self._records.values():
            record.reset(now)
            record.next_poll_at = polling.first_poll(now, self._rng)
        self._readiness.publish_all(now)

    def set_engine(self, now: float, engine: Engine, load_rate_fraction: float) -> None:
        """Apply a new configuration.

        Args:
            now: Current time, in seconds.
            engine: Properties of the servers.
            load_rate_fraction: This service's fraction of the weight store's rate.
        """
        self._engine = engine
        self._issuer.set_engine(now, engine, load_rate_fraction)
        self._versions.set_models(model.name for model in engine.models)
        self._schedule_plan(now)

    def set_servers(self, now: float, servers: Sequence[ListedServer]) -> None:
        """Apply the platform's list."""
        listed = by_id(servers)
        for server_id in [known for known in self._records if known not in listed]:
            del self._records[server_id]
        for server in servers:
            record = self._records.get(server.id)
            if record is None:
                self._records[server.id] = ServerRecord(server, now)
            else:
                before = record.schedulable
                record.update_listing(server)
                if record.schedulable is not before:
                    self._schedule_plan(now)
        self._readiness.publish_all(now)

    def add_demand(self, now: float, demands: Iterable[ModelDemand], source: str = "") -> None:
        """Record the demand reported by the edge named `source`."""
        if self._demand.add(now, demands, source):
            self._schedule_plan(now)

    def on_report(self, now: float, server_id: str, asked_at: float, answer: Report | ReportFailure) -> None:
        """Handle the end of a poll."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.calling = False
        if isinstance(answer, Report):
            self._take_report(now, record, asked_at, answer)
        else:
            self._miss_report(now, record, asked_at, answer)
        self._readiness.publish_all(now)

    def _take_report(self, now: float, record: ServerRecord, asked_at: float, report: Report) -> None:
        first = record.report is None or record.failing
        done = record.apply_report(asked_at, report)
        self._versions.seen(now, report.models.values())
        record.next_poll_at = polling.after_report(now, record, self._rng)
        if done is not None:
            if done.confirmations:
                self._confirmations.ended(done.order, confirmed=False)
            self._issuer.done(done, asked_at, report)
        if done is not None or first:
            self._schedule_plan(now)

    def _miss_report(self, now: float, record: ServerRecord, asked_at: float, failure: ReportFailure) -> None:
        unreachable = record.is_unreachable(now)
        asked_at = max(asked_at, now - REPORT_TIMEOUT_S)  # earlier only if this process was suspended
        record.record_failure(asked_at, failure)
        record.next_poll_at = polling.after_miss(now, record, failure, self._rng)
        if record.is_unreachable(now) and not unreachable:
            self._schedule_plan(now)

    def on_order(self, now: float, order: Order, fencing_token: int, result: OrderResult) -> None:
        """Handle the result of an order that was sent with a fencing token."""
        record = self._records.get(order.server_id)
        pending = record.pending if record is not None else None
        if result is OrderResult.FENCED:
            self._refused_token = max(self._refused_token, fencing_token)
        if record is not None and pending is not None and pending.order is order:
            record.calling = False
            if pending.stage is OrderStage.ACCEPTED:
                self._on_confirmation(now, record, pending, result)
                return
        self._issuer.answered(order, result)
        if record is None or pending is None or pending.order is not order:
            return
        pending.answered_at = now
        if result is OrderResult.ACCEPTED:
            pending.stage = OrderStage.ACCEPTED
            if self._may_confirm(pending):
                record.next_poll_at = now + confirmation.confirmation_delay_s(0)
            else:
                record.next_poll_at = polling.after_acceptance(now, pending.expected_s)
        elif result is OrderResult.UNKNOWN:
            pending.stage = OrderStage.UNKNOWN
            record.next_poll_at = now
        elif result is OrderResult.ALREADY_DONE:
            pending.stage = OrderStage.SETTLING
            record.next_poll_at = now + REPORT_DELAY_S
        else:
            record.pending = None
            self._on_rejection(now, record, result)
        self._readiness.publish(now, record)

    def _on_confirmation(
        self, now: float, record: ServerRecord, pending: PendingOrder, result: OrderResult
    ) -> None:
        """Handle the answer to an accepted order that was sent again."""
        if result is OrderResult.ALREADY_DONE:
            self._confirmations.ended(pending.order, confirmed=True)
            record.confirm(now)
            record.next_poll_at = polling.after_confirmation(now, self._rng)
            self._readiness.publish(now, record)
            self._schedule_plan(now)
        elif result is OrderResult.CONFLICT:
            record.next_poll_at = now + confirmation.confirmation_delay_s(pending.confirmations)
        elif result is OrderResult.ACCEPTED:  # its result had been undone
            pending.stage = OrderStage.UNKNOWN
            pending.answered_at = now
            record.next_poll_at = now
        else:
            pending.confirmations = confirmation.MAX_CONFIRMATIONS
            record.next_poll_at = now

    def _on_rejection(self, now: float, record: ServerRecord, result: OrderResult) -> None:
        """Handle an order that was not and will not be executed."""
        if result is OrderResult.OTHER_SERVER:
            record.misdirected = True
            self._readiness.publish_all(now)
        elif result is OrderResult.CONFLICT:
            record.no_orders_until = now + CONFLICT_BACKOFF_S
        elif result is OrderResult.INVALID:
            record.no_orders_until = now + INVALID_BACKOFF_S
        else:
            record.no_orders_until = now + UNSENT_BACKOFF_S
        record.next_poll_at = max(now, record.no_orders_until)
        self._schedule_plan(now)

    # Steps

    def next_at(self) -> float:
        """Return the time at which due() has something to do, unless an event arrives first."""
        if not self._running:
            return math.inf
        times = [self._plan_at]
        for record in self._records.values():
            times.append(record.unreachable_at())
            if record.calling or record.misdirected:
                continue
            times.append(record.next_poll_at)
            if record.withdrawal is not None:
                times.append(record.withdrawal.at)
        return min(times)

    def due(self, now: float, holder: str, fencing_token: int, may_order: bool) -> list[Step]:
        """Return the calls to start now; the result of each must be passed to on_report or on_order."""
        if not self._running:
            return []
        steps: list[Step] = []
        self._notice_unreachable(now)
        if may_order and fencing_token > self._refused_token:
            steps.extend(self._due_withdrawals(now, holder, fencing_token))
            steps.extend(self._due_confirmations(now, holder, fencing_token))
            if now >= self._plan_at:
                steps.extend(self._replan(now, holder, fencing_token))
        else:
            self._drop_withdrawals(now)
            self._plan_at = max(self._plan_at, now + PLAN_INTERVAL_S)
        steps.extend(self._due_polls(now))
        return steps

    def _notice_unreachable(self, now: float) -> None:
        """Publish servers that have become unreachable without an event, by their timeout."""
        turned = [record for record in self._records.values() if record.unreachable_at() <= now]
        for record in turned:
            record.unreachable_noticed = True
        if turned:
            self._readiness.publish_all(now)
            self._schedule_plan(now)

    def _due_confirmations(self, now: float, holder: str, fencing_token: int) -> list[Step]:
        steps: list[Step] = []
        for record in self._records.values():
            pending = record.pending
            if pending is None or not polling.poll_due(now, record) or not self._may_confirm(pending):
                continue
            pending.confirmations += 1
            record.calling = True
            self.counters.confirmations += 1
            ticket = OrderTicket(holder, fencing_token, pending.revision + 1)
            steps.append(Send(record.listed.address, pending.order, ticket))
        return steps

    def _may_confirm(self, pending: PendingOrder) -> bool:
        """Return whether an order is to be confirmed by sending it again."""
        return (
            pending.stage is OrderStage.ACCEPTED
            and pending.confirmations < confirmation.MAX_CONFIRMATIONS
            and confirmation.is_quick(pending.order)
            and self._confirmations.is_useful(pending.order)
        )

    def _due_polls(self, now: float) -> list[Step]:
        polls: list[Step] = []
        for record in self._records.values():
            if not polling.poll_due(now, record):
                continue
            record.calling = True
            record.next_poll_at = now + polling.POLL_INTERVAL_S
            self.counters.polls += 1
            polls.append(Poll(record.listed.id, record.listed.address))
        return polls

    def _schedule_plan(self, now: float) -> None:
        if self._running:
            self._plan_at = min(self._plan_at, max(now, self._planned_at + MIN_PLAN_INTERVAL_S))

    # Plans

    def _replan(self, now: float, holder: str, fencing_token: int) -> list[Step]:
        self._plan_at = now + PLAN_INTERVAL_S
        self._planned_at = now
        engine = self._engine
        if engine is None or not self._records:
            return []
        self.counters.plans += 1
        demand = self._demand.view(now)
        bucket = self._issuer.bucket
        store = StoreView(bucket.available(now), self._issuer.concurrency.concurrent_loads, self._issuer.warm)
        views = self._views(now, engine)
        steps: list[Step] = []
        for order in plan(views, demand, engine, self._issuer.sizes, store):
            if order.operation is Operation.UNLOAD and now < self._unload_from:
                continue
            if order.operation is Operation.UNLOAD and self._in_use(demand, order.ref):
                self._withdraw(now, order)
                continue
            step = self._begin(now, order, holder, fencing_token)
            if step is not None:
                steps.append(step)
        if demand.models and store.tokens < 1:
            self._plan_at = min(self._plan_at, max(bucket.next_at(now), now + MIN_PLAN_INTERVAL_S))
        return steps

    def _begin(self, now: float, order: Order, holder: str, fencing_token: int) -> Send | None:
        step = self._issuer.issue(now, order, holder, fencing_token)
        if step is not None:
            self._readiness.publish(now, self._records[order.server_id])
        return step

    def _views(self, now: float, engine: Engine) -> list[ServerView]:
        unreachable = self._readiness.unreachable(now)
        return [self._view(now, engine, record, unreachable) for record in self._records.values()]

    def _view(self, now: float, engine: Engine, record: ServerRecord, unreachable: set[str]) -> ServerView:
        used = record.usage(self._issuer.sizes)
        listed = record.listed
        return ServerView(
            id=listed.id,
            zone=listed.zone,
            slots=listed.slots,
            schedulable=record.schedulable and listed.id not in unreachable,
            orderable=record.withdrawal is None and record.orderable(now),
            loaded=record.loaded(),
            free_mb=engine.weights_mb - used.mb,
            free_adapters=engine.max_adapters - used.adapters,
            unloading=record.unloading(),
            loading=record.loading(),
            purpose=record.purpose(now),
            reserved_for=record.reserved_for(now),
            loaded_before=record.loaded_before,
            outdated=self._versions.outdated(record.loaded(), record.loaded_at),
        )

    # Withdrawals

    @staticmethod
    def _in_use(demand: DemandView, ref: ModelRef) -> bool:
        seen = demand.of(ref)
        return seen.idle_s < RECENT_USE_S or seen.in_flight > 0

    def _withdraw(self, now: float, order: Order) -> None:
        record = self._records[order.server_id]
        record.withdrawal = Withdrawal(order, now + WITHDRAWAL_DELAY_S)
        self._readiness.publish(now, record)

    def _due_withdrawals(self, now: float, holder: str, fencing_token: int) -> list[Step]:
        steps: list[Step] = []
        for record in self._records.values():
            withdrawal = record.withdrawal
            if withdrawal is None or now < withdrawal.at or record.calling:
                continue
            record.withdrawal = None
            if record.orderable(now) and not self._wanted_again(now, record, withdrawal.order.ref):
                step = self._begin(now, withdrawal.order, holder, fencing_token)
                if step is not None:
                    steps.append(step)
            self._readiness.publish(now, record)
            self._schedule_plan(now)
        return steps

    def _drop_withdrawals(self, now: float) -> None:
        for record in self._records.values():
            if record.withdrawal is not None:
                record.withdrawal = None
                self._readiness.publish(now, record)

    def _wanted_again(self, now: float, record: ServerRecord, ref: ModelRef) -> bool:
        """Return whether requests wait for a model whose last copy is about to be unloaded."""
        if not self._demand.view(now).of(ref).waiting:
            return False
        others = (other for other in self._records.values() if other is not record and other.schedulable)
        return not any(_ready_for(other, ref) for other in others)

    # Readiness

    def ready_models(self, server_id: str) -> Mapping[str, LoadedModel]:
        """Return the models for which requests may be sent to a server now."""
        return self._readiness.ready_models(server_id)

    def take_changes(self) -> list[str]:
        """Return the ids of servers whose ready models have changed since the last call."""
        return self._readiness.take_changes()


def _ready_for(record: ServerRecord, ref: ModelRef) -> bool:
    loaded = record.ready().get(ref.model)
    return loaded is not None and (not ref.adapter or ref.adapter in loaded.adapters)
