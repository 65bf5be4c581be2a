"""The system's own processes: their settings files, their start, kill and end."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from granitewell.domain.settings import PATH_VARIABLE

ROOT = Path(__file__).resolve().parents[3]
CONTROL_IPS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
EDGE_IPS = ("127.0.0.21", "127.0.0.22")
ZONE = "loopback"

FIRST_PORT, LAST_PORT = 20_000, 30_000  # below those that the kernel gives to outgoing connections
PORTS_NEEDED = 5  # two internal ones, control, front, ready
PORT_TRIES = 200
STOP_S = 3.0  # from SIGTERM to SIGKILL: above the grace of an edge
BOUNDS = {"lease-ms": 1_000, "grace-s": 2}  # short, so that a change of owner fits into the demo
RATE_PER_S = 40.0  # calls to the platform's list from all nodes together


@dataclass(frozen=True)
class Ports:
    """Ports that are free on all addresses: `first` and the four behind it."""

    first: int

    @property
    def control(self) -> int:
        """Where operators call."""
        return self.first + 2

    @property
    def front(self) -> int:
        """Where clients connect."""
        return self.first + 3

    @property
    def ready(self) -> int:
        """Where an edge says whether it is ready."""
        return self.first + 4


def free_ports(ips: Sequence[str] = CONTROL_IPS + EDGE_IPS) -> Ports:
    """Ports that nobody uses at this moment on the given addresses."""
    rng = random.Random()
    for _ in range(PORT_TRIES):
        ports = Ports(rng.randrange(FIRST_PORT, LAST_PORT - PORTS_NEEDED))
        needed = range(ports.first, ports.first + PORTS_NEEDED)
        if all(_is_free(ip, port) for ip in ips for port in needed):
            return ports
    raise OSError("no free ports on loopback")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@dataclass
class NodeProcess:
    """One process of a role, which may be started again after its end.

    Attributes:
        has_disk: Whether a control process has a disk, and so may hold replicas.
        bootstrap: Whether the next start is the first one of the whole system.
        bounds: Bounds in its settings.
    """

    name: str
    role: str
    ip: str
    ports: Ports
    folder: Path
    has_disk: bool = True
    bootstrap: bool = True
    bounds: Mapping[str, int] = field(default_factory=lambda: BOUNDS)
    process: asyncio.subprocess.Process | None = None
    killed: bool = False

    @property
    def control(self) -> str:
        """The address of its operator API."""
        return f"{self.ip}:{self.ports.control}"

    @property
    def front(self) -> str:
        """The address that clients connect to."""
        return f"{self.ip}:{self.ports.front}"

    @property
    def ready(self) -> str:
        """The address that says whether it wants clients."""
        return f"{self.ip}:{self.ports.ready}"

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def log(self) -> str:
        """What it has written to standard error."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    @property
    def _settings_path(self) -> Path:
        return self.folder / "boot.json"

    @property
    def data_dir(self) -> Path:
        """The folder that outlives the process."""
        return self.folder / "data"

    def write_settings(self, seeds: Sequence[str], platform: str) -> None:
        """Write the settings file, at once for a process that reads it."""
        self.folder.mkdir(exist_ok=True)
        written = self.folder / "boot.json.new"
        written.write_text(json.dumps(self._settings(seeds, platform)))
        written.rename(self._settings_path)

    async def start(self, seeds: Sequence[str], platform: str) -> None:
        """Write the settings file and start the process."""
        self.write_settings(seeds, platform)
        await self.start_again()

    async def start_again(self) -> None:
        """Start the process with the settings file as it is."""
        self.killed = False
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "granitewell.cli.system", self.role),
                cwd=ROOT,
                env={**os.environ, PATH_VARIABLE: str(self._settings_path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, seeds: Sequence[str], platform: str) -> dict[str, object]:
        control = self.role == "control"
        self.data_dir.mkdir(exist_ok=True)
        return {
            "node-name": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": ZONE,
            "region": ZONE,
            "zones": {ZONE: ZONE},
            "listen": {"control": self.control} if control else {"front": self.front, "ready": self.ready},
            "internal-ports": [self.ports.first, self.ports.first + 1],
            "seeds": list(seeds),
            "bootstrap": self.bootstrap,
            "counts-for-quorum": control and self.has_disk,
            "data-dir": str(self.data_dir) if control and self.has_disk else None,
            "fault-tolerance": {"machines": 1},
            "bounds": dict(self.bounds),
            "cloud": {"address": platform, "rate-per-s": RATE_PER_S, "lag-ms": 100},
        }

    async def kill(self) -> None:
        """End it by SIGKILL, at once."""
        assert self.process is not None
        self.killed = True
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self) -> None:
        """End it by SIGTERM, and by SIGKILL where that takes too long."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            async with asyncio.timeout(STOP_S):
                await self.process.wait()
        except (TimeoutError, asyncio.CancelledError):  # cancelled: this is left at once, and nothing runs on
            await self.kill()


@dataclass
class Cluster:
    """All processes of the system, each with a folder of its own."""

    folder: Path
    ports: Ports
    controls: list[NodeProcess] = field(default_factory=list)
    edges: list[NodeProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.controls = self._nodes("control", CONTROL_IPS)
        self.edges = self._nodes("edge", EDGE_IPS)

    def _nodes(self, role: str, ips: Sequence[str]) -> list[NodeProcess]:
        names = [f"{role}-{number}" for number in range(1, len(ips) + 1)]
        return [
            NodeProcess(name, role, ip, self.ports, self.folder / name)
            for name, ip in zip(names, ips, strict=True)
        ]

    @property
    def nodes(self) -> list[NodeProcess]:
        """All processes."""
        return [*self.controls, *self.edges]

    async def start(self, platform: str) -> None:
        """Start them all."""
        seeds = [node.control for node in self.controls]
        for node in self.nodes:
            await node.start(seeds, platform)

    async def stop(self) -> None:
        """End all that run; none is left behind."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
