"""Orders on the wire: sent at most once, complete, conditional, and matched only with their own answer.

A scripted server defines for each call what it answers, and whether it closes or resets the connection or
stays silent. The tests run on both event loops that nodes may use.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest
import uvloop
from aiohttp.helpers import TimeoutHandle

from granitewell.controlplane.placement.orders import (
    HttpServerClient,
    Operation,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
)
from granitewell.controlplane.placement.server_session import open_server_session
from granitewell.domain.servers import ModelRef

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
ORDER = Order("i-1", Operation.LOAD, ModelRef("m1", "a2"))
TICKET = OrderTicket("node-1", 7, 3)
REPORT = json.dumps({"phase": "mixed", "models": [], "busy": False, "sequence": 3}).encode()
SILENCE_S = 0.03  # timeout of an order that is never answered; runs from when the server has received it
ANSWERED_S = 2.0  # timeout if an answer arrives, which may take a while on a busy machine
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def answer(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)


@dataclass(frozen=True)
class Act:
    """What the scripted server does with one call.

    Attributes:
        reply: Bytes of the answer.
        end: "stay", "close" or "reset" the connection afterwards.
        early: Whether to answer before reading the body.
    """

    reply: bytes = b""
    end: str = "stay"
    early: bool = False

    @property
    def order_timeout_s(self) -> float:
        """Timeout of the order: short only if the server stays silent."""
        silent = self.end == "stay" and self.reply in (b"", CONTINUE)
        return SILENCE_S if silent else ANSWERED_S


@dataclass
class Standin:
    """A scripted server.

    Attributes:
        calls: Header and body of each call received completely.
        start_order_timeouts: Start the timeouts of orders that have not been received yet.
    """

    script: list[Act]
    calls: list[tuple[bytes, bytes]] = field(default_factory=list)
    connections: int = 0
    resets: int = 0
    ends: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    start_order_timeouts: list[Callable[[], object]] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while await self._one(reader, writer):
                pass
        except ConnectionResetError:
            self.resets += 1
        except asyncio.IncompleteReadError:
            self.ends += 1
        finally:
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        act = self.script[0]
        if act.early:
            self.script.pop(0)
            writer.write(act.reply)
        lengths = [line[15:] for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")]
        length = int(lengths[0]) if lengths else 0
        body = await reader.readexactly(length)
        self.calls.append((head, body))
        while self.orders and self.start_order_timeouts:
            self.start_order_timeouts.pop()()
        if not act.early:
            self.script.pop(0)
            writer.write(act.reply)
        if act.end == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        if act.end == "close":
            await writer.drain()
            writer.close()
        return act.end == "stay"

    @property
    def orders(self) -> list[tuple[bytes, bytes]]:
        return [call for call in self.calls if call[0].startswith(b"POST /order ")]


def start_silence_on_receipt(standin: Standin, patches: pytest.MonkeyPatch) -> None:
    """Let a timeout of SILENCE_S run from the moment when the server has received the order.

    Run from the call, it may end before the connection is open, if the machine is busy: NOT_SENT is then the
    true result. The timer, its length and its effect on the call stay those of aiohttp.
    """

    class TimeoutFromReceipt(TimeoutHandle):
        def start(self) -> asyncio.TimerHandle | None:
            if self._timeout != SILENCE_S:
                return super().start()
            standin.start_order_timeouts.append(super().start)
            return None

    patches.setattr("aiohttp.client.TimeoutHandle", TimeoutFromReceipt)


Scenario = Callable[[Standin, str, HttpServerClient], Awaitable[None]]


def play(
    script: list[Act],
    scenario: Scenario,
    loops: Sequence[Callable[[], Any]] = LOOPS,
    order_timeout_s: float = ANSWERED_S,
) -> None:
    async def run() -> None:
        standin = Standin(list(script))
        server = await asyncio.start_server(standin.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with open_server_session() as session:
            client = HttpServerClient(session, report_timeout_s=ANSWERED_S, order_timeout_s=order_timeout_s)
            with pytest.MonkeyPatch.context() as patches:
                start_silence_on_receipt(standin, patches)
                async with asyncio.timeout(5):
                    await scenario(standin, f"127.0.0.1:{port}", client)
        server.close()
        for writer in standin.writers:
            writer.transport.abort()
        await server.wait_closed()
        await asyncio.sleep(0)

    for make_loop in loops:
        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(run())


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.001)


def yes() -> bool:
    return True


def assert_whole(calls: list[tuple[bytes, bytes]]) -> None:
    """Assert that each order has its revision, its fencing token and the expected instance."""
    for head, body in calls:
        assert b"\r\nGranitewell-Expect-Instance: i-1\r\n" in head
        assert json.loads(body) == {
            "operation": "load_model", "model": "m1", "adapter": "a2", "if-revision": 3, "holder": "node-1",
            "fence-token": 7,
        }  # fmt: skip


FATES = [
    (Act(answer(202)), OrderResult.ACCEPTED),
    (Act(answer(200)), OrderResult.ALREADY_DONE),
    (Act(answer(409)), OrderResult.CONFLICT),
    (Act(answer(412)), OrderResult.FENCED),
    (Act(answer(421)), OrderResult.OTHER_SERVER),
    (Act(answer(421), early=True), OrderResult.OTHER_SERVER),
    (Act(answer(400)), OrderResult.INVALID),
    (Act(answer(307, headers=b"Location: /order\r\n")), OrderResult.INVALID),
    (Act(answer(503)), OrderResult.UNKNOWN),
    (Act(answer(500), end="close"), OrderResult.UNKNOWN),
    (Act(end="close"), OrderResult.UNKNOWN),
    (Act(end="reset"), OrderResult.UNKNOWN),
    (Act(), OrderResult.UNKNOWN),
    (Act(CONTINUE), OrderResult.UNKNOWN),
    (Act(b"HTTP/1.1 202 Acc", end="close"), OrderResult.UNKNOWN),
    (Act(b"\0\x01 no answer \r\n\r\n"), OrderResult.UNKNOWN),
]


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize(("act", "result"), FATES)
def test_an_order_is_sent_once_whatever_comes_back(act: Act, result: OrderResult, reused: bool) -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        if reused:
            assert isinstance(await client.report("i-1", address), Report)
        assert await client.send(address, ORDER, TICKET, yes) is result
        assert isinstance(
            await client.report("i-1", address), Report
        )  # its own answer, independent of earlier ones
        assert len(standin.orders) == 1
        assert_whole(standin.orders)

    before = [Act(answer(200, REPORT))] if reused else []
    script = [*before, act, Act(answer(200, REPORT)), Act(answer(200, REPORT))]
    play(script, scenario, order_timeout_s=act.order_timeout_s)


def test_a_connection_that_the_server_has_closed_carries_no_order_twice() -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        assert isinstance(await client.report("i-1", address), Report)
        result = await client.send(address, ORDER, TICKET, yes)  # may be sent while the server closes
        assert result in (OrderResult.ACCEPTED, OrderResult.UNKNOWN)
        assert len(standin.orders) <= 1
        assert_whole(standin.orders)

    play([Act(answer(200, REPORT), end="close"), Act(answer(202)), Act(answer(202))], scenario)


@pytest.mark.parametrize("stray", [answer(202), answer(200, REPORT), b"HTTP/1.1 2", b"x"])
def test_bytes_between_two_calls_close_the_connection(stray: bytes) -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        assert isinstance(await client.report("i-1", address), Report)
        standin.writers[0].write(stray)
        await until(lambda: standin.ends + standin.resets == 1)  # closed at once, not on the next call
        assert await client.send(address, ORDER, TICKET, yes) is OrderResult.CONFLICT
        assert standin.connections == 2 and len(standin.orders) == 1

    play([Act(answer(200, REPORT)), Act(answer(409))], scenario)


def test_two_answers_at_once_answer_one_call() -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        assert isinstance(await client.report("i-1", address), Report)
        assert await client.send(address, ORDER, TICKET, yes) is OrderResult.CONFLICT
        assert standin.connections == 2

    play([Act(answer(200, REPORT) + answer(202)), Act(answer(409))], scenario)


def test_an_unanswered_order_resets_the_connection() -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        assert await client.send(address, ORDER, TICKET, yes) is OrderResult.UNKNOWN
        await until(lambda: standin.resets == 1)
        assert standin.ends == 0

    play([Act()], scenario, order_timeout_s=SILENCE_S)


def test_an_order_cancelled_with_the_ownership_resets_the_connection() -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        sending = asyncio.create_task(client.send(address, ORDER, TICKET, yes))
        await until(lambda: len(standin.orders) == 1)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        await until(lambda: standin.resets == 1)

    play([Act()], scenario)


def test_permission_is_checked_in_the_loop_iteration_that_sends_the_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    transport = asyncio.selector_events._SelectorSocketTransport  # type: ignore[attr-defined]

    def spy(name: str) -> None:
        real = getattr(transport, name)

        def write(self: Any, data: Any) -> None:
            sent = b"".join(data) if name == "writelines" else bytes(data)
            if b'"fence-token"' in sent:
                events.append("left")
            real(self, data)

        monkeypatch.setattr(transport, name, write)

    spy("write")
    spy("writelines")

    def may_send() -> bool:
        events.append("asked")
        asyncio.get_running_loop().call_soon(events.append, "next turn")
        return True

    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        assert await client.send(address, ORDER, TICKET, may_send) is OrderResult.ACCEPTED
        assert events[:3] == ["asked", "left", "next turn"]

    play([Act(answer(202))], scenario, [asyncio.new_event_loop])


def test_a_closed_server_gets_no_order() -> None:
    async def scenario(standin: Standin, address: str, client: HttpServerClient) -> None:
        closed = "127.0.0.1:9"
        assert await client.report("i-1", closed) is ReportFailure.REFUSED
        assert await client.send(closed, ORDER, TICKET, yes) is OrderResult.NOT_SENT

    play([], scenario)
