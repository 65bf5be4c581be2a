"""One run: a day's load on started nodes that know each other, and a schedule of troubles between them.

It owns what stands beside the day (the switch, the nodes' operator files, folders and keys, second processes)
and does the schedule's troubles to them. It must never judge, tell a node anything but by its files and
signals, or leave a process behind: all are the director's children.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import asdict, replace
from pathlib import Path
from random import Random
from typing import Any

from granitewell.durable_folder import SLOTS
from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.engine import stream
from granitewell.lab.fleet import fault_effects
from granitewell.lab.fleet.plan import Door, FleetPlan, doors
from granitewell.lab.fleet.status_polling import ASK_COUNTS, Look, StatusPoller, look_of
from granitewell.lab.fleet.types import KINDS, Schedule
from granitewell.lab.judge.counts import CountReading
from granitewell.lab.judge.view import ViewJudge
from granitewell.lab.loopback.children import Child
from granitewell.lab.loopback.director import Director
from granitewell.lab.loopback.node_hosts import NodeHost, environment
from granitewell.lab.loopback.plan import SocksError
from granitewell.lab.platform import node_config

EVERY_S = 0.25  # between two looks at a node,
COUNTS_S = 0.5  # and at what it counts
SLICES = 60  # of a window
FLOOR_PART, CEILING = 0.5, 4.0  # of the day's rate: what a silent node is held to take, and at the most
BIND_S = 20.0
TELL_S = 10.0
KNOCK_S = 0.02  # between two tries whether a listener is gone
MAX_RUMOURS, MAX_RUMOURS_S = 200, 5  # letters of news alone that a node may send, and more a second
AHEAD_NS = 600_000_000_000
ROADS = frozenset({"cut", "oneway", "alone", "mute", "deaf", "link", "band", "snap", "torn", "half", "hold",
                   "noise"})  # fmt: skip


class Rig:
    """Stands beside a director's day; see `director.Beside`."""

    def __init__(self, schedule: Schedule, out: Path, judge: ViewJudge) -> None:
        self.schedule, self.out, self.judge = schedule, out, judge
        self.looks: list[tuple[Look, str]] = []  # and what is to be said of each, as the judge has it
        self.seen: dict[str, Any] = {}
        self.told: list[CountReading] = []  # of counts, by nodes
        self.done: list[tuple[Trouble, int, bool]] = []  # as it was done, when, and whether it began
        self.late_us = 0  # the most by which a trouble came late
        self.cpu_s: dict[str, float] = {}
        self._rng: Random = stream(schedule.seed, "rig")
        self._short = tempfile.mkdtemp(prefix="gwf-")  # paths of sockets have 107 bytes at most
        self._keys = [self._rng.randbytes(32).hex() for _ in range(2)]
        self._director: Director | None = None
        self._switch: Child | None = None
        self._bound = False
        self._status_pollers: list[StatusPoller] = []
        self._places: dict[str, Door] = {}
        self._second: set[str] = set()  # nodes that stand at their second place
        self._names: dict[str, str] = {}  # other names under which nodes go
        self._twins: dict[tuple[str, int], Child] = {}
        self._zero_ns = time.monotonic_ns() + AHEAD_NS  # until the day begins, and it is known when
        self._acts: dict[str, Callable[[Trouble, bool], None]] = {
            "kill": self._kill, "lose": self._kill, "moved": self._kill, "renamed": self._kill,
            "term": self._term, "stall": self._stall, "cpu": self._cpu, "files": self._files,
            "size": self._size, "twin": self._twin, "upgrade": self._upgrade, "rekey": self._rekey,
        }  # fmt: skip

    # --- Beside a day -----------------------------------------------------------------------------------
    async def up(self, director: Director) -> None:
        """The switch stands, files and folders are there."""
        self._director = director
        base = director.base
        places = doors(self.schedule.names, base)
        self._places = {d.id: d for d in places}
        plan = FleetPlan(places, tuple(self._keys), self.schedule.seed, self.schedule.link)
        path = self.out / "fleet.json"
        plan.save(path)
        for name in self.schedule.names:
            Path(self._short, name, "kept").mkdir(parents=True)
            self._write_keys(name, self._keys[:1])
        if self.schedule.cluster:
            module = "granitewell.lab.fleet.switch"
            self._switch = director.stand_in("switch", module, str(path), news=self._heard)
            until = time.monotonic() + BIND_S
            while not self._bound:
                director.look()
                if time.monotonic() > until:
                    raise SocksError("the switch did not come up")
                await asyncio.sleep(0.02)
            paths = {name: str(self._door_path(name)) for name in self.schedule.names}
            self._status_pollers = [StatusPoller(paths, EVERY_S, self.now, self._saw)]
            if self.schedule.window_s:
                self._status_pollers.append(
                    StatusPoller(paths, COUNTS_S, self.now, self._counted, ASK_COUNTS)
                )
            for door in self._status_pollers:
                door.begin()

    def _heard(self, words: dict[str, Any]) -> None:
        if "bound" in words:
            self._bound = True
        elif "seen" in words:
            self.seen = words["seen"]

    def _counted(self, node: str, at_us: int, answer: dict[str, Any] | None) -> None:
        """What a node says that all have used, by the day's time at which it said so."""
        if answer is None or at_us < 0:
            return
        told_us = answer["machine_us"] - self._zero_ns // 1000
        for row in answer["keys"]:
            self.told.append(CountReading(told_us, node, row["key"] or "", row["low"], row["high"]))

    def _saw(self, node: str, at_us: int, view: dict[str, Any] | None) -> None:
        """To the judge, and for the page."""
        look = look_of(at_us, node, view) if view is not None else Look(at_us, node)
        verdict = self.judge.observe(
            look.at_us, look.node, look.whole, look.up, look.gone, look.most, look.life
        )
        self.looks.append((look, verdict))

    def now(self) -> int:
        """The day's time; negative before it has begun."""
        return (time.monotonic_ns() - self._zero_ns) // 1000

    def env(self, name: str) -> Mapping[str, str]:
        """What the node's next process finds in its environment."""
        folder = Path(self._short, name)
        if not self._beside(name):
            self.judge.up(self.now(), name)
        made = {"TMPDIR": str(folder)}
        if self.schedule.cluster:
            made["LB_OPERATOR"] = str(self._operator(name))
        return made

    def _beside(self, name: str) -> bool:
        """Does a process of the node run already?"""
        node_host = self._director.node_hosts.get(name) if self._director is not None else None
        return node_host is not None and node_host.process is not None

    def shared(self, name: str) -> bool:
        """Whether the platform holds the node's listener."""
        return self.schedule.inherits

    def config(self, config: dict[str, Any]) -> dict[str, Any]:
        """What the platform says, with as many nodes as the schedule has it say."""
        config["settings"]["balancers"] = self.schedule.configured
        return config

    def begin(self, zero_ns: int) -> None:
        """The day's clock begins: what was dated before is dated anew."""
        director = self._director
        assert director is not None
        moved = (self._zero_ns - zero_ns) // 1000
        self._zero_ns = zero_ns
        self.judge.shift_times(moved)
        self.looks = [(replace(look, at_us=look.at_us + moved), verdict) for look, verdict in self.looks]
        if self._switch is not None:
            self._switch.tell(begin_ns=zero_ns)
        agenda = director.agenda
        for t in self.schedule.troubles:
            agenda.at(t.at_us, self._do, t, True)
            if KINDS[t.kind].ends:
                agenda.at(t.until_us, self._do, t, False)

    async def over(self) -> None:
        """The load is over: wait until all agree, or have had their time; then what the switch has seen."""
        while self.schedule.cluster and self.judge.is_awaiting_agreement(self.now()):
            await asyncio.sleep(EVERY_S)
        for name, node_host in self._node_hosts().items():
            if node_host.process is not None:
                self.cpu_s[name] = cpu_s(node_host.process.pid)
        for twin in self._twins.values():
            twin.signal(signal.SIGKILL)
        if self._switch is not None:
            self._switch.tell(do="tell")
            until = time.monotonic() + TELL_S
            while not self.seen and time.monotonic() < until:
                await asyncio.sleep(0.02)
        if self.schedule.cluster:
            self.judge.end(self.now())
        for text in self.seen.get("offences", ()):
            rule, _, what = text.partition(": ")
            self.judge.report_violation(self.now(), rule, what)
        self._chatter()
        for door in self._status_pollers:
            door.end()

    def _chatter(self) -> None:
        """Does anybody pass on news without end?"""
        counts = self.seen.get("counts", {})
        for name in self.schedule.names:
            said = counts.get(f"{name} rumour", 0)
            if said > MAX_RUMOURS + MAX_RUMOURS_S * self.schedule.seconds:
                self.judge.report_violation(
                    self.now(), "chatter", f"{name} has sent {said} letters of news alone"
                )

    def down(self) -> None:
        """Nothing stays behind."""
        for door in self._status_pollers:
            door.end()
        shutil.rmtree(self._short, ignore_errors=True)

    # --- What a node is told ----------------------------------------------------------------------------
    def _door_path(self, name: str) -> Path:
        return Path(self._short, name, "s")

    def _write_keys(self, name: str, keys: list[str]) -> None:
        path = Path(self._short, name, "keys")
        new = path.with_suffix(".new")
        new.touch(mode=0o600)
        new.write_text("\n".join(keys) + "\n")
        new.replace(path)

    def _operator(self, name: str, twin: str = "") -> Path:
        """Write the operator file of a node's next process; its path."""
        folder = Path(self._short, f"{name}{twin}")
        place = self._places[f"{name}+" if twin or name in self._second else name]
        seeds = [self._places[n].at for n in self.schedule.names[: self.schedule.seeds]]
        kept = str(folder / "kept") if self.schedule.lasting else ""
        lines = [
            "[log]", 'level = "info"', "rate = 20.0", "[status]", f'at = "{folder / "s"}"', "connections = 4",
            "seconds = 5.0", "[cluster]", f'name = "{self._names.get(name, name)}"', f'bind = "{place.bind}"',
            f'advertise = "{place.at}"', f"seeds = {json.dumps(seeds)}",
            f'keys = "{Path(self._short, name, "keys")}"', f'folder = "{kept}"', "unheard_s = 86400.0",
        ]  # fmt: skip
        if self.schedule.window_s:
            slice_s, floor = self.schedule.window_s / SLICES, self.schedule.rate * FLOOR_PART
            lines += ["[counts]", f"window_s = {self.schedule.window_s}", f"slice_s = {slice_s}",
                      f"every_s = {min(slice_s, 0.25)}", f"floor_per_s = {max(floor, 1.0)}",
                      f"ceiling_per_s = {max(self.schedule.rate * CEILING, 10.0)}"]  # fmt: skip
        path = folder / "operator.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    # --- Troubles ---------------------------------------------------------------------------------------
    def _node_hosts(self) -> dict[str, NodeHost]:
        assert self._director is not None
        return self._director.node_hosts

    def _do(self, t: Trouble, on: bool) -> None:
        now = self.now()
        self.late_us = max(self.late_us, now - (t.at_us if on else t.until_us))
        self.done.append((t, now, on))
        if t.kind in ROADS:
            self._road(t, on)
        else:
            self._acts[t.kind](t, on)

    def _later(self, wait_us: int, call: Callable[..., Any], *args: Any) -> None:
        assert self._director is not None
        self._director.agenda.at(self.now() + wait_us, call, *args)

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        assert self._director is not None
        self._director.task(job)

    def _road(self, t: Trouble, on: bool) -> None:
        if self._switch is not None:
            self._switch.tell(do="trouble", on=on, trouble=asdict(t))
        fault_effects.tell(self.judge, self.schedule, t, on, self.now())

    def _kill(self, t: Trouble, on: bool) -> None:
        for name in t.nodes:
            node_host = self._node_hosts()[name]
            if on:
                if node_host.process is not None:
                    self.judge.down(self.now(), name, t.kind == "lose" or not self.schedule.lasting)
                node_host.kill()
                if t.kind == "lose":
                    shutil.rmtree(Path(self._short, name, "kept"), ignore_errors=True)
                continue
            if t.kind == "moved":
                self._second ^= {name}
            elif t.kind == "renamed":
                self._names[name] = f"{self._names.get(name, name)}-b"
            self._spawn(self._start(node_host))

    async def _start(self, node_host: NodeHost) -> None:
        """Once the process before is gone."""
        while node_host.process is not None and node_host.process.code is None and node_host.planned:
            await asyncio.sleep(0.01)
        node_host.start()

    def _term(self, t: Trouble, on: bool) -> None:
        for name in t.nodes:
            node_host = self._node_hosts()[name]
            if not on:
                self._spawn(self._start(node_host))
            elif node_host.process is not None:
                there = self.judge.is_member(name)  # one that nobody has heard of yet has nothing to say
                asked_us = self.now()  # it may have said that it leaves before stop() is back
                self.judge.stop_requested(asked_us, name)
                node_host.stop()
                if there and not self.schedule.inherits and self.schedule.cluster:
                    self._spawn(self._knock(node_host, asked_us))

    async def _knock(self, node_host: NodeHost, asked_us: int) -> None:
        """When is the listener of a node that stops gone, and had it said by then that it leaves?"""
        loop = asyncio.get_running_loop()
        while node_host.process is not None:
            with socket.socket() as sock:
                sock.setblocking(False)
                try:
                    async with asyncio.timeout(1.0):
                        await loop.sock_connect(sock, (node_host.place.host, node_host.place.port))
                except ConnectionRefusedError:
                    break
                except (OSError, TimeoutError):
                    pass
            await asyncio.sleep(KNOCK_S)
        closed_us = self.now()
        assert self._switch is not None
        said: list[int] = []
        until = time.monotonic() + TELL_S  # the switch may have had no core, and dates what it reads rightly
        while not said and time.monotonic() < until:
            self.seen = {}
            self._switch.tell(do="tell")
            while not self.seen:
                await asyncio.sleep(0.02)
            said = [at for at in self.seen["left_us"].get(node_host.name, ()) if at >= asked_us]
            await asyncio.sleep(0.1)
        if not said or min(said) > closed_us:
            self.judge.report_violation(closed_us, "first", f"{node_host.name} closed its clients' listener "
                            "before it said that it leaves")  # fmt: skip

    def _stall(self, t: Trouble, on: bool) -> None:
        """The day does that itself, since its judge has to know of it."""
        for name in t.nodes:
            self.judge.set_paused(self.now(), name, on, t.until_us - t.at_us)

    def _cpu(self, t: Trouble, on: bool) -> None:
        for name in t.nodes:
            self._node_hosts()[name].limit_cpu(t.value if on else 1.0)
        self.judge.set_ambiguous(self.now(), (t.kind, t.at_us), on, t.nodes)

    def _files(self, t: Trouble, on: bool) -> None:
        """No more descriptors than it holds now, and value more."""
        for name in t.nodes:
            process = self._node_hosts()[name].process
            if process is None:
                continue
            held = len(os.listdir(f"/proc/{process.pid}/fd"))
            hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
            soft = held + int(t.value) if on else hard
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (soft, hard))

    def _size(self, t: Trouble, on: bool) -> None:
        for name in t.nodes:
            process = self._node_hosts()[name].process
            if process is not None:
                soft = int(t.value) if on else resource.RLIM_INFINITY
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (soft, resource.RLIM_INFINITY))

    def _twin(self, t: Trouble, on: bool) -> None:
        """A second process of that name, at another address."""
        director = self._director
        assert director is not None
        for name in t.nodes:
            key = name, t.at_us
            self.judge.set_duplicate_name(name, on)
            if not on:
                if key in self._twins:
                    self._twins[key].signal(signal.SIGKILL)
                continue
            folder = Path(self._short, f"{name}-twin")
            shutil.rmtree(folder, ignore_errors=True)
            (folder / "kept").mkdir(parents=True)
            if t.how == "copy":
                for slot in SLOTS:
                    with contextlib.suppress(OSError):
                        shutil.copy(Path(self._short, name, "kept", slot), folder / "kept" / slot)
            node_host = self._node_hosts()[name]
            listen = f"{self._places[f'{name}+'].bind.rpartition(':')[0]}:{node_host.place.port}"
            agent = "%s:%d" % node_host.agent.address
            config = self.config(node_config(director.day, name, listen, agent, node_host.agent.held(), 99))
            path = folder / "config.json"
            path.write_text(json.dumps(config))
            env = environment() | {
                "LB_CONFIG": str(path), "LB_NAME": name, "LB_LISTEN": listen, "LB_DISCOVERY": agent,
                "TMPDIR": str(folder), "LB_OPERATOR": str(self._operator(name, "-twin")),
            }  # fmt: skip
            log = self.out / f"node-{name}-twin.log"
            self._twins[key] = director.children.start(
                f"twin of {name}", director.program, env, log, lambda code: None
            )

    def _upgrade(self, t: Trouble, on: bool) -> None:
        for name in t.nodes:
            node_host = self._node_hosts()[name]
            if on:
                self.judge.upgrade(self.now(), name, True)
                node_host.upgrade()
                continue
            old, new = node_host.process, node_host.beside
            if t.how in ("", "kill-old-late"):
                node_host.hand_over()
            if t.how == "kill-old" and old is not None:
                old.signal(signal.SIGKILL)
            elif t.how == "kill-new" and new is not None:
                new.signal(signal.SIGKILL)
            elif t.how == "kill-new-late" and new is not None:
                self.judge.stop_requested(self.now(), name)  # both end: it leaves
                node_host.stop()
                self._later(20_000, new.signal, signal.SIGKILL)
            elif t.how == "kill-old-late" and old is not None:
                self._later(20_000, old.signal, signal.SIGKILL)
            self._later(20_000_000, self.judge.upgrade, self.now() + 20_000_000, name, False)

    def _rekey(self, t: Trouble, on: bool) -> None:
        """Every node opens with the new key too; every node seals with it; the old one goes."""
        if not on:
            return
        old, new = self._keys
        names = t.nodes or self.schedule.names
        step_us = (t.until_us - t.at_us) // (3 * len(names))
        for k, keys in enumerate(([old, new], [new, old], [new])):
            for j, name in enumerate(names):
                self._later((k * len(names) + j) * step_us, self._rekeyed, name, keys)

    def _rekeyed(self, name: str, keys: list[str]) -> None:
        self._write_keys(name, keys)
        process = self._node_hosts()[name].process
        if process is not None:
            process.signal(signal.SIGHUP)


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0
