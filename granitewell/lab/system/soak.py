"""Seeded days on real processes: signals, restarts and changes in overlapping series, with clients that stay.

    python -m granitewell.lab.system.soak --seeds 50 --parallel 3

No more is lost at once than `fault-tolerance` allows: one control node with a disk, which counts as lost
until `catch-up-s` after it is back. Gateways and edges may go in any number. At the end of each day what was
acknowledged is read back at every control process, and every edge serves.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import aiohttp

from granitewell.lab.system.demo import HELD_MODEL, HOST, LOAD_TIME_S, first_configuration
from granitewell.lab.system.processes import ZONE, NodeProcess, Ports, free_ports
from granitewell.lab.system.soak_clients import SoakClient, SoakTally
from granitewell.lab.system.standins import ModelServer, Platform

CATCH_UP_S = 4.0  # catch-up-s
RECOVERY_S = 12.0  # recovery-s: after the last fault everything is served again
DAY_S = 25.0
MAX_DOWN_S = 2.0
MAX_FREEZE_S = 3.0
BOUNDS = {"lease-ms": 3_000, "grace-s": 8}  # of the small deployments
MAX_LEAVE_S = 3.0  # a control node leaves its groups and hands leadership over
KILL_ECHO_S = 3.0  # after a kill; until then answers may be cut
FAULT_PAUSE_S = (0.0, 3.0)
FAULTS_AT_ONCE = (1, 1, 2, 3, 4)
CHANGE_PAUSE_S = (0.3, 2.0)
CALL_S = 2.0
RETRY_S = 0.1
ACKNOWLEDGE_S = 20.0
STANDIN_IP = "127.0.0.31"
SERVERS = 4
CLIENTS = 12
MAX_REPLACEMENTS = 40
LARGE_EVERY = 10
"""Every so many seeds, one day has many gateways and edges."""


class SoakError(Exception):
    """Something does not hold in a day, or after it."""


@dataclass(frozen=True)
class SoakSize:
    """How many processes a day begins with, besides three control nodes with disks."""

    gateways: int
    edges: int

    @classmethod
    def of_seed(cls, seed: int, large: bool) -> SoakSize:
        """Return the size of a day."""
        return cls(gateways=30, edges=60) if large else cls(gateways=2 + seed % 3, edges=2 + seed % 2)


@dataclass
class SoakResult:
    """What a day has shown."""

    seed: int
    error: str = ""
    changes: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    busiest_gateway: float = 0.0
    """Largest share of a processor that a gateway has used, from 5 s after its start on."""


def _ips(prefix: int, count: int) -> list[str]:
    return [f"127.0.{prefix}.{number}" for number in range(1, count + 1)]


class SoakDay:
    """One day, drawn by its seed."""

    def __init__(self, seed: int, folder: Path, *, large: bool) -> None:
        self.seed = seed
        self.result = SoakResult(seed)
        self.tally = SoakTally()
        self._rng = Random(seed)
        size = SoakSize.of_seed(seed, large)
        core_ips = _ips(1, 3 + MAX_REPLACEMENTS)
        gateway_ips, edge_ips = _ips(2, size.gateways), _ips(3, size.edges)
        self._ports: Ports = free_ports([*core_ips, *gateway_ips, *edge_ips])
        self._folder = folder
        self._free_core_ips = core_ips[3:]
        self.cores = [self._node(f"core-{ip}", "control", ip) for ip in core_ips[:3]]
        self.gateways = [self._node(f"gateway-{ip}", "control", ip, has_disk=False) for ip in gateway_ips]
        self.edges = [self._node(f"edge-{ip}", "edge", ip) for ip in edge_ips]
        self._seeds = [core.control for core in self.cores]
        self._servers = [
            ModelServer(f"i-{number}", "writers", LOAD_TIME_S, {HELD_MODEL}) for number in range(SERVERS)
        ]
        self._platform = Platform(self._servers, ZONE)
        self._version = 0
        self._core_lost_until = 0.0
        self._killed_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._busy: set[str] = set()
        self._terminating: set[str] = set()
        self._restarts: list[asyncio.Task[None]] = []
        self._operator: aiohttp.ClientSession

    def _node(self, name: str, role: str, ip: str, *, has_disk: bool = True) -> NodeProcess:
        return NodeProcess(name, role, ip, self._ports, self._folder / name, has_disk=has_disk, bounds=BOUNDS)

    @property
    def nodes(self) -> list[NodeProcess]:
        """All machines."""
        return [*self.cores, *self.gateways, *self.edges]

    async def play(self) -> None:
        """Play the day; raises SoakError."""
        async with aiohttp.ClientSession() as self._operator:
            try:
                await self._begin()
                clients = [asyncio.create_task(client.run()) for client in self._clients()]
                changes = asyncio.create_task(self._change_configuration())
                await self._inject_faults()
                changes.cancel()
                await asyncio.gather(*self._restarts)
                if changes.done() and not changes.cancelled() and changes.exception():
                    raise SoakError(f"changes ended: {changes.exception()}")
                await self._check_recovered()
                for client in clients:
                    client.cancel()
                self._check_requests()
            finally:
                await self._stop()

    async def _begin(self) -> None:
        for server in self._servers:
            await server.start(STANDIN_IP)
        await self._platform.start(STANDIN_IP)
        for node in self.nodes:
            await node.start(self._seeds, self._platform.address)
            self._started_at[node.name] = time.monotonic()
        await self._put_first_configuration()
        for node in self.nodes:
            node.bootstrap = False

    async def _stop(self) -> None:
        for task in self._restarts:
            task.cancel()
        for node in self.nodes:
            if node.running:
                with contextlib.suppress(ProcessLookupError):
                    await node.kill()
        await self._platform.stop()
        await asyncio.gather(*(server.stop() for server in self._servers))

    def _clients(self) -> list[SoakClient]:
        def edges() -> list[str]:
            return [edge.front for edge in self.edges]

        return [
            SoakClient(
                number,
                HOST,
                HELD_MODEL,
                edges,
                self._was_killed,
                self._servers,
                self.tally,
                Random(self._rng.random()),
            )
            for number in range(CLIENTS)
        ]

    def _was_killed(self, front: str) -> bool:
        edge = next(edge for edge in self.edges if edge.front == front)
        return time.monotonic() - self._killed_at.get(edge.name, -KILL_ECHO_S) < KILL_ECHO_S

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
            route |= {"kind": "idempotent", "timeout-ms": 6_000, "service": "writers", "max-attempts": 2}
            await self._change("PATCH", {"version": self._version + 1, "upsert": {"routes": [route]}})

    async def _change(self, method: str, document: dict[str, Any]) -> None:
        """Send a change until it is acknowledged; raises SoakError."""
        deadline = time.monotonic() + ACKNOWLEDGE_S + MAX_DOWN_S
        while time.monotonic() < deadline:
            node = self._rng.choice([*self.cores, *self.gateways])
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
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    # --- Faults

    async def _inject_faults(self) -> None:
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_gateways,
            self._kill_edges,
            self._terminate_edges,
            self._signal_again,
            self._reload_some,
            self._restart_core,
            self._terminate_core,
            self._freeze_core,
            self._replace_core,
            self._replace_core_in_a_storm,
            self._wipe_core,
            self._change_seeds,
            self._change_seeds,
            self._kill_all,
        ]
        end = time.monotonic() + DAY_S
        while time.monotonic() < end:
            for _ in range(self._rng.choice(FAULTS_AT_ONCE)):
                await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))

    def _note(self, fault: str, nodes: Sequence[NodeProcess]) -> None:
        names = ",".join(node.name for node in nodes) if len(nodes) < 8 else f"{len(nodes)} processes"
        self.result.faults.append(f"{fault} {names}")

    def _some(self, nodes: Sequence[NodeProcess]) -> list[NodeProcess]:
        if self._rng.random() < 0.5:
            return list(nodes)
        return self._rng.sample(list(nodes), self._rng.randint(1, len(nodes)))

    def _up(self, nodes: Sequence[NodeProcess]) -> list[NodeProcess]:
        return [node for node in nodes if node.running and node.name not in self._busy]

    async def _end(self, fault: str, nodes: Sequence[NodeProcess], sent: signal.Signals) -> None:
        """End processes by a signal, and start each again later."""
        up = self._up(nodes)
        self._note(fault, up)
        together_s = self._rng.uniform(0.0, MAX_DOWN_S) if self._rng.random() < 0.5 else None
        for node in up:
            self._busy.add(node.name)
            if sent is signal.SIGKILL:
                self._killed_at[node.name] = time.monotonic()
            else:
                self._terminating.add(node.name)
            assert node.process is not None
            node.process.send_signal(sent)
        for node in up:
            down_s = self._rng.uniform(0.0, MAX_DOWN_S) if together_s is None else together_s
            self._restarts.append(asyncio.create_task(self._restart_after_end(node, down_s)))

    async def _restart_after_end(self, node: NodeProcess, down_s: float, *, wipe: bool = False) -> None:
        assert node.process is not None
        await node.process.wait()
        self._terminating.discard(node.name)
        if wipe:
            shutil.rmtree(node.data_dir, ignore_errors=True)
        await asyncio.sleep(down_s)
        await node.start(self._seeds_of(node), self._platform.address)
        self._started_at[node.name] = time.monotonic()
        self._busy.discard(node.name)

    def _seeds_of(self, node: NodeProcess) -> Sequence[str]:
        return self._seeds

    async def _kill_gateways(self) -> None:
        await self._end("SIGKILL", self._some(self.gateways), signal.SIGKILL)

    async def _kill_edges(self) -> None:
        await self._end("SIGKILL", self._some(self.edges), signal.SIGKILL)

    async def _terminate_edges(self) -> None:
        """Stop edges in turn or together; clients stay on their connections until these close."""
        await self._end("SIGTERM", self._some(self.edges), signal.SIGTERM)

    async def _signal_again(self) -> None:
        """Send another signal to processes that are about to end."""
        ending = [node for node in self.nodes if node.name in self._terminating and node.running]
        sent = self._rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGKILL))
        self._note(f"{sent.name} again", ending)
        for node in ending:
            if sent is signal.SIGKILL:
                self._killed_at[node.name] = time.monotonic()
            assert node.process is not None
            with contextlib.suppress(ProcessLookupError):
                node.process.send_signal(sent)

    async def _reload_some(self) -> None:
        up = self._up(self._some(self.nodes))
        self._note("SIGHUP", up)
        for node in up:
            assert node.process is not None
            node.process.send_signal(signal.SIGHUP)

    def _lose_core(self, for_s: float) -> NodeProcess | None:
        """Return a control node that may be lost now, or None; `for_s` is until it is back."""
        up = self._up(self.cores)
        if time.monotonic() < self._core_lost_until or len(up) < len(self.cores):
            return None
        self._core_lost_until = time.monotonic() + for_s + CATCH_UP_S
        return self._rng.choice(up)

    async def _restart_core(self) -> None:
        core = self._lose_core(MAX_DOWN_S)
        if core is not None:
            await self._end("SIGKILL", [core], signal.SIGKILL)

    async def _terminate_core(self) -> None:
        core = self._lose_core(MAX_DOWN_S + MAX_LEAVE_S)
        if core is not None:
            await self._end("SIGTERM", [core], signal.SIGTERM)

    async def _wipe_core(self) -> None:
        core = self._lose_core(MAX_DOWN_S)
        if core is None:
            return
        self._note("wipe", [core])
        self._busy.add(core.name)
        await core.kill()
        down_s = self._rng.uniform(0.0, MAX_DOWN_S)
        self._restarts.append(asyncio.create_task(self._restart_after_end(core, down_s, wipe=True)))

    async def _freeze_core(self) -> None:
        core = self._lose_core(MAX_FREEZE_S)
        if core is None:
            return
        self._note("SIGSTOP", [core])
        self._busy.add(core.name)
        assert core.process is not None
        core.process.send_signal(signal.SIGSTOP)
        self._restarts.append(asyncio.create_task(self._thaw(core, self._rng.uniform(0.2, MAX_FREEZE_S))))

    async def _thaw(self, core: NodeProcess, frozen_s: float) -> None:
        await asyncio.sleep(frozen_s)
        assert core.process is not None
        core.process.send_signal(signal.SIGCONT)
        self._busy.discard(core.name)

    async def _replace_core(self) -> None:
        """Lose a control node for good; an empty one comes at another address."""
        core = self._lose_core(MAX_DOWN_S)
        if core is None or not self._free_core_ips:
            return
        await core.kill()
        self.cores.remove(core)
        ip = self._free_core_ips.pop(0)
        new = self._node(f"core-{ip}", "control", ip)
        new.bootstrap = False
        self._note("replace", [core, new])
        self._busy.add(new.name)
        seeds = self._listed_seeds()
        self.cores.append(new)
        self._restarts.append(asyncio.create_task(self._start_new(new, seeds)))

    async def _start_new(self, new: NodeProcess, seeds: Sequence[str]) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_S))
        await new.start(seeds, self._platform.address)
        self._started_at[new.name] = time.monotonic()
        self._busy.discard(new.name)

    async def _replace_core_in_a_storm(self) -> None:
        """Replace a control node while all gateways, and at times all edges, are restarted."""
        await self._replace_core()
        await self._end("SIGKILL", self.gateways, signal.SIGKILL)
        if self._rng.random() < 0.5:
            await self._kill_edges()

    async def _kill_all(self) -> None:
        """Kill all processes; disks stay."""
        if self._lose_core(MAX_DOWN_S) is not None:
            await self._end("SIGKILL of all:", self.nodes, signal.SIGKILL)

    def _listed_seeds(self) -> list[str]:
        """Return three machines of the operator's list as it stands, at times only gateways."""
        serving = [*self.gateways]
        if self._rng.random() < 0.5:
            serving += self.cores
        return [node.control for node in self._rng.sample(serving, min(3, len(serving)))]

    async def _change_seeds(self) -> None:
        """Name other machines that serve control in all settings files."""
        self._seeds = self._listed_seeds()
        self.result.faults.append(f"seeds {','.join(self._seeds)}")
        for node in self.nodes:
            if node.name not in self._busy:
                node.write_settings(self._seeds, self._platform.address)

    # --- What holds afterwards

    async def _check_recovered(self) -> None:
        await asyncio.sleep(max(self._core_lost_until - time.monotonic(), 0.0))
        deadline = time.monotonic() + RECOVERY_S
        for node in [*self.cores, *self.gateways]:
            await self._until(deadline, self._reads_back, node, "does not return what was acknowledged")
        for edge in self.edges:
            await self._until(deadline, self._is_ready, edge, "is not ready")
        self._check_processes()

    async def _until(
        self, deadline: float, holds: Callable[[NodeProcess], Awaitable[bool]], node: NodeProcess, what: str
    ) -> None:
        while not await holds(node):
            if time.monotonic() > deadline:
                raise SoakError(f"{node.name} {what}")
            await asyncio.sleep(RETRY_S)

    async def _reads_back(self, node: NodeProcess) -> bool:
        status, body = await self._call("GET", node)
        if status == 200 and json.loads(body)["version"] < self._version:
            raise SoakError(
                f"{node.name} reads {json.loads(body)['version']}, {self._version} was acknowledged"
            )
        return status == 200

    async def _is_ready(self, edge: NodeProcess) -> bool:
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        try:
            async with self._operator.get(f"http://{edge.ready}/readyz", timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def _check_processes(self) -> None:
        for node in self.nodes:
            if not node.running:
                code = node.process.returncode if node.process is not None else None
                raise SoakError(f"{node.name} has ended by itself with {code}")
        for gateway in self.gateways:
            lived_s = time.monotonic() - self._started_at[gateway.name]
            if lived_s > 5.0:
                share = _processor_s(gateway) / lived_s
                self.result.busiest_gateway = max(self.result.busiest_gateway, share)

    def _check_requests(self) -> None:
        self.result.answers = dict(self.tally.answers)
        if self.tally.faults:
            raise SoakError(f"wrong answers: {self.tally.faults}")
        twice = [
            request_id
            for request_id in self.tally.once
            if sum(server.runs[request_id] for server in self._servers) > 1
        ]
        if twice:
            raise SoakError(f"run twice: {twice[:5]}")
        if not self.tally.answers[200]:
            raise SoakError("nothing was served")


def _processor_s(node: NodeProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    assert node.process is not None
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(seed: int, *, large: bool, keep: Path | None = None) -> SoakResult:
    """Play one day; an error is in the result. `keep` is a folder for the logs of a day that failed."""
    with tempfile.TemporaryDirectory(prefix="granitewell-soak-") as folder:
        day = SoakDay(seed, Path(folder), large=large)
        try:
            await day.play()
        except SoakError as error:
            day.result.error = str(error)
            if keep is not None:
                shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return day.result


def report(result: SoakResult) -> str:
    """Return one line on a day, and the faults of a day that failed."""
    answers = ", ".join(f"{status}: {count}" for status, count in sorted(result.answers.items()))
    line = (
        f"seed {result.seed}: {result.error or 'held'}; {result.changes} changes,"
        f" {len(result.faults)} faults, answers {{{answers}}},"
        f" busiest gateway {result.busiest_gateway:.3f} of a processor"
    )
    return f"{line}\n    {'; '.join(result.faults)}" if result.error else line


async def _run(first: int, seeds: int, parallel: int, keep: Path | None) -> int:
    failed = 0
    slots = asyncio.Semaphore(parallel)

    async def one(seed: int, large: bool) -> None:
        nonlocal failed
        async with slots:
            result = await play(seed, large=large, keep=keep)
        failed += bool(result.error)
        print(report(result), flush=True)

    every = range(first, first + seeds)
    await asyncio.gather(*(one(seed, large=False) for seed in every if seed % LARGE_EVERY))
    for seed in every:
        if seed % LARGE_EVERY == 0:
            await one(seed, large=True)  # alone, as it has as many processes as the machine bears
    print(f"{seeds} days from seed {first}: {failed} failed")
    return failed


def main() -> int:
    """Play days; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of days")
    parser.add_argument("--parallel", type=int, default=3, help="days at once")
    parser.add_argument("--keep", type=Path, help="folder for the logs of days that failed")
    given = parser.parse_args()
    return 1 if asyncio.run(_run(given.first, given.seeds, given.parallel, given.keep)) else 0


if __name__ == "__main__":
    sys.exit(main())
