"""The day's faults in virtual time: each elementary fault of `Day.faults` played on the world.

It owns when a fault begins and ends and what of the world it turns. It must never draw anything: whom a fault
befalls was settled when the day was drawn. A fault that names what the day does not have is an error.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from granitewell.lab.day import Fault
from granitewell.lab.emulator import types as t

if TYPE_CHECKING:
    from granitewell.lab.simulation.node_host import NodeHost
    from granitewell.lab.simulation.site import Site
    from granitewell.lab.simulation.world import World


class FaultError(ValueError):
    """A fault of the day can't be played; the text is one line."""


class Troubles:
    """Plays the day's faults, or only those of some indices."""

    def __init__(self, world: World, only: Sequence[int] | None) -> None:
        self._world, self._engine = world, world.engine
        self._only = None if only is None else frozenset(only)
        self._begin: dict[str, Callable[[int, Fault], None]] = {
            "condition": self._condition_on, "pause": self._pause, "stop": self._stop, "vanish": self._vanish,
            "restart": self._stop, "drain": self._drain, "node_kill": self._kill, "node_term": self._term,
            "node_hup": self._hup, "node_stall": self._stall, "node_cpu": self._cpu, "cut": self._cut_on,
            "link": self._link_on, "discovery_silent": self._silent, "discovery_late": self._late,
            "discovery_moved": self._moved,
        }  # fmt: skip
        self._end: dict[str, Callable[[int, Fault], None]] = {
            "condition": self._condition_off, "pause": self._resume, "vanish": self._back,
            "restart": self._back, "drain": self._close, "node_kill": self._node_back,
            "node_term": self._node_back, "node_cpu": self._cpu_back, "cut": self._cut_off,
            "link": self._link_off, "discovery_silent": self._spoken, "discovery_late": self._in_time,
        }  # fmt: skip
        self._cpus: dict[str, list[float]] = {}
        self._silences = 0
        self._lates: list[int] = []

    def plan(self) -> None:
        """Put all faults on the agenda. Raises FaultError for one of an unknown kind, target or param."""
        for index, fault in enumerate(self._world.day.faults):
            if fault.kind not in self._begin:
                known = ", ".join(sorted(self._begin))
                raise FaultError(f"fault {index}: found kind {fault.kind!r}, allowed are {known}")
            if self._only is not None and index not in self._only:
                continue
            self._check(index, fault)
            self._engine.at(fault.at_us, self._run, index, fault, True)
            if fault.until_us >= 0:
                self._engine.at(fault.until_us, self._run, index, fault, False)

    def _check(self, index: int, fault: Fault) -> None:
        if fault.kind.startswith("discovery"):
            return
        world = self._world
        there = (*world.sites, *world.node_hosts, *world.day.zones, "*")
        for name in fault.target.replace(">", ",").split(","):
            if name not in there:
                raise FaultError(f"fault {index} ({fault.kind}): found target {name!r}, not in the day")

    def _run(self, index: int, fault: Fault, begins: bool) -> None:
        self._world.seen.fault(self._engine.now_us, index, begins)
        act = (self._begin if begins else self._end).get(fault.kind)
        if act is not None:
            act(index, fault)

    def _sites(self, fault: Fault) -> list[Site]:
        return [self._world.sites[name] for name in fault.target.split(",")]

    def _node_hosts(self, fault: Fault) -> list[NodeHost]:
        return [self._world.node_hosts[name] for name in fault.target.split(",")]

    # --- Endpoints --------------------------------------------------------------------------------------
    def _condition(self, index: int, fault: Fault) -> t.Condition:
        day = self._world.day
        classes, tenants = [c.name for c in day.classes], [x.name for x in day.tenants]
        return t.Condition(
            index, fault.text("effect"), tuple(classes.index(x) for x in _words(fault, "classes")),
            tuple(tenants.index(x) for x in _words(fault, "tenants")),
            tuple(int(x) for x in _words(fault, "keys")), _words(fault, "nodes"),
            fault.at_us if fault.get("before") else -1, fault.get("share", 1.0), fault.get("factor", 1.0),
        )  # fmt: skip

    def _condition_on(self, index: int, fault: Fault) -> None:
        for site in self._sites(fault):
            site.hand(t.Fall(self._condition(index, fault), True))

    def _condition_off(self, index: int, fault: Fault) -> None:
        for site in self._sites(fault):
            site.hand(t.Fall(self._condition(index, fault), False))

    def _pause(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            site.hand(t.Ordered(t.Order.PAUSE))

    def _resume(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            site.hand(t.Ordered(t.Order.RESUME))

    def _stop(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            self._world.end_endpoint(site, t.Order.STOP)

    def _vanish(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            self._world.end_endpoint(site, t.Order.VANISH)

    def _back(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            self._world.start_endpoint(site)

    def _drain(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            self._world.drain_endpoint(site)

    def _close(self, _: int, fault: Fault) -> None:
        for site in self._sites(fault):
            self._world.close_endpoint(site)

    # --- Nodes ------------------------------------------------------------------------------------------
    def _kill(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.kill()

    def _term(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.stop()

    def _node_back(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            if node_host.process is None:
                node_host.start(at_once=False)

    def _hup(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.reload()

    def _stall(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.stall(fault.until_us)

    def _cpu(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            self._cpus.setdefault(node_host.name, []).append(fault.get("factor", 1.0))
            node_host.limit_cpu(min(self._cpus[node_host.name]))

    def _cpu_back(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            self._cpus[node_host.name].remove(fault.get("factor", 1.0))
            node_host.limit_cpu(min(self._cpus[node_host.name], default=node_host.spec.cpu))

    # --- Network ----------------------------------------------------------------------------------------
    def _cut_on(self, _: int, fault: Fault) -> None:
        self._cut(fault, True)

    def _cut_off(self, _: int, fault: Fault) -> None:
        self._cut(fault, False)

    def _cut(self, fault: Fault, on: bool) -> None:
        zones, way = self._world.day.zones, fault.text("way", "both")
        for name in fault.target.split(","):
            if name in zones:
                self._world.net.cut_zone(zones.index(name), way, on)
            else:
                self._world.net.cut(name, way, on)

    def _link_on(self, _: int, fault: Fault) -> None:
        self._link(fault, True)

    def _link_off(self, _: int, fault: Fault) -> None:
        self._link(fault, False)

    def _link(self, fault: Fault, on: bool) -> None:
        for pair in fault.target.split(","):
            node, _, endpoint = pair.partition(">")
            self._world.net.link(node, endpoint, fault.text("what"), fault.get("factor"), on)

    # --- Discovery --------------------------------------------------------------------------------------
    def _silent(self, _: int, fault: Fault) -> None:
        self._silences += 1
        self._hush()

    def _spoken(self, _: int, fault: Fault) -> None:
        self._silences -= 1
        self._hush()

    def _hush(self) -> None:
        self._world.discovery.silent(self._engine.now_us, self._silences > 0)
        self._world.discover(t.Tick())

    def _late(self, _: int, fault: Fault) -> None:
        self._lates.append(round(fault.get("factor")))
        self._delay()

    def _in_time(self, _: int, fault: Fault) -> None:
        self._lates.remove(round(fault.get("factor")))
        self._delay()

    def _delay(self) -> None:
        self._world.discovery.late(self._engine.now_us, max(self._lates, default=0))
        self._world.discover(t.Tick())

    def _moved(self, _: int, fault: Fault) -> None:
        self._world.move_discovery()


def _words(fault: Fault, param: str) -> tuple[str, ...]:
    return tuple(x for x in fault.text(param).split(",") if x)
