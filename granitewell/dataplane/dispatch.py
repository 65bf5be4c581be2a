"""Assignment of requests to servers, and the queues of waiting requests. No I/O.

An assigned request counts as in flight at its server at once; the caller reports its end with `ended`. A
request that finds no server waits in the queue of its service until one is available. Requests with higher
priority come first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from random import Random

from granitewell.dataplane.affinity import PrefixAffinity
from granitewell.dataplane.demand import Demand
from granitewell.dataplane.headers import PromptPart
from granitewell.dataplane.request_queue import QueuePosition, RequestQueue
from granitewell.dataplane.retry_budget import RetryBudget
from granitewell.dataplane.server_selection import Pool
from granitewell.dataplane.servers import ServerRecord
from granitewell.domain.configuration import Configuration, Service
from granitewell.domain.servers import ModelDemand, ModelRef, Server, ServerState
from granitewell.domain.settings import Bounds

MAX_POOLS = 1_024  # per node; beyond it the least recently used pools without requests are evicted
DEFAULT_SETUP_S = 2.0  # time until another server of a service without models is ready
# An engine must be able to begin a response within this many latency targets. Beyond it, more requests would
# only make all responses late, and servers reject requests only at longer queues.
MAX_FIRST_BYTE_TARGET_RATIO = 1.5
MAX_CONNECTIONS_RATIO = 0.9  # fraction of a server's connection limit that all nodes together may use


@dataclass(slots=True)
class DispatchRequest:
    """A request to be assigned to a server.

    Attributes:
        ref: The model; None if the service runs no models.
        target_s: Latency target, in seconds.
        parts: Parts of the prompt that a server may have cached.
        attempted: Ids of servers that earlier attempts were assigned to.
        excluded: Ids of servers that must not receive it again.
        expected_version: Version of the model's weights that it needs, 0 for any.
    """

    service: str
    ref: ModelRef | None
    priority: int
    target_s: float
    parts: Sequence[PromptPart]
    attempted: set[str] = field(default_factory=set)
    excluded: set[str] = field(default_factory=set)
    expected_version: int = 0
    is_final_attempt: bool = False  # it can't be retried
    waits_for_model: bool = False  # it is queued because no server has loaded the model


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits in the queue for a server.

    It alone holds the callback, and only the queue and the waiting coroutine hold it. If the request held it,
    each request would be part of a reference cycle with its forwarder and its body.

    Attributes:
        on_assigned: Called with the server that the request is assigned to.
    """

    request: DispatchRequest
    on_assigned: Callable[[ServerRecord], None]


class _ServiceState:
    """Servers, queue and retry budget of one service."""

    def __init__(self, budget: RetryBudget) -> None:
        self.records: dict[str, ServerRecord] = {}
        self.generation = 0  # changes with `records`; pools of an older generation are refilled
        self.queue: RequestQueue[QueuedRequest] = RequestQueue()
        self.budget = budget


class _PoolEntry:
    __slots__ = ("generation", "pool", "used_at")

    def __init__(self, pool: Pool) -> None:
        self.pool, self.generation, self.used_at = pool, -1, 0.0


class Dispatcher:
    """Servers, pools and queues of one edge."""

    def __init__(self, bounds: Bounds, rng: Random) -> None:
        self._bounds, self._rng = bounds, rng
        self._services: dict[str, _ServiceState] = {}
        self._service_of: dict[str, str] = {}
        self._pools: dict[tuple[str, ModelRef | None], _PoolEntry] = {}
        self._configured: dict[str, Service] = {}
        self._edges, self._max_edges = 1, 1
        self._affinity = PrefixAffinity()
        self._demand = Demand()

    # --- Updates ----------------------------------------------------------------------------------------
    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        before, self._configured = self._configured, dict(configuration.services)
        for key in list(self._pools):
            service = key[0]
            if before.get(service) != self._configured.get(service) and not self._pools[key].pool.in_flight:
                del self._pools[key]

    def set_edges(self, alive: int, max_edges: int) -> None:
        """Set the number of edges that divide the traffic, and the maximum that divide the retry budget."""
        self._edges, self._max_edges = max(alive, 1), max(max_edges, alive, 1)
        for state in self._services.values():
            state.budget.set_max_edges(self._bounds.retry_budget_slack, self._max_edges)

    def apply_servers(
        self,
        changed: Sequence[Server],
        removed: Sequence[str],
        now: float,
    ) -> list[str]:
        """Apply changes of the table of servers, and assign waiting requests.

        Returns:
            Ids of the removed servers.
        """
        changed_services = {server.service for server in changed}
        for server in changed:
            self._add_or_update(server)
        listed = {server.id for server in changed}
        removed_ids = set(removed) - listed
        for server_id in removed_ids:
            changed_services.add(self._remove_server(server_id))
        for service in changed_services & set(self._services):
            self._services[service].generation += 1
            self.wake(service, now)
        return sorted(removed_ids)

    def _add_or_update(self, server: Server) -> None:
        if self._service_of.get(server.id, server.service) != server.service:
            self._remove_server(server.id)
        records = self._state(server.service).records
        self._service_of[server.id] = server.service
        record = records.get(server.id)
        if record is None:
            records[server.id] = ServerRecord(server)
        else:
            record.server = server

    def _remove_server(self, server_id: str) -> str:
        service = self._service_of.pop(server_id, "")
        if service:
            del self._services[service].records[server_id]
            self._services[service].generation += 1
        return service

    def _state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_budget_slack, self._max_edges)
            state = self._services[service] = _ServiceState(budget)
        return state

    # --- Pools ------------------------------------------------------------------------------------------
    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        return self._configured.get(name)

    def is_configured(self, service: str, ref: ModelRef | None) -> bool:
        """Return whether the configuration has the service and, if it runs models, the model."""
        configured = self._configured.get(service)
        if configured is None:
            return False
        if configured.engine is None or ref is None:
            return True
        model = next((model for model in configured.engine.models if model.name == ref.model), None)
        if model is None:
            return False
        return not ref.adapter or _adapter_number(ref.adapter) in range(1, model.adapters + 1)

    def load_time_s(self, service: str, ref: ModelRef | None) -> float:
        """Return the time until another server of the pool is ready, in seconds."""
        configured = self._configured.get(service)
        if configured is None or configured.engine is None or ref is None:
            return DEFAULT_SETUP_S
        models = configured.engine.models
        return next((model.load_time_s for model in models if model.name == ref.model), DEFAULT_SETUP_S)

    def pool(self, service: str, ref: ModelRef | None, now: float) -> Pool:
        """Return the pool of a service or model, with the servers that are ready now."""
        entry = self._pools.get((service, ref))
        if entry is None:
            entry = self._pools[(service, ref)] = _PoolEntry(self._new_pool(service, ref))
            self._evict_idle_pools()
        entry.used_at = now
        state = self._state(service)
        if entry.generation != state.generation:
            entry.generation = state.generation
            entry.pool.set_servers([r for r in state.records.values() if _may_run(r.server, ref)])
        return entry.pool

    def _new_pool(self, service: str, ref: ModelRef | None) -> Pool:
        configured = self._configured.get(service)
        engine = configured.engine if configured is not None else None
        key = f"{service} {ref.model}/{ref.adapter}" if ref is not None else service
        slots, setup_s = engine.slots if engine else None, self.load_time_s(service, ref)
        return Pool(key, slots, setup_s, self._rng, ref.model if ref is not None else "")

    def _evict_idle_pools(self) -> None:
        if len(self._pools) <= MAX_POOLS:
            return
        idle = [key for key, entry in self._pools.items() if not entry.pool.in_flight]
        idle.sort(key=lambda key: self._pools[key].used_at)
        for key in idle[: MAX_POOLS // 4]:
            del self._pools[key]

    # --- Requests ---------------------------------------------------------------------------------------
    def arrived(self, dispatch_request: DispatchRequest, now: float) -> None:
        """Record that a request has arrived."""
        self.pool(dispatch_request.service, dispatch_request.ref, now).arrived(now, self._edges)
        if dispatch_request.ref is not None:
            self._demand.arrived(dispatch_request.service, dispatch_request.ref)

    def choose(self, dispatch_request: DispatchRequest, now: float) -> ServerRecord | None:
        """Assign a server to a request; None if it must wait, also behind others for the same model."""
        pool = self.pool(dispatch_request.service, dispatch_request.ref, now)
        for position in self._state(dispatch_request.service).queue:
            first = position.request.request
            if position.priority <= dispatch_request.priority and first.ref == dispatch_request.ref:
                return None
        return self._choose(pool, dispatch_request, now)

    def _choose(self, pool: Pool, dispatch_request: DispatchRequest, now: float) -> ServerRecord | None:
        if not pool.servers:
            return None
        cached_tokens = (
            self._affinity.cached_tokens(pool.key, dispatch_request.parts) if dispatch_request.parts else None
        )
        excluded: Collection[str] = dispatch_request.excluded
        if dispatch_request.expected_version and pool.has_several_versions:
            excluded = dispatch_request.excluded | pool.with_other_version(dispatch_request.expected_version)
        capacity = self._capacity_check(dispatch_request, pool, now)
        record = pool.pick(
            now,
            self._edges,
            dispatch_request.attempted,
            excluded,
            cached_tokens,
            capacity,
            dispatch_request.is_final_attempt,
        )
        if record is None:
            return None
        pool.sent(record, now)
        if dispatch_request.parts:
            self._affinity.sent(pool.key, dispatch_request.parts, record.id)
        if dispatch_request.ref is not None:
            self._demand.sent(dispatch_request.service, dispatch_request.ref)
        return record

    def _capacity_check(
        self, dispatch_request: DispatchRequest, pool: Pool, now: float
    ) -> Callable[[ServerRecord], bool]:
        """Return the condition that a server must meet besides a free slot.

        It needs a free connection and must be able to begin a response in time.
        """
        configured = self._configured.get(dispatch_request.service)
        max_connections = (
            configured.max_connections * MAX_CONNECTIONS_RATIO / self._edges if configured else math.inf
        )
        max_first_byte_s = (
            dispatch_request.target_s * MAX_FIRST_BYTE_TARGET_RATIO if pool.runs_models else math.inf
        )
        return lambda record: (
            record.in_flight < max(max_connections, 1.0)
            and (record.in_flight == 0 or record.expected_first_byte_s(now) <= max_first_byte_s)
        )

    def ended(self, dispatch_request: DispatchRequest, record: ServerRecord, now: float) -> None:
        """Record that a request at a server has ended."""
        self.pool(dispatch_request.service, dispatch_request.ref, now).ended(record)
        if dispatch_request.ref is not None:
            self._demand.ended(dispatch_request.service, dispatch_request.ref)
        self.wake(dispatch_request.service, now)

    def release_unsent(self, dispatch_request: DispatchRequest, record: ServerRecord, now: float) -> None:
        """Record that a request was not sent to the server chosen for it."""
        record.request_withdrawn()
        self.ended(dispatch_request, record, now)

    # --- Queue ------------------------------------------------------------------------------------------
    def wait(
        self, dispatch_request: DispatchRequest, now: float, on_assigned: Callable[[ServerRecord], None]
    ) -> QueuePosition[QueuedRequest]:
        """Queue a request and return its position. Raises QueueFullError.

        Args:
            dispatch_request: The request.
            now: Current time, in seconds.
            on_assigned: Called with the server that it is assigned to, unless it leaves before.
        """
        position = self._state(dispatch_request.service).queue.join(
            dispatch_request.priority, QueuedRequest(dispatch_request, on_assigned)
        )
        dispatch_request.waits_for_model = dispatch_request.ref is not None and self.pool(
            dispatch_request.service, dispatch_request.ref, now
        ).empty(now)
        if dispatch_request.ref is not None and dispatch_request.waits_for_model:
            self._demand.wait_started(
                dispatch_request.service, dispatch_request.ref, dispatch_request.priority
            )
        return position

    def leave(self, position: QueuePosition[QueuedRequest]) -> None:
        """Remove a request from the queue."""
        dispatch_request = position.request.request
        self._state(dispatch_request.service).queue.leave(position)
        if dispatch_request.waits_for_model and dispatch_request.ref is not None:
            dispatch_request.waits_for_model = False
            self._demand.wait_ended(dispatch_request.service, dispatch_request.ref, dispatch_request.priority)

    def wake(self, service: str, now: float) -> None:
        """Assign available servers to waiting requests of a service."""
        queue = self._state(service).queue
        if not queue:
            return
        models_without_server: set[ModelRef | None] = set()
        for position in queue:
            dispatch_request = position.request.request
            if dispatch_request.ref in models_without_server:
                continue
            record = self._choose(self.pool(service, dispatch_request.ref, now), dispatch_request, now)
            if record is None:
                models_without_server.add(dispatch_request.ref)
                continue
            self.leave(position)
            position.request.on_assigned(record)

    def wake_all(self, now: float) -> bool:
        """Assign available servers to waiting requests of all services; return whether any still wait."""
        for service in self._services:
            self.wake(service, now)
        return any(state.queue for state in self._services.values())

    # --- Budget and demand ------------------------------------------------------------------------------
    def budget(self, service: str) -> RetryBudget:
        """Return this edge's share of the retry budget of a service."""
        return self._state(service).budget

    def latency_target_missed(self, dispatch_request: DispatchRequest, now: float) -> None:
        """Record that a request took longer than its latency target."""
        self.pool(dispatch_request.service, dispatch_request.ref, now).latency_target_missed(now, self._edges)

    def urgent_report_due(self, now: float) -> bool:
        """Return whether to report now that requests wait for a model; if so, it counts as reported."""
        return self._demand.urgent_report_due(now)

    def take_demand(self) -> list[ModelDemand]:
        """Return the demand since the last call."""
        return self._demand.take()


def _may_run(server: Server, ref: ModelRef | None) -> bool:
    if server.state is not ServerState.READY:
        return False
    if ref is None:
        return True
    loaded = server.models.get(ref.model)
    return loaded is not None and (not ref.adapter or ref.adapter in loaded.adapters)


def _adapter_number(name: str) -> int:
    digits = name[1:]
    return int(digits) if name[:1] == "a" and digits.isascii() and digits.isdigit() and len(digits) < 9 else 0
