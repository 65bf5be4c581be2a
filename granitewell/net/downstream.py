"""The clients' side of the node: the listener, the client connections, their reads, writes and timeouts.

Each connection has a task that reads requests from it. Requests go to the core as events, and the core's
answers are written back; this module changes no request's state itself and leaves the protocol to `http1`.
Where descriptors are short, it decides which connection to close.
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

MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one turn of the loop
# A client that sends nothing useful is owed an error or a close within 3 s of connecting; the first request
# of a usual client arrives within milliseconds.
HEAD_TIMEOUT_US = 2_400_000  # from the first byte of a request, or from connecting, to the end of its head
BODY_GAP_TIMEOUT_US = 2_500_000  # between two pieces of a buffered body
MIN_BODY_BYTES_PER_S = 16 * 1024  # average of a buffered body, counted from this long after its head
BODY_RATE_GRACE_US = 3_000_000
STREAM_STALL_TIMEOUT_US = 10_000_000  # between two pieces of a streamed body; also the grace of its rate
MIN_STREAM_BYTES_PER_S = 4 * 1024  # average of a streamed body
# Where descriptors are short, a connection without a request may be closed after the first time, and one with
# a partial request after the second.
EVICT_IDLE_US = 200_000
EVICT_PARTIAL_US = 500_000
# Clients hold a third of the descriptors at most. Some send one request and keep the connection forever; with
# many of them, requests on new connections would not be accepted.
KEEPALIVE_TIMEOUT_US = 2_000_000  # until the next request
SHORT_KEEPALIVE_TIMEOUT_US = 100_000  # the same after only one answer, while there are many connections
CROWDED_DIVISOR = 8  # there are many if they hold more than one in 8 descriptors
DISCARD_BUFFER = bytearray(64 * 1024)  # receives what follows an error; never read
MAX_DISCARDED_BYTES = 1024 * 1024  # until the connection is closed: some clients send 60 MB
WRITE_TIMEOUT_S = 5.0  # for a client to receive its answer
SHUTDOWN_POLL_S = 0.01
SHUTDOWN_GRACE_US = 200_000  # for clients to close at shutdown, once every answer is written
FIRST_REQUEST_TIMEOUT_US = 2_000_000  # from connecting to the first byte of a request
LINGER_US = 1_000_000  # for a client to close after the last answer on its connection
MAX_PIPELINED_REQUESTS = 4  # on one connection; reading pauses until one of them is answered


@dataclass(slots=True)
class Limits:
    """Connections that the process may have: in total, from clients, and to endpoints.

    Either side may use what the other leaves, up to its own bound.
    """

    max_total: int
    max_inbound: int
    max_outbound: int


class DownstreamConnection:
    """A client's connection.

    Attributes:
        last_activity_us: When the current phase began: connected, last bytes between requests, last answer,
            or half-closed.
        last_read_us: When bytes last arrived.
        head_received_us: When the head of the last request was complete.
        blocked_us: How long the streamed body has waited for its endpoint.
        buffered_bytes: Bytes of buffered bodies, as counted in the memory budget.
        outstanding_body_bytes: Those of the request that the core has.
        queue: Parsed requests that wait for their turn.
        busy: A request is with the core, or its answer is being written.
        closing: Half-closed from this side.
        is_new: No answer has been written yet.
        streamed_body: The body of the current request, if it is streamed and not complete.
        resume_reading: Set when reading may go on; None unless reading is paused for pipelined requests.
    """

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
        """Wrap an accepted socket.

        Args:
            number: Identifies the connection in the core.
            sock: The socket.
            parser: Its parser.
            now: The time in microseconds.
        """
        self.blocked_us = 0
        self.buffered_bytes = 0
        self.outstanding_body_bytes = 0
        self.resume_reading: asyncio.Event | None = None
        self.id, self.sock, self.parser, self.last_activity_us = number, sock, parser, now
        self.buffer = bytearray(READ_BUFFER_BYTES)  # byte 0 stays 0 until the loop has read into it
        self.queue: deque[http1.ParsedItem] = deque()
        self.busy = self.closing = False
        self.answer_count = 0
        self.last_read_us = self.head_received_us = now
        self.streamed_body: http1.StreamedBody | None = (
            None  # the body of the request that is out, where it flows
        )
        self.is_http10 = False
        self.task: asyncio.Task[None] | None = None
        self.keep_alive = self.is_new = True


class Downstream:
    """All client connections of the node.

    Attributes:
        connections: By number.
        listener: None before it is open, and after the node has been asked to stop.
        rate_limit: Called with the tenant and class of each request; returns -1, or when to try again. None
            for
            no limit.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, pool: Pool, names: http1.HeaderNames,
        budget: MemoryBudget, limits: Limits, log_line: Callable[[str, str], None],
        dispatch: Callable[[c.Event], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]], ready: Callable[[], bool], *,
        shared: bool,
    ) -> None:  # fmt: skip
        """Create the collection; `listener` is set by the node.

        Args:
            loop: The event loop.
            clock: The node's clock.
            pool: The connections to endpoints, which share the limit of descriptors.
            names: The names that requests may use.
            budget: The memory budget of bodies.
            limits: How many connections each side may have.
            log_line: Writes a line of a topic to the node's log.
            dispatch: Hands an event to the core.
            spawn: Starts a task that the node keeps track of.
            ready: Returns the answer to a readiness request.
            shared: The platform holds the listener, so that other processes may accept from it.
        """
        self._loop, self._clock, self._pool, self._header_names = loop, clock, pool, names
        self._memory, self._limits, self._shared = budget, limits, shared
        self.log_line, self._dispatch, self._spawn, self._ready = log_line, dispatch, spawn, ready
        self.connections: dict[int, DownstreamConnection] = {}
        self.listener: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None
        self.rate_limit: Callable[[int, int], int] | None = None
        self._last_id = 0

    # --- The listener -----------------------------------------------------------------------------------
    def open(self) -> None:
        """Start to accept clients, unless that has begun or there is no listener."""
        if self.accept_task is None and self.listener is not None:
            self.accept_task = self._spawn(self.accept(self.listener))

    async def close(self, by_us: int) -> None:
        """Accept no more clients and end all connections: the process is ending.

        Pending answers are written until `by_us`. Requests that clients have sent by now are read and
        answered: a close with unread bytes would reset the connection.
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
        """Accept clients from the listener for as long as it is open."""
        while listener.fileno() >= 0:
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
                # no descriptor, a client that has left, or a defect: this task must go on, since a node that
                # accepts nobody still looks alive
                self.log_line("accept", f"could not accept: {error}")
                await asyncio.sleep(0.02)

    def _accept_more(self, listener: socket.socket) -> None:
        """Accept what else is in the backlog.

        One connection per turn of the loop is too few when clients open many and turns take long: requests
        would wait in the kernel until their clients give up.
        """
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.has_capacity(self._limits.max_inbound, len(self.connections)):
                return
            try:
                sock, _ = listener.accept()
            except OSError:  # the backlog is empty, or an error that sock_accept will raise again
                return
            self.admit(sock)

    def admit(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_id += 1
        connection = DownstreamConnection(
            self._last_id, sock, http1.RequestParser(self._header_names), self._clock.now()
        )
        self.connections[connection.id] = connection
        connection.task = self._spawn(self._read_requests(connection))

    def has_capacity(self, max_total: int, held: int) -> bool:
        """Return whether one more connection fits the limit of its side and the total limit."""
        return held < max_total and len(self.connections) + self._pool.open_count < self._limits.max_total

    def evict(self) -> bool:
        """Make room for a client by closing one connection; return False if none may be closed.

        Candidates are client connections whose request is not being processed: first new ones that have sent
        nothing, then those that are idle, half-closed or stuck in a partial request, the longest inactive
        first. If none qualifies and clients have less than their bound, an idle connection to an endpoint is
        closed.
        """
        now = self._clock.now()
        free = [i for i in self.connections.values() if not i.busy]
        for connection in sorted(
            free, key=lambda i: (not i.is_new or i.parser.incomplete, i.last_activity_us)
        ):
            overdue = (
                connection.closing or connection.parser.incomplete
            ) and now - connection.last_activity_us >= EVICT_PARTIAL_US
            if connection.parser.in_body and now - connection.last_read_us < EVICT_PARTIAL_US:
                continue  # a slow request that is making progress
            if overdue or is_idle(connection, now, EVICT_IDLE_US):
                self.drop(connection)
                return True
        return len(self.connections) < self._limits.max_inbound and self._pool.close_longest_idle()

    def stop_listening(self) -> None:
        """Accept the rest of the backlog, close the listener and close idle connections."""
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
            # a connection with unread bytes is read first: they may be a complete request
            if is_idle(connection, self._clock.now()):
                self.close_gracefully(connection)

    def _release(self, listener: socket.socket) -> None:
        """Close the listener; if it is shared, other processes go on accepting from it.

        The pending accept has to be cancelled first: it holds the socket open and would go on accepting.
        """
        if self.accept_task is None:
            listener.close()
            return
        self.accept_task.add_done_callback(lambda _: listener.close())
        # in the next turn: in this one the task may have been given a connection that it has not processed
        self._loop.call_soon(self.accept_task.cancel)

    # --- Timeouts ---------------------------------------------------------------------------------------
    def sweep(self, now: int, many: bool, guarded: Callable[[Callable[[], None]], bool]) -> None:
        """Check the timeouts of all connections; drop one whose check fails.

        Args:
            now: The time in microseconds.
            many: There are so many connections that idle ones are closed sooner.
            guarded: Runs a check, logs an exception, and returns whether there was none.
        """
        for connection in list(self.connections.values()):
            if not guarded(lambda: self.check_timeouts(connection, now, many)):
                self.drop(connection)

    def check_timeouts(self, connection: DownstreamConnection, now: int, many: bool) -> None:
        """Close a connection whose time is up.

        Args:
            connection: The connection.
            now: The time in microseconds.
            many: There are so many connections that idle ones are closed sooner.
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
            if too_slow_body or not self.check_connected(connection.id):
                self.drop(connection)
        elif connection.busy and connection.resume_reading is not None:
            # reading is paused there, so ask the kernel whether the client has left
            self.check_connected(connection.id)
        elif connection.busy or connection.closing:
            return
        elif connection.parser.incomplete:
            if too_slow(connection, now):
                rejection = http1.RejectedRequest(408, "the request was not complete in time")
                self.log_line("bad", f"answered {rejection.status}: {rejection.text}")
                self.write_response(connection, http1.rejection_bytes(rejection), True)
        elif self.listener is None and self._shared:
            return  # kept until the process ends: a request that is sent there now must not be rejected
        elif waited >= (FIRST_REQUEST_TIMEOUT_US if connection.is_new else patience) and is_idle(
            connection, now
        ):
            self.close_gracefully(connection)

    def check_connected(self, number: int) -> bool:
        """Return whether a client is still connected; drop the connection if it is not.

        Asks the kernel, as the end of the connection may be behind bytes that are not read yet.
        """
        connection = self.connections.get(number)
        if connection is not None and peer_closed(connection.sock):
            self.drop(connection)
        return number in self.connections

    # --- One connection ---------------------------------------------------------------------------------
    async def _read_requests(self, connection: DownstreamConnection) -> None:
        """Read from one client until it leaves, also while its request is processed, to notice that."""
        discarded = 0
        try:
            while connection.id in self.connections:  # otherwise dropped in this turn, its socket closed
                buffer = connection.buffer
                buffer[0] = 0
                # after an error or a half-close, only the end of the connection is awaited
                discarding = connection.closing or connection.parser.broken
                n = await self._loop.sock_recv_into(connection.sock, DISCARD_BUFFER if discarding else buffer)
                if n == 0:
                    break
                if discarding or connection.closing:
                    discarded += n
                    if discarded > MAX_DISCARDED_BYTES and connection.closing:
                        # it has its error; reading everything would take the processor from other requests
                        break
                    continue
                connection.last_read_us = self._clock.now()
                if not connection.parser.incomplete and not connection.is_new:
                    # not within a request or before the first one: trickling bytes, noise and empty lines
                    # must not extend the deadline of a slow sender
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
                    break  # the body can't be completed: end the call and the connection now
                if body is not None:
                    await self._on_body_data(connection, body)
                while connection.busy and connection.queue and _should_pause_reading(connection):
                    # closing would lose requests that were read already; unread ones cost nothing
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
        """Update the memory budget by what this connection holds of buffered bodies."""
        if connection.id not in self.connections:
            return  # dropped while its answer was written: no longer counted
        parser = connection.parser
        buffered = connection.outstanding_body_bytes + (
            parser.size if parser.in_body and parser.streamed_body is None else 0
        )
        if connection.queue:
            buffered += _pipelined_body_bytes(connection)
        self._memory.buffered_bytes += buffered - connection.buffered_bytes
        connection.buffered_bytes = buffered

    def _release_memory(self, connection: DownstreamConnection) -> None:
        """Give a closed connection's share back to the memory budget."""
        self._memory.buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    async def _on_body_data(self, connection: DownstreamConnection, body: http1.StreamedBody) -> None:
        """Signal the call that more of a streamed body has arrived, and wait while too much is unread."""
        if body.signals is None:
            body.signals = BodySignals()
        body.signals.data_available.set()
        if connection.streamed_body is body and body.done:
            connection.streamed_body, connection.buffer = None, bytearray(READ_BUFFER_BYTES)
            self._dispatch(c.RequestBodyComplete(connection.id))
        if not body.done:
            if len(connection.buffer) != self._memory.read_size():
                connection.buffer = bytearray(self._memory.read_size())
            if body.unread_bytes > http1.MAX_BUFFERED_BODY_BYTES:
                began_us = self._clock.now()
                await body.signals.wait_for_space(body)
                connection.last_read_us = self._clock.now()  # from here on the delay is the client's
                connection.blocked_us += connection.last_read_us - began_us

    def _start_next_request(self, connection: DownstreamConnection) -> None:
        """Process the next request of a connection that has none in progress."""
        if connection.busy or connection.closing or not connection.queue:
            return
        item = connection.queue.popleft()
        if (
            isinstance(item, http1.Request)
            and connection.parser.broken
            and connection.queue
            and _has_incomplete_body(item)
        ):
            item = connection.queue.popleft()  # the item that follows says what is wrong with its body
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
            self._dispatch(c.RequestReceived(
                connection.id, item.class_index, item.tenant, item.key, item.timeout_ms * 1000, item.message,
                item.is_repeat, item.message.request_id, item.must_not_repeat,
                body is not None, retry_at_us,
            ))  # fmt: skip
            if body is not None and body.done:  # completed while the previous request was processed
                connection.streamed_body = None
                self._dispatch(c.RequestBodyComplete(connection.id))
        elif isinstance(item, http1.ReadinessRequest):
            ready = self._ready()
            self.write_response(
                connection, http1.readiness_bytes(ready, not item.keep_alive), not item.keep_alive
            )
        else:
            self.log_line("bad", f"answered {item.status}: {item.text}")
            self.write_response(connection, http1.rejection_bytes(item), not item.keep_alive)

    def write_answer(self, effect: c.SendResponse) -> None:
        """Write the core's answer if its client is still connected."""
        connection = self.connections.get(effect.downstream_id)
        if connection is not None:
            # after an answer to an incomplete request the next one can't be found in the stream; pipelined
            # requests that were read are answered first, and the last answer ends the connection
            ends = effect.close and not connection.queue
            close = ends or not connection.keep_alive or connection.streamed_body is not None
            self.write_response(connection, http1.final_response_bytes(effect, close), close)

    def finish_streamed_answer(self, effect: c.EndResponse) -> None:
        """Finish an answer that was forwarded as it arrived.

        An incomplete one is ended by a reset, so that the client notices.
        """
        connection = self.connections.get(effect.downstream_id)
        if connection is None:
            return
        if not effect.complete:
            self.reset(connection)
            return
        self.on_answer_written(
            connection, effect.close or not connection.keep_alive or connection.streamed_body is not None
        )

    def write_response(self, connection: DownstreamConnection, data: bytes, close: bool) -> None:
        """Start writing a complete response."""
        connection.busy = True
        self._spawn(self._write(connection, data, close))

    async def _write(self, connection: DownstreamConnection, data: bytes, close: bool) -> None:
        """Write a response within its time, or drop the connection."""
        if connection.id not in self.connections:
            return  # the client has left in this turn
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._loop.sock_sendall(connection.sock, data)
            self.on_answer_written(connection, close)
        except Exception as error:
            self.drop(connection)  # otherwise it would hold its descriptor for as long as the client likes
            if not isinstance(error, OSError):
                raise

    def on_answer_written(self, connection: DownstreamConnection, close: bool) -> None:
        """Go on with the next request, or close the connection."""
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
        """Half-close a connection and wait for the client to close its side.

        Closing with unread bytes, or while bytes are on their way, would reset the connection and could
        destroy the last answer. What still arrives is discarded: the client sees an end without an answer and
        asks again on another connection.
        """
        connection.closing = True
        connection.last_activity_us = self._clock.now()
        if connection.streamed_body is not None:
            connection.streamed_body.signals.space_available.set()
            connection.streamed_body.unread_bytes = 0
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)

    def drop(self, connection: DownstreamConnection) -> None:
        """Close a connection at once and cancel the task that reads from it.

        The task is cancelled also while it waits for space for a body.
        """
        if self.connections.pop(connection.id, None) is not None:
            self._release_memory(connection)
            close_socket(connection.sock)
            # a cancelled task refers to its exception and frame; if the connection referred back to the task,
            # the cycle would keep its buffers until the garbage collector runs
            task, connection.task = connection.task, None
            if task is not None and task is not asyncio.current_task(self._loop):
                task.cancel()
            self._dispatch(c.DownstreamClosed(connection.id))

    def reset(self, connection: DownstreamConnection) -> None:
        """Reset a connection, so that its client can tell that the answer is incomplete.

        The end of the connection alone could look like the end of the body. The pending read holds the socket
        open, so its task has to end first.
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
    """Return whether a partial request has exceeded its time or falls short of the minimum rate."""
    if not connection.parser.in_body:
        return now_us - connection.last_activity_us >= HEAD_TIMEOUT_US
    due = (now_us - connection.head_received_us - BODY_RATE_GRACE_US) * MIN_BODY_BYTES_PER_S / 1e6
    return now_us - connection.last_read_us >= BODY_GAP_TIMEOUT_US or connection.parser.size < due


def streams_too_slowly(connection: DownstreamConnection, body: http1.StreamedBody, now_us: int) -> bool:
    """Return whether a client stalls its streamed body or falls short of the minimum rate.

    Time that the body has waited for its endpoint is not counted.
    """
    counted_us = now_us - connection.head_received_us - connection.blocked_us - STREAM_STALL_TIMEOUT_US
    return (
        now_us - connection.last_read_us >= STREAM_STALL_TIMEOUT_US
        or body.received_bytes < counted_us * MIN_STREAM_BYTES_PER_S / 1e6
    )


def _has_incomplete_body(item: http1.Request) -> bool:
    """Return whether a request's streamed body is incomplete."""
    return item.message.streamed_body is not None and not item.message.streamed_body.done


def _pipelined_body_bytes(connection: DownstreamConnection) -> int:
    """Return the bytes of the bodies of queued complete requests."""
    return sum(len(item.message.body) for item in connection.queue if isinstance(item, http1.Request))


def _should_pause_reading(connection: DownstreamConnection) -> bool:
    """Return whether enough is queued to stop reading; one buffered body suffices."""
    return len(connection.queue) >= MAX_PIPELINED_REQUESTS or _pipelined_body_bytes(connection) > 0


def is_idle(
    connection: DownstreamConnection, now_us: int, new_connection_grace_us: int = FIRST_REQUEST_TIMEOUT_US
) -> bool:
    """Return whether nothing is owed to a client and nothing has arrived that could be a request.

    Bytes may be in the kernel, or taken from it by the loop a turn before the reading task runs. A new
    connection is not idle for `new_connection_grace_us`: its first request is on the way, and a node may
    close connections only between requests.
    """
    if connection.is_new and now_us - connection.last_activity_us < new_connection_grace_us:
        return False
    if connection.busy or connection.parser.incomplete or connection.buffer[0]:
        return False
    return not is_readable(connection.sock)
