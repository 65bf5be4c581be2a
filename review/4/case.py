"""A control node that comes with an empty disk never joins its group, and the next loss ends the group.

Exit code 1: the acknowledged configuration can no longer be read after losses that `fault-tolerance` allows.
0: it can. 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1])]

import aiohttp  # noqa: E402
from standins_2 import (  # noqa: E402
    BOUNDS,
    CONTROL_IPS,
    EDGE_IPS,
    LIMITS,
    Node,
    Platform,
    Record,
    first_free_port,
    put_configuration,
)

from granitewell.coordination.rendezvous import rank  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANY_NAMES = os.environ.get("NAMES") == "any"  # names by lot in place of the chosen ones
GATEWAY_IPS = (*EDGE_IPS, "127.0.0.23")
NEW_CORE_IP = "127.0.0.14"
SERVICE = "durak-servis"
RESTART_S = 0.5  # from the kill of the edge machines' processes to their next start (herd_kill)
JOIN_S = 15.0  # above catch-up-s (4 s): then the removed core machine no longer counts as lost
WIPED_FOR_S = 3.0  # after_ack_wipe: for_s
READ_S = 25.0  # above recovery-s (12 s) and contact-ms (3 s): the operator asks again and again


def configuration(version: int) -> dict[str, Any]:
    """Return a whole configuration."""
    route = {"name": "r-stand", "host": "stand.example", "prefix": f"/v{version}/", "kind": "non_idempotent",
             "timeout-ms": 600, "target-ms": 125, "priority": 2, "service": SERVICE,
             "max-attempts": 2}  # fmt: skip
    service = {"name": SERVICE, "health-path": "/healthz", "max-connections": 110, "protocol": "h1",
               "tls": False}  # fmt: skip
    return {"version": version, "routes": [route], "services": [service], "limits": LIMITS}


class Case:
    """One run of the case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(HERE / "record.txt")
        port = first_free_port()
        self.core = [Node("control", ip, port, folder, f"core-{n}") for n, ip in enumerate(CONTROL_IPS, 1)]
        self.new = Node("control", NEW_CORE_IP, port, folder, "core-4")
        names = self._gateway_names(port)
        self.gateways = [
            Node("control-on-edge", ip, port, folder, name)
            for name, ip in zip(names, GATEWAY_IPS, strict=True)
        ]
        self.platform = Platform()

    def _gateway_names(self, port: int) -> Sequence[str]:
        """Return names of the edge machines with which each of them polls the new core machine first."""
        internal = {ip: f"{ip}:{port}" for ip in (*CONTROL_IPS, *GATEWAY_IPS, NEW_CORE_IP)}
        names = []
        for ip in GATEWAY_IPS:
            others = [internal[other] for other in GATEWAY_IPS if other != ip]
            members = [internal[other] for other in CONTROL_IPS]
            for number in range(100_000):
                name = f"edge-{ip.rpartition('.')[2]}-{number}"
                order = rank(name, [*others, *members, internal[NEW_CORE_IP]])
                if ANY_NAMES or (order[0] in others and order[1] == internal[NEW_CORE_IP]):
                    names.append(name)
                    break
        return names

    async def run(self) -> int:
        """Run the case; return the exit code."""
        try:
            async with aiohttp.ClientSession() as session:
                return await self._play(session)
        finally:
            for node in [*self.gateways, *self.core, self.new]:
                await node.kill()
            await self.platform.stop()

    async def _play(self, session: aiohttp.ClientSession) -> int:
        first, second, third = self.core
        await self.platform.start()
        seeds = [node.control for node in self.core]
        for node in [*self.core, *self.gateways]:
            node.write_settings(seeds, self.platform.address)
            await node.start()
        if not await put_configuration(session, self.core, configuration(5), 0):
            return 2
        self.record.line("version 5 acknowledged", show=True)

        turned = [node.control for node in self.gateways]
        for node in [*self.core, *self.gateways]:  # seed_turnover: other machines that serve control
            node.write_settings(turned, self.platform.address, bootstrap=False)
        await asyncio.sleep(3.0)  # the files are looked at every second

        self.record.line(f"{third.name} is gone for good; {self.new.name} comes, its disk empty", show=True)
        await third.kill()  # replace_core
        self.new.write_settings(turned, self.platform.address, bootstrap=False)
        await self.new.start()
        if TROUBLE:
            self.record.line("the processes of the edge machines are killed, and started again", show=True)
            for node in self.gateways:  # herd_kill
                await node.kill()
            await asyncio.sleep(RESTART_S)
            for node in self.gateways:
                await node.start()
        await asyncio.sleep(JOIN_S)
        await self._record_answers(session)
        self._record_processor_time()

        if not await put_configuration(session, [first, second, self.new], configuration(7), 5):
            return 2
        self.record.line(f"version 7 acknowledged; {first.name} loses its disk", show=True)
        await first.kill()  # after_ack_wipe: one machine, which is what fault-tolerance allows
        shutil.rmtree(first.folder / "data")
        await asyncio.sleep(WIPED_FOR_S)
        first.write_settings(turned, self.platform.address, bootstrap=False)
        await first.start()
        return await self._read_back(session)

    async def _read_back(self, session: aiohttp.ClientSession) -> int:
        """Read the configuration at every machine that serves control, until it comes."""
        machines = [*self.core[:2], self.new, *self.gateways]
        deadline = self.record.now() + READ_S
        while self.record.now() < deadline:
            for node in machines:
                status, body = await self._ask(session, node)
                if status == 200:
                    version = json.loads(body)["version"]
                    self.record.line(f"{node.name} answers version {version}", show=True)
                    return 0 if version == 7 else 1
            await asyncio.sleep(0.2)
        await self._record_answers(session)
        self.record.line("version 7 was acknowledged and can't be read any more", show=True)
        return 1

    async def _ask(self, session: aiohttp.ClientSession, node: Node) -> tuple[int, bytes]:
        try:
            async with session.get(
                f"http://{node.control}/config", timeout=aiohttp.ClientTimeout(total=1.5)
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def _record_answers(self, session: aiohttp.ClientSession) -> None:
        for node in [*self.core, self.new, *self.gateways]:
            status, body = await self._ask(session, node)
            self.record.line(f"GET /config at {node.name}: {status or 'no answer'} {body[:60]!r}", show=True)

    def _record_processor_time(self) -> None:
        for node in [self.new, *self.gateways]:
            self.record.line(f"{node.name} has used {node.processor_s():.1f} s of processor time", show=True)


def main() -> int:
    """Run the case in a temporary folder."""
    assert BOUNDS["catch-up-s"] < JOIN_S
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Case(Path(folder)).run())


if __name__ == "__main__":
    sys.exit(main())
