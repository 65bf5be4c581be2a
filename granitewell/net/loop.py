"""The serving node: runs the core's effects on real sockets.

The node owns the tasks of the process, the calls to endpoints, the timer, the watch on discovery and the
division of descriptors; client connections are handled by `downstream`. The core decides what becomes of a
request: this module reports events to it and carries out its effects, and never repeats a call by itself.
Protocol details are left to `http1`. All TCP traffic goes through the loop's `sock_*` methods. Time is whole
microseconds on the monotonic clock, read once per turn of the loop.
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
from granitewell.config import Config, fields_requiring_restart, merge_reloadable_fields
from granitewell.handover import ClockReading, Handover
from granitewell.net import http1
from granitewell.net.bodies import (
    MAX_RESPONSE_BUFFERING_S,
    RESPONSE_GAP_TIMEOUT_S,
    STREAM_STALL_TIMEOUT_S,
    MemoryBudget,
    ResponseStream,
    forward_request_body,
)
from granitewell.net.clock import Clock
from granitewell.net.console import MAX_CONNECTIONS, Console
from granitewell.net.discovery import POLLED_TIMEOUTS, PUSHED_TIMEOUTS, Discovery
from granitewell.net.downstream import CROWDED_DIVISOR, Downstream, Limits
from granitewell.net.listener import open_listener, process_age_s, startup_delay_s
from granitewell.net.logs import CLOCK_ORIGIN_US as CLOCK_ORIGIN_US
from granitewell.net.logs import Log as Log
from granitewell.net.pool import EndpointConnection, Pool
from granitewell.net.sockets import READ_BUFFER_BYTES
from granitewell.reload import check_complete, keep_indices

if TYPE_CHECKING:
    from granitewell.net.status import StatusServer

RESERVED_DESCRIPTORS = 32  # for the interpreter, the listener, discovery and unforeseen needs
SWEEP_INTERVAL_S = 0.1
IDLE_RATIO = 0.8  # of connIdleMs: idle connections to endpoints are closed well before the other side does
FIRST_LIST_TIMEOUT_S = 1.0  # that a start waits for discovery
STALL_US = 20_000  # lateness of a timer that is logged: answers at the deadline have a slack of 50 ms
SUCCESSOR_DIVISOR = 4  # one descriptor in 4 is for the next process while both run
SPARE_DESCRIPTORS = 16  # that a stopping process claims beyond those in use
DRAIN_IDLE_US = 200_000  # idle timeout of connections to endpoints in a stopping process
RELOAD_GRACE_S = 2.0  # during which the names and methods of before a reload are still accepted


class _OutboundCall:
    """A call to an endpoint that is in progress.

    Attributes:
        dialing: Its connection is being opened.
        may_write: The core has released it for writing.
        has_written: Bytes may have been sent.
    """

    __slots__ = ("dialing", "effect", "may_write", "task", "has_written")

    def __init__(self, effect: c.StartCall) -> None:
        self.effect = effect
        self.dialing = self.may_write = False
        self.has_written = False
        self.task: asyncio.Task[None] | None = None


class Node:
    """A running node: feeds the core with events and runs its effects."""

    def __init__(
        self, config: Config, core: c.Core, loop: asyncio.AbstractEventLoop, handover: Handover | None = None
    ) -> None:
        """Set up the node; `run` opens its sockets.

        Args:
            config: The configuration.
            core: Decides what becomes of requests.
            loop: The event loop.
            handover: The folder that the node's processes share; None for none.
        """
        self._config, self._core, self._loop = config, core, loop
        self.clock = Clock(loop)
        self.log = Log(config.name)
        self._header_names = http1.HeaderNames(config)
        self._list_reader = http1.EndpointListReader(config, self.clock.from_unix)
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = config.sockets if soft == resource.RLIM_INFINITY else min(config.sockets, soft)
        self._max_sockets = sockets
        self._memory = MemoryBudget(config.memory_mb)
        self.limits = Limits(0, 0, 0)
        self._divide_descriptors(sockets)
        self.pool = Pool(loop, self.clock, self.log_line, self._may_dial)
        self._configure_pool()
        self.clients = Downstream(
            loop, self.clock, self.pool, self._header_names, self._memory, self.limits, self.log_line,
            self.dispatch, self._spawn, lambda: core.phase is c.Phase.READY,
            shared=self._listener_is_inherited,
        )  # fmt: skip
        self._calls: dict[int, _OutboundCall] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._cpu_us = 0  # of this thread, at the last timer
        self._stopped = asyncio.Event()
        self._settings_version = 0  # counts reloads that changed the settings
        self.discovery = Discovery(
            loop, self.clock, self._list_reader, self.dispatch, self.log_line, self._spawn
        )
        self._handover = handover
        self._other_claims: list[int] = []  # descriptors of this node's other processes; -1: not known yet
        # this process was started before the others; its claim then only shrinks
        self._is_older = True
        self.console: Console | None = None  # if the configuration names its address
        self.status_server: StatusServer | None = None  # if the operator file asks for it

    def _divide_descriptors(self, sockets: int) -> None:
        """Divide this process's descriptors between clients and endpoints.

        Each side has a part of its own: a third for endpoints, and a third for clients that stay connected,
        plus room for new ones. Either may use what the other leaves.
        """
        self._own_descriptors = sockets
        max_total = self._max_connections(sockets)
        self.limits.max_total, self.limits.max_inbound = max_total, max_total - max_total // 3
        self.limits.max_outbound = max_total - min(sockets // 3 + 8, max_total // 2)

    # --- Start and stop ---------------------------------------------------------------------------------
    async def run(self) -> None:
        """Serve until the core tells the node to leave."""
        self._loop.set_exception_handler(self._on_loop_exception)
        self.clients.listener = open_listener(self._config)
        if self._config.console is not None:
            try:
                self.console = Console(self, self._config.console, self._loop)
            except OSError as error:
                host, port = self._config.console
                raise OSError(f"console {host}:{port}: {error.strerror or error}") from None
        if self._handover is not None:
            self._is_older = not self._handover.other_claims()
            self._handover.claim(
                self._max_sockets if self._is_older else self._max_sockets // SUCCESSOR_DIVISOR
            )
        self._check_handover()
        await self._load_endpoints()
        # with a shared listener, new clients are left to the other process until this one can serve
        if not self._listener_is_inherited:
            self.clients.open()
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        delay_s = startup_delay_s(time.process_time(), process_age_s(), self._config.cores)
        if delay_s > 0.0:
            self.log_line("start", f"ready {delay_s * 1000:.0f} ms later: the start is not paid for yet")
            with contextlib.suppress(TimeoutError):  # ended early by a stop
                await asyncio.wait_for(self._stopped.wait(), delay_s)
        self.dispatch(c.Listening())
        await self._stopped.wait()
        if self.console is not None:
            self.console.close()
        await self.clients.close(self._core.exit_deadline_us)

    async def _load_endpoints(self) -> None:
        """Get the first list of endpoints.

        What discovery knows counts from the start of this process. The list in the configuration may be old,
        so it is used only if discovery does not answer.
        """
        self._start_discovery()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.discovery.attempted.wait()
        if self._config.known and self.discovery.answered_us < 0:
            try:
                _, news = self._list_reader.parse(self._config.known, View.CACHED)
                self.dispatch(news)
            except ValueError as error:
                self.log_line("known", f"the list in the configuration is not usable: {error}")

    def _start_discovery(self) -> None:
        """Watch the discovery agent that the configuration names, with the timeouts of its mode."""
        self.discovery.watch(
            self._config.discovery, POLLED_TIMEOUTS if self._config.settings.must_ask else PUSHED_TIMEOUTS
        )

    def _on_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an exception that a callback of the loop has raised.

        The loop's own handler writes to standard error, which blocks forever if that is a pipe that nobody
        reads.
        """
        error = context.get("exception")
        self.log_line("fault", f"{context.get('message')}: {type(error).__name__}: {error}")

    def stop(self) -> None:
        """Handle the stop signal."""
        self.dispatch(c.StopRequested(self._listener_is_inherited))
        self._check_handover()

    @property
    def _listener_is_inherited(self) -> bool:
        """Return whether the platform holds the listener, so that other processes may accept from it."""
        return self._config.inherited >= 0

    @property
    def phase(self) -> c.Phase:
        """Return where the node is between start and exit."""
        return self._core.phase

    def _check_handover(self) -> None:
        """Read what has changed in the handover folder.

        It holds the bans that operators set at another process of this node, and the claims of those
        processes.
        """
        if self._handover is None:
            return
        if self._other_claims:  # claims change, and a killed process leaves the folder unchanged
            self._share_descriptors(self._handover.other_claims())
        if not self._handover.has_changed():
            return
        stored_bans = self._handover.read_bans(_read_clocks())
        for problem in stored_bans.problems:
            self.log_line("handover", f"passed over: {problem}")
        restored = {k: self.clock.from_monotonic(v) for k, v in stored_bans.ended_us.items()}
        self.dispatch(c.BansLoaded(stored_bans.banned_endpoints, restored))
        self._share_descriptors(self._handover.other_claims())

    def _share_descriptors(self, others: list[int]) -> None:
        """Divide the descriptors among the processes of this node.

        The older process leaves a part to the next one from its start, and everything that it does not use
        once it is stopping. The next one takes what the older says it leaves. So only one of them ever gains,
        and together they keep to the limit.

        Args:
            others: The claims of the other processes; -1 for one that has not made any.
        """
        assert self._handover is not None
        if len(others) != len(self._other_claims):
            self.log_line("handover", f"{len(others)} further processes of this node run")
            self._memory.max_bytes = MemoryBudget(self._config.memory_mb / (1 + len(others))).max_bytes
        self._other_claims = others
        if not others:
            self._is_older = True
            own = self._max_sockets
        elif self._is_older:
            own = self._max_sockets - self._max_sockets // SUCCESSOR_DIVISOR
            if self.clients.listener is None:
                held = (
                    len(self.clients.connections)
                    + self.pool.open_count
                    + self._max_sockets
                    - self._max_connections(self._max_sockets)
                )
                own = min(own, self._own_descriptors, held + SPARE_DESCRIPTORS)
        else:
            own = self._max_sockets - sum(x if x >= 0 else self._max_sockets // 2 for x in others)
            own = max(own, self._max_sockets // SUCCESSOR_DIVISOR)
        if own != self._own_descriptors:
            self._divide_descriptors(own)
        self._handover.claim(own)

    def _max_connections(self, sockets: int) -> int:
        """Return how many connections fit into so many descriptors."""
        return max(sockets - RESERVED_DESCRIPTORS - (MAX_CONNECTIONS if self._config.console else 0), 8)

    def _keep_ban(self, effect: c.PersistBan) -> None:
        """Store a ban for the node's next process, and report a failure to the operator's call."""
        if self._handover is None:
            return
        error = "the ban could not be written down: see the node's log"  # if it raises
        try:
            error = self._handover.write_ban(effect.endpoint, effect.banned, _read_clocks())
        finally:
            if error:
                self.log_line("handover", error)
                if self.console is not None:
                    self.console.ban_error = error

    def reload(self, config: Config) -> None:
        """Apply a configuration that has replaced the previous one.

        Its settings count from now on, and discovery is asked at once for the full list at the address that
        it names. Connections, requests and the list of endpoints stay.
        """
        restart_needed = fields_requiring_restart(self._config, config)
        old, self._config = (
            self._config,
            merge_reloadable_fields(self._config, keep_indices(self._config, config)),
        )
        if old.raw.get("settings") != self._config.raw.get("settings"):
            self._apply_settings(old)
        more = f"; only a restart takes up {', '.join(restart_needed)}" if restart_needed else ""
        self.log_line("reload", f"discovery is now {config.discovery[0]}:{config.discovery[1]}{more}")
        self._start_discovery()

    def check(self, top: dict[str, Any]) -> None:
        """Check that a new configuration has every field that the one in force has."""
        check_complete(self._config.raw, top, "")

    def _apply_settings(self, old: Config) -> None:
        """Apply other settings to the core, the parsers and the pool."""
        config = self._config
        settings = replace(config.settings, zone=self._list_reader.reconfigure(config))
        self._header_names.reconfigure(config)
        self._configure_pool()
        self._settings_version += 1
        self._loop.call_later(RELOAD_GRACE_S, self._forget_old_names, self._settings_version)
        self.dispatch(c.SettingsChanged(settings, config.max_open_requests))
        added, removed = (
            sorted(config.active_classes - old.active_classes),
            sorted(old.active_classes - config.active_classes),
        )
        changes = [f"; {word}: {', '.join(x)}" for word, x in (("added", added), ("dropped", removed)) if x]
        self.log_line("reload", f"the settings are taken up{''.join(changes)}")

    def _configure_pool(self) -> None:
        """Apply the settings of connections to endpoints."""
        self.pool.idle_timeout_us = int(self._config.idle_connection_timeout_us * IDLE_RATIO)
        self.pool.dial_timeout_us = self._config.dial_timeout_us

    def _forget_old_names(self, change: int) -> None:
        """Reject the names of before a reload, unless there was another reload since."""
        if change == self._settings_version:
            self._header_names.drop_previous()

    def _spawn(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and keep track of it until it ends."""
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a task that has failed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.log_line("fault", f"a task failed: {type(error).__name__}: {error}")

    def log_line(self, topic: str, line: str) -> None:
        """Write a line of a topic to the node's log."""
        self.log.write(self.clock.now(), topic, line)

    # --- Events and effects -----------------------------------------------------------------------------
    def dispatch(self, event: c.Event) -> None:
        """Give the core an event and run the effects that it returns."""
        for effect in self._core.handle(self.clock.now(), event):
            try:
                self._run_effect(effect)
            except Exception as error:  # a failing effect must not lose those after it
                self.log_line("fault", f"{type(effect).__name__} failed: {type(error).__name__}: {error}")
                self._recover_from_failure(effect)
        wake = self._core.wake_us
        if wake >= 0 and (self._timer is None or wake < self._timer_us):
            self._arm_timer(wake)

    def _recover_from_failure(self, effect: c.Effects) -> None:
        """Clean up after an effect that failed.

        A call ends as one that never began. A client that would wait forever for its answer is disconnected.
        """
        if isinstance(effect, c.StartCall):
            self._calls.pop(effect.call, None)
            self.dispatch(c.CallEnded(effect.call, Outcome.UNCONNECTED))
        elif (
            isinstance(effect, c.SendResponse | c.StartResponse | c.EndResponse)
            and effect.downstream_id in self.clients.connections
        ):
            self.clients.drop(self.clients.connections[effect.downstream_id])

    def _arm_timer(self, wake_us: int) -> None:
        """Set the timer for the core."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake_us
        wait_us = max(wake_us - self.clock.read_now(), 0)
        # the loop's timers have milliseconds: rounded up, as an early one would only be set again
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._on_timer)

    def _on_timer(self) -> None:
        """Wake the core, and log a timer that is late."""
        late_us = self.clock.read_now() - self._timer_us
        cpu_us = time.thread_time_ns() // 1000
        if late_us >= STALL_US:
            work_us = cpu_us - self._cpu_us
            self.log_line("stall", f"{late_us // 1000} ms late, with {work_us // 1000} ms of own work")
        self._cpu_us = cpu_us
        self._timer = None
        self.dispatch(c.TimerExpired())

    def _run_effect(self, effect: c.Effects) -> None:
        """Carry out one effect of the core."""
        if isinstance(effect, c.StartCall):
            call = self._calls[effect.call] = _OutboundCall(effect)
            call.task = self._spawn(self._run_call(call))
        elif isinstance(effect, c.SendResponse):
            self.clients.write_answer(effect)
        elif isinstance(effect, c.StartResponse):
            assert isinstance(effect.response, http1.ResponseHead)
            effect.response.connection_id = effect.downstream_id
        elif isinstance(effect, c.EndResponse):
            self.clients.finish_streamed_answer(effect)
        elif isinstance(effect, c.LogLine):
            self.log_line(effect.topic, effect.line)
        elif isinstance(effect, c.WriteCall):
            self._calls[effect.call].may_write = True
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
                self.console.on_ban_result(effect)
        elif isinstance(effect, c.ReadyToServe):
            self.clients.open()
        else:
            self._stopped.set()

    def _sweep(self) -> None:
        """Close what has been idle, slow or unread for too long, ten times a second.

        A failure over one connection must not keep the others from being checked.
        """
        self._loop.call_later(
            SWEEP_INTERVAL_S if not self._other_claims else SWEEP_INTERVAL_S / 4, self._sweep
        )
        self._run_guarded(self._check_handover)
        now = self.clock.now()
        idle_us = (
            DRAIN_IDLE_US
            if self._other_claims and self.clients.listener is None
            else self.pool.idle_timeout_us
        )
        self._run_guarded(lambda: self.pool.sweep(now, idle_us))
        many = (
            len(self.clients.connections) > (self.limits.max_total + RESERVED_DESCRIPTORS) // CROWDED_DIVISOR
        )
        self.clients.sweep(now, many, self._run_guarded)

    def _run_guarded(self, job: Callable[[], None]) -> bool:
        """Run a job; log an exception and return whether there was none."""
        try:
            job()
        except Exception as error:
            self.log_line("fault", f"a sweep failed: {type(error).__name__}: {error}")
            return False
        return True

    # --- Calls to endpoints -----------------------------------------------------------------------------
    def _abandon(self, number: int) -> None:
        """Drop a call that the core no longer needs."""
        call = self._calls.pop(number, None)
        if call is not None and not call.dialing and call.task is not None:
            call.task.cancel()  # closes the connection: a later call would get the response of this one
        # a dial goes on: its connection serves a later call

    async def _run_call(self, call: _OutboundCall) -> None:
        """Make one call to an endpoint; it has an outcome whatever happens."""
        try:
            await self._perform_call(call)
        except Exception as error:
            # nothing else would end the call before its deadline, and a streamed one has none yet
            self.log_line("fault", f"a call failed: {type(error).__name__}: {error}")
            self._finish_call(call.effect.call, Outcome.RESET if call.has_written else Outcome.UNCONNECTED)

    async def _perform_call(self, call: _OutboundCall) -> None:
        """Make one call, from the connection to the outcome. Nothing is ever sent twice."""
        effect = call.effect
        conn = self.pool.acquire(effect.endpoint, effect.address)
        if conn is None:
            call.dialing = True
            self.dispatch(c.CallDialing(effect.call))
            conn = await self.pool.dial(effect.endpoint, effect.address)
            if conn is None:
                self._finish_call(effect.call, Outcome.UNCONNECTED)
                return
            self.clients.check_connected(effect.downstream_id)
            self.dispatch(c.CallDialed(effect.call))
            call.dialing = False
            if not call.may_write:
                self.pool.release(conn, answered=False)
                return
        elif not (
            self.clients.check_connected(effect.downstream_id) and self._core.may_write_call(effect.call)
        ):
            self.pool.release(conn, answered=False)
            self._finish_call(effect.call, Outcome.MOOT)
            return
        assert isinstance(effect.message, http1.ForwardedRequest)
        keep, body = False, effect.message.streamed_body
        forwarding: asyncio.Task[None] | None = None
        try:
            left_us = effect.due_us - self.clock.now()
            data = http1.request_bytes(effect.message, conn.address, left_us)
            call.has_written = True
            try:
                await self._loop.sock_sendall(conn.sock, data)
            except OSError:
                # broken before the last byte was written, so it can't have run, even on a reused connection
                self._finish_call(effect.call, Outcome.UNCONNECTED)
                return
            if body is not None:
                body.rewind()
                forwarding = self._start_body_forwarding(conn, body)
            parser = http1.ResponseParser()
            try:
                n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
                done = n > 0 and parser.feed(bytes(conn.buffer[:n]))
                if not done:
                    done = await self._read_response(conn, parser, n)
                if not done:
                    keep = await self._stream_response(effect.call, conn, parser)
                    return
            except (OSError, ValueError) as error:
                why = str(error) or "not whole in time"
                if body is not None and not body.fully_sent and not parser.status:
                    self._finish_call(effect.call, Outcome.UNCONNECTED)  # the last byte was never written
                    return
                # broken, malformed or unfinished after the last byte was written: the request may have run
                self.log_line("spoilt", f"{conn.address[0]}:{conn.address[1]}: {why}")
                self._finish_call(effect.call, Outcome.RESET)
                return
            keep = parser.reusable and (body is None or body.fully_sent)
            if keep:
                self.pool.release(conn)  # first, so that requests that the answer releases can use it
            outcome = http1.outcome(parser)
            answer = http1.buffered_response(parser) if outcome is Outcome.OK else None
            self._finish_call(effect.call, outcome, http1.report(parser, self._header_names.reports), answer)
        finally:
            if forwarding is not None:
                forwarding.cancel()
                self._memory.streams -= 1
            if not keep:
                self.pool.close(conn)

    def _start_body_forwarding(
        self, conn: EndpointConnection, body: http1.StreamedBody
    ) -> asyncio.Task[None]:
        """Start the task that writes a request's body as it arrives."""
        self._memory.streams += 1
        connection, signals = body.connection_id, body.signals
        return self._spawn(
            forward_request_body(
                self._loop, conn.sock, body, signals, lambda: self.dispatch(c.RequestBodyReleased(connection))
            )
        )

    async def _read_response(self, conn: EndpointConnection, parser: http1.ResponseParser, n: int) -> bool:
        """Read the rest of a response, as long as it is buffered.

        Returns:
            True once it is complete; False if it is to be streamed.

        Raises:
            OSError: The connection broke, ended early or paused for too long.
            ValueError: The response is malformed or too large.
        """
        began_us = self.clock.now()
        while n:
            if parser.exceeds_buffer or (
                parser.is_streamable and parser.length_unknown and self._buffered_too_long(began_us)
            ):
                return False
            async with asyncio.timeout(RESPONSE_GAP_TIMEOUT_S):
                n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
            if n and parser.feed(bytes(conn.buffer[:n])):
                return True
        if not parser.end():
            raise ConnectionError("the connection ended before the response")
        return True

    def _buffered_too_long(self, began_us: int) -> bool:
        """Return whether a response of unknown length has been buffered for its maximum time."""
        return self.clock.now() - began_us >= MAX_RESPONSE_BUFFERING_S * 1e6

    async def _stream_response(
        self, number: int, conn: EndpointConnection, parser: http1.ResponseParser
    ) -> bool:
        """Forward a response as it arrives; return whether the connection can be used again.

        The core names the client, and cancels this task when nobody waits for the response any more.
        """
        head = parser.head()
        parser.start_streaming()
        self.dispatch(c.ResponseStarted(number, head, http1.report(parser, self._header_names.reports)))
        connection = self.clients.connections.get(head.connection_id)
        if connection is None:
            self._finish_call(number, Outcome.CANCELLED)
            return False
        self._memory.streams += 1
        try:
            if len(conn.buffer) < self._memory.read_size():
                conn.buffer = bytearray(self._memory.read_size())
            last = self.clients.listener is None and not connection.queue
            closing = last or not connection.keep_alive or connection.streamed_body is not None
            stream = ResponseStream(self._loop, connection.sock, head, connection.is_http10, closing)
            connection.keep_alive = connection.keep_alive and not stream.closes_connection
            await stream.write(parser.take())
            while not parser.done:
                async with asyncio.timeout(STREAM_STALL_TIMEOUT_S):
                    n = await self._loop.sock_recv_into(conn.sock, conn.buffer)
                if not n and not parser.end():
                    raise ConnectionError("the connection ended within the response")
                if n:
                    parser.feed(bytes(conn.buffer[:n]))
                await stream.write(parser.take())
            await stream.end()
        except (OSError, ValueError, TimeoutError) as error:
            self.log_line(
                "spoilt", f"{conn.address[0]}:{conn.address[1]}: {str(error) or 'one side stood still'}"
            )
            self._finish_call(number, Outcome.RESET)
            return False
        finally:
            self._memory.streams -= 1
            if len(conn.buffer) != READ_BUFFER_BYTES:
                conn.buffer = bytearray(READ_BUFFER_BYTES)
        if parser.reusable:
            self.pool.release(conn)
        self._finish_call(number, Outcome.OK)
        return parser.reusable

    def _finish_call(
        self, number: int, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        """Report the outcome of a call to the core, unless the core has abandoned it."""
        if self._calls.pop(number, None) is not None:
            self.dispatch(c.CallEnded(number, outcome, report, answer))

    def _may_dial(self) -> bool:
        """Return whether there is, or can be made, a descriptor for one more connection to an endpoint."""
        if not self.clients.has_capacity(self.limits.max_outbound, self.pool.open_count):
            may_evict = self.pool.open_count < self.limits.max_outbound
            if not self.pool.close_longest_idle() and not (may_evict and self.clients.evict()):
                self.log_line(
                    "budget", f"{self.pool.open_count} outbound connections, all at work: no new one"
                )
                return False
        return True


def _read_clocks() -> ClockReading:
    """Return the current time on the wall clock and the monotonic clock."""
    return ClockReading(time.time_ns() // 1000, time.monotonic_ns() // 1000)
