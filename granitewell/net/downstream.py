"""The clients' side of a node: its listener, the inbounds, what is read from each and what is written to it.

It owns the inbounds' descriptors and tasks, the patience with each, and who makes room where descriptors are
short. It must never change the state of a request (it reports events, and what it writes the core has asked
for), know a protocol's words, which are http1's, or look at an endpoint. What it needs of the node it is
given: the clock, the log, where events go, and how many descriptors each side may hold.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from granitewell import core as c
from granitewell.net import http1
from granitewell.net.bodies import BodySignals, MemoryBudget
from granitewell.net.clock import Clock
from granitewell.net.pool import Pool
from granitewell.net.sockets import READ_BUFFER_BYTES, close_socket, is_readable, peer_closed

MAX_ACCEPTS_PER_TURN = 64  # connections taken in one turn of the loop
# A client that sends nothing of use is owed an error or a close within 3 s of connecting; a usual client's
# first request is there within milliseconds.
HEAD_TIMEOUT_US = (
    2_400_000  # for a client to get the head of a begun request across; on a new connection, since it
)
BODY_GAP_TIMEOUT_US = 2_500_000  # came; and between two pieces of its body, which has to come at
MIN_BODY_BYTES_PER_S = 16 * 1024  # bytes a second at least, from so long after its head on
BODY_RATE_GRACE_US = 3_000_000
STREAM_STALL_TIMEOUT_US = (
    10_000_000  # without a byte, after which a body that flows comes no more; it has to come at
)
MIN_STREAM_BYTES_PER_S = 4 * 1024  # bytes a second at least, once as long has passed since its head
EVICT_IDLE_US = 200_000  # after which a connection that has said nothing goes first where descriptors are
EVICT_PARTIAL_US = 500_000  # short, and after which one with half a request goes with those that are idle
# Clients hold a third of the descriptors at most, and some ask once and keep their connection for good: those
# keep requests out, which then never get here.
KEEPALIVE_TIMEOUT_US = 2_000_000  # for a client to ask again
SHORT_KEEPALIVE_TIMEOUT_US = 100_000  # the same on a connection with one answer, where inbounds are more than
CROWDED_DIVISOR = 8  # one in so many descriptors
DISCARD_BUFFER = bytearray(64 * 1024)  # takes what comes in behind an error; never read
MAX_DISCARDED_BYTES = (
    1024 * 1024
)  # of that, bytes that are taken before the connection ends: some clients send 60 MB
WRITE_TIMEOUT_S = 5.0  # for a client to take its answer,
SHUTDOWN_POLL_S = 0.01  # between two looks at them
SHUTDOWN_GRACE_US = 200_000  # for the clients of a process that leaves to close, once nothing is owed to any
FIRST_REQUEST_TIMEOUT_US = 2_000_000  # for the first byte of the first request on a new connection
LINGER_US = 1_000_000  # for a client to close after our last answer on a connection
MAX_PIPELINED_REQUESTS = (
    4  # requests written ahead on one inbound, after which it is read on once one is answered
)


@dataclass(slots=True)
class Limits:
    """Connections that a process may have: of both sides together, and of each.

    Either side takes what the other leaves, up to its own bound.
    """

    max_total: int
    max_inbound: int
    max_outbound: int


class DownstreamConnection:
    """One client connection."""

    __slots__ = (
        "answer_count",
        "blocked_us",
        "buffer",
        "buffered_bytes",
        "busy",
        "closing",
        "head_received_us",
        "id",
        "is_http10",
        "is_new",
        "keep_alive",
        "last_activity_us",
        "last_read_us",
        "outstanding_body_bytes",
        "parser",
        "queue",
        "resume_reading",
        "sock",
        "streamed_body",
        "task",
    )

    def __init__(self, number: int, sock: socket.socket, parser: http1.RequestParser, now: int) -> None:
        self.blocked_us = 0  # for which the body that flows has waited for its endpoint
        self.buffered_bytes = 0  # bytes of bodies that it holds whole, as the budget counts them,
        self.outstanding_body_bytes = 0  # and of the one whose request is out
        self.resume_reading: asyncio.Event | None = (
            None  # that its reading waits for where requests are written ahead
        )
        self.id, self.sock, self.parser, self.last_activity_us = number, sock, parser, now
        self.buffer = bytearray(
            READ_BUFFER_BYTES
        )  # its first byte is 0 until the loop has read something into it
        self.queue: deque[http1.ParsedItem] = deque()
        self.busy = self.closing = False
        self.answer_count = 0  # answers that have gone out on it
        self.last_read_us = self.head_received_us = (
            now  # when bytes last came, and when the head of the last request had
        )
        self.streamed_body: http1.StreamedBody | None = (
            None  # the body of the request that is out, where it flows
        )
        self.is_http10 = False  # that request is one of HTTP/1.0
        self.task: asyncio.Task[None] | None = None  # that reads it
        self.keep_alive = self.is_new = True  # fresh: no answer has gone out on it yet


class Downstream:
    """All of a node.

    Attributes:
        held: By number.
        listener: None before it stands, and once the node has been asked to stop.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, pool: Pool, names: http1.HeaderNames,
        budget: MemoryBudget, limits: Limits, log_line: Callable[[str, str], None],
        dispatch: Callable[[c.Event], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]], ready: Callable[[], bool], *,
        shared: bool,
    ) -> None:  # fmt: skip
        """ready: what a client that asks for it is told.

        Args:
            shared: The platform holds the listener, so that another process may accept from it.
        """
        self._loop, self._clock, self._pool, self._header_names = loop, clock, pool, names
        self._memory, self._limits, self._shared = budget, limits, shared
        self.log_line, self._dispatch, self._spawn, self._ready = log_line, dispatch, spawn, ready
        self.connections: dict[int, DownstreamConnection] = {}
        self.listener: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None
        # asked of each request's tenant and class, where there is a limit: -1, or when to come again
        self.rate_limit: Callable[[int, int], int] | None = None
        self._last_id = 0

    # --- The listener -----------------------------------------------------------------------------------
    def open(self) -> None:
        """Take clients from the listener, if there is one and that has not begun."""
        if self.accept_task is None and self.listener is not None:
            self.accept_task = self._spawn(self.accept(self.listener))

    async def close(self, by_us: int) -> None:
        """Take nobody any more, and end all of them: the process goes.

        Answers have until by_us to get out; what a client has written by now is read and gets one, as a close
        over unread bytes would reset it.
        """
        if self.accept_task is not None:
            self.accept_task.cancel()
        soon_us = self._clock.read_now() + SHUTDOWN_GRACE_US
        while any(i.busy for i in self.connections.values()) or self._clock.read_now() < soon_us:
            for connection in list(self.connections.values()):
                if not connection.closing and is_idle(connection, self._clock.now()):
                    self.close_gracefully(connection)
            if not self.connections or self._clock.read_now() >= by_us:
                break
            await asyncio.sleep(SHUTDOWN_POLL_S)
        for connection in list(self.connections.values()):
            self.drop(connection)

    async def accept(self, listener: socket.socket) -> None:
        """Take clients from it for as long as it is open."""
        while listener.fileno() >= 0:  # closed once the node has been asked to stop
            try:
                sock, _ = await self._loop.sock_accept(listener)
                self.admit(sock)
                self._accept_more(listener)
                while (
                    not self.has_capacity(self._limits.max_inbound, len(self.connections))
                    and not self.evict()
                ):
                    held = f"{len(self.connections)} inbounds, all at work"
                    self.log_line("budget", f"{held}: accepting no more for now")
                    await asyncio.sleep(0.02)
            except Exception as error:
                # out of descriptors, a client that left early, or what nobody thought of: no reason to let
                # this task end, since a node that takes nobody goes on looking alive
                self.log_line("accept", f"could not accept: {error}")
                await asyncio.sleep(0.02)

    def _accept_more(self, listener: socket.socket) -> None:
        """Take what else stands in the backlog.

        One connection a turn of the loop is too few where clients open many and turns get long: requests
        would wait unseen in the kernel until their clients leave.
        """
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.has_capacity(self._limits.max_inbound, len(self.connections)):
                return
            try:
                sock, _ = listener.accept()
            except OSError:  # the backlog is empty, or what sock_accept will say of it
                return
            self.admit(sock)

    def admit(self, sock: socket.socket) -> None:
        """A client has connected."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_id += 1
        connection = DownstreamConnection(
            self._last_id, sock, http1.RequestParser(self._header_names), self._clock.now()
        )
        self.connections[connection.id] = connection
        connection.task = self._spawn(self._read_requests(connection))

    def has_capacity(self, max_total: int, held: int) -> bool:
        """Is there a descriptor for one more, on a side that holds so many and may hold so many at most?"""
        return held < max_total and len(self.connections) + self._pool.open_count < self._limits.max_total

    def evict(self) -> bool:
        """Make room for a client: close an inbound that has said nothing, has been idle longest or has sent
        but half a request, or an idle connection to an endpoint where those have more than their own part.
        False if there is none.
        """
        now = self._clock.now()
        free = [i for i in self.connections.values() if not i.busy]
        for connection in sorted(
            free, key=lambda i: (not i.is_new or i.parser.incomplete, i.last_activity_us)
        ):
            discarding = (
                connection.closing or connection.parser.incomplete
            ) and now - connection.last_activity_us >= EVICT_PARTIAL_US
            if connection.parser.in_body and now - connection.last_read_us < EVICT_PARTIAL_US:
                continue  # a request that comes slowly, yet comes
            if discarding or is_idle(connection, now, EVICT_IDLE_US):
                self.drop(connection)
                return True
        return len(self.connections) < self._limits.max_inbound and self._pool.close_longest_idle()

    def stop_listening(self) -> None:
        """Take what stands in the backlog, close the listener, and close each inbound without a request."""
        listener, self.listener = self.listener, None
        if listener is None:
            return
        if self._shared:
            self._release(listener)
            return
        while len(self.connections) < self._limits.max_inbound:
            try:
                self.admit(listener.accept()[0])
            except OSError:
                break
        self._release(listener)
        for connection in list(self.connections.values()):
            # one that has written something is heard first: what it wrote may be a whole request
            if is_idle(connection, self._clock.now()):
                self.close_gracefully(connection)

    def _release(self, listener: socket.socket) -> None:
        """Close the listener, or leave a shared one to the others.

        It must be out of the loop's poll before: a pending accept holds it open, and goes on taking
        connections.
        """
        if self.accept_task is None:
            listener.close()
            return
        self.accept_task.add_done_callback(lambda _: listener.close())
        # not in this turn, in which it may have been given a connection that it has not seen yet
        self._loop.call_soon(self.accept_task.cancel)

    # --- Patience ---------------------------------------------------------------------------------------
    def sweep(self, now: int, many: bool, guarded: Callable[[Callable[[], None]], bool]) -> None:
        """Look at each, and end the one over which the look breaks.

        Args:
            many: Descriptors are short.
        """
        for connection in list(self.connections.values()):
            if not guarded(lambda: self.check_timeouts(connection, now, many)):
                self.drop(connection)

    def check_timeouts(self, connection: DownstreamConnection, now: int, many: bool) -> None:
        """Is it time for this one to end?

        Args:
            many: Descriptors are short.
        """
        waited = now - connection.last_activity_us
        patience = (
            SHORT_KEEPALIVE_TIMEOUT_US if many and connection.answer_count == 1 else KEEPALIVE_TIMEOUT_US
        )
        if connection.closing and waited >= LINGER_US:
            self.drop(connection)
        elif connection.busy and connection.streamed_body is not None and not connection.streamed_body.done:
            too_slow_body = (
                connection.streamed_body.unread_bytes <= http1.MAX_BUFFERED_BODY_BYTES
                and streams_too_slowly(connection, connection.streamed_body, now)
            )
            if too_slow_body or not self.client_connected(connection.id):
                self.drop(connection)
        elif connection.busy and connection.resume_reading is not None:
            self.client_connected(connection.id)  # nobody reads on there until an answer is out
        elif connection.busy or connection.closing:
            return
        elif connection.parser.incomplete:
            if too_slow(connection, now):
                rejection = http1.RejectedRequest(408, "the request did not come whole")
                self.log_line("bad", f"answered {rejection.status}: {rejection.text}")
                self.write_response(connection, http1.rejection_bytes(rejection), True)
        elif self.listener is None and self._shared:
            return  # until the process leaves: what a client writes there now must not be turned back
        elif waited >= (FIRST_REQUEST_TIMEOUT_US if connection.is_new else patience) and is_idle(
            connection, now
        ):
            self.close_gracefully(connection)

    def client_connected(self, number: int) -> bool:
        """Does this inbound's client still wait?

        The kernel is asked: what tells of its leaving may stand behind bytes that are not read yet. One that
        has left is dropped.
        """
        connection = self.connections.get(number)
        if connection is not None and peer_closed(connection.sock):
            self.drop(connection)
        return number in self.connections

    # --- One of them ------------------------------------------------------------------------------------
    async def _read_requests(self, connection: DownstreamConnection) -> None:
        """Read one client until it leaves. It is read while its request is out, too: its leaving is news."""
        discarded = 0
        try:
            while (
                connection.id in self.connections
            ):  # else it was dropped in this very turn, its socket closed
                buffer = connection.buffer
                buffer[0] = 0
                discarding = (
                    connection.closing or connection.parser.broken
                )  # only waiting for the client to close
                n = await self._loop.sock_recv_into(connection.sock, DISCARD_BUFFER if discarding else buffer)
                if n == 0:
                    break
                if discarding or connection.closing:
                    discarded += n
                    if discarded > MAX_DISCARDED_BYTES and connection.closing:
                        break  # it has been told why; taking all of it would cost the core to the others
                    continue
                connection.last_read_us = self._clock.now()
                if not connection.parser.incomplete and not connection.is_new:
                    # trickling bytes do not make a slow sender look quick, nor do noise and empty lines
                    connection.last_activity_us = self._clock.now()
                was_in_body = connection.parser.in_body
                connection.queue.extend(connection.parser.feed(bytes(buffer[:n])))
                if connection.parser.in_body and not was_in_body:
                    connection.head_received_us, connection.blocked_us = connection.last_read_us, 0
                if connection.parser.expects_continue and not connection.busy and n < READ_BUFFER_BYTES:
                    with contextlib.suppress(BlockingIOError):
                        connection.sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = connection.parser.streamed_body or connection.streamed_body
                self._start_next_request(connection)
                self._update_memory(connection)
                if (
                    connection.parser.broken
                    and connection.streamed_body is not None
                    and not connection.streamed_body.done
                ):
                    break  # what is out will never be whole: its endpoint and its client hear so now
                if body is not None:
                    await self._on_body_data(connection, body)
                while connection.busy and connection.queue and _should_pause_reading(connection):
                    # closing would lose requests that it has taken; what is not read costs nothing
                    self.log_line("inbound", "a client writes requests ahead: read on once one is answered")
                    connection.resume_reading = asyncio.Event()
                    await connection.resume_reading.wait()
                    connection.resume_reading = None
                    self._update_memory(connection)
        except OSError:
            pass
        finally:
            self.drop(connection)
            connection.task = None

    def _update_memory(self, connection: DownstreamConnection) -> None:
        """Tell the budget what this inbound holds of bodies that do not flow."""
        if connection.id not in self.connections:
            return  # dropped while its answer went out: it counts no more
        parser = connection.parser
        buffered = connection.outstanding_body_bytes + (
            parser.size if parser.in_body and parser.streamed_body is None else 0
        )
        if connection.queue:
            buffered += _pipelined_body_bytes(connection)
        self._memory.buffered_bytes += buffered - connection.buffered_bytes
        connection.buffered_bytes = buffered

    def _release_memory(self, connection: DownstreamConnection) -> None:
        """It is gone, and holds nothing."""
        self._memory.buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    async def _on_body_data(self, connection: DownstreamConnection, body: http1.StreamedBody) -> None:
        """More of a body that flows has come: its call goes on, and reading waits for that."""
        if body.signals is None:
            body.signals = BodySignals()
        body.signals.data_available.set()
        if connection.streamed_body is body and body.done:
            connection.streamed_body, connection.buffer = None, bytearray(READ_BUFFER_BYTES)
            self._dispatch(c.Whole(connection.id))
        if not body.done:
            if len(connection.buffer) != self._memory.read_size():
                connection.buffer = bytearray(self._memory.read_size())
            if body.unread_bytes > http1.MAX_BUFFERED_BODY_BYTES:
                began_us = self._clock.now()
                await body.signals.wait_for_space(body)
                connection.last_read_us = self._clock.now()  # from here on it is the client's turn again
                connection.blocked_us += connection.last_read_us - began_us

    def _start_next_request(self, connection: DownstreamConnection) -> None:
        """Begin the next whole request of an inbound that has none out."""
        if connection.busy or connection.closing or not connection.queue:
            return
        item = connection.queue.popleft()
        if (
            isinstance(item, http1.Request)
            and connection.parser.broken
            and connection.queue
            and _has_incomplete_body(item)
        ):
            item = connection.queue.popleft()  # what is wrong with its body stands behind it
        if isinstance(item, http1.Request):
            connection.busy, connection.keep_alive, connection.is_http10 = (
                True,
                item.keep_alive,
                item.is_http10,
            )
            body, connection.outstanding_body_bytes = item.message.streamed_body, len(item.message.body)
            connection.streamed_body = body
            if body is not None:
                body.connection_id, body.signals = connection.id, body.signals or BodySignals()
            retry_at_us = (
                self.rate_limit(item.tenant, item.class_index) if self.rate_limit is not None else -1
            )
            self._dispatch(c.Arrived(
                connection.id, item.class_index, item.tenant, item.key, item.timeout_ms * 1000, item.message,
                item.is_repeat, item.message.request_id, item.must_not_repeat,
                body is not None, retry_at_us,
            ))  # fmt: skip
            if body is not None and body.done:  # it came whole while another request was out
                connection.streamed_body = None
                self._dispatch(c.Whole(connection.id))
        elif isinstance(item, http1.ReadinessRequest):
            ready = self._ready()
            self.write_response(
                connection, http1.readiness_bytes(ready, not item.keep_alive), not item.keep_alive
            )
        else:
            self.log_line("bad", f"answered {item.status}: {item.text}")
            self.write_response(connection, http1.rejection_bytes(item), not item.keep_alive)

    def write_answer(self, effect: c.Answer) -> None:
        """Write the core's answer, if its client is still there."""
        connection = self.connections.get(effect.inbound)
        if connection is not None:
            # behind an answer that came before the whole request nothing can be read in step; what was
            # written ahead has been taken, and it is the last answer that ends the connection
            ends = effect.close and not connection.queue
            close = ends or not connection.keep_alive or connection.streamed_body is not None
            self.write_response(connection, http1.final_response_bytes(effect, close), close)

    def finish_streamed_answer(self, effect: c.Finish) -> None:
        """An answer that was passed on as it came has ended.

        One that is not whole ends with its connection, by which its client can tell.
        """
        connection = self.connections.get(effect.inbound)
        if connection is None:
            return
        if not effect.whole:
            self.reset(connection)
            return
        self.on_answer_written(
            connection, effect.close or not connection.keep_alive or connection.streamed_body is not None
        )

    def write_response(self, connection: DownstreamConnection, data: bytes, close: bool) -> None:
        connection.busy = True
        self._spawn(self._write(connection, data, close))

    async def _write(self, connection: DownstreamConnection, data: bytes, close: bool) -> None:
        if connection.id not in self.connections:
            return  # the client has left in this very turn
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):  # a client that does not read holds nothing for long
                await self._loop.sock_sendall(connection.sock, data)
            self.on_answer_written(connection, close)
        except Exception as error:
            self.drop(
                connection
            )  # left at work, it would hold its descriptor for as long as its client likes
            if not isinstance(error, OSError):
                raise

    def on_answer_written(self, connection: DownstreamConnection, close: bool) -> None:
        """An answer is out: on to the next request, or to the end of the connection."""
        connection.last_activity_us = self._clock.now()
        connection.busy = connection.is_new = False
        connection.answer_count += 1
        connection.outstanding_body_bytes = 0
        self._update_memory(connection)
        if connection.resume_reading is not None:
            connection.resume_reading.set()
        if close or (self.listener is None and not connection.queue):
            self.close_gracefully(connection)
        else:
            self._start_next_request(connection)

    def close_gracefully(self, connection: DownstreamConnection) -> None:
        """End it from this side: half-closed first, since closing with bytes unread, or before bytes that are
        on their way, would reset the last answer away. What still comes is taken and goes nowhere: its client
        sees an end without an answer, and asks on another connection.
        """
        connection.closing = True
        connection.last_activity_us = self._clock.now()
        if connection.streamed_body is not None:
            connection.streamed_body.signals.space_available.set()
            connection.streamed_body.unread_bytes = 0
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)

    def drop(self, connection: DownstreamConnection) -> None:
        """End a client's connection, and whatever its reading task waits for.

        A body that nobody takes any more gets no room.
        """
        if self.connections.pop(connection.id, None) is not None:
            self._release_memory(connection)
            close_socket(connection.sock)
            # a task that was cancelled holds what it raised, and that its frame: with the inbound pointing
            # back at the task, buffer and all would wait for the collector
            task, connection.task = connection.task, None
            if task is not None and task is not asyncio.current_task(self._loop):
                task.cancel()
            self._dispatch(c.InboundGone(connection.id))

    def reset(self, connection: DownstreamConnection) -> None:
        """Reset a client's connection: an answer whose end is that of its connection would look whole.

        The read that is pending holds the socket open, so that it has to end first.
        """
        if self.connections.pop(connection.id, None) is None:
            return
        self._release_memory(connection)
        with contextlib.suppress(OSError):
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        assert connection.task is not None
        connection.task.add_done_callback(lambda _: connection.sock.close())
        connection.task.cancel()


def too_slow(connection: DownstreamConnection, now_us: int) -> bool:
    """Has a request that has begun taken longer than its client may?"""
    if not connection.parser.in_body:
        return now_us - connection.last_activity_us >= HEAD_TIMEOUT_US
    due = (now_us - connection.head_received_us - BODY_RATE_GRACE_US) * MIN_BODY_BYTES_PER_S / 1e6
    return now_us - connection.last_read_us >= BODY_GAP_TIMEOUT_US or connection.parser.size < due


def streams_too_slowly(connection: DownstreamConnection, body: http1.StreamedBody, now_us: int) -> bool:
    """Does a client keep its large body from ever coming whole?

    What its endpoint did not take does not count against it.
    """
    had_us = now_us - connection.head_received_us - connection.blocked_us - STREAM_STALL_TIMEOUT_US
    return (
        now_us - connection.last_read_us >= STREAM_STALL_TIMEOUT_US
        or body.received_bytes < had_us * MIN_STREAM_BYTES_PER_S / 1e6
    )


def _has_incomplete_body(item: http1.Request) -> bool:
    """Where no more can be told from what comes: is this a request whose body has not all come?"""
    return item.message.streamed_body is not None and not item.message.streamed_body.done


def _pipelined_body_bytes(connection: DownstreamConnection) -> int:
    """Bytes of the bodies of whole requests that wait for their turn."""
    return sum(len(item.message.body) for item in connection.queue if isinstance(item, http1.Request))


def _should_pause_reading(connection: DownstreamConnection) -> bool:
    """Does a client wait with more than it should be read on for? One body kept whole is enough."""
    return len(connection.queue) >= MAX_PIPELINED_REQUESTS or _pipelined_body_bytes(connection) > 0


def is_idle(
    connection: DownstreamConnection, now_us: int, new_connection_grace_us: int = FIRST_REQUEST_TIMEOUT_US
) -> bool:
    """Nothing is owed there, and nothing has come in that could be a request.

    Neither bytes still with the kernel, nor bytes that the loop took from it a turn before the reading task
    goes on. A new connection is not idle for so long: its first request is on the way, and only between
    requests may a node close.
    """
    if connection.is_new and now_us - connection.last_activity_us < new_connection_grace_us:
        return False
    if connection.busy or connection.parser.incomplete or connection.buffer[0]:
        return False
    return not is_readable(connection.sock)
