"""The processes of a soak: their starts, ends and restarts, and what may be lost at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from granitewell.lab.system.processes import NodeProcess, Ports, free_ports

BOUNDS = {"lease-ms": 3_000, "grace-s": 8}  # of the small deployments
CATCH_UP_S = 4.0  # catch-up-s
MAX_DOWN_S = 2.0
KILL_ECHO_S = 3.0  # after a kill; until then answers may be cut
MAX_REPLACEMENTS = 40
CORES = 3


class SoakError(Exception):
    """Something does not hold in a day, or after it."""


@dataclass(frozen=True)
class SoakSize:
    """How many processes a day begins with, besides the control nodes with disks."""

    gateways: int
    edges: int

    @classmethod
    def of_seed(cls, seed: int, large: bool) -> SoakSize:
        """Return the size of a day."""
        return cls(gateways=30, edges=60) if large else cls(gateways=2 + seed % 3, edges=2 + seed % 2)


def _ips(prefix: int, count: int) -> list[str]:
    return [f"127.0.{prefix}.{number}" for number in range(1, count + 1)]


class SoakFleet:
    """All processes of a day.

    Attributes:
        cores: Control nodes with disks.
        gateways: Control processes without disks.
        edges: Edges.
        seeds: Control addresses in the settings files.
        restarts: Tasks that start processes again, or let them go on.
        core_lost_until: Time until which a control node with a disk counts as lost.
    """

    def __init__(self, size: SoakSize, folder: Path, platform: str, rng: Random) -> None:
        core_ips = _ips(1, CORES + MAX_REPLACEMENTS)
        gateway_ips, edge_ips = _ips(2, size.gateways), _ips(3, size.edges)
        self._ports: Ports = free_ports([*core_ips, *gateway_ips, *edge_ips])
        self._folder = folder
        self._platform = platform
        self._rng = rng
        self._free_core_ips = core_ips[CORES:]
        self._killed_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._busy: set[str] = set()  # about to end, or to be started
        self._terminating: set[str] = set()
        self.cores = [self._node("core", "control", ip) for ip in core_ips[:CORES]]
        self.gateways = [self._node("gateway", "control", ip, has_disk=False) for ip in gateway_ips]
        self.edges = [self._node("edge", "edge", ip) for ip in edge_ips]
        self.seeds = [core.control for core in self.cores]
        self.restarts: list[asyncio.Task[None]] = []
        self.core_lost_until = 0.0
        self._newcomer_seeds: Sequence[str] = ()

    def _node(self, kind: str, role: str, ip: str, *, has_disk: bool = True) -> NodeProcess:
        name = f"{kind}-{ip}"
        return NodeProcess(name, role, ip, self._ports, self._folder / name, has_disk=has_disk, bounds=BOUNDS)

    @property
    def nodes(self) -> list[NodeProcess]:
        """All machines."""
        return [*self.cores, *self.gateways, *self.edges]

    def up(self, nodes: Sequence[NodeProcess]) -> list[NodeProcess]:
        """Return those that run and are not about to end."""
        return [node for node in nodes if node.running and node.name not in self._busy]

    def terminating(self) -> list[NodeProcess]:
        """Return the processes that are about to end after SIGTERM."""
        return [node for node in self.nodes if node.name in self._terminating and node.running]

    def was_killed(self, front: str) -> bool:
        """Return whether the edge at a front address has been killed lately."""
        edge = next(edge for edge in self.edges if edge.front == front)
        return time.monotonic() - self._killed_at.get(edge.name, -KILL_ECHO_S) < KILL_ECHO_S

    def core_to_lose(self, for_s: float) -> NodeProcess | None:
        """Return a control node that may be lost now, or None; `for_s` is until it is back.

        A new one can't join while all of its seeds are down, and knows no other address.
        """
        up = self.up(self.cores)
        if self._newcomer_seeds and not self._is_any_seed_up():
            self.core_lost_until = max(self.core_lost_until, time.monotonic() + CATCH_UP_S)
        if time.monotonic() < self.core_lost_until or len(up) < len(self.cores):
            return None
        self.core_lost_until = time.monotonic() + for_s + CATCH_UP_S
        return self._rng.choice(up)

    def _is_any_seed_up(self) -> bool:
        seeds = [node for node in self.up(self.nodes) if node.control in self._newcomer_seeds]
        return any(self.lived_s(seed) > CATCH_UP_S for seed in seeds)

    # --- Starts and ends

    async def start_all(self) -> None:
        """Start all processes for the first time."""
        for node in self.nodes:
            await self._start(node)

    def first_start_is_over(self) -> None:
        """Let no later start count as the first one of the whole system."""
        for node in self.nodes:
            node.bootstrap = False

    async def _start(self, node: NodeProcess, seeds: Sequence[str] | None = None) -> None:
        await node.start(self.seeds if seeds is None else seeds, self._platform)
        self._started_at[node.name] = time.monotonic()
        self._busy.discard(node.name)

    async def stop(self) -> None:
        """End all processes."""
        for task in self.restarts:
            task.cancel()
        for node in self.nodes:
            if node.running:
                with contextlib.suppress(ProcessLookupError):
                    await node.kill()

    def send(self, nodes: Sequence[NodeProcess], sent: signal.Signals) -> None:
        """Send a signal to processes."""
        for node in nodes:
            if sent is signal.SIGKILL:
                self._killed_at[node.name] = time.monotonic()
            assert node.process is not None
            with contextlib.suppress(ProcessLookupError):
                node.process.send_signal(sent)

    def end(self, nodes: Sequence[NodeProcess], sent: signal.Signals, *, wipe: bool = False) -> None:
        """End processes by a signal, and start each again later, at times all at the same moment."""
        together_s = self._down_s() if self._rng.random() < 0.5 else None
        self._busy.update(node.name for node in nodes)
        if sent is signal.SIGTERM:
            self._terminating.update(node.name for node in nodes)
        self.send(nodes, sent)
        for node in nodes:
            down_s = self._down_s() if together_s is None else together_s
            self._later(self._restart_after_end(node, down_s, wipe=wipe))

    def _down_s(self) -> float:
        return self._rng.uniform(0.0, MAX_DOWN_S)

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        self.restarts.append(asyncio.create_task(work))

    async def _restart_after_end(self, node: NodeProcess, down_s: float, *, wipe: bool) -> None:
        assert node.process is not None
        await node.process.wait()
        self._terminating.discard(node.name)
        if wipe:
            shutil.rmtree(node.data_dir, ignore_errors=True)
        await asyncio.sleep(down_s)
        await self._start(node)

    def freeze(self, node: NodeProcess, frozen_s: float) -> None:
        """Stop a process, and let it go on later."""
        self._busy.add(node.name)
        self.send([node], signal.SIGSTOP)
        self._later(self._thaw(node, frozen_s))

    async def _thaw(self, node: NodeProcess, frozen_s: float) -> None:
        await asyncio.sleep(frozen_s)
        self.send([node], signal.SIGCONT)
        self._busy.discard(node.name)

    async def replace(self, core: NodeProcess) -> NodeProcess:
        """Lose a control node for good; return an empty one, which starts later at another address."""
        await core.kill()
        self.cores.remove(core)
        new = self._node("core", "control", self._free_core_ips.pop(0))
        new.bootstrap = False
        self._busy.add(new.name)
        seeds = self.listed_seeds()
        self.cores.append(new)
        self._newcomer_seeds = seeds
        self._later(self._start_new(new, seeds, self._down_s()))
        return new

    async def _start_new(self, new: NodeProcess, seeds: Sequence[str], down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self._start(new, seeds)

    # --- Settings

    def listed_seeds(self) -> list[str]:
        """Return three machines of the operator's list as it stands, at times only gateways."""
        serving = [*self.gateways]
        if self._rng.random() < 0.5:
            serving += self.cores
        return [node.control for node in self._rng.sample(serving, min(3, len(serving)))]

    def change_seeds(self) -> None:
        """Name other machines that serve control in all settings files."""
        self.seeds = self._newcomer_seeds = self.listed_seeds()
        for node in self.nodes:
            if node.name not in self._busy:
                node.write_settings(self.seeds, self._platform)

    # --- What they have used

    def lived_s(self, node: NodeProcess) -> float:
        """Return the seconds since the last start of a process."""
        return time.monotonic() - self._started_at[node.name]

    def processor_s(self, node: NodeProcess) -> float:
        """Return the processor time that a process has used, in seconds."""
        assert node.process is not None
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
