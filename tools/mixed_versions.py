"""Run control nodes of two checkouts on the same disks and check that no acknowledged change is lost.

    python -m tools.mixed_versions OLD NEW [--rounds N]

OLD and NEW are checkouts of the project. Three control nodes of OLD start on empty disks. Then each in turn
is killed (SIGKILL) or stopped (SIGTERM) and started from NEW, later from OLD again, while changes of the
configuration go on. At the end all are killed at once and started once more. The run fails if an acknowledged
change is not in the configuration, if a proper change is refused (any 4xx status, 412 for an acknowledged
version included), or if a node exits unexpectedly.

Everything runs on loopback. The program knows the deploy file's command, the settings file and the operator
API, and imports nothing of either checkout.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

IPS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
FIRST_PORT, LAST_PORT = 20_000, 30_000
STOP_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.05
CHANGE_TIMEOUT_S = 30.0
CHANGES_BETWEEN_RESTARTS = 15


class RehearsalError(Exception):
    """A change was lost or refused, or a node exited unexpectedly."""


@dataclass
class ControlNode:
    """One machine: an address, a disk, and a process of one of the two checkouts."""

    name: str
    ip: str
    port: int
    folder: Path
    seeds: Sequence[str]
    platform: str
    process: asyncio.subprocess.Process | None = None
    checkout: Path | None = None

    @property
    def address(self) -> str:
        """The address of the operator API."""
        return f"{self.ip}:{self.port + 2}"

    def _settings(self) -> dict[str, object]:
        data_dir = self.folder / "data"
        data_dir.mkdir(parents=True, exist_ok=True)
        return {
            "node-name": self.name,
            "role": "control",
            "ip": self.ip,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen": {"control": self.address},
            "internal-ports": [self.port, self.port + 1],
            "seeds": list(self.seeds),
            "bootstrap": True,
            "counts-for-quorum": True,
            "data-dir": str(data_dir),
            "fault-tolerance": {"machines": 1},
            "bounds": {"lease-ms": 1000, "grace-s": 2},
            "cloud": {"address": self.platform, "rate-per-s": 40, "lag-ms": 100},
        }

    async def start(self, checkout: Path) -> None:
        """Start the process of a checkout on this disk."""
        settings = self.folder / "boot.json"
        self.folder.mkdir(exist_ok=True)
        settings.write_text(json.dumps(self._settings()))
        self.checkout = checkout
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "granitewell.cli.system", "control"),
                cwd=checkout,
                env={**os.environ, "PYTHONPATH": str(checkout), "GRANITEWELL_NODE_FILE": str(settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self, *, kill: bool) -> None:
        """End the process by SIGKILL, or by SIGTERM with SIGKILL after a while."""
        process = self.process
        if process is None or process.returncode is not None:
            raise RehearsalError(f"{self.name} ended by itself with {process and process.returncode}")
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        self.process = None

    def log(self) -> str:
        """Return the log of all its processes."""
        return (self.folder / "log").read_text(errors="replace")


@dataclass
class Operator:
    """Changes the configuration continuously and records what was acknowledged."""

    session: aiohttp.ClientSession
    addresses: Sequence[str]
    version: int = 0
    routes: dict[str, int] = field(default_factory=dict)
    changes: int = 0
    failed_calls: int = 0
    longest_change_s: float = 0.0

    async def change(self) -> None:
        """Make one change and send it until it is acknowledged."""
        started_at = time.monotonic()
        name, timeout_ms = f"route-{self.changes % 7}", 1000 + self.changes
        method, document = self._document(name, timeout_ms)
        while time.monotonic() - started_at < CHANGE_TIMEOUT_S:
            status, body = await self._send(method, document)
            if status == 200:
                self.version, self.routes[name] = body["version"], timeout_ms
                self.changes += 1
                self.longest_change_s = max(self.longest_change_s, time.monotonic() - started_at)
                return
            if 400 <= status < 500 and status not in (408, 429):
                raise RehearsalError(f"change {self.changes} was refused: {status} {body}")
            self.failed_calls += 1
            await asyncio.sleep(RETRY_DELAY_S)
        raise RehearsalError(f"change {self.changes} was not acknowledged in {CHANGE_TIMEOUT_S} s")

    def _document(self, name: str, timeout_ms: int) -> tuple[str, dict[str, Any]]:
        route = {
            "name": name,
            "host": "h.example",
            "prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout-ms": timeout_ms,
            "service": "s",
        }
        if self.version == 0:
            return "PUT", {"version": 1, "routes": [route], "services": [{"name": "s"}]}
        return "PATCH", {"version": self.version + 1, "upsert": {"routes": [route]}}

    async def _send(self, method: str, document: dict[str, Any] | None) -> tuple[int, Any]:
        """Send one call to a random node; returns status 0 if there is no answer."""
        address = random.choice(list(self.addresses))
        headers = {"If-Match": str(self.version)} if document is not None else {}
        try:
            async with self.session.request(
                method,
                f"http://{address}/config",
                headers=headers,
                data=None if document is None else json.dumps(document),
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def verify(self) -> None:
        """Read the configuration back and compare it with what was acknowledged."""
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < deadline:
            status, body = await self._send("GET", None)
            if status == 200:
                found = {route["name"]: route["timeout-ms"] for route in body["routes"]}
                if (body["version"], found) != (self.version, self.routes):
                    raise RehearsalError(f"acknowledged: {self.version} {self.routes}; read: {body}")
                return
            await asyncio.sleep(RETRY_DELAY_S)
        raise RehearsalError("the configuration can't be read")


def free_port() -> int:
    """Return the first of three consecutive ports that are free on all addresses."""
    for _ in range(200):
        first = random.randrange(FIRST_PORT, LAST_PORT)
        if all(_is_free(ip, first + number) for ip in IPS for number in range(3)):
            return first
    raise OSError("no free ports on loopback")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


async def restart_each(nodes: Sequence[ControlNode], checkout: Path, operator: Operator) -> None:
    """Restart the nodes one after the other from a checkout.

    Every second one is killed, the others are stopped.
    """
    for number, node in enumerate(nodes):
        await node.end(kill=number % 2 == 0)
        await operator.change()
        await node.start(checkout)
        for _ in range(CHANGES_BETWEEN_RESTARTS):
            await operator.change()
        await operator.verify()


async def restart_all(nodes: Sequence[ControlNode], checkout: Path, operator: Operator) -> None:
    """Kill all nodes at once and start them again."""
    await asyncio.gather(*(node.end(kill=True) for node in nodes))
    for node in nodes:
        await node.start(checkout)
    await operator.verify()
    await operator.change()
    await operator.verify()


async def rehearse(old: Path, new: Path, rounds: int, folder: Path) -> Operator:
    """Run the whole rehearsal; raises RehearsalError."""
    port = free_port()
    platform_address = f"{IPS[0]}:{LAST_PORT + 1 + random.randrange(2000)}"
    seeds = [f"{ip}:{port + 2}" for ip in IPS]
    nodes = [
        ControlNode(f"core-{number}", ip, port, folder / f"core-{number}", seeds, platform_address)
        for number, ip in enumerate(IPS, 1)
    ]
    for node in nodes:
        await node.start(old)
    try:
        async with aiohttp.ClientSession() as session:
            operator = Operator(session, seeds)
            for _ in range(CHANGES_BETWEEN_RESTARTS):
                await operator.change()
            for _ in range(rounds):
                for checkout in (new, old, new):
                    await restart_each(nodes, checkout, operator)
                    print(f"all nodes run {checkout}: {operator.changes} changes acknowledged", flush=True)
                await restart_all(nodes, new, operator)
                await restart_all(nodes, old, operator)
        return operator
    except RehearsalError:
        for node in nodes:
            print(f"--- {node.name}\n{node.log()[-2000:]}", file=sys.stderr)
        raise
    finally:
        running = [node for node in nodes if node.process is not None and node.process.returncode is None]
        await asyncio.gather(*(node.end(kill=True) for node in running))


def main(arguments: Sequence[str]) -> int:
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.mixed_versions", description="Old nodes beside new ones."
    )
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--rounds", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as folder:
        try:
            operator = asyncio.run(
                rehearse(options.old.resolve(), options.new.resolve(), options.rounds, Path(folder))
            )
        except RehearsalError as error:
            print(f"FAILED: {error}")
            return 1
    print(
        f"{operator.changes} changes acknowledged and read back, none lost or refused; "
        f"{operator.failed_calls} unclear answers, the longest change took {operator.longest_change_s:.2f} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
