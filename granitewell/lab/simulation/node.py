"""The virtual node: does in virtual time what `granitewell.net.loop` does with sockets.

It runs one node process: its core, the core's timer, its client connections, and when it processes what has
arrived (CPU, stalls). The core and its decider make all decisions. A difference in behavior from the loop is
a defect of the lab. The core's clock runs an hour ahead of the day's, as on sockets, so that start times of
endpoints before the day are not negative.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from granitewell import core as c
from granitewell.lab.day import NodeDay
from granitewell.lab.emulator.types import Ask
from granitewell.lab.simulation.outbound import CLOCK_OFFSET_US, MAX_SOCKETS, Outbound

if TYPE_CHECKING:
    from granitewell.lab.simulation.client_traffic import ClientConnection
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.world import World

EXIT_US = 20_000  # from the end of its loop to the end of its process; the last responses are sent by then
MAX_CLIENT_CONNECTIONS = MAX_SOCKETS - MAX_SOCKETS // 3  # as in the loop's socket budget


class Node:
    """One node process from start to end; a restart creates a new Node."""

    def __init__(self, world: World, spec: NodeDay, core: c.Core) -> None:
        self.name: str = spec.name
        self.zone: int = spec.zone
        self.core, self._spec = core, spec
        self._world, self._engine = world, world.engine
        self.alive: bool = True
        self.listening: bool = False  # accepts client connections
        self.ready: bool = False
        self.on_probe_result: Callable[[bytes, bool, tuple[float, ...]], None] | None = (
            None  # receives probe results
        )
        self.notes: Counter[str] = Counter()
        self.connections: dict[int, ClientConnection] = {}  # open client connections by id
        self.idle_connections: dict[
            int, deque[ClientConnection]
        ] = {}  # by zone: idle ones, the most recent last
        self.outbound = Outbound(world, self)
        self._timer_us, self._timer = -1, 0
        self._event_cost_us = self._busy_until_us = 0.0
        self._backlog: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self.limit_cpu(spec.cpu)
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            c.StartCall: self.outbound.start, c.SendResponse: self._send_response,
            c.WriteCall: self.outbound.allow_write, c.AbandonCall: self.outbound.abandon,
            c.CloseIdle: self.outbound.close_idle, c.LogLine: self._log_line,
            c.StopListening: self._stop_listening, c.ExitProcess: self._leave,
            c.ReadyToServe: lambda _: None,
        }  # fmt: skip

    # --- CPU and stalls ---------------------------------------------------------------------------------
    def limit_cpu(self, cores: float) -> None:
        """Limit the process to a share of one core, or to the day's limit if that is lower."""
        self._event_cost_us = self._spec.call_us / max(min(cores, self._spec.cpu), 1e-6)

    def stall(self, until_us: int) -> None:
        """Stall the process until then: what arrives waits."""
        self._busy_until_us = max(self._busy_until_us, float(until_us))

    def post(self, call: Callable[..., Any], *args: Any) -> None:
        """Process something that arrived, at once or after the backlog."""
        if not self.alive:
            return
        if self._busy_until_us <= self._engine.now_us and not self._backlog:
            call(*args)
            if self._event_cost_us:
                self._busy_until_us = self._engine.now_us + self._event_cost_us
            return
        self._backlog.append((call, args))
        if len(self._backlog) == 1:
            self._engine.at(_ceil(self._busy_until_us), self._run_backlog)

    def _run_backlog(self) -> None:
        waiting, now = self._backlog, self._engine.now_us
        while self.alive and waiting and self._busy_until_us <= now:
            call, args = waiting[0]
            call(*args)
            self._busy_until_us += self._event_cost_us
            if self.alive:
                waiting.popleft()
        if self.alive and waiting:
            self._engine.at(_ceil(self._busy_until_us), self._run_backlog)

    # --- Events and effects -----------------------------------------------------------------------------
    def dispatch(self, event: c.Event) -> None:
        """Pass an event to the core and run its effects; calls start after that, as in the loop."""
        core, run = self.core, self._effect_handlers
        for effect in core.handle(self._engine.now_us + CLOCK_OFFSET_US, event):
            run[type(effect)](effect)
        wake, timer = core.wake_us, self._timer_us
        if wake >= 0 and (timer < 0 or wake < timer) and self.alive:
            self._arm(wake)
        if self.outbound.pending:
            self.outbound.start_pending()

    def _arm(self, wake_us: int) -> None:
        self._timer_us = wake_us
        self._timer += 1
        wait = max(wake_us - CLOCK_OFFSET_US - self._engine.now_us, 0)
        # the loop's timers count in milliseconds, rounded up
        self._engine.at(self._engine.now_us - -wait // 1000 * 1000, self._on_timer, self._timer)

    def _on_timer(self, timer: int) -> None:
        if timer == self._timer:
            self.post(self._dispatch_timer)

    def _dispatch_timer(self) -> None:
        self._timer_us = -1
        self.dispatch(c.TimerExpired())

    def _log_line(self, effect: c.LogLine) -> None:
        self.notes[effect.topic] += 1
        self._world.note(self.name, effect.topic, effect.line)

    # --- Lifecycle --------------------------------------------------------------------------------------
    def listen(self) -> None:
        """The listener is open."""
        self.listening = True
        self.dispatch(c.Listening())
        self._check_ready()

    def endpoints_updated(self, event: c.EndpointListUpdate) -> None:
        """Discovery sent an update."""
        self.dispatch(event)
        self._check_ready()

    def stop(self) -> None:
        """SIGTERM."""
        self.dispatch(c.StopRequested())

    def probe(self, endpoint_host: EndpointHost) -> None:
        """Send a probe to an endpoint for the decider; see probing."""
        self.outbound.probe(endpoint_host)

    def probe_ended(self, endpoint_host: EndpointHost, ok: bool, report: tuple[float, ...]) -> None:
        """A probe has ended."""
        if self.on_probe_result is not None:
            self.on_probe_result(endpoint_host.key, ok, report)

    def _check_ready(self) -> None:
        if not self.ready and self.core.phase is c.Phase.READY:
            self.ready = True
            self._world.node_ready(self)

    def _leave(self, _: c.ExitProcess) -> None:
        self._engine.at(self._engine.now_us + EXIT_US, self._exit)

    def _exit(self) -> None:
        if self.alive:
            self._world.node_ends(self, True, 0)

    def end(self) -> None:
        """The process ended; its machine resets open connections."""
        self.alive = self.listening = False
        self.outbound.end()
        self._backlog.clear()

    # --- Client connections -----------------------------------------------------------------------------
    def admit(self, connection: ClientConnection) -> bool:
        """Accept a new client connection; False while there is no room."""
        while (
            len(self.connections) >= MAX_CLIENT_CONNECTIONS
            or len(self.connections) + len(self.outbound.conns) >= MAX_SOCKETS
        ):
            if not self.evict():
                return False
        self.connections[connection.id] = connection
        return True

    def evict(self) -> bool:
        """Close the longest idle client connection, or else an idle one to an endpoint."""
        oldest = [connections for connections in self.idle_connections.values() if connections]
        if oldest:
            self.drop(min(oldest, key=lambda x: (x[0].idle_us, x[0].id)).popleft())
            return True
        return len(self.connections) < MAX_CLIENT_CONNECTIONS and self.outbound.evict_oldest()

    def drop(self, connection: ClientConnection) -> None:
        """Close a client's connection."""
        connection.open = False
        self.connections.pop(connection.id, None)

    def request_read(self, connection: ClientConnection, ask: Ask) -> None:
        """A whole request has been read."""
        if connection.id not in self.connections:
            return  # its client has left meanwhile
        self.dispatch(c.RequestReceived(
            connection.id, ask.cls, self._world.tenants[ask.tenant], ask.key, ask.timeout_us // 1000 * 1000,
            ask, ask.retry, ask.rid.encode(),
        ))  # fmt: skip

    def client_gone(self, connection: ClientConnection) -> None:
        """The client closed its connection."""
        if self.connections.pop(connection.id, None) is not None:
            self.dispatch(c.DownstreamClosed(connection.id))

    def _send_response(self, effect: c.SendResponse) -> None:
        connection = self.connections.get(effect.downstream_id)
        if connection is None:
            return  # the client has left
        close = effect.close or not self.listening
        if close:
            self.drop(connection)
        self._world.client_traffic.send_response(connection, effect, close)

    def _stop_listening(self, _: c.StopListening) -> None:
        self.listening = False
        for connection in list(self.connections.values()):
            if not connection.has_request:  # a request in flight to it is sent again elsewhere
                self.drop(connection)
        self.idle_connections.clear()


def _ceil(us: float) -> int:
    return -int(-us // 1)
