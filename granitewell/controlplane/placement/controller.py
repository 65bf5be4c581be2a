"""The shell of placement: runs the reconciler on asyncio and does the calls that it asks for.

The contract with the reconciler: each step it gives out is begun at once and answered once. May_order is
asked when steps are worked out, and again in the very turn in which an order's body leaves (orders.py).
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

LONGEST_SLEEP_S = 1.0

log = logbook.Logger("granitewell.placement")


class Ownership(Protocol):
    """Leadership of the service's shard."""

    holder: str

    @property
    def fencing_token(self) -> int:
        """The term of the leadership."""

    def may_order(self) -> bool:
        """Whether the lease holds at this moment."""


def _ignore(_server_id: str) -> None:
    pass


class PlacementController:
    """Places the models of one service.

    Run() is started when ownership is gained and cancelled when it is lost; the other methods may be called
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
        """What was done since the start."""
        return self._reconciler.counters

    def set_engine(self, engine: Engine, load_rate_fraction: float) -> None:
        """A configuration came into force.

        Args:
            load_rate_fraction: This service's part of the store's rate.
        """
        self._reconciler.set_engine(self._clock(), engine, load_rate_fraction)
        self._after_event()

    def set_servers(self, servers: Sequence[ListedServer]) -> None:
        """The platform's list was read: all servers of this service."""
        self._reconciler.set_servers(self._clock(), servers)
        self._after_event()

    def add_demand(self, demands: Sequence[ModelDemand], source: str = "") -> None:
        """An edge, `source`, has reported what it was asked for."""
        self._reconciler.add_demand(self._clock(), demands, source)
        self._after_event()

    def ready_models(self, server_id: str) -> Mapping[str, LoadedModel]:
        """What requests may be sent for to a server now."""
        return self._reconciler.ready_models(server_id)

    async def run(self) -> None:
        """Observe, plan and order until cancelled."""
        self._reconciler.start(self._clock())
        self._tell_changes()
        try:
            while True:
                self._step()
                await self._sleep()
        finally:
            for call in list(self._calls):
                call.cancel()
            self._calls.clear()
            self._reconciler.stop(self._clock())
            self._tell_changes()

    def _step(self) -> None:
        ownership = self._ownership
        steps = self._reconciler.due(
            self._clock(), ownership.holder, ownership.fencing_token, ownership.may_order()
        )
        self._tell_changes()
        for step in steps:
            self._spawn(self._poll(step) if isinstance(step, Poll) else self._send(step))

    async def _sleep(self) -> None:
        pause = self._reconciler.next_at() - self._clock()
        if pause <= 0:
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(min(pause, LONGEST_SLEEP_S)):
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
                "{}: server {} has seen a fence above {}; no orders to it until ownership changes",
                self._service, step.order.server_id, fencing_token,
            )  # fmt: skip
        log.debug("{}: {} {} on {}: {}", self._service, step.order.operation.value, step.order.ref,
                  step.order.server_id, result.value)  # fmt: skip
        self._reconciler.on_order(self._clock(), step.order, result)
        self._after_event()

    def _after_event(self) -> None:
        self._tell_changes()
        if self._reconciler.next_at() < math.inf:
            self._wake.set()

    def _tell_changes(self) -> None:
        for server_id in self._reconciler.take_changes():
            self._on_change(server_id)
