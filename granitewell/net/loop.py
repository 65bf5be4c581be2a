"""Runs the core's effects on real sockets.

Outbound calls and their pool, the watch on discovery, the timers and the log; clients are inbounds'.

It owns every task of the process, the descriptors of its calls, and the budget of both. It must never change
the state of a request by itself (it reports events and does what the core's effects say), resend anything, or
know the protocol's words, which are http1's. All network traffic goes through the loop's sock_* calls. Time
is whole microseconds on the monotonic clock, read once a turn of the loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from granitewell import core as c
from granitewell.balancing.interface import Outcome, View
from granitewell.config import Config, needs_restart, taken_up
from granitewell.handover import Handover, Moment
from granitewell.net import http1
from granitewell.net.bodies import GAP_S, HOLD_S, STILL_S, Budget, Pour, pump
from granitewell.net.clock import Clock
from granitewell.net.console import SEATS, Console
from granitewell.net.discovery import ASKED, PUSHED, Discovery
from granitewell.net.downstream import ONCE_PART, Inbounds, Limits
from granitewell.net.listener import age_s, listening, start_debt
from granitewell.net.logs import HEAD_START_US as HEAD_START_US
from granitewell.net.logs import Log as Log
from granitewell.net.pool import Conn, Pool
from granitewell.net.sockets import BUFFER
from granitewell.reload import complete, follow

if TYPE_CHECKING:
    from granitewell.net.status import Door

RESERVE = 32  # descriptors for the interpreter, the listener, discovery and accidents
SWEEP_S = 0.1
IDLE_PART = 0.8  # of connIdleMs, after which an idle outbound connection is closed, well before the far side
FIRST_S = 1.0  # that a start waits for the first word of discovery
STALL_US = 20_000  # a timer so late is worth a line: answers at the due time have a slack of 50 ms
NEXT_PART = 4  # one in so many descriptors is the next process's while it starts beside this one
SPARE_DESCRIPTORS = 16  # beyond what it holds, for a process that is to stop
PARTING_US = 200_000  # for an idle connection to an endpoint there
CHANGE_OVER_S = 2.0  # for which the names and methods of before a reload still count


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
        self.limits = Limits(0, 0, 0)
        self._divide(sockets)
        self.pool = Pool(loop, self.clock, self.say, self._may_dial)
        self._pooled()
        self.clients = Inbounds(
            loop, self.clock, self.pool, self._names, self._budget, self.limits, self.say, self.dispatch,
            self._spawn, lambda: core.phase is c.Phase.READY, shared=self._shared,
        )  # fmt: skip
        self._calls: dict[int, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._cpu_us = 0  # of this thread, when the timer last came
        self._left = asyncio.Event()
        self._changed = 0  # how often the settings have
        self.discovery = Discovery(loop, self.clock, self._reader, self.dispatch, self.say, self._spawn)
        self._handover = handover
        self._others: list[int] = []  # what further processes of this node may hold, as of the last look
        self._elder = True  # this process was there before those; what it may hold only falls then
        self.console: Console | None = None  # where operators call, where the configuration names an address
        self.door: Door | None = None  # the status, where an operator file asks for it

    def _divide(self, sockets: int) -> None:
        """So many descriptors are this process's.

        Each side has a part that is its own: a third for endpoints; for clients what the usual ones can hold,
        a third too, with room for new ones. Either takes what the other leaves.
        """
        self._mine = sockets
        most = self._most_of(sockets)
        self.limits.most, self.limits.inbound = most, most - most // 3
        self.limits.outbound = most - min(sockets // 3 + 8, most // 2)

    # --- Life -------------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Serve until the core says to leave."""
        self._loop.set_exception_handler(self._unheard)
        self.clients.listener = listening(self._config)
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
        await self._fleet()
        if not self._shared:  # what another process can accept is left to it until this one can serve
            self.clients.open()
        self._loop.call_later(SWEEP_S, self._sweep)
        debt_s = start_debt(time.process_time(), age_s(), self._config.cores)
        if debt_s > 0.0:
            self.say("start", f"ready {debt_s * 1000:.0f} ms later: the start is not paid for yet")
            with contextlib.suppress(TimeoutError):  # a stop does not wait for it
                await asyncio.wait_for(self._left.wait(), debt_s)
        self.dispatch(c.Listening())
        await self._left.wait()
        if self.console is not None:
            self.console.close()
        await self.clients.close(self._core.exit_deadline_us)

    async def _fleet(self) -> None:
        """The first list.

        What discovery has counts as told from this process's first moment, so the one in the configuration,
        which may be old, is for where discovery does not answer.
        """
        self._watch()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_S):
                await self.discovery.tried.wait()
        if self._config.known and self.discovery.heard_us < 0:
            try:
                _, news = self._reader.parsed(self._config.known, View.CACHED)
                self.dispatch(news)
            except ValueError as error:
                self.say("known", f"the list in the configuration is not usable: {error}")

    def _watch(self) -> None:
        """Ask the discovery that the configuration names now, in the way that its settings tell."""
        self.discovery.at(self._config.discovery, ASKED if self._config.settings.must_ask else PUSHED)

    def _unheard(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What a callback of the loop has raised.

        Its own handler writes to standard error and waits for whoever reads that: with nobody there, for
        good.
        """
        error = context.get("exception")
        self.say("fault", f"{context.get('message')}: {type(error).__name__}: {error}")

    def stop(self) -> None:
        """The stop signal has come."""
        self.dispatch(c.StopRequested(self._shared))
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
        """What has changed in the hand-over folder.

        Bans called at a process beside this one, and whether there is one.
        """
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
        self.dispatch(c.BansLoaded(kept.bans, back))
        self._beside(self._handover.others())

    def _beside(self, others: list[int]) -> None:
        """Divide the descriptors with the processes beside this one.

        The elder leaves a part to the next from its start on, and all that it does not hold once it is to
        stop; the next takes what the elder says it leaves. So only one of them ever takes more, and both
        together keep to the limit.
        """
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
            if self.clients.listener is None:
                held = len(self.clients.held) + self.pool.held + self._sockets - self._most_of(self._sockets)
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

    def _keep_ban(self, effect: c.PersistBan) -> None:
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
        """The configuration has been replaced.

        Its settings count from now on, and discovery is asked for the whole list at the address that it names
        now, at once. Connections, requests and the list stay.
        """
        wait = needs_restart(self._config, config)
        old, self._config = self._config, taken_up(self._config, follow(self._config, config))
        if old.raw.get("settings") != self._config.raw.get("settings"):
            self._settle(old)
        more = f"; only a restart takes up {', '.join(wait)}" if wait else ""
        self.say("reload", f"discovery is now {config.discovery[0]}:{config.discovery[1]}{more}")
        self._watch()

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
        self.dispatch(c.SettingsChanged(settings, config.most_held))
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
        answer hears the end of its connection.
        """
        if isinstance(effect, c.StartCall):
            self._calls.pop(effect.call, None)
            self.dispatch(c.CallEnded(effect.call, Outcome.UNCONNECTED))
        elif (
            isinstance(effect, c.SendResponse | c.StartResponse | c.EndResponse)
            and effect.downstream_id in self.clients.held
        ):
            self.clients.drop(self.clients.held[effect.downstream_id])

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
        self.dispatch(c.TimerExpired())

    def _run(self, effect: c.Effects) -> None:
        if isinstance(effect, c.StartCall):
            call = self._calls[effect.call] = _Call(effect)
            call.task = self._spawn(self._carry(call))
        elif isinstance(effect, c.SendResponse):
            self.clients.answer(effect)
        elif isinstance(effect, c.StartResponse):
            assert isinstance(effect.response, http1.Head)
            effect.response.inbound = effect.downstream_id
        elif isinstance(effect, c.EndResponse):
            self.clients.finished(effect)
        elif isinstance(effect, c.LogLine):
            self.say(effect.topic, effect.line)
        elif isinstance(effect, c.WriteCall):
            self._calls[effect.call].go = True
        elif isinstance(effect, c.AbandonCall):
            self._abandon(effect.call)
        elif isinstance(effect, c.CloseIdle):
            self.pool.close_idle(effect.endpoint)
        elif isinstance(effect, c.StopListening):
            self.clients.stop_listening()
        elif isinstance(effect, c.PersistBan):
            self._keep_ban(effect)
        elif isinstance(effect, c.BanReply):
            if self.console is not None:
                self.console.ruled(effect)
        elif isinstance(effect, c.ReadyToServe):
            self.clients.open()
        else:
            self._left.set()

    def _sweep(self) -> None:
        """Close what has been idle, slow or unread for too long.

        What breaks over one of them must not keep the others from being looked at, ten times a second and for
        good.
        """
        self._loop.call_later(SWEEP_S if not self._others else SWEEP_S / 4, self._sweep)
        self._guarded(self._look)
        now = self.clock.now()
        idle_us = PARTING_US if self._others and self.clients.listener is None else self.pool.idle_us
        self._guarded(lambda: self.pool.sweep(now, idle_us))
        many = len(self.clients.held) > (self.limits.most + RESERVE) // ONCE_PART
        self.clients.sweep(now, many, self._guarded)

    def _guarded(self, job: Callable[[], None]) -> bool:
        """Do it; whether it went well."""
        try:
            job()
        except Exception as error:
            self.say("fault", f"a sweep failed: {type(error).__name__}: {error}")
            return False
        return True

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
            self.clients.waits(effect.downstream_id)
            self.dispatch(c.CallDialed(effect.call))
            call.dialing = False
            if not call.go:
                self.pool.put(conn, answered=False)
                return
        elif not (self.clients.waits(effect.downstream_id) and self._core.may_write_call(effect.call)):
            self.pool.put(conn, answered=False)
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
        return self._spawn(
            pump(self._loop, conn.sock, flow, waits, lambda: self.dispatch(c.RequestBodyReleased(inbound)))
        )

    async def _rest(self, conn: Conn, parser: http1.ResponseParser, n: int) -> bool:
        """What is still missing of an answer that has begun, as far as that is gathered.

        True once it is whole, False where it is to be passed on as it comes. OSError or ValueError if it
        never gets whole.
        """
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
        """Pass an answer on as it comes; whether the connection can be used again.

        The core says whose it is, and ends this task where nobody waits for it any more.
        """
        head = parser.head()
        parser.pour()
        self.dispatch(c.ResponseStarted(number, head, http1.report(parser, self._names.reports)))
        inbound = self.clients.held.get(head.inbound)
        if inbound is None:
            self._finish(number, Outcome.CANCELLED)
            return False
        self._budget.flows += 1
        try:
            if len(conn.buffer) < self._budget.piece():
                conn.buffer = bytearray(self._budget.piece())
            last = self.clients.listener is None and not inbound.queue
            closing = last or not inbound.keep or inbound.flow is not None
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

    def _finish(
        self, number: int, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        if self._calls.pop(number, None) is not None:
            self.dispatch(c.CallEnded(number, outcome, report, answer))

    def _may_dial(self) -> bool:
        """Is there a descriptor for one more connection to an endpoint, or can one be had?"""
        if not self.clients.room(self.limits.outbound, self.pool.held):
            may_evict = self.pool.held < self.limits.outbound
            if not self.pool.shed_idle() and not (may_evict and self.clients.evict()):
                self.say("budget", f"{self.pool.held} outbound connections, all at work: no new one")
                return False
        return True


def _moment() -> Moment:
    return Moment(time.time_ns() // 1000, time.monotonic_ns() // 1000)
