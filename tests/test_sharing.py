"""State that the tasks of one node share: each test guards against one fault in that sharing."""

from __future__ import annotations

import asyncio
import gc
import resource
import socket
from pathlib import Path
from typing import Any

import pytest
from pytest import MonkeyPatch as Patch

from granitewell import core as c
from granitewell.balancing.interface import Outcome
from granitewell.handover import ClockReading, Handover
from granitewell.net.console import Console
from granitewell.net.discovery import FAST_ANSWER_PAUSE_S, MAX_FAST_ANSWERS, PUSHED_TIMEOUTS
from granitewell.net.downstream import DownstreamConnection
from granitewell.net.loop import RESERVED_DESCRIPTORS, STALL_US, Node
from granitewell.net.sockets import is_readable
from granitewell.net.status import StatusServer
from granitewell.status.types import StatusSettings
from tests.in_process_node import (
    ManualClock,
    add_silent_endpoint,
    connect_client,
    let_tasks_run,
    run_with_node,
    wait_until,
)

LARGE_REQUEST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Content-Length: 900000\r\n\r\n")  # fmt: skip


async def send_available(client: socket.socket, data: bytes) -> None:
    """Write as much as the other side takes."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(0.5):
            await loop.sock_sendall(client, data)
    except TimeoutError:
        pass


def test_client_dropped_while_its_body_is_blocked_frees_its_task_and_buffers(tmp_path: Path) -> None:
    """Guards against a reading task that waits forever for space in a body that nobody reads.

    The task, its buffers and up to 128 KiB of the body stayed until the process ended.
    """

    async def scenario(node: Node) -> None:
        client = connect_client(node)
        (connection,) = node.clients.connections.values()
        # as if another request were in progress: it stays in the queue
        held = connection.parser.feed(LARGE_REQUEST % 1)
        connection.queue.extend(held)
        connection.busy = True
        await send_available(client, bytes(400_000))
        flow = connection.parser.streamed_body
        assert flow is not None
        await wait_until(lambda: flow.unread_bytes > 65536)
        node.clients.drop(connection)
        await let_tasks_run()
        assert not node._tasks and client.fileno() >= 0
        client.close()

    assert run_with_node(tmp_path, scenario) == []


SMALL_REQUEST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 100\r\n"
         b"Content-Length: %d\r\n\r\n%s")  # fmt: skip
SMALL_TIMEOUT_US = 100_000
STEP_US = 1_000  # a new connection is not used for some ms


def test_pipelined_requests_are_all_answered_and_their_memory_is_bounded(tmp_path: Path) -> None:
    """Guards against lost pipelined requests and unbounded memory for their bodies.

    More than four requests closed the connection and lost those that were read already, and each of the four
    could hold 64 KiB that no budget counted, 300 KiB per client.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = add_silent_endpoint(node), connect_client(node)
        (connection,) = node.clients.connections.values()
        await send_available(client, b"".join(SMALL_REQUEST % (k, 60_000, bytes(60_000)) for k in range(40)))
        await let_tasks_run()
        assert connection.id in node.clients.connections
        assert 120_000 <= node._memory.buffered_bytes <= 2 * 65536  # the current request, and the next
        answers = b""  # each is answered when the deadline of the previous one has passed
        while answers.count(b"HTTP/1.1 502") < 3:
            answers += await asyncio.get_running_loop().sock_recv(client, 4096)
        client.close()
        await wait_until(lambda: not node.clients.connections)
        endpoint.close()
        assert node._memory.buffered_bytes == 0

    assert {line.partition(":")[0] for line in run_with_node(tmp_path, scenario)} <= {
        "inbound",
        "phase",
        "module",
    }


@pytest.mark.parametrize("where", ["admit", "evict"])
def test_accepting_goes_on_after_an_unexpected_exception(
    tmp_path: Path, monkeypatch: Patch, where: str
) -> None:
    """Guards against an accept task that ends with one line in the log: the node then accepts nobody."""

    async def scenario(node: Node) -> None:
        real = getattr(node.clients, where)
        pending_errors = [RuntimeError("no such thing"), OSError(22, "reset already")]

        def once(*args: Any) -> Any:
            if pending_errors:
                raise pending_errors.pop()
            return real(*args)

        monkeypatch.setattr(node.clients, where, once)
        if where == "evict":  # which is called if there is no capacity
            node.limits.max_inbound = 0
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            accepting = node._spawn(node.clients.accept(server))
            clients: list[socket.socket] = []
            while not node.clients.connections and not accepting.done() and len(clients) < 9:
                clients.append(socket.create_connection(server.getsockname()))
                await asyncio.sleep(0.05)
            assert node.clients.connections
            await let_tasks_run()
            assert not accepting.done()
            accepting.cancel()
        for client in clients:
            client.close()

    run_with_node(tmp_path, scenario)


class Agent:
    """A discovery agent that answers each request at once with these bodies, repeating the last one."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies, self.calls = list(bodies), 0

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


NOTHING = b'{"revision":1,"complete":false,"members":[]}'


def test_discovery_watch_goes_on_after_an_unexpected_exception(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against a watch that ends with an exception that is not in its list.

    The list of endpoints then stayed unchanged forever.
    """

    async def scenario(node: Node) -> None:
        read, pending_errors = node._list_reader.read, [RuntimeError("no such thing")]

        def once(body: bytes) -> tuple[int, c.EndpointListUpdate]:
            if pending_errors:
                raise pending_errors.pop()
            return read(body)

        monkeypatch.setattr(node._list_reader, "read", once)
        agent = Agent(NOTHING)
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        node.discovery.watch(server.sockets[0].getsockname(), PUSHED_TIMEOUTS)
        await wait_until(lambda: node.discovery.answered_us >= 0)
        await stop_watch(node, server)

    assert any("no such thing" in line for line in run_with_node(tmp_path, scenario))


async def stop_watch(node: Node, server: asyncio.Server) -> None:
    """End the watch, then the agent."""
    assert node.discovery._task is not None
    node.discovery._task.cancel()
    await let_tasks_run()
    server.close()


def test_agent_that_answers_watches_at_once_is_not_polled_without_pause(tmp_path: Path) -> None:
    """Guards against thousands of watches a second, which take the processor from requests."""

    async def scenario(node: Node) -> None:
        agent = Agent(NOTHING)
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        node.discovery.watch(server.sockets[0].getsockname(), PUSHED_TIMEOUTS)
        await wait_until(lambda: agent.calls > MAX_FAST_ANSWERS)
        loop = asyncio.get_running_loop()
        before, began = agent.calls, loop.time()
        await asyncio.sleep(10 * FAST_ANSWER_PAUSE_S)
        assert (agent.calls - before - 1) * FAST_ANSWER_PAUSE_S <= loop.time() - began
        await stop_watch(node, server)

    assert run_with_node(tmp_path, scenario) == []


def test_process_descriptor_limit_below_the_configured_one_applies(
    tmp_path: Path, monkeypatch: Patch
) -> None:
    """Guards against a budget of descriptors above the limit of the process.

    The node ran into the limit, and could reach neither discovery nor an endpoint.
    """
    monkeypatch.setattr(resource, "getrlimit", lambda _: (100, 100))
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512}

    async def scenario(node: Node) -> None:
        assert node._own_descriptors == 100 and node.limits.max_inbound + RESERVED_DESCRIPTORS <= 100

    assert run_with_node(tmp_path, scenario, limits=limits) == []


def test_call_that_raises_ends_at_once(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against an unexpected exception that ends only the call's task.

    The request then waited until its deadline, and one with a streamed body, which has none, forever.
    """

    async def scenario(node: Node) -> None:
        async def dial(*_: object) -> None:
            raise RuntimeError("no such thing")

        monkeypatch.setattr(node.pool, "dial", dial)
        ended: list[c.Event] = []
        monkeypatch.setattr(node, "dispatch", ended.append)
        node._run_effect(c.StartCall(7, b"s-0", ("127.0.0.1", 9), "message", 0))
        await let_tasks_run()
        assert ended[-1] == c.CallEnded(7, Outcome.UNCONNECTED) and not node._calls
        monkeypatch.undo()

    assert any("no such thing" in line for line in run_with_node(tmp_path, scenario))


def test_exception_in_a_loop_callback_is_logged_without_blocking(tmp_path: Path) -> None:
    """Guards against the loop's own handler, which writes a traceback to standard error.

    That blocks the node if standard error is a pipe that nobody reads.
    """

    async def scenario(node: Node) -> None:
        running = node._spawn(node.run())
        await wait_until(lambda: node.clients.listener is not None)
        node._loop.call_soon(lambda: 1 // 0)
        await let_tasks_run(3)
        node._stopped.set()
        running.cancel()
        await let_tasks_run()

    assert any("division" in line for line in run_with_node(tmp_path, scenario))


def test_ban_that_could_not_be_stored_is_not_confirmed(tmp_path: Path) -> None:
    """Guards against a ban that is confirmed although storing it has raised an exception.

    The node's next process would not have known of that ban.
    """

    class Broken(Handover):
        def write_ban(self, endpoint: bytes, banned: bool, now: ClockReading) -> str:
            raise RuntimeError("no such thing")

    async def scenario(node: Node) -> None:
        endpoint = add_silent_endpoint(node)
        node._handover = Broken("", "n0")
        node.console = Console(node, ("127.0.0.1", 0), node._loop)
        reader, writer = await asyncio.open_connection(*node.console._listener.getsockname())
        writer.write(b"POST /dispatch-servers/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0")
        assert (await reader.readline()).startswith(b"HTTP/1.1 500")
        writer.close()
        node.console.close()
        endpoint.close()

    assert any("could not be written down" in line for line in run_with_node(tmp_path, scenario))


def test_dropped_connections_are_freed_without_the_garbage_collector(tmp_path: Path) -> None:
    """Guards against a reference cycle between a cancelled reading task and its connection.

    With thousands of clients that come and go, their buffers stayed until the garbage collector ran, 8 to 16
    MB of a limit of 40.
    """

    def left() -> int:
        return sum(isinstance(x, DownstreamConnection) for x in gc.get_objects())

    async def scenario(node: Node) -> None:
        gc.collect()  # discards what other tests have left
        before, clients = left(), [connect_client(node) for _ in range(20)]
        await let_tasks_run(3)
        gc.disable()
        try:
            clients += [connect_client(node) for _ in range(5)]  # their tasks have not started
            for connection in list(node.clients.connections.values()):
                node.clients.drop(connection)
            del connection
            await let_tasks_run(5)
            assert left() == before
        finally:
            gc.enable()
        for client in clients:
            client.close()

    run_with_node(tmp_path, scenario)


def test_connection_accepted_in_the_turn_of_a_stop_is_served(tmp_path: Path) -> None:
    """Guards against cancelling the accept task in the turn in which the loop has a connection for it.

    Nobody owned that connection, and its client's request was rejected unread.
    """

    async def scenario(node: Node) -> None:
        signal, sent = socket.socketpair()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            assert node.clients.accept_task is not None
            node.clients.accept_task.cancel()
            node.clients.accept_task = node._spawn(node.clients.accept(server))
            await let_tasks_run(3)

            def stop() -> None:
                signal.recv(1)
                node.clients._release(server)

            node._loop.add_reader(signal, stop)
            client = socket.create_connection(server.getsockname())
            sent.send(b"x")  # the loop sees both in one poll, the connection first
            await wait_until(lambda: node.clients.accept_task is None or node.clients.accept_task.done())
            assert len(node.clients.connections) == 1
        node._loop.remove_reader(signal)
        for sock in (signal, sent, client):
            sock.close()

    run_with_node(tmp_path, scenario)


def test_closed_listener_accepts_nobody(tmp_path: Path) -> None:
    """Guards against a pending accept of the loop that holds the listener open.

    A node that was stopping accepted further connections, and reset them at its end.
    """

    async def scenario(node: Node) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        place, node.clients.listener = server.getsockname(), server
        assert node.clients.accept_task is not None
        node.clients.accept_task.cancel()
        node.clients.accept_task = node._spawn(node.clients.accept(server))
        await let_tasks_run(3)
        node.clients.stop_listening()
        await let_tasks_run(3)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(place)
        node.clients.listener = socket.socket()

    run_with_node(tmp_path, scenario)


CHUNKED_REQUEST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")  # fmt: skip


def pass_time(node: Node, clock: ManualClock, by_us: int) -> None:
    """Let time pass, running every timer of the node when it is due."""
    until_us = clock.now() + by_us
    while node._timer is not None and node._timer_us < until_us:
        clock.advance(max(node._timer_us - clock.now(), 0) + 1)
        node._on_timer()
    clock.advance(until_us - clock.now())


def test_malformed_streamed_body_ends_its_call_at_once(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against a call that waits for a body that can't be completed any more.

    The endpoint held a connection and the client waited until the body counted as too slow. Time passes only
    where the test says so: the call ends because of what the client has sent, and a slow machine makes no
    timer late.
    """
    monkeypatch.setattr("granitewell.net.loop.Clock", ManualClock)

    async def scenario(node: Node) -> None:
        loop, clock = asyncio.get_running_loop(), node.clock
        assert isinstance(clock, ManualClock)
        endpoint, client = add_silent_endpoint(node), connect_client(node)
        await loop.sock_sendall(client, CHUNKED_REQUEST + b"%x\r\n%s\r\n" % (70_000, bytes(70_000)))
        await wait_until(lambda: node._calls)
        await loop.sock_sendall(client, b"no chunk\r\n")
        await wait_until(lambda: not node.clients.connections and not node._tasks)  # no sweep runs here
        assert not node._calls and not node._core.pending_count and node._memory.streams == 0
        client.close()
        late, answers = connect_client(node), b""  # the same, pipelined behind a request
        ahead = CHUNKED_REQUEST + b"%x\r\n%s\r\nno chunk\r\n" % (65_540, bytes(65_540))
        await loop.sock_sendall(late, SMALL_REQUEST % (2, 2, b"hi") + ahead)
        while not any(call.has_written for call in node._calls.values()):  # from here on it may have run
            await let_tasks_run()
            pass_time(node, clock, STEP_US)
        pass_time(node, clock, SMALL_TIMEOUT_US)
        while more := await loop.sock_recv(late, 4096):
            answers += more
        assert answers.count(b"HTTP/1.1 502") == answers.count(b"HTTP/1.1 400") == 1
        assert not node._core.pending_count and not node._core._calls
        late.close()
        endpoint.close()

    assert {line.partition(":")[0] for line in run_with_node(tmp_path, scenario)} <= {
        "phase",
        "module",
        "bad",
    }


def test_late_timer_is_logged(tmp_path: Path, monkeypatch: Patch) -> None:
    """Checks the line that a machine without a free processor adds by chance to the test above."""
    monkeypatch.setattr("granitewell.net.loop.Clock", ManualClock)

    async def scenario(node: Node) -> None:
        assert isinstance(node.clock, ManualClock)
        endpoint, client = add_silent_endpoint(node), connect_client(node)
        await asyncio.get_running_loop().sock_sendall(client, SMALL_REQUEST % (1, 2, b"hi"))
        await wait_until(lambda: node._calls and node._timer is not None)
        node.clock.advance(node._timer_us + STALL_US - node.clock.now())
        node._on_timer()
        client.close()
        await wait_until(lambda: not node.clients.connections)
        endpoint.close()

    assert [line for line in run_with_node(tmp_path, scenario) if line.startswith("stall: 20 ms late")]


def raise_error(*_: object) -> Any:
    raise RuntimeError("no such thing")


LONG_DEADLINE_REQUEST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 9000\r\n"
           b"Content-Length: 2\r\n\r\nhi")  # fmt: skip


@pytest.mark.parametrize(("what", "raw"), [
    ("http1.final_response_bytes", SMALL_REQUEST % (1, 2, b"hi")),  # its answer can't be built,
    ("downstream.Downstream._write", SMALL_REQUEST % (1, 2, b"hi")),  # nor be written,
    ("downstream.Downstream.on_answer_written", b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"),  # nor end
    ("loop._OutboundCall", LONG_DEADLINE_REQUEST),  # its call can't begin
    ("http1.StreamedBody.take", LARGE_REQUEST % 1 + bytes(70_000)),  # its body can't be read
], ids=["answer", "write", "end", "call", "body"])  # fmt: skip
def test_exception_during_a_request_leaves_nothing_behind(
    tmp_path: Path, monkeypatch: Patch, what: str, raw: bytes
) -> None:
    """Guards against an effect whose exception is logged without further consequences.

    The client got no answer, its connection counted as busy forever, and its call as in progress.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = add_silent_endpoint(node), connect_client(node)
        monkeypatch.setattr(f"granitewell.net.{what}", raise_error)
        await send_available(client, raw)
        async with asyncio.timeout(5.0):  # far less than the deadline of the request whose call can't begin
            while node.clients.connections and ("on_answer_written" in what or not is_readable(client)):
                await asyncio.sleep(0.01)
        client.close()
        await wait_until(lambda: not node.clients.connections and not node._tasks)
        assert (
            not node._calls
            and not node._core.pending_count
            and node._memory.streams == 0
            and not node._core._calls
        )
        endpoint.close()

    assert any(line.startswith("fault") for line in run_with_node(tmp_path, scenario))


def test_failed_socket_creation_is_not_counted_as_open(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against counting a connection whose socket could not be created.

    After some hundred such failures, for which one endpoint of an unsupported address family is enough, the
    node dialed nobody any more.
    """
    monkeypatch.setattr(
        "granitewell.net.pool.new_tcp_socket", lambda _: raise_this(OSError(24, "Too many open files"))
    )

    async def scenario(node: Node) -> None:
        for _ in range(3):
            assert await node.pool.dial(b"s-0", ("127.0.0.1", 9)) is None
        assert node.pool.open_count == 0

    assert [line.partition(":")[0] for line in run_with_node(tmp_path, scenario)] == ["dial"] * 3


def raise_this(error: Exception) -> Any:
    raise error


def test_status_server_goes_on_after_an_unexpected_exception(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against an accept task that ends: later callers wait forever at a socket that is still there."""

    async def scenario(node: Node) -> None:
        spawn, breaks = node._spawn, [True]

        def once(job: Any) -> Any:
            if breaks and job.__name__ == "_serve":
                job.close()
                breaks.clear()
                raise_error()
            return spawn(job)

        monkeypatch.setattr(node, "_spawn", once)
        door, place = StatusServer(node), str(tmp_path / "s")
        door.apply_settings(StatusSettings(place))
        with socket.socket(socket.AF_UNIX) as first, socket.socket(socket.AF_UNIX) as client:
            first.connect(place)
            await wait_until(lambda: not breaks)
            client.setblocking(False)
            client.connect(place)
            await send_available(client, b"GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
            await wait_until(lambda: is_readable(client))
            assert client.recv(4096).startswith(b"HTTP/1.1 ")
        door.close()

    run_with_node(tmp_path, scenario)


@pytest.mark.parametrize("what", ["loop.Node._check_handover", "downstream.too_slow"])
def test_sweep_failure_over_one_connection_does_not_skip_the_others(
    tmp_path: Path, monkeypatch: Patch, what: str
) -> None:
    """Guards against an exception over one connection that keeps those after it from being checked.

    Idle connections stayed until their clients left.
    """

    async def scenario(node: Node) -> None:
        half, idle = connect_client(node), connect_client(node)
        await send_available(half, b"GET /tax")
        await let_tasks_run()
        for connection in node.clients.connections.values():
            connection.last_activity_us -= 10_000_000
        monkeypatch.setattr(f"granitewell.net.{what}", raise_error)
        node._sweep()
        await wait_until(lambda: len(node.clients.connections) <= ("_check_handover" in what))
        half.close()
        idle.close()

    assert any("a sweep failed" in line for line in run_with_node(tmp_path, scenario))
