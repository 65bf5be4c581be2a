"""The placement loop without its input and output: events in, polls and orders out. Pure.

Rules kept here, whatever the planner says:
- one call at a time to a server, one order at a time, each conditional on the sequence last reported;
- no order while an earlier one may be under way; no load beyond the memory left with all that counted;
- no load from the store without a token of the bucket;
- no order where the caller says that this node may not order.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from granitewell.controlplane.placement.demand import DemandTable, DemandView
from granitewell.controlplane.placement.limits import Capacity, LoadBucket, LoadPace, SizeBook, Usage, usage
from granitewell.controlplane.placement.observation import (
    ListedServer,
    OrderStage,
    PendingOrder,
    ServerRecord,
    Withdrawal,
    by_id,
    shows,
    too_many_dark,
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
from granitewell.model.configuration import Engine
from granitewell.model.servers import HeldModel, ModelDemand, ModelRef

POLL_S = 1.0  # between reports of a server without an order: each costs as much as a health probe
POLL_RETRY_S = 0.25  # after a refused connection
POLL_AGAIN_S = 0.05  # after a silence, which has taken long enough
POLL_DARK_S = 0.6  # while a server counts as down
POLL_ORDER_S = 0.07  # while an order is about to be done
POLL_LATE_S = 0.2  # when it takes far longer than expected
FIRST_LOOK_SHARE = 0.9  # of the expected time of an order
REPORT_SHOWS_S = 0.1  # how old a report usually is; learned from nothing, only a first look depends on it
UNLOAD_TAKES_S = 0.02
ADAPTER_TAKES_S = 0.02
WARM_SHARE = 0.85  # of its load time, for a model from the server's own disk
EDGES_LEARN_S = 0.2  # until edges have stopped sending for what was withdrawn
LATELY_S = 2.0  # without a request for this long, a model is unloaded without waiting for the edges
REPLAN_S = 0.25  # between plans when nothing happens
LEAST_BETWEEN_PLANS_S = 0.02
FIRST_REPORTS_S = 0.1  # before the first plan, so that it knows all servers
AFTER_CONFLICT_S = 0.25  # a report asked for earlier may not show why an order was refused
AFTER_INVALID_S = 2.0
RETRY_UNSENT_S = 0.1


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask a server for its report."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send an order."""

    address: str
    order: Order
    ticket: OrderTicket


Step = Poll | Send


@dataclass(slots=True)
class PlacementCounters:
    """What was done since the start, for the status page."""

    loads_from_store: int = 0
    loads_warm: int = 0
    adapter_loads: int = 0
    unloads: int = 0
    polls: int = 0
    plans: int = 0
    results: dict[OrderResult, int] = field(default_factory=dict)


class PlacementReconciler:
    """Placement of one service. Call the event methods as things happen, and due() when next_at() says."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._engine: Engine | None = None
        self._load_share = 1.0
        self._sizes = SizeBook()
        self._records: dict[str, ServerRecord] = {}
        self._demand = DemandTable()
        self._bucket = LoadBucket(0.0)
        self._pace = LoadPace()
        self._running = False
        self._last_fence = 0
        self._plan_at = math.inf
        self._planned_at = -math.inf
        self._published: dict[str, Mapping[str, HeldModel]] = {}
        self._changed: set[str] = set()
        self.counters = PlacementCounters()

    # Events

    def start(self, now: float) -> None:
        """Ownership was gained: start from nothing but the list and what servers have held."""
        self._running = True
        self._demand = DemandTable()
        self._pace = LoadPace()
        self._bucket = LoadBucket(now)
        self._set_bucket_rate(now)
        self._forget(now)
        self._planned_at = now + FIRST_REPORTS_S
        self._plan_at = self._planned_at

    def stop(self, now: float) -> None:
        """Ownership was lost."""
        self._running = False
        self._plan_at = math.inf
        self._forget(now)

    def _forget(self, now: float) -> None:
        for record in self._records.values():
            record.forget_calls(now)
            record.next_poll_at = now + self._rng.random() * 0.05
        self._publish_all(now)

    def set_engine(self, now: float, engine: Engine, load_share: float) -> None:
        """A configuration came into force. load_share: this service's part of the store's rate."""
        self._engine = engine
        self._load_share = load_share
        self._sizes.learn(engine)
        self._set_bucket_rate(now)
        self._soon(now)

    def _set_bucket_rate(self, now: float) -> None:
        if self._engine is not None:
            self._bucket.set_rate(now, self._engine.loads_per_s * self._load_share)

    def set_servers(self, now: float, servers: Sequence[ListedServer]) -> None:
        """The platform's list was read."""
        listed = by_id(servers)
        for server_id in [known for known in self._records if known not in listed]:
            del self._records[server_id]
        for server in servers:
            record = self._records.get(server.id)
            if record is None:
                self._records[server.id] = ServerRecord(server, now)
            else:
                before = record.lasting
                record.relist(server)
                if record.lasting is not before:
                    self._soon(now)
        self._publish_all(now)

    def add_demand(self, now: float, demands: Iterable[ModelDemand], source: str = "") -> None:
        """An edge, `source`, has reported what it was asked for."""
        if self._demand.add(now, demands, source):
            self._soon(now)

    def on_report(self, now: float, server_id: str, asked_at: float, answer: Report | ReportFailure) -> None:
        """A poll has ended."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.calling = False
        if isinstance(answer, Report):
            self._take_report(now, record, asked_at, answer)
        else:
            self._miss_report(now, record, asked_at, answer)
        self._publish_all(now)

    def _take_report(self, now: float, record: ServerRecord, asked_at: float, report: Report) -> None:
        first = record.report is None or record.failing
        done = record.take_report(asked_at, report)
        record.next_poll_at = now + self._next_poll_in(now, record)
        if done is not None:
            self._learn_pace(done, asked_at, report)
        if done is not None or first:
            self._soon(now)

    def _miss_report(self, now: float, record: ServerRecord, asked_at: float, failure: ReportFailure) -> None:
        dark = record.dark(now)
        asked_at = max(asked_at, now - REPORT_TIMEOUT_S)  # earlier only if this process did not run
        record.miss_report(asked_at, failure)
        pause = POLL_AGAIN_S if failure is ReportFailure.NO_ANSWER else POLL_RETRY_S
        if record.dark(now):
            pause = POLL_DARK_S
        record.next_poll_at = now + pause * (0.9 + 0.2 * self._rng.random())
        if record.dark(now) and not dark:
            self._soon(now)

    def _next_poll_in(self, now: float, record: ServerRecord) -> float:
        pending = record.pending
        if pending is None:
            if record.report is not None and record.report.busy:
                return POLL_LATE_S
            return POLL_S * (0.9 + 0.2 * self._rng.random())
        if now - pending.sent_at > 3.0 * pending.expected_s + 1.0:
            return POLL_LATE_S
        return POLL_ORDER_S

    def _learn_pace(self, done: PendingOrder, asked_at: float, report: Report) -> None:
        if not done.order.loads_model or not done.order.from_store or not shows(report, done.order):
            return
        engine = self._engine
        nominal = _load_time(engine, done.order.ref.model) if engine is not None else 0.0
        if nominal > 0 and done.stage is OrderStage.TAKEN:
            self._pace.learn(done.at_once, asked_at - done.sent_at, nominal)

    def on_order(self, now: float, order: Order, result: OrderResult) -> None:
        """An order was answered, or got no answer."""
        self.counters.results[result] = self.counters.results.get(result, 0) + 1
        if order.from_store and result in _NEVER_BEGAN:
            self._bucket.give_back()
        record = self._records.get(order.server_id)
        if record is None or record.pending is None or record.pending.order is not order:
            return
        record.calling = False
        pending = record.pending
        pending.answered_at = now
        if result is OrderResult.TAKEN:
            pending.stage = OrderStage.TAKEN
            record.next_poll_at = now + max(0.05, FIRST_LOOK_SHARE * pending.expected_s)
        elif result is OrderResult.UNKNOWN:
            pending.stage = OrderStage.UNKNOWN
            record.next_poll_at = now
        elif result is OrderResult.HELD:
            pending.stage = OrderStage.SETTLING
            record.next_poll_at = now + REPORT_SHOWS_S
        else:
            record.pending = None
            self._refused(now, record, result)
        self._publish(now, record)

    def _refused(self, now: float, record: ServerRecord, result: OrderResult) -> None:
        """The order did not and will not begin."""
        if result is OrderResult.FENCED:
            record.fenced_at = self._last_fence
        elif result is OrderResult.OTHER_SERVER:
            record.misdirected = True
            self._publish_all(now)
        elif result is OrderResult.CONFLICT:
            record.no_orders_until = now + AFTER_CONFLICT_S
        elif result is OrderResult.INVALID:
            record.no_orders_until = now + AFTER_INVALID_S
        else:
            record.no_orders_until = now + RETRY_UNSENT_S
        record.next_poll_at = max(now, record.no_orders_until)
        self._soon(now)

    # What to do

    def next_at(self) -> float:
        """When due() has something to do, unless an event comes first."""
        if not self._running:
            return math.inf
        times = [self._plan_at]
        for record in self._records.values():
            times.append(record.dark_at())
            if record.calling or record.misdirected:
                continue
            times.append(record.next_poll_at)
            if record.withdrawal is not None:
                times.append(record.withdrawal.at)
        return min(times)

    def due(self, now: float, holder: str, fence: int, may_order: bool) -> list[Step]:
        """The calls to begin now. Each must be answered by on_report or on_order."""
        if not self._running:
            return []
        self._last_fence = fence
        steps: list[Step] = []
        self._notice_dark(now)
        if may_order:
            steps.extend(self._due_withdrawals(now, holder, fence))
            if now >= self._plan_at:
                steps.extend(self._replan(now, holder, fence))
        else:
            self._drop_withdrawals(now)
            self._plan_at = max(self._plan_at, now + REPLAN_S)
        steps.extend(self._due_polls(now))
        return steps

    def _notice_dark(self, now: float) -> None:
        """Servers that became dark by mere time since the last look."""
        turned = [record for record in self._records.values() if record.dark_at() <= now]
        for record in turned:
            record.dark_noticed = True
        if turned:
            self._publish_all(now)
            self._soon(now)

    def _due_polls(self, now: float) -> list[Step]:
        polls: list[Step] = []
        for record in self._records.values():
            if record.calling or record.misdirected or now < record.next_poll_at:
                continue
            record.calling = True
            record.next_poll_at = now + POLL_S
            self.counters.polls += 1
            polls.append(Poll(record.listed.id, record.listed.address))
        return polls

    def _soon(self, now: float) -> None:
        if self._running:
            self._plan_at = min(self._plan_at, max(now, self._planned_at + LEAST_BETWEEN_PLANS_S))

    def _replan(self, now: float, holder: str, fence: int) -> list[Step]:
        self._plan_at = now + REPLAN_S
        self._planned_at = now
        engine = self._engine
        if engine is None or not self._records:
            return []
        self.counters.plans += 1
        demand = self._demand.view(now)
        store = StoreView(self._bucket.available(now), self._pace.at_once)
        views = self._views(now, fence, engine)
        steps: list[Step] = []
        for order in plan(views, demand, engine, self._sizes, store):
            if order.operation is Operation.UNLOAD and self._in_use(demand, order.ref):
                self._withdraw(now, order)
                continue
            step = self._begin(now, order, holder, fence)
            if step is not None:
                steps.append(step)
        if demand.models and store.tokens < 1:
            self._plan_at = min(self._plan_at, max(self._bucket.next_at(now), now + LEAST_BETWEEN_PLANS_S))
        return steps

    def _views(self, now: float, fence: int, engine: Engine) -> list[ServerView]:
        dark = self._dark(now)
        return [self._view(now, fence, engine, record, dark) for record in self._records.values()]

    def _view(
        self, now: float, fence: int, engine: Engine, record: ServerRecord, dark: set[str]
    ) -> ServerView:
        used = record.usage(self._sizes)
        listed = record.listed
        return ServerView(
            id=listed.id,
            zone=listed.zone,
            slots=listed.slots,
            lasting=record.lasting and listed.id not in dark,
            orderable=record.withdrawal is None and record.orderable(now, fence),
            held=record.held(),
            free_mb=engine.weights_mb - used.mb,
            free_adapters=engine.max_adapters - used.adapters,
            going=record.going(),
            coming=record.coming(),
            purpose=record.purpose(now),
            reserved_for=record.reserved_for(now),
            held_before=record.held_before,
        )

    # Withdrawals

    @staticmethod
    def _in_use(demand: DemandView, ref: ModelRef) -> bool:
        seen = demand.of(ref)
        return seen.idle_s < LATELY_S or seen.in_flight > 0

    def _withdraw(self, now: float, order: Order) -> None:
        record = self._records[order.server_id]
        record.withdrawal = Withdrawal(order, now + EDGES_LEARN_S)
        self._publish(now, record)

    def _due_withdrawals(self, now: float, holder: str, fence: int) -> list[Step]:
        steps: list[Step] = []
        for record in self._records.values():
            withdrawal = record.withdrawal
            if withdrawal is None or now < withdrawal.at or record.calling:
                continue
            record.withdrawal = None
            if record.orderable(now, fence) and not self._wanted_again(now, record, withdrawal.order.ref):
                step = self._begin(now, withdrawal.order, holder, fence)
                if step is not None:
                    steps.append(step)
            self._publish(now, record)
            self._soon(now)
        return steps

    def _drop_withdrawals(self, now: float) -> None:
        for record in self._records.values():
            if record.withdrawal is not None:
                record.withdrawal = None
                self._publish(now, record)

    def _wanted_again(self, now: float, record: ServerRecord, ref: ModelRef) -> bool:
        """Whether requests have come to wait for what was to be unloaded as its last copy."""
        if not self._demand.view(now).of(ref).waiting:
            return False
        others = (other for other in self._records.values() if other is not record and other.lasting)
        return not any(_ready_for(other, ref) for other in others)

    # Orders

    def _begin(self, now: float, order: Order, holder: str, fence: int) -> Send | None:
        """Put an order on the record and give it out, unless it would break a limit."""
        record = self._records.get(order.server_id)
        engine = self._engine
        if record is None or engine is None or not record.orderable(now, fence):
            return None
        if order.operation is Operation.LOAD and not self._admits(record, engine, order):
            return None
        if order.from_store and not self._bucket.take(now):
            return None
        report = record.report
        assert report is not None  # orderable
        at_once = 1 + sum(1 for other in self._records.values() if _is_model(other.coming()))
        record.pending = PendingOrder(
            order, report.sequence, now, self._expected_s(engine, order, at_once), at_once
        )
        record.calling = True
        record.reservation = None
        self._count(order)
        self._publish(now, record)
        return Send(record.listed.address, order, OrderTicket(holder, fence, report.sequence))

    def _admits(self, record: ServerRecord, engine: Engine, order: Order) -> bool:
        after = self._usage_with(record, order.ref)
        return Capacity(engine.weights_mb, engine.max_adapters).admits(after)

    def _usage_with(self, record: ServerRecord, ref: ModelRef) -> Usage:
        coming = record.coming()
        loads = [ref] if coming is None else [coming, ref]
        return usage(record.held().values(), loads, self._sizes)

    def _expected_s(self, engine: Engine, order: Order, at_once: int) -> float:
        if order.operation is Operation.UNLOAD:
            return UNLOAD_TAKES_S + REPORT_SHOWS_S
        if order.ref.adapter:
            return ADAPTER_TAKES_S + REPORT_SHOWS_S
        seconds = _load_time(engine, order.ref.model) * max(1.0, at_once / self._pace.at_once)
        return seconds * (1.0 if order.from_store else WARM_SHARE) + REPORT_SHOWS_S

    def _count(self, order: Order) -> None:
        counters = self.counters
        if order.operation is Operation.UNLOAD:
            counters.unloads += 1
        elif order.ref.adapter:
            counters.adapter_loads += 1
        elif order.from_store:
            counters.loads_from_store += 1
        else:
            counters.loads_warm += 1

    # What is ready

    def ready_models(self, server_id: str) -> Mapping[str, HeldModel]:
        """What requests may be sent for to a server now."""
        return self._published.get(server_id, {})

    def take_changes(self) -> list[str]:
        """Ids of servers whose ready models have changed since the last call."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def _dark(self, now: float) -> set[str]:
        dark = {server_id for server_id, record in self._records.items() if record.dark(now)}
        certain = {server_id for server_id in dark if self._records[server_id].misdirected}
        return certain if too_many_dark(len(dark), len(self._records)) else dark

    def _publish_all(self, now: float) -> None:
        for gone in [known for known in self._published if known not in self._records]:
            del self._published[gone]
        dark = self._dark(now)
        for server_id, record in self._records.items():
            self._publish_ready(server_id, {} if server_id in dark else record.ready())

    def _publish(self, now: float, record: ServerRecord) -> None:
        server_id = record.listed.id
        if self._records.get(server_id) is not record:
            return
        dark = record.dark(now) and server_id in self._dark(now)
        self._publish_ready(server_id, {} if dark else record.ready())

    def _publish_ready(self, server_id: str, ready: Mapping[str, HeldModel]) -> None:
        if self._published.get(server_id) != ready:
            self._published[server_id] = ready
            self._changed.add(server_id)


_NEVER_BEGAN = frozenset(
    {
        OrderResult.NOT_SENT,
        OrderResult.CONFLICT,
        OrderResult.FENCED,
        OrderResult.OTHER_SERVER,
        OrderResult.HELD,
    }
)


def _is_model(ref: ModelRef | None) -> bool:
    return ref is not None and not ref.adapter


def _load_time(engine: Engine, name: str) -> float:
    return next((model.load_time_s for model in engine.models if model.name == name), 1.0)


def _ready_for(record: ServerRecord, ref: ModelRef) -> bool:
    held = record.ready().get(ref.model)
    return held is not None and (not ref.adapter or ref.adapter in held.adapters)
