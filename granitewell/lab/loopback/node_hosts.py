"""The places of nodes in a run on sockets.

Their real processes, one after another, and what the day does to them.

It owns configuration files, starts, signals and CPU limits of node processes, and what is witnessed of them.
It must never tell a node anything but by its configuration, its signals and its discovery agent.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

import granitewell
from granitewell.lab.day import Day, NodeDay
from granitewell.lab.loopback.agent import Agent
from granitewell.lab.loopback.children import Child, Children
from granitewell.lab.loopback.clock import Agenda
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.platform import node_config
from granitewell.lab.witness import Witness

PROGRAM = (sys.executable, "-m", "granitewell")
KILL_US = 3_000_000  # SIGKILL follows SIGTERM after the longest deadline, counted as this at least,
KILL_SPARE_US = 700_000  # and so much more
PERIOD_S = 0.1  # over which a CPU limit is kept, as the kernel's own does by default
STEP_S = 0.005  # between two looks at what a limited process has used
Tell = Callable[..., None]


def environment() -> dict[str, str]:
    """What all processes of a run get: this program's own sources, wherever they lie."""
    root = str(Path(granitewell.__file__).parents[1])
    path = os.environ.get("PYTHONPATH", "")
    return os.environ | {"PYTHONPATH": f"{root}{os.pathsep}{path}" if path else root}


class More(Protocol):
    """What else a process that is about to start is told."""

    def env(self, name: str) -> Mapping[str, str]:
        """In its environment."""

    def config(self, config: dict[str, Any]) -> dict[str, Any]:
        """In its configuration."""


class NodeHost:
    """One node.

    Attributes:
        process: None while none runs.
    """

    def __init__(
        self, day: Day, place: NodePlace, agent: Agent, agenda: Agenda, children: Children, out: Path,
        witness: Witness, tell: Tell, program: tuple[str, ...],
        more: More | None = None, shared: socket.socket | None = None,
    ) -> None:  # fmt: skip
        """tell(do=..., name=...): orders for whoever plays the front.

        Args:
            shared: The clients' listener, where the platform holds it, so that a second process may start
                beside the first.
        """
        self.place, self.agent = place, agent
        self._day, self._agenda, self._children, self._out = day, agenda, children, out
        self._witness, self._tell, self._program = witness, tell, program
        self._more, self._shared = more, shared
        self.beside: Child | None = None  # of an upgrade: the process that is to take the place
        self.spec: NodeDay = next(n for n in day.nodes if n.name == place.name)
        self.process: Child | None = None
        self.ready = False
        self.exits: list[int] = []  # exit codes of those that ended by themselves, without being asked to
        self._starts = 0
        self._planned = False
        self._killed = False  # by the run, and witnessed as gone
        self._holds: set[str] = set()  # why the process stands still
        self._limit: asyncio.Task[None] | None = None
        self._share = 1.0  # of one core
        self.limit_cpu(1.0)

    @property
    def name(self) -> str:
        """The node's name."""
        return self.place.name

    @property
    def planned(self) -> bool:
        """Is the end of its process the run's own doing?"""
        return self._planned

    @property
    def log(self) -> Path:
        """Where its processes write."""
        return self._out / f"node-{self.name}.log"

    def _write_config(self) -> Path:
        path, host = self._out / f"node-{self.name}.json", self.place
        agent = "%s:%d" % self.agent.address
        listen = f"{host.host}:{host.port}"
        config = node_config(self._day, self.name, listen, agent, self.agent.held(), self._starts)
        if self._more is not None:
            config = self._more.config(config)
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)  # a node that reads it just now sees the old file or the new one
        return path

    # --- Life ---------------------------------------------------------------------------------------------
    def start(self) -> None:
        """A process begins, with the list as the one before it last had it. One that is there stays."""
        if self.process is not None:
            return
        path = self._write_config()
        self._planned = self._killed = self.ready = False
        self._witness.node_up(self._agenda.clock.now(), self.name, self.spec.zone)
        self.agent.forget()
        self.process = self._started(path)
        self._tell(do="node_up", name=self.name)
        if self._holds:
            self.process.signal(signal.SIGSTOP)

    def _started(self, path: Path) -> Child:
        self._starts += 1
        env = environment() | {
            "LB_CONFIG": str(path), "LB_NAME": self.name, "LB_LISTEN": f"{self.place.host}:{self.place.port}",
            "LB_DISCOVERY": "%s:%d" % self.agent.address,
        }  # fmt: skip
        env |= self._more.env(self.name) if self._more is not None else {}
        fds: tuple[int, ...] = ()
        if self._shared is not None:
            fds = (self._shared.fileno(),)
            env["LB_INHERITED_FD"] = str(fds[0])
        name = f"node {self.name}"
        child: Child = self._children.start(
            name, self._program, env, self.log, lambda code: self._ended(child, code), None, fds
        )
        return child

    def upgrade(self) -> None:
        """A second process begins beside the first, with the same listener."""
        if self.process is not None and self.beside is None and self._shared is not None:
            self.beside = self._started(self._write_config())

    def hand_over(self) -> None:
        """The first is asked to stop; the second is the node's process from now on."""
        if self.process is not None and self.beside is not None:
            self.process.signal(signal.SIGTERM)

    def _ended(self, child: Child, code: int) -> None:
        if child is self.beside:  # it has come to nothing, and the first goes on
            self.beside = None
            return
        if child is not self.process:
            return
        if self.beside is not None:
            self.process, self.beside = self.beside, None
            if code == -signal.SIGKILL:  # the run's own doing: what that process had taken is lost
                now = self._agenda.clock.now()
                self._witness.node_down(now, self.name, True, code)
                self._witness.node_up(now, self.name, self.spec.zone)
            elif code and not self._planned:
                self.exits.append(code)
            return
        self.process = None
        if not self._planned:
            self.exits.append(code)
        if not self._killed:
            self._witness.node_down(self._agenda.clock.now(), self.name, self._planned, code)
        self._tell(do="node_down", name=self.name)

    def kill(self) -> None:
        """SIGKILL.

        The process is gone from now on, whenever this one comes to see its exit: clients see the end of their
        connections at once, and the judge waits half a second for the reason.
        """
        if self.process is None:
            return
        if self.beside is None and not self._killed:
            self._witness.node_down(self._agenda.clock.now(), self.name, True, -signal.SIGKILL)
            self._killed = True
        self._planned = True
        self.process.signal(signal.SIGKILL)

    def stop(self) -> None:
        """SIGTERM, and SIGKILL in its time."""
        if self.process is None:
            return
        now, process = self._agenda.clock.now(), self.process
        self._planned = True
        self._witness.node_stopping(now, self.name)
        self._tell(do="node_stopping", name=self.name)
        process.signal(signal.SIGTERM)
        longest = max(max(c.deadline_us for c in self._day.classes), KILL_US)
        self._agenda.at(now + longest + KILL_SPARE_US, process.signal, signal.SIGKILL)

    def reload(self) -> None:
        """SIGHUP, with a file that names discovery's address of now."""
        self._write_config()
        if self.process is not None:
            self.process.signal(signal.SIGHUP)

    def close(self) -> None:
        """The run is over."""
        if self._limit is not None:
            self._limit.cancel()

    def release(self) -> None:
        """Whatever the day does to the process ends."""
        self.limit_cpu(1.0)
        for why in sorted(self._holds):
            self.hold(why, False)

    # --- Standing still -----------------------------------------------------------------------------------
    def hold(self, why: str, on: bool) -> None:
        """The process stands still for as long as there is any reason for it."""
        before = bool(self._holds)
        (self._holds.add if on else self._holds.discard)(why)
        if self.process is not None and before != bool(self._holds):
            self.process.signal(signal.SIGSTOP if self._holds else signal.SIGCONT)

    def limit_cpu(self, cores: float) -> None:
        """It gets so much of one core, or of what the day gives it where that is less."""
        self._share = min(cores, self.spec.cpu)
        if self._share < 1.0 and self._limit is None:
            self._limit = asyncio.get_running_loop().create_task(self._keep_limit())

    async def _keep_limit(self) -> None:
        """Stop the process whenever it has used up what a limit below one core has given it so far."""
        loop, child = asyncio.get_running_loop(), self.process
        used, saved, last = _cpu_s(child), 0.0, loop.time()
        while self._share < 1.0:
            await asyncio.sleep(STEP_S)
            if self.process is not child:
                child, used, saved = self.process, 0.0, 0.0  # what its start costs counts, too
            now, spent = loop.time(), _cpu_s(child)
            saved = min(saved + (now - last) * self._share, PERIOD_S * self._share) - (spent - used)
            used, last = spent, now
            self.hold("cpu", child is not None and saved < 0.0)
        self.hold("cpu", False)
        self._limit = None


def _cpu_s(child: Child | None) -> float:
    """CPU seconds that a process has used, of all its threads."""
    total = 0
    with contextlib.suppress(OSError, ValueError, IndexError):
        tasks = Path(f"/proc/{child.pid if child is not None else 0}/task")
        for thread in tasks.iterdir():
            total += int((thread / "schedstat").read_text().split()[0])
    return total / 1e9
