"""The virtual node: what `granitewell.net.loop` does with sockets, done in virtual time.

It owns one node process: its core, the core's timer, its clients' connections, and when it comes to what has
arrived (its CPU, a stall). It must never change the state of a request, or decide: the core and its decider
do. Where it behaves unlike the loop, that is a defect of the lab. The core's clock runs an hour ahead of the
day's, as on sockets, so that earlier starts of endpoints fit.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from granitewell import core as c
from granitewell.lab.day import NodeDay
from granitewell.lab.emulator.types import Ask
from granitewell.lab.simulation.outbound import HEAD_START_US, MOST, Outbound

if TYPE_CHECKING:
    from granitewell.lab.simulation.client_traffic import ClientConnection
    from granitewell.lab.simulation.site import Site
    from granitewell.lab.simulation.world import World

EXIT_US = 20_000  # from the end of its loop to the end of its process; the last answers are out by then
MAX_LINES = MOST - MOST // 3  # of clients, as the loop's budget has it


class Node:
    """One process, from its start to its end: never started again, a restart makes a new one."""

    def __init__(self, world: World, spec: NodeDay, core: c.Core) -> None:
        self.name: str = spec.name
        self.zone: int = spec.zone
        self.core, self._spec = core, spec
        self._world, self._engine = world, world.engine
        self.alive: bool = True
        self.listening: bool = False  # clients can connect
        self.ready: bool = False
        self.hear: Callable[[bytes, bool, tuple[float, ...]], None] | None = None  # wants what probes bring
        self.notes: Counter[str] = Counter()
        self.connections: dict[int, ClientConnection] = {}  # the clients' open connections, by number
        self.kept: dict[int, deque[ClientConnection]] = {}  # by zone: the idle ones, the latest last
        self.out = Outbound(world, self)
        self._timer_us, self._timer = -1, 0
        self._cost_us = self._free_us = 0.0
        self._waiting: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self.limit_cpu(spec.cpu)
        self._run: dict[type, Callable[[Any], None]] = {
            c.StartCall: self.out.start, c.SendResponse: self._answer, c.WriteCall: self.out.go,
            c.AbandonCall: self.out.abandon, c.CloseIdle: self.out.close_idle, c.LogLine: self._note,
            c.StopListening: self._stop_listening, c.ExitProcess: self._leave,
            c.ReadyToServe: lambda _: None,
        }  # fmt: skip

    # --- CPU and stalls ---------------------------------------------------------------------------------
    def limit_cpu(self, cores: float) -> None:
        """The process gets so much of one core, or what its day gives it where that is less."""
        self._cost_us = self._spec.call_us / max(min(cores, self._spec.cpu), 1e-6)

    def stall(self, until_us: int) -> None:
        """The process stands still until then: what arrives waits."""
        self._free_us = max(self._free_us, float(until_us))

    def post(self, call: Callable[..., Any], *args: Any) -> None:
        """Something has arrived: the process comes to it at once, or once it is done with the rest."""
        if not self.alive:
            return
        if self._free_us <= self._engine.now_us and not self._waiting:
            call(*args)
            if self._cost_us:
                self._free_us = self._engine.now_us + self._cost_us
            return
        self._waiting.append((call, args))
        if len(self._waiting) == 1:
            self._engine.at(_ceil(self._free_us), self._next)

    def _next(self) -> None:
        waiting, now = self._waiting, self._engine.now_us
        while self.alive and waiting and self._free_us <= now:
            call, args = waiting[0]
            call(*args)
            self._free_us += self._cost_us
            if self.alive:
                waiting.popleft()
        if self.alive and waiting:
            self._engine.at(_ceil(self._free_us), self._next)

    # --- Events and effects -----------------------------------------------------------------------------
    def dispatch(self, event: c.Event) -> None:
        """Hand an event to the core and run what it asks for; calls begin after that, as in the loop."""
        core, run = self.core, self._run
        for effect in core.handle(self._engine.now_us + HEAD_START_US, event):
            run[type(effect)](effect)
        wake, timer = core.wake_us, self._timer_us
        if wake >= 0 and (timer < 0 or wake < timer) and self.alive:
            self._arm(wake)
        if self.out.begun:
            self.out.turn()

    def _arm(self, wake_us: int) -> None:
        self._timer_us = wake_us
        self._timer += 1
        wait = max(wake_us - HEAD_START_US - self._engine.now_us, 0)
        # the loop's timers count in milliseconds, rounded up
        self._engine.at(self._engine.now_us - -wait // 1000 * 1000, self._wake, self._timer)

    def _wake(self, timer: int) -> None:
        if timer == self._timer:
            self.post(self._woken)

    def _woken(self) -> None:
        self._timer_us = -1
        self.dispatch(c.TimerExpired())

    def _note(self, effect: c.LogLine) -> None:
        self.notes[effect.topic] += 1
        self._world.note(self.name, effect.topic, effect.line)

    # --- Life -------------------------------------------------------------------------------------------
    def listen(self) -> None:
        """The listener is open."""
        self.listening = True
        self.dispatch(c.Listening())
        self._look()

    def news(self, event: c.EndpointListUpdate) -> None:
        """Discovery has written something."""
        self.dispatch(event)
        self._look()

    def stop(self) -> None:
        """SIGTERM."""
        self.dispatch(c.StopRequested())

    def probe(self, site: Site) -> None:
        """The decider wants to hear of an endpoint: see probing."""
        self.out.probe(site)

    def probed(self, site: Site, ok: bool, report: tuple[float, ...]) -> None:
        """A probe has ended."""
        if self.hear is not None:
            self.hear(site.key, ok, report)

    def _look(self) -> None:
        if not self.ready and self.core.phase is c.Phase.READY:
            self.ready = True
            self._world.node_ready(self)

    def _leave(self, _: c.ExitProcess) -> None:
        self._engine.at(self._engine.now_us + EXIT_US, self._exit)

    def _exit(self) -> None:
        if self.alive:
            self._world.node_ends(self, True, 0)

    def end(self) -> None:
        """The process is gone; its machine resets what was open."""
        self.alive = self.listening = False
        self.out.end()
        self._waiting.clear()

    # --- Inbounds ---------------------------------------------------------------------------------------
    def admit(self, connection: ClientConnection) -> bool:
        """Take a client's new connection; False while there is no room for it."""
        while len(self.connections) >= MAX_LINES or len(self.connections) + len(self.out.conns) >= MOST:
            if not self.evict():
                return False
        self.connections[connection.id] = connection
        return True

    def evict(self) -> bool:
        """Close the client's connection that has been idle longest, or an idle one to an endpoint."""
        oldest = [connections for connections in self.kept.values() if connections]
        if oldest:
            self.drop(min(oldest, key=lambda x: (x[0].idle_us, x[0].id)).popleft())
            return True
        return len(self.connections) < MAX_LINES and self.out.shed()

    def drop(self, connection: ClientConnection) -> None:
        """Close a client's connection."""
        connection.open = False
        self.connections.pop(connection.id, None)

    def arrived(self, connection: ClientConnection, ask: Ask) -> None:
        """A whole request has been read."""
        if connection.id not in self.connections:
            return  # its client has left in the meantime
        self.dispatch(c.RequestReceived(
            connection.id, ask.cls, self._world.tenants[ask.tenant], ask.key, ask.timeout_us // 1000 * 1000,
            ask, ask.retry, ask.rid.encode(),
        ))  # fmt: skip

    def client_gone(self, connection: ClientConnection) -> None:
        """The client has closed."""
        if self.connections.pop(connection.id, None) is not None:
            self.dispatch(c.DownstreamClosed(connection.id))

    def _answer(self, effect: c.SendResponse) -> None:
        connection = self.connections.get(effect.downstream_id)
        if connection is None:
            return  # the client has left
        close = effect.close or not self.listening
        if close:
            self.drop(connection)
        self._world.client_traffic.answer(connection, effect, close)

    def _stop_listening(self, _: c.StopListening) -> None:
        self.listening = False
        for connection in list(self.connections.values()):
            if not connection.read:  # a request on its way to it is sent once more elsewhere
                self.drop(connection)
        self.kept.clear()


def _ceil(us: float) -> int:
    return -int(-us // 1)
