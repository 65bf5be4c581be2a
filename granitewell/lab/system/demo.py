"""The scene of the demo: what is done, in order, and what was seen."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from granitewell.lab.system.callers import Client, Operator
from granitewell.lab.system.processes import ZONE, Cluster, NodeProcess, free_ports
from granitewell.lab.system.standins import SLOTS, ModelServer, Platform

HOST = "dispatch.example"
SERVICE = "writers"
HELD_MODEL, ABSENT_MODEL = "harbour", "meadow"
STANDIN_IP = "127.0.0.31"
SERVERS = 4
LOAD_TIME_S = 0.3
BACKGROUND_PAUSE_S = 0.05  # between two requests of the steady traffic on an edge
SERVED_AFTER_KILL = 20  # requests on each edge that show that traffic goes on


@dataclass
class Seen:
    """What the scene has seen. Times in milliseconds from the moment in which something was asked for."""

    leader: str = ""
    acknowledged_ms: float = 0.0
    in_force_ms: float = 0.0
    changed_ms: float = 0.0
    change_in_force_ms: float = 0.0
    loaded_ms: float = 0.0
    killed: str = ""
    next_leader: str = ""
    acknowledged_after_kill_ms: float = 0.0
    in_force_after_kill_ms: float = 0.0
    configuration: dict[str, Any] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    served_after_kill: Counter[str] = field(default_factory=Counter)
    turned_away: int = 0
    faults: list[str] = field(default_factory=list)
    loaded_by: list[str] = field(default_factory=list)
    ran_twice: list[str] = field(default_factory=list)
    exit_codes: dict[str, int | None] = field(default_factory=dict)


def _route(name: str, prefix: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "streaming",
        "timeout-ms": 6_000,
        "target-ms": 1_000,
        "service": SERVICE,
        "max-attempts": 3,
        "sticky": True,
        "gap_target_ms": 400,
    }


def first_configuration() -> dict[str, Any]:
    """Two routes to one service, whose servers run two models."""
    models = [
        {"name": name, "weights-mb": 10_000.0, "load-time-s": LOAD_TIME_S, "adapters": 0, "adapter-mb": 0.0}
        for name in (HELD_MODEL, ABSENT_MODEL)
    ]
    engine = {"slots": SLOTS, "models": models, "weights-mb": 30_000.0, "max-adapters": 4, "loads-per-s": 5.0}
    engine["kv-capacity"] = 100_000
    service = {"name": SERVICE, "health-path": "/healthz", "max-connections": 100, "engine": engine}
    routes = [_route("chat", "/chat/"), _route("drafts", "/drafts/")]
    return {"version": 1, "routes": routes, "services": [service]}


def moved_route() -> dict[str, Any]:
    """The patch before the kill: one route is served under another prefix."""
    return {"version": 2, "upsert": {"routes": [_route("drafts", "/sketches/")]}}


def added_route() -> dict[str, Any]:
    """The patch after the kill: one more route."""
    return {"version": 3, "upsert": {"routes": [_route("notes", "/notes/")]}}


class Scene:
    """Plays the scene on processes that run."""

    def __init__(self, cluster: Cluster, servers: list[ModelServer], session: aiohttp.ClientSession) -> None:
        self.seen = Seen()
        self._cluster = cluster
        self._servers = servers
        self._operator = Operator(session, [node.control for node in cluster.controls])
        self._client = Client(session, HOST, servers)

    async def play(self) -> None:
        """All of it; what was seen is in `seen`, also where it fails in between."""
        traffic: list[asyncio.Task[None]] = []
        try:
            await self._first_configuration()
            traffic += [asyncio.create_task(self._traffic(edge)) for edge in self._cluster.edges]
            await self._change_a_route()
            await self._model_on_demand()
            await self._kill_the_leader()
            self.seen.configuration = await self._operator.configuration()
        finally:
            for task in traffic:
                task.cancel()
            await asyncio.gather(*traffic, return_exceptions=True)
            self._sum_up()

    async def _first_configuration(self) -> None:
        self.seen.leader = self._name(await self._operator.leader())
        started = time.monotonic()
        await self._operator.change("PUT", 0, first_configuration())
        self.seen.acknowledged_ms = _ms_since(started)
        await self._served_on_all_edges("/chat/")
        self.seen.in_force_ms = _ms_since(started)

    async def _change_a_route(self) -> None:
        started = time.monotonic()
        await self._operator.change("PATCH", 1, moved_route())
        self.seen.changed_ms = _ms_since(started)
        await self._served_on_all_edges("/sketches/")
        self.seen.change_in_force_ms = _ms_since(started)

    async def _model_on_demand(self) -> None:
        started = time.monotonic()
        await self._client.ask_until_served(self._cluster.edges[0].front, "/chat/", ABSENT_MODEL)
        self.seen.loaded_ms = _ms_since(started)

    async def _kill_the_leader(self) -> None:
        leader = self._leading(await self._operator.leader())
        served = Counter(self._client.served)
        self.seen.killed = leader.name
        await leader.kill()
        started = time.monotonic()
        await self._operator.change("PATCH", 2, added_route())
        self.seen.acknowledged_after_kill_ms = _ms_since(started)
        await self._served_on_all_edges("/notes/", "/sketches/")
        self.seen.in_force_after_kill_ms = _ms_since(started)
        self.seen.next_leader = self._name(await self._operator.leader())
        for edge in self._cluster.edges:
            while self._client.served[edge.front] - served[edge.front] < SERVED_AFTER_KILL:
                await self._client.ask_until_served(edge.front, "/chat/", HELD_MODEL)
        self.seen.served_after_kill = self._by_name(self._client.served - served)

    async def _served_on_all_edges(self, *prefixes: str) -> None:
        """Until each edge has served a request under each prefix."""
        await asyncio.gather(
            *(
                self._client.ask_until_served(edge.front, prefix, HELD_MODEL)
                for edge in self._cluster.edges
                for prefix in prefixes
            )
        )

    async def _traffic(self, edge: NodeProcess) -> None:
        while True:
            await self._client.ask(edge.front, "/chat/", HELD_MODEL)
            await asyncio.sleep(BACKGROUND_PAUSE_S)

    def _leading(self, address: str) -> NodeProcess:
        return next(node for node in self._cluster.controls if node.control == address)

    def _name(self, address: str) -> str:
        return self._leading(address).name

    def _by_name(self, counts: Counter[str]) -> Counter[str]:
        return Counter({edge.name: counts[edge.front] for edge in self._cluster.edges})

    def _sum_up(self) -> None:
        runs: Counter[str] = Counter()
        for server in self._servers:
            runs.update(server.runs)
        self.seen.ran_twice = [request_id for request_id, count in runs.items() if count > 1]
        self.seen.loaded_by = [server.id for server in self._servers if ABSENT_MODEL in server.loads]
        self.seen.served = self._by_name(self._client.served)
        self.seen.turned_away = self._client.turned_away
        self.seen.faults = self._client.faults


def _ms_since(started: float) -> float:
    return (time.monotonic() - started) * 1_000


@contextlib.asynccontextmanager
async def _standins() -> AsyncIterator[tuple[list[ModelServer], Platform]]:
    servers = [
        ModelServer(f"i-{number}", SERVICE, LOAD_TIME_S, {HELD_MODEL}) for number in range(1, SERVERS + 1)
    ]
    platform = Platform(servers, ZONE)
    try:
        for server in servers:
            await server.start(STANDIN_IP)
        await platform.start(STANDIN_IP)
        yield servers, platform
    finally:
        await platform.stop()
        await asyncio.gather(*(server.stop() for server in servers))


class DemoFailedError(Exception):
    """The scene did not come to its end in time; the text has the last log lines of each process."""


LOG_TAIL = 1_500  # characters of each process's log in a failure


async def run_scene(folder: Path, limit_s: float) -> Seen:
    """Start all, play the scene within `limit_s`, end all; raises DemoFailedError."""
    cluster = Cluster(folder, free_ports())
    async with _standins() as (servers, platform), aiohttp.ClientSession() as session:
        scene = Scene(cluster, servers, session)
        try:
            async with asyncio.timeout(limit_s):
                await cluster.start(platform.address)
                await scene.play()
        except TimeoutError as error:
            raise DemoFailedError(f"no end in {limit_s:g} s: {scene.seen}\n{_logs(cluster)}") from error
        finally:
            await cluster.stop()
    for node in cluster.nodes:
        scene.seen.exit_codes[node.name] = node.process.returncode if node.process else None
    return scene.seen


def _logs(cluster: Cluster) -> str:
    return "\n".join(f"--- {node.name}\n{node.log()[-LOG_TAIL:]}" for node in cluster.nodes)
