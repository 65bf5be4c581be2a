"""An edge keeps the bodies of requests that have ended, until it is over its memory.

Exit code 1: on two edges, the process was ended three times for memory beyond `memory-mb`. 0: it was not.
2: the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import aiohttp  # noqa: E402
from standins_2 import (  # noqa: E402
    CONTROL_IPS,
    DEADLINE_MS,
    EDGE_IPS,
    EDGE_LIMITS,
    LIMITS,
    REQUEST_ID,
    SEAL,
    Node,
    Platform,
    Record,
    Server,
    first_free_port,
    put_configuration,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Below max-body-bytes (4,194,304); without the trouble the largest body of the sheet's kinds of requests.
BODY_BYTES = 4_000_000 if TROUBLE else 28_000
TRAFFIC_S = 65.0
REQUESTS_PER_S = 5.0  # at each edge, one at a time
RESTART_S = 0.5  # from a process's end to its next start by the platform
MEMORY_CHECK_S = 0.02
MEMORY_MB = float(EDGE_LIMITS["memory-mb"])
ENDS_OF_ONE, EDGES_HIT = 3, 2  # rule Fault: three times in the day, on two machines at least
SERVICE, HOST = "menu-planner", "menu.example"
CONFIGURATION = {
    "version": 5,
    "routes": [{"name": "r-menu", "host": HOST, "prefix": "/menu/", "kind": "non_idempotent",
                "timeout-ms": 1500, "target-ms": 200, "priority": 2, "service": SERVICE,
                "max-attempts": 2}],
    "services": [{"name": SERVICE, "health-path": "/healthz", "max-connections": 110, "protocol": "h1",
                  "tls": False}],
    "limits": LIMITS,
}  # fmt: skip


class Case:
    """One run of the case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(HERE / "record.txt")
        port = first_free_port()
        self.controls = [
            Node("control", ip, port, folder, f"core-{n}") for n, ip in enumerate(CONTROL_IPS, 1)
        ]
        self.edges = [Node("edge", ip, port, folder, f"edge-{n}") for n, ip in enumerate(EDGE_IPS, 1)]
        self.servers = [Server(f"i-{n}", SERVICE, 0.03, 6, self.record) for n in range(1, 5)]
        self.platform = Platform(self.servers)
        self.ends: Counter[str] = Counter()
        self.peak: dict[str, float] = {}
        self.answers: Counter[str] = Counter()
        self._number = 0

    async def run(self) -> int:
        """Run the case; return the exit code."""
        tasks: list[asyncio.Task[None]] = []
        try:
            async with aiohttp.ClientSession() as session:
                if not await self._begin(session):
                    return 2
                for edge in self.edges:
                    tasks.append(asyncio.create_task(self._limit_memory(edge)))
                    tasks.append(asyncio.create_task(self._ask(session, edge)))
                await asyncio.sleep(TRAFFIC_S)
                return self._verdict()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for node in [*self.edges, *self.controls]:
                await node.kill()
            await self.platform.stop()
            for server in self.servers:
                await server.stop()

    async def _begin(self, session: aiohttp.ClientSession) -> bool:
        for server in self.servers:
            await server.start()
        await self.platform.start()
        seeds = [node.control for node in self.controls]
        for node in [*self.controls, *self.edges]:
            node.write_settings(seeds, self.platform.address)
            await node.start()
        if not await put_configuration(session, self.controls, CONFIGURATION, 0):
            return False
        return all([await wait_ready(session, edge, 15.0) for edge in self.edges])

    async def _limit_memory(self, edge: Node) -> None:
        """Do as the platform does: end a process that is over its memory, and start it again."""
        while True:
            used = edge.memory_mb()
            self.peak[edge.name] = max(self.peak.get(edge.name, 0.0), used)
            if used > MEMORY_MB:
                self.ends[edge.name] += 1
                self.record.line(f"{edge.name} has {used:.0f} MB of {MEMORY_MB:.0f}: ended", show=True)
                await edge.kill()
                await asyncio.sleep(RESTART_S)
                await edge.start()
            await asyncio.sleep(MEMORY_CHECK_S)

    async def _ask(self, session: aiohttp.ClientSession, edge: Node) -> None:
        """Send requests to one edge, one at a time."""
        body = b"o" * BODY_BYTES
        while True:
            next_at = asyncio.get_running_loop().time() + 1.0 / REQUESTS_PER_S
            self._number += 1
            request_id = f"{self._number:016x}"
            answer = await self._ask_once(session, edge, request_id, body)
            self.answers[answer] += 1
            self.record.line(f"{edge.name} {request_id}: {answer}; {edge.memory_mb():.0f} MB")
            await asyncio.sleep(max(next_at - asyncio.get_running_loop().time(), 0.0))

    async def _ask_once(
        self, session: aiohttp.ClientSession, edge: Node, request_id: str, body: bytes
    ) -> str:
        headers = {"Host": HOST, REQUEST_ID: request_id, DEADLINE_MS: "1500"}
        try:
            async with session.post(
                f"http://{edge.front}/menu/order",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=1.5),
            ) as response:
                await response.read()
                sealed = SEAL in response.headers
                return f"{response.status}{' sealed' if sealed else ''}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return type(error).__name__

    def _verdict(self) -> int:
        for name in sorted(self.peak):
            self.record.line(
                f"{name}: peak {self.peak[name]:.0f} MB, ended {self.ends[name]} times", show=True
            )
        self.record.line(f"answers: {dict(self.answers)}", show=True)
        if self.answers["200 sealed"] < TRAFFIC_S:  # too few requests were served to say anything
            return 2
        hit = sum(self.ends[edge.name] >= ENDS_OF_ONE for edge in self.edges)
        return 1 if hit >= EDGES_HIT else 0


def main() -> int:
    """Run the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Case(Path(folder)).run())


if __name__ == "__main__":
    sys.exit(main())
