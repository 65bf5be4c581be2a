"""Simulation of control nodes, edges and operators, with partitions, suspensions and kills.

Replica groups with their log and codec, the operator API, the publisher and the edge's watch are the real
ones. Each process has its own event loop and its own monotonic clock, which drifts. Sockets, disks and time
are simulated. The invariants are in `cut_off_invariants.py`.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson
from aiohttp import web
from multidict import CIMultiDict

from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import ChangeResult, ConfigurationStore, Outcome
from granitewell.controlplane.publication.publisher import EdgeCounter, Publisher
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import NodeIdentity, first_replica_id
from granitewell.domain.configuration import Configuration
from granitewell.domain.errors import PeerUnreachableError, RpcError, RpcTimeoutError
from granitewell.domain.servers import Server
from granitewell.domain.settings import Settings
from granitewell.nodes.control_watch import ControlWatch
from granitewell.rpc.messages import WatchRequest, decode, encode
from granitewell.rpc.transport import Method
from tests.coordination.simulated_files import SimulatedFiles
from tests.coordination.virtual_loop import LoopExecutor
from tests.nodes.cut_off_invariants import MAX_DRIFT, Invariants
from tests.nodes.stepped_loop import SteppedLoop

ROUNDING_S = 1e-9  # delay of timers; without it, rounding could keep a timer from ever firing
RPC_PORT = 7660
CONTROL_PORT = 8146
RESET_S = 1.5  # held-back bytes are lost after it, like by TCP_USER_TIMEOUT of rpc/transport.py
LATENCY_S = (0.0005, 0.003)
DISK_S = 0.002


class Process:
    """A process with an event loop on its machine's clock, and a host in the network."""

    def __init__(self, world: World, host: str) -> None:
        self.world = world
        self.host = host
        self.rate = 1.0 + world.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self._offset = world.rng.uniform(0.0, 1000.0)
        self.frozen = False
        self.running = False
        self._outbox: list[Callable[[], None]] = []
        self._timers_first = False
        self.due_at = math.inf
        self._failure: Exception | None = None
        self._works: list[Coroutine[Any, Any, None]] = []
        self.loop = SteppedLoop(self.clock)

    def clock(self) -> float:
        """Return the monotonic clock, which also runs while the process is suspended."""
        return self._offset + self.world.now * self.rate

    def look(self) -> None:
        """Update the time at which the process has something to do."""
        at = math.inf if self.frozen or not self.running else self.loop.wake_at()
        self.due_at = (at - self._offset) / self.rate + ROUNDING_S

    def step(self) -> None:
        """Run what is due."""
        self.loop.step(timers_first=self._timers_first)
        self._timers_first = False
        if self._failure is not None:
            raise self._failure
        if self.loop.failures:
            raise AssertionError(f"{self.host}: {self.loop.failures[0]}")
        self.look()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine here."""
        self._works.append(work)
        self.loop.create_task(self._guarded(work))
        self.look()

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        """Await a coroutine; its failure fails the scenario."""
        try:
            await work
        except Exception as error:
            self._failure = error
        finally:
            self._works.remove(work)

    def call(self, work: Callable[[], None]) -> None:
        """Schedule a callback; it waits while the process is suspended."""
        if self.running:
            self.loop.call_soon(work)
            self.look()

    def leave(self, work: Callable[[], None]) -> None:
        """Send bytes, or queue them while the process is suspended."""
        if self.frozen:
            self._outbox.append(work)
        else:
            work()

    def freeze(self) -> None:
        """Suspend the process between two callbacks."""
        self.frozen = True
        self.look()

    def thaw(self) -> None:
        """Resume the process."""
        if not self.frozen:
            return
        self.frozen = False
        self.look()
        self._timers_first = self.world.rng.random() < 0.5
        outbox, self._outbox = self._outbox, []
        for work in outbox:
            work()

    def begin(self) -> None:
        """Start the process."""
        self.loop = SteppedLoop(self.clock)
        self.running = True

    def end(self) -> None:
        """Kill the process."""
        self.running = self.frozen = False
        self._outbox.clear()
        self.loop.forget()
        for work in self._works:
            work.close()
        self._works.clear()
        self.look()


@dataclass
class Link:
    """One direction between two hosts."""

    cut: bool = False
    slow_s: float = 0.0
    free_at: float = 0.0  # keeps bytes in order
    held: list[tuple[float, Callable[[], None]]] = field(default_factory=list)


class TracedStore(ConfigurationStore):
    """Store that reports committed changes to the invariants."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world

    def apply(self, index: int, data: bytes) -> ChangeResult:
        """Apply an entry, and report an accepted change."""
        result = super().apply(index, data)
        if result.outcome is Outcome.ACCEPTED:
            self._world.invariants.taken(index, self.version, self.document())
        return result


@dataclass
class FakeRequest:
    """The parts of a request that the API's handlers use."""

    method: str
    body: bytes = b""
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    path_qs: str = "/config"

    @property
    def content_length(self) -> int:
        """Length of the body."""
        return len(self.body)

    @property
    def content(self) -> FakeRequest:
        """The stream of the body."""
        return self

    async def iter_any(self) -> Any:
        """Yield the body in two parts."""
        half = len(self.body) // 2
        yield self.body[:half]
        await asyncio.sleep(0)
        yield self.body[half:]


class ControlProcess(Process):
    """A control node."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"10.0.0.{number}")
        self.address = f"{self.host}:{RPC_PORT}"
        self.files = SimulatedFiles(world.rng)
        self.cut_off_since = math.inf
        self._executor: LoopExecutor | None = None
        self.publisher: Publisher

    def begin(self) -> None:
        """Start the process with the state on its disk."""
        super().begin()
        world = self.world
        self._executor = LoopExecutor(self.loop)
        self._executor.delay_s = DISK_S
        self.store = TracedStore(world)
        self.group = ReplicatedGroup(
            name="configuration",
            directory=Path("/data/configuration"),
            identity=NodeIdentity(f"core-{self.host}", self.address, first_replica_id(self.address)),
            bootstrap=True,
            seeds=world.seeds,
            target_voters=len(world.seeds),
            machine=self.store,
            send=self._send_to_group,
            rng=world.rng,
            clock=self.clock,
            on_change=self._group_changed,
            executor=self._executor,
            files=self.files,
        )
        self.edges = EdgeCounter()
        self.publisher = Publisher(
            self.store,
            self.tables(),
            lambda: world.seeds,
            self.group.read_staleness_s,
            self.edges,
            self.clock,
        )
        self.api = OperatorApi(
            self.store,
            self.group,
            lambda internal: f"{internal.partition(':')[0]}:{CONTROL_PORT}",
            self.clock,
            own_address=f"{self.host}:{CONTROL_PORT}",
        )
        self.spawn(self.group.start())

    def _group_changed(self) -> None:
        self.publisher.changed()

    def tables(self) -> dict[int, ServerTable]:
        """Return no tables."""
        return {}

    def end(self) -> None:
        """Kill the process; its disk is kept."""
        super().end()
        if self._executor is not None:
            self._executor.dead = True
        self.files.restart(power=False)

    def _send_to_group(self, address: str, group: str, payload: bytes) -> None:
        target = self.world.control_at(address.partition(":")[0])

        def arrive() -> None:
            if target.group_runs():
                target.group.receive(self.address, payload)

        self.leave(lambda: self.world.send(self, target, arrive))

    def group_runs(self) -> bool:
        """Return whether the group can receive messages."""
        return self.running

    # Watches

    async def answer_watch(self, edge: EdgeProcess, payload: bytes, answered: Callable[[Any], None]) -> None:
        """Answer a long-poll."""
        reply: bytes | RpcError
        request = decode(WatchRequest, payload)
        try:
            reply = encode(await self.publisher.watch(request))
        except Exception as error:  # as rpc/transport.py
            reply = RpcError(f"{type(error).__name__}: {error}")
        else:
            version = max(self.store.version, request.configuration_version)
            self.world.invariants.published(self.host, version, self.rate)
        self.world.maybe_freeze_in_step(self)
        self.leave(lambda: self.world.send(self, edge, lambda: answered(reply)))

    # Operators

    async def answer_operator(
        self, operator: Process, request: FakeRequest, sent_at: float, answered: Callable[[Any], None]
    ) -> None:
        """Answer an operator's request."""
        handler = {"GET": self.api.get, "PUT": self.api.put}[request.method]
        response = await handler(request)  # type: ignore[arg-type]
        self.world.invariants.answered(self, request, response, sent_at)
        self.world.maybe_freeze_in_step(self)
        confirmed = request.method == "PUT" and response.status == 200

        def depart() -> None:
            if confirmed:
                self.world.confirmed(request.body)
            self.world.send(self, operator, lambda: answered(response))

        self.leave(depart)


class SimulatedPeers:
    """RpcPeers of an edge over the simulated network."""

    def __init__(self, edge: EdgeProcess, host: str = "") -> None:
        self._edge = edge
        self._host = host

    def __getitem__(self, address: str) -> SimulatedPeers:
        """Return the client of a control node."""
        return SimulatedPeers(self._edge, address.partition(":")[0])

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        """Make a call; return its reply."""
        edge, world = self._edge, self._edge.world
        target = world.control_at(self._host)
        future: asyncio.Future[bytes] = edge.loop.create_future()

        def answered(reply: Any) -> None:
            if future.done():
                return
            if isinstance(reply, Exception):
                future.set_exception(reply)
            else:
                future.set_result(reply)

        def arrive() -> None:
            target.spawn(target.answer_watch(edge, payload, answered))

        def refused() -> None:
            edge.call(lambda: answered(PeerUnreachableError(self._host)))

        edge.leave(lambda: world.send(edge, target, arrive, refused))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise RpcTimeoutError(self._host) from error


class Plane:
    """Stand-in for the data plane: keeps the version of the configuration."""

    def __init__(self, world: World, edge: EdgeProcess) -> None:
        self.version = 0
        self._world = world
        self._edge = edge

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self._world.invariants.in_force(self._edge.host, self.version, configuration.version)
        self.version = configuration.version

    def apply_servers(self, changed: Sequence[Server], removed: Sequence[str]) -> None:
        """Ignore servers."""

    def set_edges(self, alive: int, most: int) -> None:
        """Ignore the number of edges."""


class CheckedWatch(ControlWatch):
    """Watch that checks the edge's version after each accepted reply."""

    edge: EdgeProcess

    def _apply_reply(self, reply: Any) -> None:
        super()._apply_reply(reply)
        reply_timeout_s = self._hold_s + self.edge.world.reply_slack_s
        self.edge.world.invariants.took(self.edge.host, self._view.version, reply_timeout_s, self.edge.rate)


class EdgeProcess(Process):
    """An edge: its watch, and a plane that keeps the version in force."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"10.0.1.{number}")

    def begin(self) -> None:
        """Start the process without a configuration."""
        super().begin()
        self.plane = Plane(self.world, self)
        settings = Settings.from_dict(self.world.edge_settings(self.host))
        self.watch = CheckedWatch(settings, self.plane, self.clock)  # type: ignore[arg-type]
        self.watch.edge = self
        self.watch.peers = SimulatedPeers(self)  # type: ignore[assignment]
        self.spawn(self.watch.run())


class World:
    """Hosts, links and time; deterministic by seed."""

    reply_slack_s = 0.4

    def __init__(self, seed: int, controls: int = 3, edges: int = 3, operators: int = 2) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.invariants = Invariants(self)
        self.links: dict[tuple[str, str], Link] = {}
        self.freezes_in_step = 0.0
        self.config_apply_ms = 2_000
        self.contact_s = 3.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.seeds = tuple(f"10.0.0.{number}:{RPC_PORT}" for number in range(1, controls + 1))
        self.controls = [ControlProcess(self, number) for number in range(1, controls + 1)]
        self.edges = [EdgeProcess(self, number) for number in range(1, edges + 1)]
        self.operators = [Operator(self, number) for number in range(1, operators + 1)]
        self.processes: list[Process] = [*self.controls, *self.edges, *self.operators]
        self._by_host = {control.host: control for control in self.controls}
        self.calm_since = 0.0
        self.calm = True

    def edge_settings(self, host: str) -> dict[str, Any]:
        """Return the settings of an edge."""
        return {
            "node-name": f"edge-{host}",
            "ip": host,
            "zone": "z",
            "region": "r",
            "listen": {},
            "internal-ports": [RPC_PORT, RPC_PORT + 15],
            "seeds": [f"{control.host}:{CONTROL_PORT}" for control in self.controls],
            "cloud": {"address": "10.0.0.200:80"},
            "bounds": {"config-apply-ms": self.config_apply_ms},
        }

    def control_at(self, host: str) -> ControlProcess:
        """Return the control node at a host."""
        return self._by_host[host]

    # Time

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something later."""
        self.at(self.now + delay_s, call)

    def run_until(self, end: float) -> None:
        """Run events until a time, one callback of one process at a time."""
        while True:
            process = min(self.processes, key=_due_at)
            due = process.due_at
            event = self._events[0][0] if self._events else math.inf
            if min(due, event) > end:
                break
            if event <= due:
                self.now, _, call = heapq.heappop(self._events)
                call()
            else:
                self.now = max(due, self.now)
                process.step()
        self.now = end

    # The network

    def link(self, sender: str, receiver: str) -> Link:
        """One direction between two hosts."""
        return self.links.setdefault((sender, receiver), Link())

    def send(
        self,
        sender: Process,
        receiver: Process,
        arrive: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Deliver bytes to a host, in order; a partition holds them back, and drops them after RESET_S."""
        link = self.link(sender.host, receiver.host)
        incarnation = receiver.loop

        def deliver() -> None:
            if receiver.running and receiver.loop is incarnation:
                receiver.call(arrive)
            elif refused is not None:
                refused()

        if link.cut:
            link.held.append((self.now, deliver))
            return
        delay_s = self.rng.uniform(*LATENCY_S) + self.rng.random() * link.slow_s
        link.free_at = max(link.free_at, self.now + delay_s)
        self.at(link.free_at, deliver)

    def cut(self, sender: str, receiver: str) -> None:
        """Cut a link in one direction."""
        self.link(sender, receiver).cut = True

    def heal(self) -> None:
        """Heal all links."""
        for link in self.links.values():
            link.cut, link.slow_s = False, 0.0
            held, link.held = link.held, []
            for sent_at, deliver in held:
                if self.now - sent_at < RESET_S:
                    self.after(self.rng.uniform(*LATENCY_S), deliver)
        for control in self.controls:
            control.cut_off_since = math.inf

    # Faults

    def disturb(self) -> None:
        """Record a fault: edges count as in contact again only after contact-ms."""
        self.calm_since = self.now

    def maybe_freeze_in_step(self, process: Process) -> None:
        """Suspend a process at random between a check and the send that depends on it."""
        if self.rng.random() < self.freezes_in_step:
            self.freeze(process, self.rng.uniform(0.05, 4.0))

    def freeze(self, process: Process, seconds: float) -> None:
        """Suspend a process for some seconds."""
        if process.frozen or not process.running:
            return
        self.disturb()
        process.freeze()

        def thaw() -> None:
            self.disturb()
            process.thaw()

        self.after(seconds, thaw)

    # Acknowledgements

    def confirmed(self, body: bytes) -> None:
        """Record an acknowledgement that a control node sends."""
        version = orjson.loads(body)["version"]
        self.invariants.confirmed(version, body)
        at = self.now
        due = at + self.config_apply_ms / 1000.0 * (1 + MAX_DRIFT)
        self.at(due, lambda: self._check_edges(version, at))

    def _check_edges(self, version: int, confirmed_at: float) -> None:
        """Check that edges in contact all the time have applied the version."""
        if not self.calm or self.calm_since > confirmed_at - self.contact_s:
            return
        for edge in self.edges:
            if edge.running and not edge.frozen:
                self.invariants.in_touch(edge.host, edge.plane.version, version)


def _due_at(process: Process) -> float:
    return process.due_at


@dataclass
class Change:
    """A change that an operator sends until it has a definite outcome."""

    base: int
    body: bytes


class Operator(Process):
    """Sends changes and reads them back, at varying control nodes."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world, f"10.0.2.{number}")
        self._number = number
        self._orders = 0
        self.known = 0
        self.pause_s = 0.3
        self.stopped = False

    def begin(self) -> None:
        """Start."""
        super().begin()
        self.spawn(self._work())

    async def _work(self) -> None:
        rng = self.world.rng
        while not self.stopped:
            if rng.random() < 0.4:
                await self.read()
            else:
                await self._change()
            await asyncio.sleep(self.pause_s * rng.uniform(0.2, 2.0))

    async def read(self) -> int | None:
        """Return the current version according to a control node."""
        status, body = await self._ask(FakeRequest("GET"))
        if status == 200:
            self.known = orjson.loads(body)["version"]
            return self.known
        return None

    async def _change(self) -> None:
        rng = self.world.rng
        self._orders += 1
        version = self.known + rng.choice((1, 1, 2, 5))
        limits = {"idle-timeout-ms": 10_000 + self._number + 10 * self._orders}
        document = {"version": version, "routes": [], "services": [], "limits": limits}
        body, base = orjson.dumps(document), self.known
        for _ in range(rng.randrange(1, 8)):
            request = FakeRequest("PUT", body, CIMultiDict({"If-Match": str(base)}))
            status, answer = await self._ask(request)
            if status == 200:
                self.known = max(self.known, version)
                if rng.random() < 0.2:
                    continue  # sent again, as after a lost answer
                return
            if status == 412:
                self.known = max(self.known, orjson.loads(answer)["version"])
                return
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def _ask(self, request: FakeRequest) -> tuple[int, bytes]:
        """Return status and body of one control node, after redirects; status 0 without an answer in 1 s."""
        target = self.world.rng.choice(self.world.controls)
        status, body = 0, b""
        for _ in range(3):
            answer = await self._ask_at(target, request)
            if answer is None:
                return 0, b""
            status, body = answer.status, bytes(answer.body)  # type: ignore[arg-type]
            if status != 307:
                break
            host = answer.headers["Location"].removeprefix("http://").partition(":")[0]
            target = self.world.control_at(host)
        return status, body

    async def _ask_at(self, target: ControlProcess, request: FakeRequest) -> web.Response | None:
        future: asyncio.Future[web.Response | None] = self.loop.create_future()
        sent_at = self.world.now

        def answered(response: Any) -> None:
            if not future.done():
                future.set_result(response)

        def arrive() -> None:
            target.spawn(target.answer_operator(self, request, sent_at, answered))

        self.world.send(self, target, arrive, lambda: self.call(lambda: answered(None)))
        try:
            async with asyncio.timeout(1.0):
                return await future
        except TimeoutError:
            return None
