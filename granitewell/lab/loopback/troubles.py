"""The day's faults on sockets: each elementary fault of `Day.faults` played on processes and stand-ins.

It owns when a fault begins and ends and whom it is told to. It must never draw anything, or carry a fault out
itself. The kinds and their params are those of `granitewell.lab.faults`, as in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from granitewell.lab.day import Day, Fault
from granitewell.lab.emulator import types as t
from granitewell.lab.loopback.plan import SocksError

if TYPE_CHECKING:
    from granitewell.lab.loopback.director import Director

Act = Callable[[int, Fault], None]


class Troubles:
    """Plays the day's faults through the director."""

    def __init__(self, director: Director) -> None:
        """SocksError: a fault of a kind or target that the day does not have."""
        self._director, self._day = director, director.day
        self._begin: dict[str, Act] = {
            "condition": self._condition_on, "pause": self._pause, "stop": self._stop, "vanish": self._vanish,
            "restart": self._stop, "drain": self._drain, "node_kill": self._kill, "node_term": self._term,
            "node_hup": self._hup, "node_stall": self._stall, "node_cpu": self._cpu, "cut": self._cut_on,
            "link": self._link_on, "discovery_silent": self._silent, "discovery_late": self._late,
            "discovery_moved": self._moved,
        }  # fmt: skip
        self._end: dict[str, Act] = {
            "condition": self._condition_off, "pause": self._resume, "vanish": self._back,
            "restart": self._back, "drain": self._stop, "node_kill": self._node_back,
            "node_term": self._node_back, "node_stall": self._go_on, "node_cpu": self._cpu_back,
            "cut": self._cut_off, "link": self._link_off, "discovery_silent": self._spoken,
            "discovery_late": self._in_time,
        }  # fmt: skip
        self._cpus: dict[str, list[float]] = {}
        self._silences = 0
        self._lates: list[int] = []
        for index, fault in enumerate(self._day.faults):
            _check(self._day, index, fault, self._begin)

    def plan(self) -> None:
        """Put all faults on the agenda."""
        agenda = self._director.agenda
        for index, fault in enumerate(self._day.faults):
            agenda.at(fault.at_us, self._run, index, fault, True)
            if fault.until_us >= 0:
                agenda.at(fault.until_us, self._run, index, fault, False)

    def _run(self, index: int, fault: Fault, begins: bool) -> None:
        self._director.witness.fault(self._now(), index, begins)
        act = (self._begin if begins else self._end).get(fault.kind)
        if act is not None:
            act(index, fault)

    def _now(self) -> int:
        return self._director.agenda.clock.now()

    # --- Endpoints ----------------------------------------------------------------------------------------
    def _condition_on(self, index: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.fall(name, condition(self._day, index, fault), True)

    def _condition_off(self, index: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.fall(name, condition(self._day, index, fault), False)

    def _pause(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.pause(name, True)

    def _resume(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.pause(name, False)

    def _stop(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.end(name, "stop")

    def _vanish(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.end(name, "vanish")

    def _back(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.start(name, self._now())

    def _drain(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.fleet.drain(name)

    # --- Nodes --------------------------------------------------------------------------------------------
    def _kill(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].kill()

    def _term(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].stop()

    def _node_back(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].start()

    def _hup(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].reload()

    def _stall(self, index: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].hold(f"fault {index}", True)

    def _go_on(self, index: int, fault: Fault) -> None:
        for name in _names(fault):
            self._director.node_hosts[name].hold(f"fault {index}", False)

    def _cpu(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._cpus.setdefault(name, []).append(fault.get("factor", 1.0))
            self._director.node_hosts[name].limit_cpu(min(self._cpus[name]))

    def _cpu_back(self, _: int, fault: Fault) -> None:
        for name in _names(fault):
            self._cpus[name].remove(fault.get("factor", 1.0))
            self._director.node_hosts[name].limit_cpu(min(self._cpus[name], default=1.0))

    # --- Network ------------------------------------------------------------------------------------------
    def _cut_on(self, _: int, fault: Fault) -> None:
        self._director.tell_all(do="cut", target=fault.target, way=fault.text("way", "both"), on=True)

    def _cut_off(self, _: int, fault: Fault) -> None:
        self._director.tell_all(do="cut", target=fault.target, way=fault.text("way", "both"), on=False)

    def _link_on(self, _: int, fault: Fault) -> None:
        self._link(fault, True)

    def _link_off(self, _: int, fault: Fault) -> None:
        self._link(fault, False)

    def _link(self, fault: Fault, on: bool) -> None:
        what, factor = fault.text("what"), fault.get("factor")
        self._director.tell_hosts(do="link", pairs=fault.target, what=what, factor=factor, on=on)

    # --- Discovery ----------------------------------------------------------------------------------------
    def _silent(self, _: int, fault: Fault) -> None:
        self._silences += 1
        self._director.discovery_host.hush(self._silences > 0)

    def _spoken(self, _: int, fault: Fault) -> None:
        self._silences -= 1
        self._director.discovery_host.hush(self._silences > 0)

    def _late(self, _: int, fault: Fault) -> None:
        self._lates.append(round(fault.get("factor")))
        self._director.discovery_host.delay(max(self._lates))

    def _in_time(self, _: int, fault: Fault) -> None:
        self._lates.remove(round(fault.get("factor")))
        self._director.discovery_host.delay(max(self._lates, default=0))

    def _moved(self, _: int, fault: Fault) -> None:
        self._director.discovery_host.move()


def condition(day: Day, index: int, fault: Fault) -> t.Condition:
    """A fault of the kind `condition` as endpoints take it."""
    classes, tenants = [c.name for c in day.classes], [x.name for x in day.tenants]
    return t.Condition(
        index, fault.text("effect"), tuple(classes.index(x) for x in _words(fault, "classes")),
        tuple(tenants.index(x) for x in _words(fault, "tenants")),
        tuple(int(x) for x in _words(fault, "keys")),
        _words(fault, "nodes"), fault.at_us if fault.get("before") else -1, fault.get("share", 1.0),
        fault.get("factor", 1.0),
    )  # fmt: skip


def _check(day: Day, index: int, fault: Fault, kinds: dict[str, Act]) -> None:
    if fault.kind not in kinds:
        raise SocksError(f"fault {index}: found kind {fault.kind!r}, allowed are {', '.join(sorted(kinds))}")
    if fault.kind.startswith("discovery"):
        return
    endpoints, nodes = {e.id for e in day.endpoints}, {n.name for n in day.nodes}
    for name in _names(fault):
        node, _, endpoint = name.partition(">")
        if fault.kind == "link":
            known = node in nodes and (endpoint == "*" or endpoint in endpoints)
        elif fault.kind == "cut":
            known = name in endpoints or name in nodes or name in day.zones
        else:
            known = name in (nodes if fault.kind.startswith("node") else endpoints)
        if not known:
            raise SocksError(f"fault {index} ({fault.kind}): found target {name!r}, which the day has not")


def _names(fault: Fault) -> list[str]:
    return fault.target.split(",")


def _words(fault: Fault, param: str) -> tuple[str, ...]:
    return tuple(x for x in fault.text(param).split(",") if x)
