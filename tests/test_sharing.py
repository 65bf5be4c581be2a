"""What the tasks of one node share: each test is one way in which that sharing went wrong, or could have."""

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
from granitewell.handover import Handover, Moment
from granitewell.net.console import Console
from granitewell.net.discovery import APART_S, MAX_SWIFT, PUSHED
from granitewell.net.downstream import Inbound
from granitewell.net.loop import RESERVE, STALL_US, Node
from granitewell.net.sockets import readable
from granitewell.net.status import Door
from granitewell.status.types import StatusSettings
from tests.shell import StandingClock, client_of, played, silent, turns, until

LONG = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Content-Length: 900000\r\n\r\n")  # fmt: skip


async def pushed(client: socket.socket, data: bytes) -> None:
    """Write as much as the other side takes."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(0.5):
            await loop.sock_sendall(client, data)
    except TimeoutError:
        pass


def test_a_client_dropped_while_its_body_has_no_room_leaves_nothing_behind(tmp_path: Path) -> None:
    """Its reading task waited for room that nobody would make.

    The task, its buffers and up to 128 KiB of the body stayed for as long as the process.
    """

    async def scenario(node: Node) -> None:
        client = client_of(node)
        (inbound,) = node.clients.held.values()
        held = inbound.parser.feed(LONG % 1)  # as though another request were out: it waits in the queue
        inbound.queue.extend(held)
        inbound.busy = True
        await pushed(client, bytes(400_000))
        flow = inbound.parser.flow
        assert flow is not None
        await until(lambda: flow.unread > 65536)
        node.clients.drop(inbound)
        await turns()
        assert not node._tasks and client.fileno() >= 0
        client.close()

    assert played(tmp_path, scenario) == []


SMALL = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 100\r\n"
         b"Content-Length: %d\r\n\r\n%s")  # fmt: skip
SMALL_TIMEOUT_US = 100_000
STEP_US = 1_000  # a new connection rests for some ms before anything is written on it


def test_requests_written_ahead_are_neither_lost_nor_held_by_the_megabyte(tmp_path: Path) -> None:
    """More than four closed the connection, and with it requests that had been taken.

    And each of the four might hold 64 KiB that no budget counted, 300 KiB for each client.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = silent(node), client_of(node)
        (inbound,) = node.clients.held.values()
        await pushed(client, b"".join(SMALL % (k, 60_000, bytes(60_000)) for k in range(40)))
        await turns()
        assert inbound.id in node.clients.held
        assert 120_000 <= node._budget.kept <= 2 * 65536  # the one that is out, and the next
        answers = b""  # each gets its own once the time of the one before is over
        while answers.count(b"HTTP/1.1 502") < 3:
            answers += await asyncio.get_running_loop().sock_recv(client, 4096)
        client.close()
        await until(lambda: not node.clients.held)
        endpoint.close()
        assert node._budget.kept == 0

    assert {line.partition(":")[0] for line in played(tmp_path, scenario)} <= {"inbound", "phase", "module"}


@pytest.mark.parametrize("where", ["admit", "evict"])
def test_the_listener_outlives_what_was_not_foreseen(tmp_path: Path, monkeypatch: Patch, where: str) -> None:
    """A task that ends is one line of the log, and the node then takes nobody for months."""

    async def scenario(node: Node) -> None:
        real = getattr(node.clients, where)
        broken = [RuntimeError("no such thing"), OSError(22, "reset already")]

        def once(*args: Any) -> Any:
            if broken:
                raise broken.pop()
            return real(*args)

        monkeypatch.setattr(node.clients, where, once)
        if where == "evict":  # which is asked where there is no room
            node.limits.inbound = 0
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            accepting = node._spawn(node.clients.accept(server))
            clients: list[socket.socket] = []
            while not node.clients.held and not accepting.done() and len(clients) < 9:
                clients.append(socket.create_connection(server.getsockname()))
                await asyncio.sleep(0.05)
            assert node.clients.held
            await turns()
            assert not accepting.done()
            accepting.cancel()
        for client in clients:
            client.close()

    played(tmp_path, scenario)


class Agent:
    """Discovery that answers each call at once with these bodies, the last one again and again."""

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


def test_the_watch_outlives_what_was_not_foreseen(tmp_path: Path, monkeypatch: Patch) -> None:
    """It ended with the first exception that was not in its list.

    The list of endpoints then stayed as it was for good.
    """

    async def scenario(node: Node) -> None:
        read, broken = node._reader.read, [RuntimeError("no such thing")]

        def once(body: bytes) -> tuple[int, c.EndpointListUpdate]:
            if broken:
                raise broken.pop()
            return read(body)

        monkeypatch.setattr(node._reader, "read", once)
        agent = Agent(NOTHING)
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        node.discovery.at(server.sockets[0].getsockname(), PUSHED)
        await until(lambda: node.discovery.heard_us >= 0)
        await stopped(node, server)

    assert any("no such thing" in line for line in played(tmp_path, scenario))


async def stopped(node: Node, server: asyncio.Server) -> None:
    """End the watch, then the agent."""
    assert node.discovery._task is not None
    node.discovery._task.cancel()
    await turns()
    server.close()


def test_an_agent_that_never_waits_does_not_get_the_core(tmp_path: Path) -> None:
    """It was asked again at once, some thousands of times a second, beside the requests."""

    async def scenario(node: Node) -> None:
        agent = Agent(NOTHING)
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        node.discovery.at(server.sockets[0].getsockname(), PUSHED)
        await until(lambda: agent.calls > MAX_SWIFT)
        loop = asyncio.get_running_loop()
        before, began = agent.calls, loop.time()
        await asyncio.sleep(10 * APART_S)
        assert (agent.calls - before - 1) * APART_S <= loop.time() - began
        await stopped(node, server)

    assert played(tmp_path, scenario) == []


def test_a_limit_below_the_configured_one_is_the_budget(tmp_path: Path, monkeypatch: Patch) -> None:
    """Where the process itself may hold fewer descriptors than the file says, the file counted.

    The node then ran into the limit, and neither discovery nor an endpoint could be reached.
    """
    monkeypatch.setattr(resource, "getrlimit", lambda _: (100, 100))
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512}

    async def scenario(node: Node) -> None:
        assert node._mine == 100 and node.limits.inbound + RESERVE <= 100

    assert played(tmp_path, scenario, limits=limits) == []


def test_a_call_that_breaks_has_an_ending_at_once(tmp_path: Path, monkeypatch: Patch) -> None:
    """An exception outside a short list ended the task alone.

    The request waited for its whole time, and one whose body flows, which has none, for good.
    """

    async def scenario(node: Node) -> None:
        async def dial(*_: object) -> None:
            raise RuntimeError("no such thing")

        monkeypatch.setattr(node.pool, "dial", dial)
        ended: list[c.Event] = []
        monkeypatch.setattr(node, "dispatch", ended.append)
        node._run(c.StartCall(7, b"s-0", ("127.0.0.1", 9), "message", 0))
        await turns()
        assert ended[-1] == c.CallEnded(7, Outcome.UNCONNECTED) and not node._calls
        monkeypatch.undo()

    assert any("no such thing" in line for line in played(tmp_path, scenario))


def test_what_a_callback_raises_is_a_line_and_waits_for_nobody(tmp_path: Path) -> None:
    """The loop's own handler writes a traceback to standard error.

    That blocks the node where standard error is a pipe that nobody reads.
    """

    async def scenario(node: Node) -> None:
        running = node._spawn(node.run())
        await until(lambda: node.clients.listener is not None)
        node._loop.call_soon(lambda: 1 // 0)
        await turns(3)
        node._left.set()
        running.cancel()
        await turns()

    assert any("division" in line for line in played(tmp_path, scenario))


def test_a_ban_whose_writing_breaks_is_no_yes(tmp_path: Path) -> None:
    """An exception there was a fault line, and the effect behind it said yes all the same.

    The next process would not have known of that ban.
    """

    class Broken(Handover):
        def keep(self, endpoint: bytes, banned: bool, now: Moment) -> str:
            raise RuntimeError("no such thing")

    async def scenario(node: Node) -> None:
        endpoint = silent(node)
        node._handover = Broken("", "n0")
        node.console = Console(node, ("127.0.0.1", 0), node._loop)
        reader, writer = await asyncio.open_connection(*node.console._listener.getsockname())
        writer.write(b"POST /dispatch-servers/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0")
        assert (await reader.readline()).startswith(b"HTTP/1.1 500")
        writer.close()
        node.console.close()
        endpoint.close()

    assert any("could not be written down" in line for line in played(tmp_path, scenario))


def test_a_dropped_client_does_not_wait_for_the_collector(tmp_path: Path) -> None:
    """A cancelled reading task and its inbound held each other.

    With thousands of clients that come and go, their buffers stood until the collector ran, 8 to 16 MB of a
    limit of 40.
    """

    def left() -> int:
        return sum(isinstance(x, Inbound) for x in gc.get_objects())

    async def scenario(node: Node) -> None:
        gc.collect()  # what other tests have left behind is not this node's
        before, clients = left(), [client_of(node) for _ in range(20)]
        await turns(3)
        gc.disable()
        try:
            clients += [client_of(node) for _ in range(5)]  # whose tasks have not begun
            for inbound in list(node.clients.held.values()):
                node.clients.drop(inbound)
            del inbound
            await turns(5)
            assert left() == before
        finally:
            gc.enable()
        for client in clients:
            client.close()

    played(tmp_path, scenario)


def test_a_connection_taken_in_the_turn_of_a_stop_is_heard(tmp_path: Path) -> None:
    """The accepting task was cancelled in the turn in which the loop had taken a connection for it.

    Nobody had that connection, and its client's request was turned back unread.
    """

    async def scenario(node: Node) -> None:
        signal, sent = socket.socketpair()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            assert node.clients.accepting is not None
            node.clients.accepting.cancel()
            node.clients.accepting = node._spawn(node.clients.accept(server))
            await turns(3)

            def stop() -> None:
                signal.recv(1)
                node.clients._release(server)

            node._loop.add_reader(signal, stop)
            client = socket.create_connection(server.getsockname())
            sent.send(b"x")  # both are seen by one look of the loop, the connection first
            await until(lambda: node.clients.accepting is None or node.clients.accepting.done())
            assert len(node.clients.held) == 1
        node._loop.remove_reader(signal)
        for sock in (signal, sent, client):
            sock.close()

    played(tmp_path, scenario)


def test_a_listener_that_is_closed_takes_nobody(tmp_path: Path) -> None:
    """The loop's pending accept held the socket open.

    A node that was leaving went on taking connections, and reset them when it left.
    """

    async def scenario(node: Node) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        place, node.clients.listener = server.getsockname(), server
        assert node.clients.accepting is not None
        node.clients.accepting.cancel()
        node.clients.accepting = node._spawn(node.clients.accept(server))
        await turns(3)
        node.clients.stop_listening()
        await turns(3)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(place)
        node.clients.listener = socket.socket()

    played(tmp_path, scenario)


CHUNKED = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")  # fmt: skip


def pass_time(node: Node, clock: StandingClock, by_us: int) -> None:
    """Let time pass, with every timer of the node as soon as it is due."""
    until_us = clock.now() + by_us
    while node._timer is not None and node._timer_us < until_us:
        clock.advance(max(node._timer_us - clock.now(), 0) + 1)
        node._wake()
    clock.advance(until_us - clock.now())


def test_a_large_body_that_turns_malformed_ends_its_call_at_once(tmp_path: Path, monkeypatch: Patch) -> None:
    """It could never be complete, yet its endpoint held a connection for it, and its client waited.

    Both lasted until the body counted as one that trickles. No time passes here but where the test says so:
    the call ends by what the client has sent, and a machine that is slow makes no timer late.
    """
    monkeypatch.setattr("granitewell.net.loop.Clock", StandingClock)

    async def scenario(node: Node) -> None:
        loop, clock = asyncio.get_running_loop(), node.clock
        assert isinstance(clock, StandingClock)
        endpoint, client = silent(node), client_of(node)
        await loop.sock_sendall(client, CHUNKED + b"%x\r\n%s\r\n" % (70_000, bytes(70_000)))
        await until(lambda: node._calls)
        await loop.sock_sendall(client, b"no chunk\r\n")
        await until(lambda: not node.clients.held and not node._tasks)  # nothing sweeps here
        assert not node._calls and not node._core.pending_count and node._budget.flows == 0
        client.close()
        late, answers = client_of(node), b""  # the same written ahead, whose turn never comes
        ahead = CHUNKED + b"%x\r\n%s\r\nno chunk\r\n" % (65_540, bytes(65_540))
        await loop.sock_sendall(late, SMALL % (2, 2, b"hi") + ahead)
        while not any(call.wrote for call in node._calls.values()):  # it may have run from there on
            await turns()
            pass_time(node, clock, STEP_US)
        pass_time(node, clock, SMALL_TIMEOUT_US)
        while more := await loop.sock_recv(late, 4096):
            answers += more
        assert answers.count(b"HTTP/1.1 502") == answers.count(b"HTTP/1.1 400") == 1
        assert not node._core.pending_count and not node._core._calls
        late.close()
        endpoint.close()

    assert {line.partition(":")[0] for line in played(tmp_path, scenario)} <= {"phase", "module", "bad"}


def test_a_timer_that_comes_late_is_a_line_however_fast_the_machine(
    tmp_path: Path, monkeypatch: Patch
) -> None:
    """What made the test above fail by chance: a machine without a free processor makes timers late."""
    monkeypatch.setattr("granitewell.net.loop.Clock", StandingClock)

    async def scenario(node: Node) -> None:
        assert isinstance(node.clock, StandingClock)
        endpoint, client = silent(node), client_of(node)
        await asyncio.get_running_loop().sock_sendall(client, SMALL % (1, 2, b"hi"))
        await until(lambda: node._calls and node._timer is not None)
        node.clock.advance(node._timer_us + STALL_US - node.clock.now())
        node._wake()
        client.close()
        await until(lambda: not node.clients.held)
        endpoint.close()

    assert [line for line in played(tmp_path, scenario) if line.startswith("stall: 20 ms late")]


def broken(*_: object) -> Any:
    raise RuntimeError("no such thing")


PATIENT = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 9000\r\n"
           b"Content-Length: 2\r\n\r\nhi")  # fmt: skip


@pytest.mark.parametrize(("what", "raw"), [
    ("http1.answer_bytes", SMALL % (1, 2, b"hi")),  # its answer can't be made,
    ("downstream.Inbounds._write", SMALL % (1, 2, b"hi")),  # nor be written,
    ("downstream.Inbounds.answered", b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"),  # nor end
    ("loop._Call", PATIENT),  # its call can't begin
    ("http1.Flow.take", LONG % 1 + bytes(70_000)),  # its body can't be read
], ids=["answer", "write", "end", "call", "body"])  # fmt: skip
def test_what_breaks_under_way_leaves_nothing_behind(
    tmp_path: Path, monkeypatch: Patch, what: str, raw: bytes
) -> None:
    """An effect that failed was a line of the log and nothing else.

    Its client was held with no answer, its connection counted as at work for good, and its call as out.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = silent(node), client_of(node)
        monkeypatch.setattr(f"granitewell.net.{what}", broken)
        await pushed(client, raw)
        async with asyncio.timeout(5.0):  # far less than the time of the request whose call can't begin
            while node.clients.held and ("answered" in what or not readable(client)):
                await asyncio.sleep(0.01)
        client.close()
        await until(lambda: not node.clients.held and not node._tasks)
        assert (
            not node._calls
            and not node._core.pending_count
            and node._budget.flows == 0
            and not node._core._calls
        )
        endpoint.close()

    assert any(line.startswith("fault") for line in played(tmp_path, scenario))


def test_a_dial_without_a_socket_holds_none(tmp_path: Path, monkeypatch: Patch) -> None:
    """Each counted as held for good.

    After some hundred, of which an endpoint of an address family that the machine does not have is enough,
    the node dialed nobody any more.
    """
    monkeypatch.setattr("granitewell.net.pool.tcp", lambda _: broken_with(OSError(24, "Too many open files")))

    async def scenario(node: Node) -> None:
        for _ in range(3):
            assert await node.pool.dial(b"s-0", ("127.0.0.1", 9)) is None
        assert node.pool.held == 0

    assert [line.partition(":")[0] for line in played(tmp_path, scenario)] == ["dial"] * 3


def broken_with(error: Exception) -> Any:
    raise error


def test_the_status_outlives_what_was_not_foreseen(tmp_path: Path, monkeypatch: Patch) -> None:
    """Whoever looked after that waited for good, at a socket that was there."""

    async def scenario(node: Node) -> None:
        spawn, breaks = node._spawn, [True]

        def once(job: Any) -> Any:
            if breaks and job.__name__ == "_serve":
                job.close()
                breaks.clear()
                broken()
            return spawn(job)

        monkeypatch.setattr(node, "_spawn", once)
        door, place = Door(node), str(tmp_path / "s")
        door.take(StatusSettings(place))
        with socket.socket(socket.AF_UNIX) as first, socket.socket(socket.AF_UNIX) as client:
            first.connect(place)
            await until(lambda: not breaks)
            client.setblocking(False)
            client.connect(place)
            await pushed(client, b"GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
            await until(lambda: readable(client))
            assert client.recv(4096).startswith(b"HTTP/1.1 ")
        door.close()

    played(tmp_path, scenario)


@pytest.mark.parametrize("what", ["loop.Node._look", "downstream.too_slow"])
def test_a_sweep_that_breaks_over_one_looks_at_the_others(
    tmp_path: Path, monkeypatch: Patch, what: str
) -> None:
    """One exception kept all that stood behind it from being swept, each time.

    Idle connections stayed until their clients left.
    """

    async def scenario(node: Node) -> None:
        half, idle = client_of(node), client_of(node)
        await pushed(half, b"GET /tax")
        await turns()
        for inbound in node.clients.held.values():
            inbound.at_us -= 10_000_000
        monkeypatch.setattr(f"granitewell.net.{what}", broken)
        node._sweep()
        await until(lambda: len(node.clients.held) <= ("_look" in what))
        half.close()
        idle.close()

    assert any("a sweep failed" in line for line in played(tmp_path, scenario))
