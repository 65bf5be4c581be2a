"""Runs the core's effects on real sockets: listener, inbounds, outbound calls and their pool, the watch on
discovery, the timers and the log.

It owns every descriptor and every task of the process, and the budget for both. It must never change the
state of a request by itself (it reports events and does what the core's effects say), resend anything, or
know the protocol's words, which are http1's. All network traffic goes through the loop's sock_* calls. Time
is whole microseconds on the monotonic clock, read once a turn of the loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from granitewell import core as c
from granitewell.config import Config, needs_restart, taken_up
from granitewell.handover import Handover, Moment
from granitewell.net import http1
from granitewell.net.bodies import GAP_S, HOLD_S, STILL_S, Budget, Pour, Waits, pump
from granitewell.net.clock import Clock
from granitewell.net.console import SEATS, Console
from granitewell.net.discovery import Discovery
from granitewell.net.listener import age_s, listening, start_debt
from granitewell.net.logs import HEAD_START_US as HEAD_START_US
from granitewell.net.logs import Log as Log
from granitewell.net.pool import Conn, Pool
from granitewell.net.sockets import BUFFER, end, readable
from granitewell.reload import complete, follow
from tiderelay.interface import Outcome, View

if TYPE_CHECKING:
    from granitewell.net.status import Door

RESERVE = 32  # descriptors for the interpreter, the listener, discovery and accidents
MOST_ACCEPTED = 64  # connections taken in one turn of the loop
SWEEP_S = 0.1
IDLE_PART = 0.8  # of connIdleMs, after which an idle outbound connection is closed, well before the far side
# A client that sends nothing of use is owed an error or a close within 3 s of connecting; a usual client's
# first request is there within milliseconds.
SLOW_US = 2_400_000  # for a client to get the head of a begun request across; on a new connection, since it
BODY_US = 2_500_000  # came; and between two pieces of its body, which has to come at
BODY_PER_S = 16 * 1024  # bytes a second at least, from so long after its head on
BODY_SPARE_US = 3_000_000
FLOW_STILL_US = 10_000_000  # without a byte, after which a body that flows comes no more; it has to come at
FLOW_PER_S = 4 * 1024  # bytes a second at least, once as long has passed since its head
HUSH_US = 200_000  # after which a connection that has said nothing goes first where descriptors are short,
HALF_US = 500_000  # and after which one with half a request goes with those that are idle
# Clients hold a third of the descriptors at most, and some ask once and keep their connection for good: those
# keep requests out, which then never get here.
SPENT_US = 2_000_000  # for a client to ask again
ONCE_US = 100_000  # the same on a connection with one answer, where inbounds are more than
ONCE_PART = 8  # one in so many descriptors
SCRAP = bytearray(64 * 1024)  # takes what comes in behind an error; never read
MOST_SCRAP = 1024 * 1024  # of that, bytes that are taken before the connection ends: some clients send 60 MB
STALL_US = 20_000  # a timer so late is worth a line: answers at the due time have a slack of 50 ms
STUCK_S = 5.0  # for a client to take its answer
FRESH_US = 2_000_000  # for the first byte of the first request on a new connection
LINGER_US = 1_000_000  # for a client to close after our last answer on a connection
MOST_QUEUED = 4  # requests written ahead on one inbound, after which it is read on once one is answered
NEXT_PART = 4  # one in so many descriptors is the next process's while it starts beside this one
SPARE_DESCRIPTORS = 16  # beyond what it holds, for a process that is to stop
PARTING_US = 200_000  # for an idle connection to an endpoint there
CHANGE_OVER_S = 2.0  # for which the names and methods of before a reload still count


class _Inbound:
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


class _Call:
    """An outbound call that is under way."""

    __slots__ = ("dialing", "effect", "go", "task", "wrote")

    def __init__(self, effect: c.StartCall) -> None:
        self.effect = effect
        self.dialing = self.go = False
        self.wrote = False  # bytes may have gone out
        self.task: asyncio.Task[None] | None = None


class Node:
    """The running node: feeds the core and does what it asks for."""

    def __init__(
        self, config: Config, core: c.Core, loop: asyncio.AbstractEventLoop, handover: Handover | None = None
    ) -> None:
        self._config, self._core, self._loop = config, core, loop
        self.clock = Clock(loop)
        self.log = Log(config.name)
        self._names = http1.Names(config)
        self._reader = http1.FleetReader(config, self.clock.ours)
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = config.sockets if soft == resource.RLIM_INFINITY else min(config.sockets, soft)
        self._sockets = sockets
        self._budget = Budget(config.memory_mb)
        self._divide(sockets)
        self._listener: socket.socket | None = None
        self._inbounds: dict[int, _Inbound] = {}
        self._last_inbound = 0
        self.pool = Pool(loop, self.clock, self.say, self._may_dial)
        self._pooled()
        self._calls: dict[int, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._replies: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._cpu_us = 0  # of this thread, when the timer last came
        self._left = asyncio.Event()
        self._changed = 0  # how often the settings have
        self.discovery = Discovery(loop, self.clock, self._reader, self.dispatch, self.say, self._spawn)
        self._handover = handover
        self._others: list[int] = []  # what further processes of this node may hold, as of the last look
        self._elder = True  # this process was there before those; what it may hold only falls then
        self._accepting: asyncio.Task[None] | None = None
        self.console: Console | None = None  # where operators call, where the configuration names an address
        self.door: Door | None = None  # the status, where an operator file asks for it

    def _divide(self, sockets: int) -> None:
        """So many descriptors are this process's. Each side has a part that is its own: a third for
        endpoints; for clients what the usual ones can hold, a third too, with room for new ones. Either takes
        what the other leaves."""
        self._mine = sockets
        self._most = self._most_of(sockets)
        self._most_inbound = self._most - self._most // 3
        self._most_outbound = self._most - min(sockets // 3 + 8, self._most // 2)

    # --- Life -------------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Serve until the core says to leave."""
        self._loop.set_exception_handler(self._unheard)
        listener = self._listener = listening(self._config)
        if self._config.console is not None:
            try:
                self.console = Console(self, self._config.console, self._loop)
            except OSError as error:
                host, port = self._config.console
                raise OSError(f"console {host}:{port}: {error.strerror or error}") from None
        if self._handover is not None:
            self._elder = not self._handover.others()
            self._handover.claim(self._sockets if self._elder else self._sockets // NEXT_PART)
        self._look()
        if self._config.known:
            try:
                _, news = self._reader.parsed(self._config.known, View.CACHED)
                self.dispatch(news)
            except ValueError as error:
                self.say("known", f"the list in the configuration is not usable: {error}")
        if not self._shared:  # what another process can accept is left to it until this one can serve
            self._accepting = self._spawn(self._accept(listener))
        self.discovery.at(self._config.discovery)
        self._loop.call_later(SWEEP_S, self._sweep)
        debt_s = start_debt(time.process_time(), age_s(), self._config.cores)
        if debt_s > 0.0:
            self.say("start", f"ready {debt_s * 1000:.0f} ms later: the start is not paid for yet")
            await asyncio.sleep(debt_s)
        self.dispatch(c.Listening())
        await self._left.wait()
        if self._accepting is not None:
            self._accepting.cancel()
        if self.console is not None:
            self.console.close()
        if self._replies:  # the last answers must be out before the process is gone
            await asyncio.wait(self._replies, timeout=0.2)

    def _unheard(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What a callback of the loop has raised. Its own handler writes to standard error and waits for
        whoever reads that: with nobody there, for good."""
        error = context.get("exception")
        self.say("fault", f"{context.get('message')}: {type(error).__name__}: {error}")

    def stop(self) -> None:
        """The stop signal has come."""
        self.dispatch(c.StopAsked(self._shared))
        self._look()

    @property
    def _shared(self) -> bool:
        """Does the platform hold the clients' listener, so that another process may accept from it?"""
        return self._config.inherited >= 0

    @property
    def phase(self) -> c.Phase:
        """Where the node is between start and exit."""
        return self._core.phase

    def _look(self) -> None:
        """What has changed in the hand-over folder: bans called at a process beside this one, and whether
        there is one."""
        if self._handover is None:
            return
        if self._others:  # what they say changes, and one that is killed leaves the folder as it is
            self._beside(self._handover.others())
        if not self._handover.changed():
            return
        kept = self._handover.kept(_moment())
        for broken in kept.broken:
            self.say("handover", f"passed over: {broken}")
        back = {k: self.clock.by_machine(v) for k, v in kept.back_us.items()}
        self.dispatch(c.BansHeard(kept.bans, back))
        self._beside(self._handover.others())

    def _beside(self, others: list[int]) -> None:
        """Divide the descriptors with the processes beside this one. The elder leaves a part to the next from
        its start on, and all that it does not hold once it is to stop; the next takes what the elder says it
        leaves. So only one of them ever takes more, and both together keep to the limit."""
        assert self._handover is not None
        if len(others) != len(self._others):
            self.say("handover", f"{len(others)} further processes of this node run")
            self._budget.most = Budget(self._config.memory_mb / (1 + len(others))).most
        self._others = others
        if not others:
            self._elder = True
            mine = self._sockets
        elif self._elder:
            mine = self._sockets - self._sockets // NEXT_PART
            if self._listener is None:
                held = len(self._inbounds) + self.pool.held + self._sockets - self._most_of(self._sockets)
                mine = min(mine, self._mine, held + SPARE_DESCRIPTORS)
        else:
            mine = self._sockets - sum(x if x >= 0 else self._sockets // 2 for x in others)
            mine = max(mine, self._sockets // NEXT_PART)
        if mine != self._mine:
            self._divide(mine)
        self._handover.claim(mine)

    def _most_of(self, sockets: int) -> int:
        """What connections may have of so many descriptors."""
        return max(sockets - RESERVE - (SEATS if self._config.console else 0), 8)

    def _keep_ban(self, effect: c.KeepBan) -> None:
        if self._handover is None:
            return
        wrong = "the ban could not be written down: see the node's log"  # unless it is known that it was
        try:
            wrong = self._handover.keep(effect.endpoint, effect.banned, _moment())
        finally:
            if wrong:
                self.say("handover", wrong)
                if self.console is not None:
                    self.console.unkept = wrong

    def reload(self, config: Config) -> None:
        """The configuration has been replaced: its settings count from now on, and discovery is asked for the
        whole list at the address that it names now, at once. Connections, requests and the list stay."""
        wait = needs_restart(self._config, config)
        old, self._config = self._config, taken_up(self._config, follow(self._config, config))
        if old.raw.get("settings") != self._config.raw.get("settings"):
            self._settle(old)
        more = f"; only a restart takes up {', '.join(wait)}" if wait else ""
        self.say("reload", f"discovery is now {config.discovery[0]}:{config.discovery[1]}{more}")
        self.discovery.at(config.discovery)

    def check(self, top: dict[str, Any]) -> None:
        """Is this file as whole as the one in force?"""
        complete(self._config.raw, top, "")

    def _settle(self, old: Config) -> None:
        """Other settings are in force."""
        config = self._config
        settings = replace(config.settings, zone=self._reader.take(config))
        self._names.take(config)
        self._pooled()
        self._changed += 1
        self._loop.call_later(CHANGE_OVER_S, self._forget, self._changed)
        self.dispatch(c.Settled(settings, config.most_held))
        came, went = sorted(config.live - old.live), sorted(old.live - config.live)
        words = [f"; {word}: {', '.join(x)}" for word, x in (("added", came), ("dropped", went)) if x]
        self.say("reload", f"the settings are taken up{''.join(words)}")

    def _pooled(self) -> None:
        """What the settings say of connections to endpoints."""
        self.pool.idle_us = int(self._config.conn_idle_us * IDLE_PART)
        self.pool.dial_timeout_us = self._config.dial_timeout_us

    def _forget(self, change: int) -> None:
        if change == self._changed:
            self._names.forget()

    def _spawn(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.say("fault", f"a task failed: {type(error).__name__}: {error}")

    def say(self, topic: str, line: str) -> None:
        self.log.write(self.clock.now(), topic, line)

    # --- Events and effects -----------------------------------------------------------------------------
    def dispatch(self, event: c.Event) -> None:
        """Hand an event to the core and run what it asks for."""
        for effect in self._core.handle(self.clock.now(), event):
            try:
                self._run(effect)
            except Exception as error:  # one effect's fault must not lose those behind it
                self.say("fault", f"{type(effect).__name__} failed: {type(error).__name__}: {error}")
                self._undone(effect)
        wake = self._core.wake_us
        if wake >= 0 and (self._timer is None or wake < self._timer_us):
            self._arm(wake)

    def _undone(self, effect: c.Effects) -> None:
        """An effect broke: a call ends as one that never began, and a client that would wait for good for its
        answer hears the end of its connection."""
        if isinstance(effect, c.StartCall):
            self._calls.pop(effect.call, None)
            self.dispatch(c.CallEnded(effect.call, Outcome.UNCONNECTED))
        elif isinstance(effect, c.Answer | c.Begin | c.Finish) and effect.inbound in self._inbounds:
            self._drop(self._inbounds[effect.inbound])

    def _arm(self, wake_us: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake_us
        wait_us = max(wake_us - self.clock.fresh(), 0)
        # the loop's timers count in milliseconds: rounded up, since an early one would only spin
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._wake)

    def _wake(self) -> None:
        late_us = self.clock.fresh() - self._timer_us
        cpu_us = time.thread_time_ns() // 1000
        if late_us >= STALL_US:
            work_us = cpu_us - self._cpu_us
            self.say("stall", f"{late_us // 1000} ms late, with {work_us // 1000} ms of own work")
        self._cpu_us = cpu_us
        self._timer = None
        self.dispatch(c.Woken())

    def _run(self, effect: c.Effects) -> None:
        if isinstance(effect, c.StartCall):
            call = self._calls[effect.call] = _Call(effect)
            call.task = self._spawn(self._carry(call))
        elif isinstance(effect, c.Answer):
            inbound = self._inbounds.get(effect.inbound)
            if inbound is not None:
                # behind an answer that came before the whole request nothing can be read in step
                close = effect.close or not inbound.keep or inbound.flow is not None
                self._reply(inbound, http1.answer_bytes(effect, close), close)
        elif isinstance(effect, c.Begin):
            assert isinstance(effect.answer, http1.Head)
            effect.answer.inbound = effect.inbound
        elif isinstance(effect, c.Finish):
            self._finished(effect)
        elif isinstance(effect, c.Note):
            self.say(effect.topic, effect.line)
        elif isinstance(effect, c.WriteCall):
            self._calls[effect.call].go = True
        elif isinstance(effect, c.AbandonCall):
            self._abandon(effect.call)
        elif isinstance(effect, c.CloseIdle):
            self.pool.close_idle(effect.endpoint)
        elif isinstance(effect, c.StopListening):
            self._stop_listening()
        elif isinstance(effect, c.KeepBan):
            self._keep_ban(effect)
        elif isinstance(effect, c.Ruled):
            if self.console is not None:
                self.console.ruled(effect)
        elif isinstance(effect, c.Serving):
            if self._accepting is None and self._listener is not None:
                self._accepting = self._spawn(self._accept(self._listener))
        else:
            self._left.set()

    def _sweep(self) -> None:
        """Close what has been idle, slow or unread for too long. What breaks over one of them must not keep
        the others from being looked at, ten times a second and for good."""
        self._loop.call_later(SWEEP_S if not self._others else SWEEP_S / 4, self._sweep)
        self._guarded(self._look)
        now = self.clock.now()
        idle_us = PARTING_US if self._others and self._listener is None else self.pool.idle_us
        self._guarded(lambda: self.pool.sweep(now, idle_us))
        many = len(self._inbounds) > (self._most + RESERVE) // ONCE_PART
        for inbound in list(self._inbounds.values()):
            if not self._guarded(lambda: self._tend(inbound, now, many)):  # noqa: B023 (called at once)
                self._drop(inbound)

    def _guarded(self, job: Callable[[], None]) -> bool:
        """Do it; whether it went well."""
        try:
            job()
        except Exception as error:
            self.say("fault", f"a sweep failed: {type(error).__name__}: {error}")
            return False
        return True

    def _tend(self, inbound: _Inbound, now: int, many: bool) -> None:
        """Is it time for this one to end? many: descriptors are short."""
        waited = now - inbound.at_us
        patience = ONCE_US if many and inbound.answered == 1 else SPENT_US
        if inbound.closing and waited >= LINGER_US:
            self._drop(inbound)
        elif inbound.busy and inbound.flow is not None and not inbound.flow.done:
            if inbound.flow.unread <= http1.MOST_KEPT and _trickles(inbound, inbound.flow, now):
                self._drop(inbound)
        elif inbound.busy or inbound.closing:
            return
        elif inbound.parser.partial:
            if _too_slow(inbound, now):
                late = http1.Bad(408, "the request did not come whole")
                self.say("bad", f"answered {late.status}: {late.text}")
                self._reply(inbound, http1.bad_bytes(late), True)
        elif self._listener is None and self._shared:
            return  # until the process leaves: what a client writes there now must not be turned back
        elif waited >= (FRESH_US if inbound.fresh else patience) and _is_idle(inbound, now):
            self._drop(inbound)

    # --- Inbounds ---------------------------------------------------------------------------------------
    async def _accept(self, listener: socket.socket) -> None:
        while listener.fileno() >= 0:  # closed once the node has been asked to stop
            try:
                sock, _ = await self._loop.sock_accept(listener)
                self._admit(sock)
                self._accept_more(listener)
                while not self._room(self._most_inbound, len(self._inbounds)) and not self._evict():
                    held = f"{len(self._inbounds)} inbounds, all at work"
                    self.say("budget", f"{held}: accepting no more for now")
                    await asyncio.sleep(0.02)
            except Exception as error:
                # out of descriptors, a client that left early, or what nobody thought of: no reason to let
                # this task end, since a node that takes nobody goes on looking alive
                self.say("accept", f"could not accept: {error}")
                await asyncio.sleep(0.02)

    def _accept_more(self, listener: socket.socket) -> None:
        """Take what else stands in the backlog. One connection a turn of the loop is too few where clients
        open many and turns get long: requests would wait unseen in the kernel until their clients leave."""
        for _ in range(MOST_ACCEPTED):
            if not self._room(self._most_inbound, len(self._inbounds)):
                return
            try:
                sock, _ = listener.accept()
            except OSError:  # the backlog is empty, or what sock_accept will say of it
                return
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_inbound += 1
        inbound = _Inbound(self._last_inbound, sock, http1.InboundParser(self._names), self.clock.now())
        self._inbounds[inbound.id] = inbound
        inbound.task = self._spawn(self._listen(inbound))

    def _room(self, most: int, held: int) -> bool:
        """Is there a descriptor for one more, on a side that holds so many and may hold so many at most?"""
        return held < most and len(self._inbounds) + self.pool.held < self._most

    def _evict(self) -> bool:
        """Make room for a client: close an inbound that has said nothing, has been idle longest or has sent
        but half a request, or an idle connection to an endpoint where those have more than their own part.
        False if there is none."""
        now = self.clock.now()
        free = [i for i in self._inbounds.values() if not i.busy]
        for inbound in sorted(free, key=lambda i: (not i.fresh or i.parser.partial, i.at_us)):
            spent = (inbound.closing or inbound.parser.partial) and now - inbound.at_us >= HALF_US
            if inbound.parser.in_body and now - inbound.heard_us < HALF_US:
                continue  # a request that comes slowly, yet comes
            if spent or _is_idle(inbound, now, HUSH_US):
                self._drop(inbound)
                return True
        return len(self._inbounds) < self._most_inbound and self.pool.shed_idle()

    async def _listen(self, inbound: _Inbound) -> None:
        """Read one client until it leaves. It is read while its request is out, too: its leaving is news."""
        scrap = 0
        try:
            while inbound.id in self._inbounds:  # else it was dropped in this very turn, its socket closed
                buffer = inbound.buffer
                buffer[0] = 0
                spent = inbound.closing or inbound.parser.broken  # only waiting for the client to close
                n = await self._loop.sock_recv_into(inbound.sock, SCRAP if spent else buffer)
                if n == 0:
                    break
                if spent or inbound.closing:
                    scrap += n
                    if scrap > MOST_SCRAP and inbound.closing:
                        break  # it has been told why; taking all of it would cost the core to the others
                    continue
                inbound.heard_us = self.clock.now()
                if not inbound.parser.partial and not inbound.fresh:
                    # trickling bytes do not make a slow sender look quick, nor do noise and empty lines
                    inbound.at_us = self.clock.now()
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
                    self._count(inbound)
        except OSError:
            pass
        finally:
            self._drop(inbound)
            inbound.task = None

    def _count(self, inbound: _Inbound) -> None:
        """Tell the budget what this inbound holds of bodies that do not flow."""
        if inbound.id not in self._inbounds:
            return  # dropped while its answer went out: it counts no more
        parser = inbound.parser
        kept = inbound.out + (parser.size if parser.in_body and parser.flow is None else 0)
        if inbound.queue:
            kept += _written_ahead(inbound)
        self._budget.kept += kept - inbound.kept
        inbound.kept = kept

    def _uncount(self, inbound: _Inbound) -> None:
        """It is gone, and holds nothing."""
        self._budget.kept -= inbound.kept
        inbound.kept = 0

    async def _flowed(self, inbound: _Inbound, flow: http1.Flow) -> None:
        """More of a body that flows has come: its call goes on, and reading waits for that."""
        if flow.owner is None:
            flow.owner = Waits()
        flow.owner.more.set()
        if inbound.flow is flow and flow.done:
            inbound.flow, inbound.buffer = None, bytearray(BUFFER)
            self.dispatch(c.Whole(inbound.id))
        if not flow.done:
            if len(inbound.buffer) != self._budget.piece():
                inbound.buffer = bytearray(self._budget.piece())
            if flow.unread > http1.MOST_KEPT:
                began_us = self.clock.now()
                await flow.owner.until_room(flow)
                inbound.heard_us = self.clock.now()  # from here on it is the client's turn again
                inbound.stood_us += inbound.heard_us - began_us

    def _next(self, inbound: _Inbound) -> None:
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
            self.dispatch(c.Arrived(
                inbound.id, item.class_index, item.tenant, item.key, item.timeout_ms * 1000, item.message,
                item.repeat, item.message.request_id, item.once,
                flow is not None,
            ))  # fmt: skip
            if flow is not None and flow.done:  # it came whole while another request was out
                inbound.flow = None
                self.dispatch(c.Whole(inbound.id))
        elif isinstance(item, http1.ReadyAsk):
            ready = self._core.phase is c.Phase.READY
            self._reply(inbound, http1.ready_bytes(ready, not item.keep_alive), not item.keep_alive)
        else:
            self.say("bad", f"answered {item.status}: {item.text}")
            self._reply(inbound, http1.bad_bytes(item), not item.keep_alive)

    def _reply(self, inbound: _Inbound, data: bytes, close: bool) -> None:
        inbound.busy = True
        task = self._spawn(self._write(inbound, data, close))
        self._replies.add(task)
        task.add_done_callback(self._replies.discard)

    async def _write(self, inbound: _Inbound, data: bytes, close: bool) -> None:
        if inbound.id not in self._inbounds:
            return  # the client has left in this very turn
        try:
            async with asyncio.timeout(STUCK_S):  # a client that does not read holds nothing for long
                await self._loop.sock_sendall(inbound.sock, data)
            self._answered(inbound, close)
        except Exception as error:
            self._drop(inbound)  # left at work, it would hold its descriptor for as long as its client likes
            if not isinstance(error, OSError):
                raise

    def _answered(self, inbound: _Inbound, close: bool) -> None:
        """An answer is out: on to the next request, or to the end of the connection."""
        inbound.at_us = self.clock.now()
        inbound.busy = inbound.fresh = False
        inbound.answered += 1
        inbound.out = 0
        self._count(inbound)
        if inbound.turn is not None:
            inbound.turn.set()
        if close or self._listener is None:
            # half-closed first: closing with bytes unread would reset the answer away
            inbound.closing = True
            if inbound.flow is not None:
                inbound.flow.owner.room.set()
                inbound.flow.unread = 0
            with contextlib.suppress(OSError):
                inbound.sock.shutdown(socket.SHUT_WR)
        else:
            self._next(inbound)

    def _drop(self, inbound: _Inbound) -> None:
        """End a client's connection, and whatever its reading task waits for: a body that nobody takes any
        more gets no room."""
        if self._inbounds.pop(inbound.id, None) is not None:
            self._uncount(inbound)
            end(inbound.sock)
            # a task that was cancelled holds what it raised, and that its frame: with the inbound pointing
            # back at the task, buffer and all would wait for the collector
            task, inbound.task = inbound.task, None
            if task is not None and task is not asyncio.current_task(self._loop):
                task.cancel()
            self.dispatch(c.InboundGone(inbound.id))

    def _cut(self, inbound: _Inbound) -> None:
        """Reset a client's connection: an answer whose end is that of its connection would look whole. The
        read that is pending holds the socket open, so that it has to end first."""
        if self._inbounds.pop(inbound.id, None) is None:
            return
        self._uncount(inbound)
        with contextlib.suppress(OSError):
            inbound.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        assert inbound.task is not None
        inbound.task.add_done_callback(lambda _: inbound.sock.close())
        inbound.task.cancel()

    def _stop_listening(self) -> None:
        """Take what stands in the backlog, close the listener, and close each inbound without a request."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        if self._shared:
            self._release(listener)
            return
        while len(self._inbounds) < self._most_inbound:
            try:
                self._admit(listener.accept()[0])
            except OSError:
                break
        self._release(listener)
        for inbound in list(self._inbounds.values()):
            # one that has written something is heard first: what it wrote may be a whole request
            if _is_idle(inbound, self.clock.now()):
                self._drop(inbound)

    def _release(self, listener: socket.socket) -> None:
        """Close the listener, or leave a shared one to the others. It must be out of the loop's poll before:
        a pending accept holds it open, and goes on taking connections."""
        if self._accepting is None:
            listener.close()
            return
        self._accepting.add_done_callback(lambda _: listener.close())
        # not in this turn, in which it may have been given a connection that it has not seen yet
        self._loop.call_soon(self._accepting.cancel)

    # --- Outbound calls ---------------------------------------------------------------------------------
    def _abandon(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is not None and not call.dialing and call.task is not None:
            call.task.cancel()  # closes the connection: its answer would be out of step with a later call
        # a dial goes on: the connection has been paid for and serves a later call

    async def _carry(self, call: _Call) -> None:
        """One outbound call, with an ending whatever happens."""
        try:
            await self._carried(call)
        except Exception as error:
            # nobody else would end it before its time: its request would wait for that, a flowing one for
            # good
            self.say("fault", f"a call failed: {type(error).__name__}: {error}")
            self._finish(call.effect.call, Outcome.RESET if call.wrote else Outcome.UNCONNECTED)

    async def _carried(self, call: _Call) -> None:
        """From connection to ending. Nothing here is ever sent twice."""
        effect = call.effect
        conn = self.pool.take(effect.endpoint, effect.address)
        if conn is None:
            call.dialing = True
            self.dispatch(c.CallDialing(effect.call))
            conn = await self.pool.dial(effect.endpoint, effect.address)
            if conn is None:
                self._finish(effect.call, Outcome.UNCONNECTED)
                return
            self.dispatch(c.CallDialed(effect.call))
            call.dialing = False
            if not call.go:
                self.pool.put(conn)
                return
        elif not self._core.clear(effect.call):
            self.pool.put(conn)
            self._finish(effect.call, Outcome.MOOT)
            return
        assert isinstance(effect.message, http1.Message)
        keep, flow = False, effect.message.flow
        pumping: asyncio.Task[None] | None = None
        try:
            left_us = effect.due_us - self.clock.now()
            data = http1.call_bytes(effect.message, conn.address, left_us)
            call.wrote = True
            try:
                await self._loop.sock_sendall(conn.sock, data)
            except OSError:
                # broken before the last byte was written, so it can't have run, on a reused connection too
                self._finish(effect.call, Outcome.UNCONNECTED)
                return
            if flow is not None:
                flow.begin()
                pumping = self._pumped(conn, flow)
            parser = http1.ResponseParser()
            try:
                n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
                done = n > 0 and parser.feed(bytes(conn.buffer[:n]))
                if not done:
                    done = await self._rest(conn, parser, n)
                if not done:
                    keep = await self._pour(effect.call, conn, parser)
                    return
            except (OSError, ValueError) as error:
                why = str(error) or "not whole in time"
                if flow is not None and not flow.sent and not parser.status:
                    self._finish(effect.call, Outcome.UNCONNECTED)  # its last byte was never written
                    return
                # broken, spoilt or left unfinished after that: it may have run
                self.say("spoilt", f"{conn.address[0]}:{conn.address[1]}: {why}")
                self._finish(effect.call, Outcome.RESET)
                return
            keep = parser.reusable and (flow is None or flow.sent)
            if keep:
                self.pool.put(conn)  # first of all, so that what the answer brings about can use it
            outcome = http1.outcome(parser)
            answer = http1.served(parser) if outcome is Outcome.OK else None
            self._finish(effect.call, outcome, http1.report(parser, self._names.reports), answer)
        finally:
            if pumping is not None:
                pumping.cancel()
                self._budget.flows -= 1
            if not keep:
                self.pool.close(conn)

    def _pumped(self, conn: Conn, flow: http1.Flow) -> asyncio.Task[None]:
        """A task that writes a request's body as it comes."""
        self._budget.flows += 1
        inbound, waits = flow.inbound, flow.owner
        return self._spawn(pump(self._loop, conn.sock, flow, waits, lambda: self.dispatch(c.LetGo(inbound))))

    async def _rest(self, conn: Conn, parser: http1.ResponseParser, n: int) -> bool:
        """What is still missing of an answer that has begun, as far as that is gathered: True once it is
        whole, False where it is to be passed on as it comes. OSError or ValueError if it never gets whole."""
        began_us = self.clock.now()
        while n:
            if parser.large or (parser.flows and parser.endless and self._held_long(began_us)):
                return False
            async with asyncio.timeout(GAP_S):
                n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
            if n and parser.feed(bytes(conn.buffer[:n])):
                return True
        if not parser.end():
            raise ConnectionError("the connection ended before the answer")
        return True

    def _held_long(self, began_us: int) -> bool:
        return self.clock.now() - began_us >= HOLD_S * 1e6

    async def _pour(self, number: int, conn: Conn, parser: http1.ResponseParser) -> bool:
        """Pass an answer on as it comes; whether the connection can be used again. The core says whose it is,
        and ends this task where nobody waits for it any more."""
        head = parser.head()
        parser.pour()
        self.dispatch(c.CallBegan(number, head, http1.report(parser, self._names.reports)))
        inbound = self._inbounds.get(head.inbound)
        if inbound is None:
            self._finish(number, Outcome.CANCELLED)
            return False
        self._budget.flows += 1
        try:
            if len(conn.buffer) < self._budget.piece():
                conn.buffer = bytearray(self._budget.piece())
            closing = not inbound.keep or self._listener is None or inbound.flow is not None
            pour = Pour(self._loop, inbound.sock, head, inbound.old, closing)
            inbound.keep = inbound.keep and not pour.closes
            await pour.write(parser.take())
            while not parser.done:
                async with asyncio.timeout(STILL_S):
                    n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
                if not n and not parser.end():
                    raise ConnectionError("the connection ended inside the answer")
                if n:
                    parser.feed(bytes(conn.buffer[:n]))
                await pour.write(parser.take())
            await pour.end()
        except (OSError, ValueError, TimeoutError) as error:
            self.say("spoilt", f"{conn.address[0]}:{conn.address[1]}: {str(error) or 'one side stood still'}")
            self._finish(number, Outcome.RESET)
            return False
        finally:
            self._budget.flows -= 1
            if len(conn.buffer) != BUFFER:
                conn.buffer = bytearray(BUFFER)
        if parser.reusable:
            self.pool.put(conn)
        self._finish(number, Outcome.OK)
        return parser.reusable

    def _finished(self, effect: c.Finish) -> None:
        """An answer that was passed on as it came has ended. One that is not whole ends with its connection,
        by which its client can tell."""
        inbound = self._inbounds.get(effect.inbound)
        if inbound is None:
            return
        if not effect.whole:
            self._cut(inbound)
            return
        self._answered(inbound, effect.close or not inbound.keep or inbound.flow is not None)

    def _finish(
        self, number: int, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        if self._calls.pop(number, None) is not None:
            self.dispatch(c.CallEnded(number, outcome, report, answer))

    def _may_dial(self) -> bool:
        """Is there a descriptor for one more connection to an endpoint, or can one be had?"""
        if not self._room(self._most_outbound, self.pool.held):
            may_evict = self.pool.held < self._most_outbound
            if not self.pool.shed_idle() and not (may_evict and self._evict()):
                self.say("budget", f"{self.pool.held} outbound connections, all at work: no new one")
                return False
        return True


def _moment() -> Moment:
    return Moment(time.time_ns() // 1000, time.monotonic_ns() // 1000)


def _too_slow(inbound: _Inbound, now_us: int) -> bool:
    """Has a request that has begun taken longer than its client may?"""
    if not inbound.parser.in_body:
        return now_us - inbound.at_us >= SLOW_US
    due = (now_us - inbound.head_us - BODY_SPARE_US) * BODY_PER_S / 1e6
    return now_us - inbound.heard_us >= BODY_US or inbound.parser.size < due


def _trickles(inbound: _Inbound, flow: http1.Flow, now_us: int) -> bool:
    """Does a client keep its large body from ever coming whole? What its endpoint did not take does not
    count against it."""
    had_us = now_us - inbound.head_us - inbound.stood_us - FLOW_STILL_US
    return now_us - inbound.heard_us >= FLOW_STILL_US or flow.came < had_us * FLOW_PER_S / 1e6


def _breaks_off(item: http1.Ask) -> bool:
    """Where no more can be told from what comes: is this a request whose body has not all come?"""
    return item.message.flow is not None and not item.message.flow.done


def _written_ahead(inbound: _Inbound) -> int:
    """Bytes of the bodies of whole requests that wait for their turn."""
    return sum(len(item.message.body) for item in inbound.queue if isinstance(item, http1.Ask))


def _far_ahead(inbound: _Inbound) -> bool:
    """Does a client wait with more than it should be read on for? One body kept whole is enough."""
    return len(inbound.queue) >= MOST_QUEUED or _written_ahead(inbound) > 0


def _is_idle(inbound: _Inbound, now_us: int, fresh_us: int = FRESH_US) -> bool:
    """Nothing is owed there, and nothing has come in that could be a request: neither bytes still with the
    kernel, nor bytes that the loop took from it a turn before the reading task goes on. A new connection is
    not idle for so long: its first request is on the way, and only between requests may a node close."""
    if inbound.fresh and now_us - inbound.at_us < fresh_us:
        return False
    if inbound.busy or inbound.parser.partial or inbound.buffer[0]:
        return False
    return not readable(inbound.sock)
