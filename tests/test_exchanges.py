"""Plays every recorded exchange against the real program on real sockets, and tests what they can't show."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path

import pytest
import uvloop

from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Outcome
from granitewell.config import load
from granitewell.core import Core
from granitewell.net.downstream import (
    CROWDED_DIVISOR,
    EVICT_IDLE_US,
    EVICT_PARTIAL_US,
    FIRST_REQUEST_TIMEOUT_US,
    SHORT_KEEPALIVE_TIMEOUT_US,
    DownstreamConnection,
    is_idle,
)
from granitewell.net.http1 import RequestParser, ResponseParser, outcome, report
from granitewell.net.listener import startup_delay_s
from granitewell.net.loop import CLOCK_ORIGIN_US, Log, Node
from granitewell.net.sockets import is_readable
from tests.exchange_player import FOLDER, LIMIT_S, Player, play
from tests.test_config import write


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda p: p.stem)
def test_exchange(path: Path) -> None:
    play(path)


def test_longest_idle_client_is_closed_when_descriptors_run_out() -> None:
    """The player allows 128 descriptors, 64 of them for clients."""
    player = Player()
    crowd: list[socket.socket] = []
    try:
        player.step_start("a=ready", b"")
        for _ in range(150):
            crowd.append(socket.create_connection(player.address, LIMIT_S))
            crowd[-1].sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert crowd[-1].recv(4096).startswith(b"HTTP/1.1 200")
        assert crowd[0].recv(4096) == b""
        assert player.program is not None
        assert len(os.listdir(f"/proc/{player.program.pid}/fd")) < 128
        player.until_ready()
    finally:
        player.close()
        for sock in crowd:
            sock.close()


def test_connection_with_unprocessed_bytes_is_not_idle(tmp_path: Path) -> None:
    """Guards against closing a connection between the loop's read and the turn of the reading task.

    The loop takes bytes from the kernel a turn before the reading task runs. A connection that was closed in
    between, to save a descriptor or at a stop, lost a complete request; so did one that was closed before its
    first request had arrived.
    """
    config = load(write(tmp_path))
    seen: list[tuple[bool, bool]] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        node = Node(config, Core(config.settings, Balancer(config.settings, 1), 9), loop)
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = socket.create_connection(server.getsockname())
            server_side, _ = server.accept()
        node.clients.admit(server_side)
        (connection,) = node.clients.connections.values()
        await asyncio.sleep(0)
        at = connection.last_activity_us
        # a new one; then one that is too old
        seen.append((is_idle(connection, at), is_idle(connection, at + FIRST_REQUEST_TIMEOUT_US)))
        connection.is_new = False
        seen.append((is_readable(server_side), is_idle(connection, at)))
        client.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")

        def look() -> None:
            if is_readable(server_side):
                loop.call_soon(look)
            else:
                seen.append((connection.busy, is_idle(connection, at)))

        look()
        while len(seen) < 3:
            await asyncio.sleep(0)
        client.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert seen == [(False, True), (False, True), (False, False)]


def test_whole_backlog_is_accepted_in_one_turn(tmp_path: Path) -> None:
    """Guards against accepting one connection per turn, which is too few at 1,200 connections a second.

    Requests waited in the kernel until their clients had left, and were then forwarded for nobody.
    """
    config = load(write(tmp_path))
    held: list[int] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        node = Node(config, Core(config.settings, Balancer(config.settings, 1), 9), loop)
        with socket.create_server(("127.0.0.1", 0), backlog=64) as server:
            server.setblocking(False)
            clients = [socket.create_connection(server.getsockname()) for _ in range(40)]
            accepting = loop.create_task(node.clients.accept(server))
            for _ in range(8):
                await asyncio.sleep(0)
            held.append(len(node.clients.connections))
            accepting.cancel()
            for client in clients:
                client.close()
            for connection in list(node.clients.connections.values()):
                node.clients.drop(connection)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert held == [40]


def test_sockets_closed_before_their_tasks_run_cause_no_fault(tmp_path: Path) -> None:
    """Guards against reading a closed socket after a client is dropped or the listener is closed."""
    config = load(write(tmp_path))
    said: list[str] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        node = Node(config, Core(config.settings, Balancer(config.settings, 1), 9), loop)
        node.log_line = lambda topic, line: said.append(line)  # type: ignore[method-assign]
        listener = socket.create_server(("127.0.0.1", 0))
        client_side = socket.create_connection(listener.getsockname())
        node.clients.admit(listener.accept()[0])
        for connection in list(node.clients.connections.values()):
            node.clients.drop(connection)
        listener.setblocking(False)
        node._spawn(node.clients.accept(listener))
        listener.close()
        for _ in range(4):
            await asyncio.sleep(0)
        client_side.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert said == []


def test_rejected_body_of_60_mb_is_not_read_to_its_end() -> None:
    """Each took a tenth of a second of the processor while every other request waited."""
    player, sent = Player(), 0
    try:
        player.step_start("a=ready", b"")
        with socket.create_connection(player.address, LIMIT_S) as client:
            client.sendall(b"POST /ride-assign HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
            assert client.recv(4096).startswith(b"HTTP/1.1 413 ")
            with contextlib.suppress(ConnectionError):
                while sent < 60_000_000:
                    sent += client.send(bytes(65536))
        assert sent < 60_000_000
    finally:
        player.close()


def test_clients_with_one_request_are_closed_early_when_there_are_many(tmp_path: Path) -> None:
    """Guards against clients that send one request and keep the connection forever.

    Clients can hold a third of the descriptors at most. On one day two thirds of all requests found no free
    connection and never arrived. Clients that send further requests keep their connection.
    """
    config = load(write(tmp_path))
    left: list[int] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        node = Node(config, Core(config.settings, Balancer(config.settings, 1), 9), loop)
        ends = []
        for k in range(config.sockets // CROWDED_DIVISOR + 2):
            server_side, client_side = socket.socketpair()
            ends.append(client_side)
            server_side.setblocking(False)
            one = DownstreamConnection(
                k,
                server_side,
                RequestParser(node._header_names),
                node.clock.now() - SHORT_KEEPALIVE_TIMEOUT_US,
            )
            node.clients.connections[k] = one
            one.answer_count, one.is_new = 1 if k < 10 else 2, False
            if k == 9:
                node._sweep()  # not many yet: clients with one request may stay
                assert not any(x.closing for x in node.clients.connections.values())
                assert len(node.clients.connections) == 10
        node._sweep()
        left.extend(k for k, one in node.clients.connections.items() if not one.closing)
        for end in ends[:10]:  # each sees the end of its connection
            assert end.recv(1) == b""
        for end in ends:
            end.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert left[0] == 10


def test_order_of_eviction_for_a_new_client(tmp_path: Path) -> None:
    """Silent connections are closed first, then the longest inactive; never one with a request in progress.

    Silent and partial clients by the hundred held every descriptor for 2 and 10 s, while requests waited in
    the backlog past their deadline.
    """
    config = load(write(tmp_path))
    left: list[list[str]] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        node = Node(config, Core(config.settings, Balancer(config.settings, 1), 9), loop)
        names, ends = {}, []
        for name in ("new", "busy", "kept", "half", "silent"):
            server_side, client_side = socket.socketpair()
            ends.append(client_side)
            server_side.setblocking(False)
            node.clients._last_id += 1
            one = DownstreamConnection(
                node.clients._last_id, server_side, RequestParser(node._header_names), node.clock.now()
            )
            node.clients.connections[one.id] = one
            names[one.id] = name
            one.busy, one.is_new = name == "busy", name != "kept"
            ages = {"new": 0, "half": EVICT_PARTIAL_US + 1, "silent": EVICT_IDLE_US}
            one.last_activity_us -= ages.get(name, EVICT_PARTIAL_US)
            if name == "half":
                one.parser.feed(b"GET /ta")
        while node.clients.evict():
            left.append([names[k] for k in node.clients.connections])
        for end in ends:
            end.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert left == [["new", "busy", "kept", "half"], ["new", "busy", "kept"], ["new", "busy"]]


@pytest.mark.parametrize(
    ("cpu_s", "age_s", "cores", "debt_s"),
    [
        (0.3, 0.6, 0.4, 0.15),
        (0.12, 0.61, 0.4, -0.01),
        (0.12, 0.2, 0.9, 0.4),
        (0.5, 0.1, 1.0, 0.0),
        (0.5, 0.1, 0.01, 2.0),
    ],
)
def test_readiness_is_delayed_until_the_start_fits_the_cpu_limit(
    cpu_s: float, age_s: float, cores: float, debt_s: float
) -> None:
    """Guards against throttling by the CPU limit while the first requests wait.

    At 0.4 core nodes were stopped for 250 ms under their first requests, and one got no answer. At 0.85 it
    was 150 ms, although the mean use since the start was within the limit.
    """
    assert startup_delay_s(cpu_s, age_s, cores) == pytest.approx(debt_s)


def test_log_that_nobody_reads_does_not_block() -> None:
    """A full pipe would block the only thread, and with it every request."""
    reader, writer = os.pipe()
    log = Log("n0", writer)
    for k in range(3000):  # far more than fits into a pipe
        log.write(CLOCK_ORIGIN_US + k * 2_000_000, "module", "x" * 100)
    os.set_blocking(reader, False)
    assert os.read(reader, 60) == b"granitewell n0 0.000 module: " + b"x" * 31
    os.close(reader)
    os.close(writer)


def test_suppressed_log_lines_are_counted() -> None:
    reader, writer = os.pipe()
    log = Log("n0", writer)
    for at in (0, 1, 2, 1_000_000):
        log.write(CLOCK_ORIGIN_US + at, "dial", "a line\nand no second")
    assert os.read(reader, 999).splitlines() == [
        b"granitewell n0 0.000 dial: a line and no second",
        b"granitewell n0 1.000 dial: a line and no second (and 2 more like it)",
    ]
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize(
    ("head", "says", "load"),
    [
        (b"200 OK", Outcome.OK, ()),
        (b"200 OK\r\nServer-Load: {\"pending\":2,\"failed_ps\":0.5,\"x\":1}", Outcome.OK, (0.5, 2.0)),
        (b"200 OK\r\nServer-Load: {\"pending\":2}", Outcome.OK, ()),
        (b"200 OK\r\nServer-Load: {\"pending\":2,\"failed_ps\":NaN}", Outcome.OK, ()),
        (b"200 OK\r\nServer-Load: " + b"[" * 9000, Outcome.OK, ()),
        (b"500 Oh", Outcome.ERROR, ()),
        (b"503 No", Outcome.ERROR, ()),
        (b"503 No\r\nNot-Started: 1\r\nServer-Load: {\"pending\":9,\"failed_ps\":1}", Outcome.FULL, (1, 9)),
        (b"504 No\r\nNot-Started: 1", Outcome.FULL, ()),
        (b"500 No\r\nNot-Started: 1", Outcome.ERROR, ()),
        (b"299 Odd", Outcome.ERROR, ()),
    ],
)  # fmt: skip
def test_outcomes_and_load_reports(head: bytes, says: Outcome, load: tuple[float, ...]) -> None:
    parser = ResponseParser()
    assert parser.feed(b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n")
    assert (outcome(parser), report(parser, ("failed_ps", "pending"))) == (says, load)


def test_announced_length_of_three_gigabytes_is_rejected_at_once() -> None:
    """Read up to the limit of a body, each such response held its request and cost a read of 64 KiB."""
    with pytest.raises(ValueError, match="too large"):
        ResponseParser().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx")


@pytest.mark.parametrize("head", [b"A: ", b"Content-Length: 41943041\r\n\r\n"])
def test_response_without_end_is_rejected(head: bytes) -> None:
    with pytest.raises(ValueError):
        ResponseParser().feed(b"HTTP/1.1 200 OK\r\n" + head + b"x" * 70_000)
