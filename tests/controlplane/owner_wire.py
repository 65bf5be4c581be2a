"""Simulated network between control machines and servers, and the client of placement on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from granitewell.controlplane.placement import orders
from granitewell.controlplane.placement.orders import (
    ORDER_TIMEOUT_S,
    REPORT_TIMEOUT_S,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
    order_result,
)
from tests.controlplane.owner_servers import EngineServer

if TYPE_CHECKING:
    from tests.controlplane.owner_world import OwnerProcess, OwnerWorld

NETWORK_S = 0.002
CLOSED_FRACTION = 0.3  # of orders that have to open a connection first
RETRANSMIT_S = 2.0  # within which TCP retransmits after a partition has healed


@dataclass
class ServerLink:
    """One direction between a control machine and a server."""

    cut: bool = False
    slow_s: float = 0.0
    held: list[Callable[[], None]] = field(default_factory=list)


class Wire:
    """Connections between control machines and servers.

    Bytes held back by a partition arrive after it has healed, unless the sender has reset the connection.
    """

    def __init__(self, world: OwnerWorld) -> None:
        self._world = world
        self.links: dict[tuple[str, str], ServerLink] = {}
        self.resets = True

    def link(self, sender: str, receiver: str) -> ServerLink:
        """Return the link of one direction."""
        return self.links.setdefault((sender, receiver), ServerLink())

    def carry(self, sender: str, receiver: str, arrive: Callable[[], None]) -> None:
        """Deliver bytes after a delay, or hold them back while the link is cut."""
        link = self.link(sender, receiver)
        if link.cut:
            link.held.append(arrive)
            return
        self._world.after(NETWORK_S + link.slow_s * self._world.rng.uniform(0.5, 1.0), arrive)

    def heal(self, ends: tuple[str, str]) -> None:
        """End a partition, and deliver what it held back."""
        link = self.links[ends]
        link.cut = False
        held, link.held = link.held, []
        for arrive in held:
            self._world.after(self._world.rng.uniform(0.0, RETRANSMIT_S), arrive)


class SimulatedClient:
    """`ServerClient` of one process, over the simulated network."""

    def __init__(self, process: OwnerProcess) -> None:
        self._process = process
        self._world = process.owner_world
        self._connected: set[str] = set()

    async def report(self, server_id: str, address: str) -> Report | ReportFailure:
        """Request a report."""
        answer = await self._ask(address, lambda server: server.report(), REPORT_TIMEOUT_S, server_id)
        if answer is None:
            return ReportFailure.NO_ANSWER
        return cast(Report | ReportFailure, answer)

    async def send(
        self, address: str, order: Order, ticket: OrderTicket, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Send an order, over a connection that may have to be opened first."""
        deadline = self._process.now + ORDER_TIMEOUT_S
        if self._world.rng.random() < CLOSED_FRACTION:
            self._connected.discard(address)
        if address not in self._connected and not await self._connect(address):
            return OrderResult.NOT_SENT
        if not may_send():
            return OrderResult.NOT_SENT
        self._world.order_checker.sent(self._process, order, ticket.fencing_token)
        body = orders.encode_order(order, ticket)
        await self._world.maybe_freeze_before_send(self._process)
        machine = self._process.machine.name

        def take(server: EngineServer) -> OrderResult:
            return order_result(server.take(machine, body, order.server_id))

        answer = await self._ask(address, take, max(deadline - self._process.now, 0.001))
        if answer is None:
            self._connected.discard(address)
            return OrderResult.UNKNOWN
        return OrderResult.UNKNOWN if answer is ReportFailure.REFUSED else cast(OrderResult, answer)

    async def _connect(self, address: str) -> bool:
        self._world.on_connecting(self._process)
        answer = await self._ask(address, lambda server: True, ORDER_TIMEOUT_S)
        if answer is True:
            self._connected.add(address)
        return answer is True

    async def _ask(
        self, address: str, act: Callable[[EngineServer], object], timeout_s: float, instance: str = ""
    ) -> object:
        """Return the answer; None after a timeout, which resets the connection."""
        world, process = self._world, self._process
        machine = process.machine.address
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        sent_at = world.now

        def reply(answer: object) -> None:
            process.run(lambda: None if future.done() else future.set_result(answer))

        def arrive() -> None:
            if world.wire.resets and world.now > sent_at + timeout_s:
                return
            server = world.servers[address]
            answer: object = ReportFailure.REFUSED
            if server.up:
                wrong = instance and instance != server.id
                answer = ReportFailure.OTHER_SERVER if wrong else act(server)
            world.wire.carry(address, machine, lambda: reply(answer))

        world.wire.carry(machine, address, arrive)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
