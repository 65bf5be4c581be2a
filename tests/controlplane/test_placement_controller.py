"""The placement controller in virtual time, and the HTTP client against a server on loopback."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, cast

import aiohttp
from aiohttp import web

from granitewell.controlplane.placement.controller import ListedServer, PlacementController
from granitewell.controlplane.placement.orders import (
    HttpServerClient,
    Operation,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
)
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef, ServerState

MODELS = tuple(Model(f"m{i}", 60_000.0, 0.6, 4, 40.0) for i in range(6))
ENGINE = Engine(64, MODELS, 200_000.0, 8, 5.0)
ORDER = Order("i-1", Operation.LOAD, ModelRef("m1"))
TICKET = OrderTicket("node-1", 7, 0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())
        self._virtual = 0.0
        select = self._selector.select  # type: ignore[attr-defined]

        def skip(timeout: float | None = None) -> Any:
            events = select(0)
            if not events and timeout:
                self._virtual += timeout
            return events

        self._selector.select = skip  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._virtual


def _play(scenario: Callable[[], Awaitable[None]]) -> None:
    loop = _VirtualLoop()
    try:
        loop.run_until_complete(cast(Any, scenario()))
    finally:
        loop.close()


class _Ownership:
    holder = "node-1"

    def __init__(self) -> None:
        self.fencing_token = 7
        self.allowed = True

    def may_order(self) -> bool:
        return self.allowed


class _Client:
    """Client of one server that accepts orders, with a connection delay."""

    def __init__(self) -> None:
        self.held: dict[str, LoadedModel] = {}
        self.sequence = 0
        self.busy = False
        self.sent: list[tuple[Order, OrderTicket]] = []
        self.connect_s = 0.0
        self.polls = 0

    async def report(self, server_id: str, address: str) -> Report | ReportFailure:
        self.polls += 1
        await asyncio.sleep(0.002)
        return Report(self.sequence, self.busy, dict(self.held))

    async def send(
        self, address: str, order: Order, ticket: OrderTicket, may_send: Callable[[], bool]
    ) -> OrderResult:
        await asyncio.sleep(self.connect_s)
        if not may_send():
            return OrderResult.NOT_SENT
        self.sent.append((order, ticket))
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().call_later(0.6, self._done, order)
        return OrderResult.ACCEPTED

    def _done(self, order: Order) -> None:
        self.busy = False
        self.held[order.ref.model] = LoadedModel(order.ref.model)


class _Bench:
    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ownership = _Ownership()
        self.client = _Client()
        self.changes: list[str] = []
        self.controller = PlacementController(
            "llm", self.ownership, cast(aiohttp.ClientSession, None), Random(1), loop.time,
            self.changes.append, self.client,
        )  # fmt: skip
        self.controller.set_engine(ENGINE, 1.0)
        self.controller.set_servers([ListedServer("i-1", "10.0.0.1:80", "z", ServerState.READY, 64)])
        self.task = asyncio.create_task(self.controller.run())

    def miss(self, name: str) -> None:
        self.controller.add_demand([ModelDemand("llm", ModelRef(name), 1, 1, 0, 0)])

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def test_a_miss_is_loaded_and_published() -> None:
    async def scenario() -> None:
        bench = _Bench()
        await asyncio.sleep(1.0)
        bench.changes.clear()
        bench.miss("m3")
        await asyncio.sleep(1.0)
        assert [order.ref.model for order, _ in bench.client.sent] == ["m3"]
        assert bench.client.sent[0][1] == TICKET
        assert bench.controller.ready_models("i-1") == {"m3": LoadedModel("m3")}
        assert bench.changes == ["i-1"]
        await bench.stop()

    _play(scenario)


def test_an_order_whose_connection_outlives_the_lease_is_not_sent() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.client.connect_s = 0.2
        await asyncio.sleep(1.0)
        bench.miss("m3")
        await asyncio.sleep(0.1)
        bench.ownership.allowed = False
        await asyncio.sleep(2.0)
        assert bench.client.sent == []
        bench.ownership.allowed = True
        bench.miss("m3")
        await asyncio.sleep(1.0)
        assert len(bench.client.sent) == 1
        await bench.stop()

    _play(scenario)


def test_an_order_of_an_earlier_term_is_not_sent() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.client.connect_s = 0.2
        await asyncio.sleep(1.0)
        bench.miss("m3")
        await asyncio.sleep(0.1)
        bench.ownership.fencing_token = 8
        await asyncio.sleep(0.15)
        assert bench.client.sent == []
        await bench.stop()

    _play(scenario)


def test_after_losing_ownership_nothing_is_called_and_it_can_start_again() -> None:
    async def scenario() -> None:
        bench = _Bench()
        await asyncio.sleep(1.0)
        bench.miss("m3")
        await asyncio.sleep(0.01)
        await bench.stop()
        polls = bench.client.polls
        bench.miss("m4")
        bench.controller.set_servers([ListedServer("i-1", "10.0.0.1:80", "z", ServerState.READY, 64)])
        await asyncio.sleep(3.0)
        assert bench.client.polls == polls
        bench.ownership.fencing_token = 9
        bench.task = asyncio.create_task(bench.controller.run())
        await asyncio.sleep(1.0)
        bench.miss("m4")
        await asyncio.sleep(2.0)
        assert bench.client.sent[-1][0].ref == ModelRef("m4")
        assert bench.client.sent[-1][1].fencing_token == 9
        await bench.stop()

    _play(scenario)


def test_an_idle_loop_polls_once_a_second() -> None:
    async def scenario() -> None:
        bench = _Bench()
        await asyncio.sleep(20.0)
        assert 17 <= bench.client.polls <= 24
        await bench.stop()

    _play(scenario)


# The HTTP client


class _Server:
    """An engine server on loopback with scripted answers."""

    def __init__(self) -> None:
        self.status = 202
        self.orders: list[dict[str, Any]] = []
        self.headers: list[str] = []
        self.body = b'{"models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":3}'
        self.drop = False
        self.report_status = 200

    async def order(self, request: web.Request) -> web.StreamResponse:
        self.orders.append(await request.json())
        self.headers.append(request.headers.get("Granitewell-Expect-Instance", ""))
        assert request.headers.get("Transfer-Encoding") is None
        if self.drop and request.transport is not None:
            request.transport.abort()
        return web.Response(status=self.status)

    async def report(self, request: web.Request) -> web.StreamResponse:
        self.headers.append(request.headers.get("Granitewell-Expect-Instance", ""))
        if self.drop and request.transport is not None:
            request.transport.abort()
        return web.Response(status=self.report_status, body=self.body)


def _serve(scenario: Callable[[_Server, str, HttpServerClient], Awaitable[None]]) -> None:
    async def run() -> None:
        server = _Server()
        app = web.Application()
        app.router.add_post("/order", server.order)
        app.router.add_get("/report", server.report)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as session:
            await scenario(server, f"127.0.0.1:{port}", HttpServerClient(session))
        await runner.cleanup()

    asyncio.run(run())


def _allow() -> bool:
    return True


def test_orders_and_reports_over_http() -> None:
    async def scenario(server: _Server, address: str, client: HttpServerClient) -> None:
        assert await client.send(address, ORDER, TICKET, _allow) is OrderResult.ACCEPTED
        assert server.orders == [
            {"operation": "load_model", "model": "m1", "if-revision": 0, "holder": "node-1", "fence-token": 7}
        ]
        answers = ((409, OrderResult.CONFLICT), (412, OrderResult.FENCED), (503, OrderResult.UNKNOWN))
        for status, result in answers:
            server.status = status
            assert await client.send(address, ORDER, TICKET, _allow) is result
        report = await client.report("i-1", address)
        assert report == Report(3, False, {"m1": LoadedModel("m1", version=1)})
        assert set(server.headers) == {"i-1"}

    _serve(scenario)


def test_an_order_without_the_lease_does_not_reach_the_server() -> None:
    async def scenario(server: _Server, address: str, client: HttpServerClient) -> None:
        assert await client.send(address, ORDER, TICKET, lambda: False) is OrderResult.NOT_SENT
        assert server.orders == []
        assert await client.send(address, ORDER, TICKET, _allow) is OrderResult.ACCEPTED

    _serve(scenario)


def test_an_order_whose_answer_is_lost_has_an_unknown_outcome_and_is_sent_once() -> None:
    async def scenario(server: _Server, address: str, client: HttpServerClient) -> None:
        assert await client.send(address, ORDER, TICKET, _allow) is OrderResult.ACCEPTED
        server.drop = True
        assert await client.send(address, ORDER, TICKET, _allow) is OrderResult.UNKNOWN
        assert len(server.orders) == 2

    _serve(scenario)


def test_report_failures() -> None:
    async def scenario(server: _Server, address: str, client: HttpServerClient) -> None:
        server.body = b"not a report"
        assert await client.report("i-1", address) is ReportFailure.BAD_ANSWER
        server.report_status = 421
        assert await client.report("i-1", address) is ReportFailure.OTHER_SERVER
        server.report_status = 503
        assert await client.report("i-1", address) is ReportFailure.BAD_ANSWER
        server.drop = True
        assert await client.report("i-1", address) is ReportFailure.NO_ANSWER

    _serve(scenario)


def test_connection_refused() -> None:
    async def scenario(server: _Server, address: str, client: HttpServerClient) -> None:
        closed = "127.0.0.1:9"
        assert await client.report("i-1", closed) is ReportFailure.REFUSED
        assert await client.send(closed, ORDER, TICKET, _allow) is OrderResult.NOT_SENT

    _serve(scenario)
