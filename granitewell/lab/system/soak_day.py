"""One day of a soak: processes, clients that stay, faults, and what holds during and after them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import aiohttp

from granitewell.lab.system.demo import (
    HELD_MODEL,
    HOST,
    LOAD_TIME_S,
    SERVICE,
    STANDIN_IP,
    first_configuration,
)
from granitewell.lab.system.processes import ZONE, NodeProcess
from granitewell.lab.system.soak_clients import SoakClient, SoakTally
from granitewell.lab.system.soak_faults import SoakFaults
from granitewell.lab.system.soak_fleet import MAX_DOWN_S, SoakError, SoakFleet, SoakSize
from granitewell.lab.system.standins import ModelServer, Platform

RECOVERY_S = 12.0  # recovery-s: after the last fault everything is served again
DAY_S = 25.0
CHANGE_PAUSE_S = (0.3, 2.0)
CALL_S = 2.0
RETRY_S = 0.1
ACKNOWLEDGE_S = 20.0
SERVERS = 4
CLIENTS = 12
MIN_LIFE_S = 5.0  # from which on the processor time of a gateway tells something


@dataclass
class SoakResult:
    """What a day has shown.

    Attributes:
        error: What does not hold; "" if everything does.
        answers: Number of answers by status; 0 counts requests without an answer.
        faults: What was done, in order.
        busiest_gateway: Largest share of a processor that a gateway has used since its last start.
    """

    seed: int
    error: str = ""
    changes: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    busiest_gateway: float = 0.0


class SoakDay:
    """One day, drawn by its seed."""

    def __init__(self, seed: int, folder: Path, *, large: bool) -> None:
        self.result = SoakResult(seed)
        self.tally = SoakTally()
        self.servers = [
            ModelServer(f"i-{number}", SERVICE, LOAD_TIME_S, {HELD_MODEL}) for number in range(SERVERS)
        ]
        self._size = SoakSize.of_seed(seed, large)
        self._folder = folder
        self._rng = Random(seed)
        self._platform = Platform(self.servers, ZONE)
        self._version = 0
        self._fleet: SoakFleet
        self._operator: aiohttp.ClientSession

    async def play(self) -> None:
        """Play the day; raises SoakError."""
        async with aiohttp.ClientSession() as self._operator:
            await self._start_standins()
            self._fleet = SoakFleet(self._size, self._folder, self._platform.address, self._rng)
            try:
                await self._play()
            finally:
                await self._fleet.stop()
                await self._platform.stop()
                await asyncio.gather(*(server.stop() for server in self.servers))

    async def _start_standins(self) -> None:
        for server in self.servers:
            await server.start(STANDIN_IP)
        await self._platform.start(STANDIN_IP)

    async def _play(self) -> None:
        await self._fleet.start_all()
        await self._put_first_configuration()
        self._fleet.first_start_is_over()
        clients = [asyncio.create_task(client.run()) for client in self._clients()]
        changes = asyncio.create_task(self._change_configuration())
        faults = SoakFaults(self._fleet, self._rng)
        self.result.faults = faults.notes
        await faults.inject(DAY_S)
        await _end_of(changes)
        await asyncio.gather(*self._fleet.restarts)
        await self._check_recovered()
        for client in clients:
            await _end_of(client)
        self.check_requests()

    def _clients(self) -> list[SoakClient]:
        fronts = [edge.front for edge in self._fleet.edges]
        return [
            SoakClient(
                number,
                HOST,
                HELD_MODEL,
                lambda: fronts,
                self._fleet.was_killed,
                self.servers,
                self.tally,
                Random(self._rng.random()),
            )
            for number in range(CLIENTS)
        ]

    # --- Changes

    async def _put_first_configuration(self) -> None:
        document = first_configuration()
        route = document["routes"][0]
        once = {**route, "name": "once", "prefix": "/once/", "kind": "non_idempotent", "sticky": False}
        document["routes"].append(once)
        await self._change("PUT", document)

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_S))
            route: dict[str, Any] = {"name": "extra", "host": HOST, "prefix": f"/extra{self._version}/"}
            route |= {"kind": "idempotent", "timeout-ms": 6_000, "service": SERVICE, "max-attempts": 2}
            await self._change("PATCH", {"version": self._version + 1, "upsert": {"routes": [route]}})

    async def _change(self, method: str, document: dict[str, Any]) -> None:
        """Send a change until it is acknowledged; raises SoakError."""
        deadline = time.monotonic() + ACKNOWLEDGE_S + MAX_DOWN_S
        while time.monotonic() < deadline:
            node = self._rng.choice([*self._fleet.cores, *self._fleet.gateways])
            status, _ = await self._call(method, node, json.dumps(document).encode())
            if status == 200:
                self._version = document["version"]
                self.result.changes += 1
                return
            if 400 <= status < 500:
                raise SoakError(f"version {document['version']} is refused with {status}")
            await asyncio.sleep(RETRY_S)
        raise SoakError(f"version {document['version']} is not acknowledged")

    async def _call(self, method: str, node: NodeProcess, body: bytes | None = None) -> tuple[int, bytes]:
        headers = {"If-Match": str(self._version), "Content-Type": "application/json"} if body else {}
        url = f"http://{node.control}/config"
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        try:
            async with self._operator.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, repr(error).encode()

    # --- What holds afterwards

    async def _check_recovered(self) -> None:
        fleet = self._fleet
        await asyncio.sleep(max(fleet.core_lost_until - time.monotonic(), 0.0))
        deadline = time.monotonic() + RECOVERY_S
        serving = [
            self._until(deadline, self._reads_back, node, "does not return what was acknowledged")
            for node in [*fleet.cores, *fleet.gateways]
        ]
        ready = [self._until(deadline, self._is_ready, edge, "is not ready") for edge in fleet.edges]
        await asyncio.gather(*serving, *ready)
        self._check_processes()

    async def _until(
        self, deadline: float, asked: Callable[[NodeProcess], Awaitable[str]], node: NodeProcess, what: str
    ) -> None:
        """Ask a node until its answer is right, which is ""; raises SoakError with the last wrong one."""
        tries = 1
        while wrong := await asked(node):
            if time.monotonic() > deadline:
                raise SoakError(f"{node.name} {what}; {tries} tries, the last answer: {wrong}")
            tries += 1
            await asyncio.sleep(RETRY_S)

    async def _reads_back(self, node: NodeProcess) -> str:
        status, body = await self._call("GET", node)
        if status != 200:
            return f"{status} {body[:80]!r}"
        version = json.loads(body)["version"]
        if version < self._version:
            raise SoakError(f"{node.name} reads {version}, {self._version} was acknowledged")
        return ""

    async def _is_ready(self, edge: NodeProcess) -> str:
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        try:
            async with self._operator.get(f"http://{edge.ready}/readyz", timeout=timeout) as response:
                return "" if response.status == 200 else str(response.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return repr(error)

    def _check_processes(self) -> None:
        fleet = self._fleet
        for node in fleet.nodes:
            if not node.running:
                code = node.process.returncode if node.process is not None else None
                raise SoakError(f"{node.name} has ended by itself with {code}")
        for gateway in fleet.gateways:
            if fleet.lived_s(gateway) > MIN_LIFE_S:
                share = fleet.processor_s(gateway) / fleet.lived_s(gateway)
                self.result.busiest_gateway = max(self.result.busiest_gateway, share)

    def check_requests(self) -> None:
        """Check what clients and servers have seen; raises SoakError."""
        self.result.answers = dict(self.tally.answers)
        if self.tally.faults:
            raise SoakError(f"wrong answers: {self.tally.faults}")
        runs: Counter[str] = Counter()
        for server in self.servers:
            runs.update(server.runs)
        twice = [request_id for request_id in self.tally.once if runs[request_id] > 1]
        if twice:
            raise SoakError(f"run twice: {twice[:5]}")
        if not self.tally.answers[200]:
            raise SoakError("nothing was served")


async def _end_of(task: asyncio.Task[None]) -> None:
    """Cancel a task; raise its error if it has ended by one."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
