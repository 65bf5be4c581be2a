"""A few started nodes that know each other, with nothing between them and no load: for what one node says."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from granitewell.cli.cluster import query_node
from granitewell.lab.loopback.plan import Range
from granitewell.status.types import StatusAddress
from tests.exchange_player import settings

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 30.0  # for any one thing to happen; only a failing test waits so long


class Few:
    """Nodes n0, n1, ... in a range of addresses of their own."""

    def __init__(self, folder: Path, count: int, balancers: int = 1) -> None:
        self.folder, self.range = folder, Range()
        self.names = [f"n{k}" for k in range(count)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.keys = ["00" * 32]
        self._settings = settings() | {"balancers": balancers}
        for name in self.names:
            (folder / name).mkdir()
            self.write(name)

    def host(self, name: str) -> str:
        return f"127.{self.range.base}.0.{int(name[1:]) + 1}"

    def write(self, name: str, **changes: Any) -> None:
        """Both of a node's files, and its keys."""
        place, host = self.folder / name, self.host(name)
        keys = place / "keys"
        keys.touch(mode=0o600)
        keys.write_text("\n".join(self.keys))
        table = {
            "name": name, "bind": f"{host}:7946", "seeds": [f"{self.host('n0')}:7946"], "keys": str(keys),
            "folder": str(place / "kept"),
        } | changes  # fmt: skip
        rows = "\n".join(f"{k} = {json.dumps(v)}" for k, v in table.items())
        (place / "operator.toml").write_text(f'[status]\nat = "{self.at(name)}"\n[cluster]\n{rows}\n')
        (place / "config.json").write_text(json.dumps({
            "name": name, "listen": f"{host}:9000", "discovery": f"{host}:9001", "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": {},
            "settings": self._settings,
        }))  # fmt: skip

    def at(self, name: str) -> str:
        return str(self.folder / name / "s")

    def start(self, *names: str) -> None:
        for name in names or self.names:
            place = self.folder / name
            env = os.environ | {
                "LB_CONFIG": str(place / "config.json"), "LB_OPERATOR": str(place / "operator.toml"),
                "TMPDIR": str(place), "PYTHONPATH": str(ROOT),
            }  # fmt: skip
            with (place / "log").open("ab") as log:
                command = [sys.executable, "-m", "granitewell"]
                self.processes[name] = subprocess.Popen(command, env=env, stderr=log)

    def view(self, name: str) -> dict[str, Any]:
        made: dict[str, Any] = query_node(StatusAddress(path=self.at(name)), "/cluster")
        return made

    def states(self, name: str) -> dict[str, str]:
        """What a node has of each member; nothing while nobody answers there."""
        try:
            return {m["name"]: m["state"] for m in self.view(name)["members"]}
        except Exception:
            return {}

    def log(self, name: str) -> str:
        return (self.folder / name / "log").read_text(errors="replace")

    def send(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def end(self, name: str, number: int = signal.SIGKILL) -> int:
        self.send(name, number)
        return self.processes[name].wait(LIMIT_S)

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.range.close()


@contextmanager
def few(folder: Path, count: int, **more: Any) -> Iterator[Few]:
    made = Few(folder, count, **more)
    try:
        yield made
    finally:
        made.close()


def until(done: Callable[[], object]) -> None:
    end = time.monotonic() + LIMIT_S
    while not done():
        assert time.monotonic() < end, "it never came to that"
        time.sleep(0.05)
