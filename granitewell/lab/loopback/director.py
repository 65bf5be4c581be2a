"""The director of one run on sockets: starts every process, sets the one clock, plays the day, ends it all.

It owns the run from its first process to its last, the place of discovery (whose agents stand in its own
loop), and what is written down of processes and of what discovery has told. It must never judge, and never
leave anything running: `run` ends every process that it has started, however it is left.

    hosts bound ─▶ agents ─▶ nodes started ─▶ all ready ─▶ the clock begins ─▶ faults, load ─▶ over ─▶ ended
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from granitewell.lab import day_json
from granitewell.lab.day import Day
from granitewell.lab.emulator import types as t
from granitewell.lab.loopback.children import Child, Children
from granitewell.lab.loopback.clock import Agenda, DayClock
from granitewell.lab.loopback.discovery_host import DiscoveryHost
from granitewell.lab.loopback.fleet import Fleet
from granitewell.lab.loopback.node_hosts import PROGRAM, NodeHost, environment
from granitewell.lab.loopback.plan import NodePlace, Plan, Range, SocksError, node_places, share_out
from granitewell.lab.loopback.pulse import WINDOW_S, Pulse
from granitewell.lab.loopback.ready import until_ready
from granitewell.lab.loopback.troubles import Troubles
from granitewell.lab.platform import node_config
from granitewell.lab.recording import Recorder

BIND_S = 20.0  # for stand-ins to come up
READY_S = 30.0  # for all nodes to be ready, as on the platform
LEAD_S = 0.05  # between the word to begin and the clock's zero, so that all processes have it by then
GRACE_US = 5_000_000  # past the last deadlines, when a day ends whatever is still owed
QUIET_S = 0.5  # after the last answer, for what endpoints still work on
BACKLOG = 1024  # of a node's listener that the platform holds
LEAVE_S = 2.0  # for a node without requests to leave
STEP_S = 0.02
ENDPOINTS_EACH = 16  # endpoints that one process hosts


class Beside(Protocol):
    """What else stands beside a day: other stand-ins, and what the nodes are told of them."""

    async def up(self, director: Director) -> None:
        """Before the first node starts."""

    def env(self, name: str) -> Mapping[str, str]:
        """What the node's next process finds in its environment."""

    def shared(self, name: str) -> bool:
        """Whether the platform holds the node's listener."""

    def config(self, config: dict[str, Any]) -> dict[str, Any]:
        """What the platform says to a node, changed where the run says so."""

    def begin(self, zero_ns: int) -> None:
        """The day's clock begins."""

    async def over(self) -> None:
        """The day is over, and the nodes still run."""

    def down(self) -> None:
        """The run is over, however it ends."""


@dataclass(frozen=True, slots=True)
class Options:
    """How a run differs from the usual.

    Attributes:
        program: What is started for a node.
        clients: Whether the day's load is played.
        port: Of all nodes, 0 for any that is free.
        base: The second number of all addresses.
        rough: Part of the right answers that come oddly.
        rude: Clients that break the protocol.
        watch: Told the day's time now and then.
        beside: What else stands there.
    """

    program: tuple[str, ...] = PROGRAM
    clients: bool = True
    port: int = 0
    base: int | None = None
    rough: float = 0.0
    rude: int = 0
    watch: Callable[[int], None] | None = None
    beside: Beside | None = None


class Director:
    """One run. All times of the day are of one clock, whose zero every process is told."""

    def __init__(self, day: Day, out: Path, options: Options) -> None:
        """Nothing is started yet. SocksError: the day's faults can't be played, or an address is taken."""
        self.day, self.out, self._options = day, out, options
        self.children = Children()
        self.agenda = Agenda(DayClock(), asyncio.get_running_loop())
        self.node_hosts: dict[str, NodeHost] = {}
        self.fleet = Fleet(day, lambda event: self.discovery_host.take(event))
        self.discovery_host = DiscoveryHost(day, self.agenda, self.fleet.address, self._told)
        self.notes: Counter[str] = Counter()
        self.late_us: dict[str, tuple[int, int]] = {}
        self._troubles = Troubles(self)
        self._trouble = ""  # why the run can't go on
        self._range = Range(options.base)
        try:
            self._plan = self._make_plan()
            self.witness = Recorder(out / "seen-director.jsonl")
        except BaseException:
            self._range.close()
            raise
        self._listeners: list[socket.socket] = []
        self._jobs: set[asyncio.Task[None]] = set()
        self._hosts: list[Child] = []
        self._clients: Child | None = None
        self._ready: set[str] = set()
        self._over = False
        self.pulse, self._felt_s = Pulse(), time.monotonic()
        self._ending = False

    def _make_plan(self) -> Plan:
        places = node_places(self.day, self._range.base, self._options.port)
        # what a node calls the values of a load report stands in its settings
        settings = node_config(self.day, self.day.nodes[0].name, "127.0.0.1:1", "127.0.0.1:1", {})["settings"]
        fields = tuple(settings["stats"]["fields"]) if self.day.report.fields else ()
        (self.out / "day.json").write_text(day_json.dump(self.day))
        plan = Plan(str(self.out), self._range.base, places, fields, self._options.rough, self._options.rude)
        plan.save()
        return plan

    # --- The run ------------------------------------------------------------------------------------------
    async def run(self, until: Callable[[Director], Awaitable[None]] | None = None) -> None:
        """Play the day, or with `until` have everything stand until that is done.

        SocksError: the machine does not give what is needed, or a process of the lab has failed.
        """
        try:
            await self._stand_up()
            self._begin()
            if until is None:
                await self._play()
            else:
                await self._either(until(self))
            await self._wind_up()
        finally:
            self._tear_down()

    async def _stand_up(self) -> None:
        await self._start_hosts()
        beside = self._options.beside
        if beside is not None:
            await beside.up(self)
        for k, place in enumerate(self._plan.nodes):
            agent = self.discovery_host.open(place.name, self._plan.agent_host(k))
            self.node_hosts[place.name] = NodeHost(
                self.day, place, agent, self.agenda, self.children, self.out, self.witness, self._of_node,
                self._options.program, beside, self._held(place),
            )  # fmt: skip
        if self._options.clients:
            self._clients = self._stand_in("clients", "clients_host")
        for node_host in self.node_hosts.values():
            node_host.start()
        await self._wait(READY_S, lambda: len(self._ready) == len(self.node_hosts), self._not_ready)

    def _held(self, place: NodePlace) -> socket.socket | None:
        """The node's listener, where the platform holds it."""
        beside = self._options.beside
        if beside is None or not beside.shared(place.name):
            return None
        listener = socket.create_server((place.host, place.port), backlog=BACKLOG)
        self._listeners.append(listener)
        return listener

    async def _start_hosts(self) -> None:
        parts = min(max(1, -(-len(self.day.endpoints) // ENDPOINTS_EACH)), max(1, (os.cpu_count() or 2) // 2))
        bound = 0
        for part, places in enumerate(share_out(self.day, parts)):
            hosted = [self.day.endpoints[k] for k in places]

            def news(words: dict[str, Any], part: int = part, hosted: Any = hosted) -> None:
                nonlocal bound
                if "bound" in words:
                    self.fleet.bound(self._hosts[part], words["bound"], hosted)
                    bound += 1
                elif "fell" in words:
                    self.fleet.fell(words["fell"])

            args = (f"endpoints-{part}", "endpoint_host", str(part), str(parts))
            self._hosts.append(self._stand_in(*args, news=news))
        await self._wait(BIND_S, lambda: bound == parts, lambda: "the endpoints' processes did not come up")

    def _stand_in(self, name: str, module: str, *args: str, news: Callable[..., None] | None = None) -> Child:
        """Start a process of the run's usual ones."""
        return self.stand_in(name, f"granitewell.lab.loopback.{module}", *args, news=news)

    def stand_in(self, name: str, module: str, *args: str, news: Callable[..., None] | None = None) -> Child:
        """Start a process of the lab's own, which is told the plan's file and these words."""

        def hear(words: dict[str, Any]) -> None:
            if "trouble" in words:
                self._trouble = self._trouble or f"{name}: {words['trouble']}"
            elif "notes" in words:
                self.notes.update(words["notes"])
                self.late_us[name] = tuple(words["late_us"])
            elif "ready" in words:
                self._is_ready(words["ready"])
            elif "over" in words:
                self._over = True
            elif news is not None:
                news(words)

        def ended(code: int) -> None:
            if not self._ending or code != 0:
                self._trouble = self._trouble or f"{name} ended with code {code}: {child.last_lines()}"

        plan = str(self.out / "plan.json")
        command = [sys.executable, "-m", module, plan, *args]
        child = self.children.start(name, command, environment(), self.out / f"{name}.log", ended, hear)
        return child

    def _begin(self) -> None:
        """The day's clock starts, in all processes alike."""
        zero_ns = time.monotonic_ns() + int(LEAD_S * 1e9)
        for child in self._stand_ins():
            child.tell(begin_ns=zero_ns)
        self.agenda.begin(zero_ns)
        if self._options.beside is not None:
            self._options.beside.begin(zero_ns)
        for endpoint in self.day.endpoints:
            if endpoint.started_us > 0:
                self.agenda.at(endpoint.started_us, self.fleet.start, endpoint.id, endpoint.started_us)
        self._troubles.plan()

    async def _play(self) -> None:
        """Until all is answered, but not for ever."""
        longest = self.day.length_us + 2 * max(c.deadline_us for c in self.day.classes) + GRACE_US
        while not self._over and self.agenda.clock.now() < longest:
            self._look()
            if self._options.watch is not None:
                self._options.watch(self.agenda.clock.now())
            self._feel()
            await asyncio.sleep(STEP_S)
        if not self._over:
            self.notes["clients were still waiting at the end"] += 1
        await asyncio.sleep(QUIET_S)

    async def _wind_up(self) -> None:
        """The day is over: the nodes are asked to leave, and what was seen is written."""
        if self._options.beside is not None:
            await self._options.beside.over()
        self._ending = True
        leaving = [s for s in self.node_hosts.values() if s.process is not None]
        for node_host in leaving:
            node_host.release()
            node_host.stop()
        until = time.monotonic() + LEAVE_S
        while any(s.process is not None for s in leaving) and time.monotonic() < until:
            await asyncio.sleep(STEP_S)
        for node_host in leaving:
            if node_host.process is not None:
                self.notes[f"node {node_host.name} did not leave when it was asked to"] += 1
        await self.children.end(*self._stand_ins())
        self._look()

    def fail(self, error: BaseException) -> None:
        """Something in the director's own loop has failed."""
        self._trouble = self._trouble or f"{type(error).__name__}: {error}"

    def _tear_down(self) -> None:
        self._ending = True
        if self._options.beside is not None:
            self._options.beside.down()
        self.children.reap()
        for job in list(self._jobs):
            job.cancel()
        for listener in self._listeners:
            listener.close()
        for node_host in self.node_hosts.values():
            node_host.close()
        self.discovery_host.close()
        self.agenda.close()
        self._range.close()
        self.witness.close()

    def _feel(self) -> None:
        """Look now and then whether the machine gives all processes what they need."""
        passed = time.monotonic() - self._felt_s
        if passed >= WINDOW_S:
            self._felt_s += passed
            pids = {c.name: c.pid for c in self._stand_ins()}
            pids |= {
                f"node {s.name}": s.process.pid for s in self.node_hosts.values() if s.process is not None
            }
            self.pulse.sample(pids | {"director": os.getpid()}, passed)

    @property
    def base(self) -> int:
        """The second number of all addresses of the run."""
        return self._range.base

    @property
    def program(self) -> tuple[str, ...]:
        """What is started for a node."""
        return self._options.program

    def task(self, job: Coroutine[Any, Any, None]) -> None:
        """Have something done beside the run; its failure is the run's."""
        task = asyncio.get_running_loop().create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._job_done)

    def _job_done(self, task: asyncio.Task[None]) -> None:
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(task.exception() or RuntimeError())

    # --- Waiting ------------------------------------------------------------------------------------------
    def look(self) -> None:
        """SocksError where the run can't go on."""
        self._look()

    def _look(self) -> None:
        """Can the run go on?"""
        if self._trouble:
            raise SocksError(self._trouble)

    async def _wait(self, seconds: float, done: Callable[[], bool], why: Callable[[], str]) -> None:
        until = time.monotonic() + seconds
        while not done():
            self._look()
            for node_host in self.node_hosts.values():
                if node_host.exits:
                    how = f"ended with code {node_host.exits[0]} before it was ready"
                    raise SocksError(f"node {node_host.name} {how}: {_last_lines(node_host.log)}")
            if time.monotonic() > until:
                raise SocksError(why())
            await asyncio.sleep(STEP_S)

    async def _either(self, end: Awaitable[None]) -> None:
        """Until that is done, or the run can't go on."""
        task = asyncio.ensure_future(end)
        try:
            while not task.done():
                self._look()
                await asyncio.sleep(STEP_S)
            await task
        finally:
            task.cancel()

    def _not_ready(self) -> str:
        late = [s for s in self.node_hosts.values() if s.name not in self._ready]
        return f"node {late[0].name} was not ready within {READY_S:.0f} s: {_last_lines(late[0].log)}"

    # --- Nodes and the front ------------------------------------------------------------------------------
    def _of_node(self, do: str, name: str) -> None:
        """A node's process starts, stops or has ended."""
        if self._clients is not None:
            self._clients.tell(do=do, name=name)
        elif do == "node_up":
            place = next(p for p in self._plan.nodes if p.name == name)
            task = asyncio.get_running_loop().create_task(until_ready(place))
            task.add_done_callback(lambda x: None if x.cancelled() else self._is_ready(name))
        if do == "node_up":
            self.discovery_host.take(t.NodeBegins(name))

    def _told(self, node: str, endpoint: str, state: str) -> None:
        """Discovery has written this to the node, if there is one."""
        if self.node_hosts[node].process is not None:
            self.witness.told(self.agenda.clock.now(), node, endpoint, state)

    def _is_ready(self, name: str) -> None:
        self._ready.add(name)
        self.node_hosts[name].ready = True

    def _stand_ins(self) -> list[Child]:
        return [*self._hosts, *([self._clients] if self._clients is not None else [])]

    def addresses(self) -> dict[str, Any]:
        """Where everything stands, for whoever wants to use it."""
        nodes = [
            {"name": s.name, "zone": self.day.zones[s.spec.zone], "address": f"{s.place.host}:{s.place.port}",
             "discovery": "%s:%d" % s.agent.address, "pid": s.process.pid if s.process is not None else 0,
             "log": str(s.log)}
            for s in self.node_hosts.values()
        ]  # fmt: skip
        endpoints = [
            {"id": e.id, "zone": self.day.zones[e.zone], "kind": self.day.kinds[e.kind].name,
             "addresses": {n: "%s:%d" % self.fleet.address(e.id, n) for n in self.node_hosts}}
            for e in self.day.endpoints
        ]  # fmt: skip
        return {"nodes": nodes, "endpoints": endpoints, "out": str(self.out)}

    def tell_hosts(self, **words: Any) -> None:
        """An order to all processes that host endpoints."""
        for host in self._hosts:
            host.tell(**words)

    def tell_all(self, **words: Any) -> None:
        """An order to all stand-ins."""
        for child in self._stand_ins():
            child.tell(**words)


def _last_lines(log: Path) -> str:
    try:
        lines = [x.strip() for x in log.read_text(errors="replace").splitlines() if x.strip()]
    except OSError:
        return "it wrote nothing"
    return " | ".join(lines[-3:]) or "it wrote nothing"
