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
from granitewell.net.bodies import Budget, Waits
from granitewell.net.clock import Clock
from granitewell.net.pool import Pool
from granitewell.net.sockets import BUFFER, end, has_left, readable

MAX_ACCEPTED = 64  # connections taken in one turn of the loop
# A client that sends nothing of use is owed an error or a close within 3 s of connecting; a usual client's
# first request is there within milliseconds.
HEAD_US = 2_400_000  # for a client to get the head of a begun request across; on a new connection, since it
BODY_GAP_US = 2_500_000  # came; and between two pieces of its body, which has to come at
BODY_PER_S = 16 * 1024  # bytes a second at least, from so long after its head on
BODY_SPARE_US = 3_000_000
FLOW_STILL_US = 10_000_000  # without a byte, after which a body that flows comes no more; it has to come at
FLOW_PER_S = 4 * 1024  # bytes a second at least, once as long has passed since its head
EVICT_IDLE_US = 200_000  # after which a connection that has said nothing goes first where descriptors are
EVICT_HALF_US = 500_000  # short, and after which one with half a request goes with those that are idle
# Clients hold a third of the descriptors at most, and some ask once and keep their connection for good: those
# keep requests out, which then never get here.
IDLE_US = 2_000_000  # for a client to ask again
SHORT_IDLE_US = 100_000  # the same on a connection with one answer, where inbounds are more than
ONCE_PART = 8  # one in so many descriptors
SCRAP = bytearray(64 * 1024)  # takes what comes in behind an error; never read
MAX_SCRAP = 1024 * 1024  # of that, bytes that are taken before the connection ends: some clients send 60 MB
WRITE_TIMEOUT_S = 5.0  # for a client to take its answer,
SHUTDOWN_STEP_S = 0.01  # between two looks at them
PARTING_US = 200_000  # for the clients of a process that leaves to close, once nothing is owed to any
FIRST_REQUEST_US = 2_000_000  # for the first byte of the first request on a new connection
LINGER_US = 1_000_000  # for a client to close after our last answer on a connection
MAX_QUEUED = 4  # requests written ahead on one inbound, after which it is read on once one is answered


@dataclass(slots=True)
class Limits:
    """Connections that a process may have: of both sides together, and of each.

    Either side takes what the other leaves, up to its own bound.
    """

    most: int
    inbound: int
    outbound: int


class Inbound:
    """One client connection."""

    __slots__ = ("answered", "at_us", "buffer", "busy", "closing", "flow", "fresh", "head_us", "heard_us",
                 "id", "keep", "kept", "old", "out", "parser", "queue", "sock", "stood_us", "task",
                 "turn")  # fmt: skip

    def __init__(self, number: int, sock: socket.socket, parser: http1.InboundParser, now: int) -> None:
        self.stood_us = 0  # for which the body that flows has waited for its endpoint
        self.kept = 0  # bytes of bodies that it holds whole, as the budget counts them,
        self.out = 0  # and of the one whose request is out
        self.turn: asyncio.Event | None = None  # that its reading waits for where requests are written ahead
        self.id, self.sock, self.parser, self.at_us = number, sock, parser, now
        self.buffer = bytearray(BUFFER)  # its first byte is 0 until the loop has read something into it
        self.queue: deque[http1.Item] = deque()
        self.busy = self.closing = False
        self.answered = 0  # answers that have gone out on it
        self.heard_us = self.head_us = now  # when bytes last came, and when the head of the last request had
        self.flow: http1.Flow | None = None  # the body of the request that is out, where it flows
        self.old = False  # that request is one of HTTP/1.0
        self.task: asyncio.Task[None] | None = None  # that reads it
        self.keep = self.fresh = True  # fresh: no answer has gone out on it yet


class Inbounds:
    """All of a node.

    Attributes:
        held: By number.
        listener: None before it stands, and once the node has been asked to stop.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, pool: Pool, names: http1.Names, budget: Budget,
        limits: Limits, say: Callable[[str, str], None], dispatch: Callable[[c.Event], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]], ready: Callable[[], bool], *,
        shared: bool,
    ) -> None:  # fmt: skip
        """ready: what a client that asks for it is told.

        Args:
            shared: The platform holds the listener, so that another process may accept from it.
        """
        self._loop, self._clock, self._pool, self._names = loop, clock, pool, names
        self._budget, self._limits, self._shared = budget, limits, shared
        self.say, self._dispatch, self._spawn, self._ready = say, dispatch, spawn, ready
        self.held: dict[int, Inbound] = {}
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        # asked of each request's tenant and class, where there is a limit: -1, or when to come again
        self.limit: Callable[[int, int], int] | None = None
        self._last = 0

    # --- The listener -----------------------------------------------------------------------------------
    def open(self) -> None:
        """Take clients from the listener, if there is one and that has not begun."""
        if self.accepting is None and self.listener is not None:
            self.accepting = self._spawn(self.accept(self.listener))

    async def close(self, by_us: int) -> None:
        """Take nobody any more, and end all of them: the process goes.

        Answers have until by_us to get out; what a client has written by now is read and gets one, as a close
        over unread bytes would reset it.
        """
        if self.accepting is not None:
            self.accepting.cancel()
        soon_us = self._clock.fresh() + PARTING_US
        while any(i.busy for i in self.held.values()) or self._clock.fresh() < soon_us:
            for inbound in list(self.held.values()):
                if not inbound.closing and is_idle(inbound, self._clock.now()):
                    self.part(inbound)
            if not self.held or self._clock.fresh() >= by_us:
                break
            await asyncio.sleep(SHUTDOWN_STEP_S)
        for inbound in list(self.held.values()):
            self.drop(inbound)

    async def accept(self, listener: socket.socket) -> None:
        """Take clients from it for as long as it is open."""
        while listener.fileno() >= 0:  # closed once the node has been asked to stop
            try:
                sock, _ = await self._loop.sock_accept(listener)
                self.admit(sock)
                self._accept_more(listener)
                while not self.room(self._limits.inbound, len(self.held)) and not self.evict():
                    held = f"{len(self.held)} inbounds, all at work"
                    self.say("budget", f"{held}: accepting no more for now")
                    await asyncio.sleep(0.02)
            except Exception as error:
                # out of descriptors, a client that left early, or what nobody thought of: no reason to let
                # this task end, since a node that takes nobody goes on looking alive
                self.say("accept", f"could not accept: {error}")
                await asyncio.sleep(0.02)

    def _accept_more(self, listener: socket.socket) -> None:
        """Take what else stands in the backlog.

        One connection a turn of the loop is too few where clients open many and turns get long: requests
        would wait unseen in the kernel until their clients leave.
        """
        for _ in range(MAX_ACCEPTED):
            if not self.room(self._limits.inbound, len(self.held)):
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
        self._last += 1
        inbound = Inbound(self._last, sock, http1.InboundParser(self._names), self._clock.now())
        self.held[inbound.id] = inbound
        inbound.task = self._spawn(self._listen(inbound))

    def room(self, most: int, held: int) -> bool:
        """Is there a descriptor for one more, on a side that holds so many and may hold so many at most?"""
        return held < most and len(self.held) + self._pool.held < self._limits.most

    def evict(self) -> bool:
        """Make room for a client: close an inbound that has said nothing, has been idle longest or has sent
        but half a request, or an idle connection to an endpoint where those have more than their own part.
        False if there is none.
        """
        now = self._clock.now()
        free = [i for i in self.held.values() if not i.busy]
        for inbound in sorted(free, key=lambda i: (not i.fresh or i.parser.partial, i.at_us)):
            spent = (inbound.closing or inbound.parser.partial) and now - inbound.at_us >= EVICT_HALF_US
            if inbound.parser.in_body and now - inbound.heard_us < EVICT_HALF_US:
                continue  # a request that comes slowly, yet comes
            if spent or is_idle(inbound, now, EVICT_IDLE_US):
                self.drop(inbound)
                return True
        return len(self.held) < self._limits.inbound and self._pool.shed_idle()

    def stop_listening(self) -> None:
        """Take what stands in the backlog, close the listener, and close each inbound without a request."""
        listener, self.listener = self.listener, None
        if listener is None:
            return
        if self._shared:
            self._release(listener)
            return
        while len(self.held) < self._limits.inbound:
            try:
                self.admit(listener.accept()[0])
            except OSError:
                break
        self._release(listener)
        for inbound in list(self.held.values()):
            # one that has written something is heard first: what it wrote may be a whole request
            if is_idle(inbound, self._clock.now()):
                self.part(inbound)

    def _release(self, listener: socket.socket) -> None:
        """Close the listener, or leave a shared one to the others.

        It must be out of the loop's poll before: a pending accept holds it open, and goes on taking
        connections.
        """
        if self.accepting is None:
            listener.close()
            return
        self.accepting.add_done_callback(lambda _: listener.close())
        # not in this turn, in which it may have been given a connection that it has not seen yet
        self._loop.call_soon(self.accepting.cancel)

    # --- Patience ---------------------------------------------------------------------------------------
    def sweep(self, now: int, many: bool, guarded: Callable[[Callable[[], None]], bool]) -> None:
        """Look at each, and end the one over which the look breaks.

        Args:
            many: Descriptors are short.
        """
        for inbound in list(self.held.values()):
            if not guarded(lambda: self.tend(inbound, now, many)):
                self.drop(inbound)

    def tend(self, inbound: Inbound, now: int, many: bool) -> None:
        """Is it time for this one to end?

        Args:
            many: Descriptors are short.
        """
        waited = now - inbound.at_us
        patience = SHORT_IDLE_US if many and inbound.answered == 1 else IDLE_US
        if inbound.closing and waited >= LINGER_US:
            self.drop(inbound)
        elif inbound.busy and inbound.flow is not None and not inbound.flow.done:
            trickle = inbound.flow.unread <= http1.MAX_KEPT and trickles(inbound, inbound.flow, now)
            if trickle or not self.waits(inbound.id):
                self.drop(inbound)
        elif inbound.busy and inbound.turn is not None:
            self.waits(inbound.id)  # nobody reads on there until an answer is out
        elif inbound.busy or inbound.closing:
            return
        elif inbound.parser.partial:
            if too_slow(inbound, now):
                late = http1.Bad(408, "the request did not come whole")
                self.say("bad", f"answered {late.status}: {late.text}")
                self.reply(inbound, http1.bad_bytes(late), True)
        elif self.listener is None and self._shared:
            return  # until the process leaves: what a client writes there now must not be turned back
        elif waited >= (FIRST_REQUEST_US if inbound.fresh else patience) and is_idle(inbound, now):
            self.part(inbound)

    def waits(self, number: int) -> bool:
        """Does this inbound's client still wait?

        The kernel is asked: what tells of its leaving may stand behind bytes that are not read yet. One that
        has left is dropped.
        """
        inbound = self.held.get(number)
        if inbound is not None and has_left(inbound.sock):
            self.drop(inbound)
        return number in self.held

    # --- One of them ------------------------------------------------------------------------------------
    async def _listen(self, inbound: Inbound) -> None:
        """Read one client until it leaves. It is read while its request is out, too: its leaving is news."""
        scrap = 0
        try:
            while inbound.id in self.held:  # else it was dropped in this very turn, its socket closed
                buffer = inbound.buffer
                buffer[0] = 0
                spent = inbound.closing or inbound.parser.broken  # only waiting for the client to close
                n = await self._loop.sock_recv_into(inbound.sock, SCRAP if spent else buffer)
                if n == 0:
                    break
                if spent or inbound.closing:
                    scrap += n
                    if scrap > MAX_SCRAP and inbound.closing:
                        break  # it has been told why; taking all of it would cost the core to the others
                    continue
                inbound.heard_us = self._clock.now()
                if not inbound.parser.partial and not inbound.fresh:
                    # trickling bytes do not make a slow sender look quick, nor do noise and empty lines
                    inbound.at_us = self._clock.now()
                was_in_body = inbound.parser.in_body
                inbound.queue.extend(inbound.parser.feed(bytes(buffer[:n])))
                if inbound.parser.in_body and not was_in_body:
                    inbound.head_us, inbound.stood_us = inbound.heard_us, 0
                if inbound.parser.expecting and not inbound.busy and n < BUFFER:
                    with contextlib.suppress(BlockingIOError):
                        inbound.sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                flow = inbound.parser.flow or inbound.flow
                self._next(inbound)
                self._count(inbound)
                if inbound.parser.broken and inbound.flow is not None and not inbound.flow.done:
                    break  # what is out will never be whole: its endpoint and its client hear so now
                if flow is not None:
                    await self._flowed(inbound, flow)
                while inbound.busy and inbound.queue and _far_ahead(inbound):
                    # closing would lose requests that it has taken; what is not read costs nothing
                    self.say("inbound", "a client writes requests ahead: read on once one is answered")
                    inbound.turn = asyncio.Event()
                    await inbound.turn.wait()
                    inbound.turn = None
                    self._count(inbound)
        except OSError:
            pass
        finally:
            self.drop(inbound)
            inbound.task = None

    def _count(self, inbound: Inbound) -> None:
        """Tell the budget what this inbound holds of bodies that do not flow."""
        if inbound.id not in self.held:
            return  # dropped while its answer went out: it counts no more
        parser = inbound.parser
        kept = inbound.out + (parser.size if parser.in_body and parser.flow is None else 0)
        if inbound.queue:
            kept += _written_ahead(inbound)
        self._budget.kept += kept - inbound.kept
        inbound.kept = kept

    def _uncount(self, inbound: Inbound) -> None:
        """It is gone, and holds nothing."""
        self._budget.kept -= inbound.kept
        inbound.kept = 0

    async def _flowed(self, inbound: Inbound, flow: http1.Flow) -> None:
        """More of a body that flows has come: its call goes on, and reading waits for that."""
        if flow.owner is None:
            flow.owner = Waits()
        flow.owner.more.set()
        if inbound.flow is flow and flow.done:
            inbound.flow, inbound.buffer = None, bytearray(BUFFER)
            self._dispatch(c.RequestBodyComplete(inbound.id))
        if not flow.done:
            if len(inbound.buffer) != self._budget.piece():
                inbound.buffer = bytearray(self._budget.piece())
            if flow.unread > http1.MAX_KEPT:
                began_us = self._clock.now()
                await flow.owner.until_room(flow)
                inbound.heard_us = self._clock.now()  # from here on it is the client's turn again
                inbound.stood_us += inbound.heard_us - began_us

    def _next(self, inbound: Inbound) -> None:
        """Begin the next whole request of an inbound that has none out."""
        if inbound.busy or inbound.closing or not inbound.queue:
            return
        item = inbound.queue.popleft()
        if isinstance(item, http1.Ask) and inbound.parser.broken and inbound.queue and _breaks_off(item):
            item = inbound.queue.popleft()  # what is wrong with its body stands behind it
        if isinstance(item, http1.Ask):
            inbound.busy, inbound.keep, inbound.old = True, item.keep_alive, item.old
            flow, inbound.out = item.message.flow, len(item.message.body)
            inbound.flow = flow
            if flow is not None:
                flow.inbound, flow.owner = inbound.id, flow.owner or Waits()
            beyond_us = self.limit(item.tenant, item.class_index) if self.limit is not None else -1
            self._dispatch(c.RequestReceived(
                inbound.id, item.class_index, item.tenant, item.key, item.timeout_ms * 1000, item.message,
                item.repeat, item.message.request_id, item.once,
                flow is not None, beyond_us,
            ))  # fmt: skip
            if flow is not None and flow.done:  # it came whole while another request was out
                inbound.flow = None
                self._dispatch(c.RequestBodyComplete(inbound.id))
        elif isinstance(item, http1.ReadyAsk):
            ready = self._ready()
            self.reply(inbound, http1.ready_bytes(ready, not item.keep_alive), not item.keep_alive)
        else:
            self.say("bad", f"answered {item.status}: {item.text}")
            self.reply(inbound, http1.bad_bytes(item), not item.keep_alive)

    def answer(self, effect: c.SendResponse) -> None:
        """Write the core's answer, if its client is still there."""
        inbound = self.held.get(effect.downstream_id)
        if inbound is not None:
            # behind an answer that came before the whole request nothing can be read in step; what was
            # written ahead has been taken, and it is the last answer that ends the connection
            ends = effect.close and not inbound.queue
            close = ends or not inbound.keep or inbound.flow is not None
            self.reply(inbound, http1.answer_bytes(effect, close), close)

    def finished(self, effect: c.EndResponse) -> None:
        """An answer that was passed on as it came has ended.

        One that is not whole ends with its connection, by which its client can tell.
        """
        inbound = self.held.get(effect.downstream_id)
        if inbound is None:
            return
        if not effect.complete:
            self.cut(inbound)
            return
        self.answered(inbound, effect.close or not inbound.keep or inbound.flow is not None)

    def reply(self, inbound: Inbound, data: bytes, close: bool) -> None:
        inbound.busy = True
        self._spawn(self._write(inbound, data, close))

    async def _write(self, inbound: Inbound, data: bytes, close: bool) -> None:
        if inbound.id not in self.held:
            return  # the client has left in this very turn
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):  # a client that does not read holds nothing for long
                await self._loop.sock_sendall(inbound.sock, data)
            self.answered(inbound, close)
        except Exception as error:
            self.drop(inbound)  # left at work, it would hold its descriptor for as long as its client likes
            if not isinstance(error, OSError):
                raise

    def answered(self, inbound: Inbound, close: bool) -> None:
        """An answer is out: on to the next request, or to the end of the connection."""
        inbound.at_us = self._clock.now()
        inbound.busy = inbound.fresh = False
        inbound.answered += 1
        inbound.out = 0
        self._count(inbound)
        if inbound.turn is not None:
            inbound.turn.set()
        if close or (self.listener is None and not inbound.queue):
            self.part(inbound)
        else:
            self._next(inbound)

    def part(self, inbound: Inbound) -> None:
        """End it from this side: half-closed first, since closing with bytes unread, or before bytes that are
        on their way, would reset the last answer away. What still comes is taken and goes nowhere: its client
        sees an end without an answer, and asks on another connection.
        """
        inbound.closing = True
        inbound.at_us = self._clock.now()
        if inbound.flow is not None:
            inbound.flow.owner.room.set()
            inbound.flow.unread = 0
        with contextlib.suppress(OSError):
            inbound.sock.shutdown(socket.SHUT_WR)

    def drop(self, inbound: Inbound) -> None:
        """End a client's connection, and whatever its reading task waits for.

        A body that nobody takes any more gets no room.
        """
        if self.held.pop(inbound.id, None) is not None:
            self._uncount(inbound)
            end(inbound.sock)
            # a task that was cancelled holds what it raised, and that its frame: with the inbound pointing
            # back at the task, buffer and all would wait for the collector
            task, inbound.task = inbound.task, None
            if task is not None and task is not asyncio.current_task(self._loop):
                task.cancel()
            self._dispatch(c.DownstreamClosed(inbound.id))

    def cut(self, inbound: Inbound) -> None:
        """Reset a client's connection: an answer whose end is that of its connection would look whole.

        The read that is pending holds the socket open, so that it has to end first.
        """
        if self.held.pop(inbound.id, None) is None:
            return
        self._uncount(inbound)
        with contextlib.suppress(OSError):
            inbound.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        assert inbound.task is not None
        inbound.task.add_done_callback(lambda _: inbound.sock.close())
        inbound.task.cancel()


def too_slow(inbound: Inbound, now_us: int) -> bool:
    """Has a request that has begun taken longer than its client may?"""
    if not inbound.parser.in_body:
        return now_us - inbound.at_us >= HEAD_US
    due = (now_us - inbound.head_us - BODY_SPARE_US) * BODY_PER_S / 1e6
    return now_us - inbound.heard_us >= BODY_GAP_US or inbound.parser.size < due


def trickles(inbound: Inbound, flow: http1.Flow, now_us: int) -> bool:
    """Does a client keep its large body from ever coming whole?

    What its endpoint did not take does not count against it.
    """
    had_us = now_us - inbound.head_us - inbound.stood_us - FLOW_STILL_US
    return now_us - inbound.heard_us >= FLOW_STILL_US or flow.came < had_us * FLOW_PER_S / 1e6


def _breaks_off(item: http1.Ask) -> bool:
    """Where no more can be told from what comes: is this a request whose body has not all come?"""
    return item.message.flow is not None and not item.message.flow.done


def _written_ahead(inbound: Inbound) -> int:
    """Bytes of the bodies of whole requests that wait for their turn."""
    return sum(len(item.message.body) for item in inbound.queue if isinstance(item, http1.Ask))


def _far_ahead(inbound: Inbound) -> bool:
    """Does a client wait with more than it should be read on for? One body kept whole is enough."""
    return len(inbound.queue) >= MAX_QUEUED or _written_ahead(inbound) > 0


def is_idle(inbound: Inbound, now_us: int, fresh_us: int = FIRST_REQUEST_US) -> bool:
    """Nothing is owed there, and nothing has come in that could be a request.

    Neither bytes still with the kernel, nor bytes that the loop took from it a turn before the reading task
    goes on. A new connection is not idle for so long: its first request is on the way, and only between
    requests may a node close.
    """
    if inbound.fresh and now_us - inbound.at_us < fresh_us:
        return False
    if inbound.busy or inbound.parser.partial or inbound.buffer[0]:
        return False
    return not readable(inbound.sock)
