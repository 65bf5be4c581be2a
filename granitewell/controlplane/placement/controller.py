"""Runs the reconciler on asyncio and makes the calls that it asks for.

Contract with the reconciler: each step that it returns is started at once, and its result is passed back
exactly once. `may_order` is checked when steps are planned, and again in the same iteration of the event loop
in which an order's body is sent (orders.py).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from random import Random
from typing import Protocol

import aiohttp
import logbook

from granitewell.controlplane.placement.observation import ListedServer
from granitewell.controlplane.placement.orders import HttpServerClient, OrderResult, ServerClient
from granitewell.controlplane.placement.reconciler import PlacementReconciler
from granitewell.controlplane.placement.steps import PlacementCounters, Poll, Send
from granitewell.domain.configuration import Engine
from granitewell.domain.servers import LoadedModel, ModelDemand

__all__ = ["ListedServer", "Ownership", "PlacementController"]

MAX_SLEEP_S = 1.0

log = logbook.Logger("granitewell.placement")


class Ownership(Protocol):
    """Leadership of the service's shard."""

    holder: str

    @property
    def fencing_token(self) -> int:
        """Term of the leadership."""

    def may_order(self) -> bool:
        """Return whether the lease is held at this moment."""


def _ignore(_server_id: str) -> None:
    pass


class PlacementController:
    """Places the models of one service.

    `run()` is started when ownership is gained and cancelled when it is lost; the other methods may be called
    at any time.
    """

    def __init__(
        self,
        service: str,
        ownership: Ownership,
        session: aiohttp.ClientSession,
        rng: Random,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[str], None] = _ignore,
        client: ServerClient | None = None,
    ) -> None:
        self._service = service
        self._ownership = ownership
        self._client: ServerClient = client or HttpServerClient(session)
        self._clock = clock
        self._on_change = on_change
        self._reconciler = PlacementReconciler(rng)
        self._wake = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def counters(self) -> PlacementCounters:
        """Counters since the start."""
        return self._reconciler.counters

    def set_engine(self, engine: Engine, load_rate_fraction: float) -> None:
        """Apply a new configuration.

        Args:
            engine: Properties of the servers.
            load_rate_fraction: This service's fraction of the weight store's rate.
        """
        self._reconciler.set_engine(self._clock(), engine, load_rate_fraction)
        self._after_event()

    def set_servers(self, servers: Sequence[ListedServer]) -> None:
        """Apply the platform's list: all servers of this service."""
        self._reconciler.set_servers(self._clock(), servers)
        self._after_event()

    def add_demand(self, demands: Sequence[ModelDemand], source: str = "") -> None:
        """Record the demand that an edge, `source`, has reported."""
        self._reconciler.add_demand(self._clock(), demands, source)
        self._after_event()

    def ready_models(self, server_id: str) -> Mapping[str, LoadedModel]:
        """Return the models for which requests may be sent to a server now."""
        return self._reconciler.ready_models(server_id)

    async def run(self) -> None:
        """Observe, plan and order until cancelled."""
        self._reconciler.start(self._clock())
        self._notify_changes()
        try:
            while True:
                self._step()
                await self._sleep()
        finally:
            for call in list(self._calls):
                call.cancel()
            self._calls.clear()
            self._reconciler.stop(self._clock())
            self._notify_changes()

    def _step(self) -> None:
        ownership = self._ownership
        steps = self._reconciler.due(
            self._clock(), ownership.holder, ownership.fencing_token, ownership.may_order()
        )
        self._notify_changes()
        for step in steps:
            self._spawn(self._poll(step) if isinstance(step, Poll) else self._send(step))

    async def _sleep(self) -> None:
        pause = self._reconciler.next_at() - self._clock()
        if pause <= 0:
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(min(pause, MAX_SLEEP_S)):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _spawn(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _poll(self, step: Poll) -> None:
        asked_at = self._clock()
        answer = await self._client.report(step.server_id, step.address)
        self._reconciler.on_report(self._clock(), step.server_id, asked_at, answer)
        self._after_event()

    async def _send(self, step: Send) -> None:
        ownership = self._ownership
        fencing_token = step.ticket.fencing_token

        def may_send() -> bool:
            return ownership.may_order() and ownership.fencing_token == fencing_token

        result = await self._client.send(step.address, step.order, step.ticket, may_send)
        if result is OrderResult.FENCED:
            log.warning(
                "server has seen a higher fencing token; no orders until ownership changes",
                service=self._service,
                server=step.order.server_id,
                fencing_token=fencing_token,
            )
        log.debug(
            "order answered",
            service=self._service,
            operation=step.order.operation.value,
            model=str(step.order.ref),
            server=step.order.server_id,
            result=result.value,
        )
        self._reconciler.on_order(self._clock(), step.order, fencing_token, result)
        self._after_event()

    def _after_event(self) -> None:
        self._notify_changes()
        if self._reconciler.next_at() < math.inf:
            self._wake.set()

    def _notify_changes(self) -> None:
        for server_id in self._reconciler.take_changes():
            self._on_change(server_id)
