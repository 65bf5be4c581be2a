"""Rule GONE: after a client disconnects, its request reaches no server, and busy servers are disconnected."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest

from granitewell.dataplane.http_server import peer_has_closed
from tests.dataplane.simulated_network import SimulatedTransport, play_simulated
from tests.dataplane.standin import (
    Client,
    ReceivedRequest,
    Scene,
    answer_normally,
    configuration,
    route,
    scene,
)

MAX_CLOSE_DELAY_S = 0.5  # after the client's disconnect, as the rule demands


class ConnectionWatcher:
    """A server that records when its connections are closed."""

    def __init__(self, events: int = 0) -> None:
        self._events = events
        self.started = asyncio.Event()
        self.closed_at: list[float] = []

    async def __call__(self, seen: ReceivedRequest) -> None:
        if self._events:
            seen.events(*range(1, self._events + 1))
        self.started.set()
        with suppress(ConnectionError):
            await seen.reader.read()
        self.closed_at.append(asyncio.get_running_loop().time())


def assert_no_request_left(s: Scene) -> None:
    """Check that no request is queued, counted at a server, or in progress."""
    for state in s.plane._dispatcher._services.values():
        assert not state.queue
        for record in state.records.values():
            assert record.in_flight == record.unanswered == 0
    assert not s.plane._forwarders and s.plane._http_server._in_progress == 0


async def leave(client: Client, how: str) -> None:
    """Disconnect the client by a close, a reset, or a half-close ("half")."""
    transport = client.writer.transport
    assert isinstance(transport, SimulatedTransport)
    if how == "reset":
        transport.reset()
    elif how == "closed":
        client.writer.close()
    else:
        client.writer.write_eof()


@pytest.mark.parametrize("how", ["closed", "reset", "half"])
@pytest.mark.parametrize("target", ["/once/x", "/again/x", "/stream/x", "/resume/x"])
def test_server_connection_is_closed_when_the_client_leaves(target: str, how: str) -> None:
    async def run() -> None:
        server = ConnectionWatcher(events=2 if target in ("/stream/x", "/resume/x") else 0)
        async with scene(server) as s:
            client = await s.connect()
            client.send(target, Granitewell_Request_Id="1")
            await server.started.wait()
            await asyncio.sleep(0.05)
            left_at = asyncio.get_running_loop().time()
            await leave(client, how)
            await asyncio.sleep(MAX_CLOSE_DELAY_S)
            assert [told - left_at < MAX_CLOSE_DELAY_S for told in server.closed_at] == [True]
            assert_no_request_left(s)

    play_simulated(run())


def test_abandoned_request_waiting_for_a_model_is_never_sent() -> None:
    async def run() -> None:
        async with scene(answer_normally, service="engine") as s:
            client = await s.connect()
            client.send("/model/x", Granitewell_Request_Id="1", Granitewell_Model="m1")
            while not s.demands:
                await asyncio.sleep(0.01)
            client.close()
            await asyncio.sleep(0.01)
            assert_no_request_left(s)
            s.register_servers("engine", ["m1"])
            await asyncio.sleep(1.0)
            assert s.stand_ins[0].seen == []
            assert_no_request_left(s)

    play_simulated(run())


def test_abandoned_request_waiting_for_a_slot_frees_its_position() -> None:
    async def run() -> None:
        release = asyncio.Event()

        async def behaviour(seen: ReceivedRequest) -> None:
            await release.wait()
            seen.answer()

        async with scene(behaviour) as s:
            s.plane.apply_servers([s.server(s.stand_ins[0], slots=1)], [])
            clients = [await s.connect() for _ in range(3)]
            for number, client in enumerate(clients):
                client.send("/once/x", Granitewell_Request_Id=str(number))
                await asyncio.sleep(0.01)
            clients[1].close()
            await asyncio.sleep(0.01)
            release.set()
            answer = await clients[2].answer()
            assert answer is not None and answer.status == 200
            seen = [m.header("Granitewell-Request-Id") for m in s.stand_ins[0].seen]
            assert seen == ["0", "2"]

    play_simulated(run())


def test_abandoned_request_is_not_retried() -> None:
    async def run() -> None:
        async def behaviour(seen: ReceivedRequest) -> None:
            client.close()
            await asyncio.sleep(0.0005)
            seen.reset()

        async with scene(behaviour, behaviour) as s:
            s.fill_retry_budget()
            client = await s.connect()
            client.send("/again/x", Granitewell_Request_Id="1")
            await asyncio.sleep(2.0)
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 1
            assert_no_request_left(s)

    play_simulated(run())


def test_abandoned_request_waiting_for_the_configuration_is_not_sent() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            s.plane._configuration = s.plane._routes = None
            s.plane._configured.clear()
            client = await s.connect()
            client.send("/once/x", Granitewell_Request_Id="1")
            await asyncio.sleep(0.1)
            assert s.plane._waiting_for_configuration == 1
            client.close()
            await asyncio.sleep(0.1)
            assert s.plane._waiting_for_configuration == 0
            s.plane.apply_configuration(configuration(2))
            await asyncio.sleep(1.0)
            assert s.stand_ins[0].seen == []

    play_simulated(run())


def test_incomplete_body_reaches_no_server() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.send("/once/x", Content_Length="100", Granitewell_Request_Id="1")
            client.writer.write(b"half")
            await asyncio.sleep(0.01)
            client.close()
            await asyncio.sleep(1.0)
            assert s.stand_ins[0].seen == []
            assert_no_request_left(s)

    play_simulated(run())


# --- Requests that are read late ------------------------------------------------------------------------
@contextmanager
def socket_pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ours, theirs


class WithSocket:
    """A transport with nothing but a socket."""

    def __init__(self, sock: socket.socket | None) -> None:
        self._socket = sock

    def get_extra_info(self, name: str) -> socket.socket | None:
        return self._socket if name == "socket" else None


def test_close_of_a_peer_is_seen_before_it_is_read() -> None:
    with socket_pair() as (ours, theirs):
        assert not peer_has_closed(WithSocket(ours))  # type: ignore[arg-type]
        theirs.send(b"a request")
        assert not peer_has_closed(WithSocket(ours))  # type: ignore[arg-type]
        theirs.close()
        assert peer_has_closed(WithSocket(ours))  # type: ignore[arg-type]
    assert peer_has_closed(WithSocket(ours))  # type: ignore[arg-type]  # the own socket is closed
    assert not peer_has_closed(WithSocket(None))  # type: ignore[arg-type]
    assert not peer_has_closed(None)


def test_request_of_a_disconnected_client_is_not_sent() -> None:
    """After a stall of the process, a request and the close of its connection are read together.

    An idle connection to the server exists, so that the request could be sent immediately.
    """

    async def run() -> None:
        async with scene(lambda seen: seen.answer(Keep_Alive="timeout=9")) as s:
            loop = asyncio.get_running_loop()
            assert (await s.call("/once/x")).status == 200
            await _until(lambda: not s.plane._http_server._connections(), loop)
            with socket.create_connection(("127.0.0.1", s.plane.client_port)) as client:
                while not s.plane._http_server._connections():
                    await asyncio.sleep(0)
                head = b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nGranitewell-Request-Id: 1\r\n"
                client.sendall(head + b"Content-Length: 0\r\n\r\n")
            await _until(lambda: not s.plane._http_server._connections(), loop)
            assert (await s.call("/once/x")).status == 200
            assert len(s.stand_ins[0].seen) == 2

    asyncio.run(asyncio.wait_for(run(), 10.0))


async def _until(done: Callable[[], bool], loop: asyncio.AbstractEventLoop) -> None:
    end = loop.time() + 5.0
    while not done() and loop.time() < end:
        await asyncio.sleep(0)


# --- Servers are disconnected within half a second ------------------------------------------------------
def test_client_leaving_during_a_resumption_frees_both_servers() -> None:
    async def run() -> None:
        second = ConnectionWatcher(events=0)

        async def behaviour(seen: ReceivedRequest) -> None:
            if seen.request.header("Last-Event-Id"):
                await second(seen)
                return
            seen.events(1)
            seen.writer.close()

        async with scene(behaviour, behaviour) as s:
            s.plane.apply_configuration(
                configuration(2, [route("resume", "streaming", resumable=True, timeout_ms=9000.0)])
            )
            s.fill_retry_budget()
            client = await s.connect()
            client.send("/resume/x", Granitewell_Request_Id="1")
            await second.started.wait()
            left_at = asyncio.get_running_loop().time()
            client.close()
            await asyncio.sleep(MAX_CLOSE_DELAY_S)
            assert len(second.closed_at) == 1 and second.closed_at[0] - left_at < MAX_CLOSE_DELAY_S
            assert_no_request_left(s)

    play_simulated(run())
