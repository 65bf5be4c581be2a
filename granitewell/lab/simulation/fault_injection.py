"""Injects the day's faults in virtual time: applies each fault of `Day.faults` to the world.

It begins and ends each fault at its time and draws nothing at random: the targets were settled when the day
was drawn. A fault that names something that is not in the day is an error.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from granitewell.lab.day import Fault
from granitewell.lab.emulator import types as t

if TYPE_CHECKING:
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.node_host import NodeHost
    from granitewell.lab.simulation.world import World


class FaultError(ValueError):
    """A fault of the day cannot be injected; the text is one line."""


class FaultInjector:
    """Injects the day's faults, or only those with the given indices."""

    def __init__(self, world: World, only: Sequence[int] | None) -> None:
        self._world, self._engine = world, world.engine
        self._only = None if only is None else frozenset(only)
        self._begin: dict[str, Callable[[int, Fault], None]] = {
            "condition": self._condition_on, "pause": self._pause, "stop": self._stop, "vanish": self._vanish,
            "restart": self._stop, "drain": self._drain, "node_kill": self._kill, "node_term": self._term,
            "node_hup": self._hup, "node_stall": self._stall, "node_cpu": self._cpu, "cut": self._cut_on,
            "link": self._link_on, "discovery_silent": self._silent, "discovery_late": self._delay_on,
            "discovery_moved": self._moved,
        }  # fmt: skip
        self._end: dict[str, Callable[[int, Fault], None]] = {
            "condition": self._condition_off, "pause": self._resume, "vanish": self._restart_endpoint,
            "restart": self._restart_endpoint, "drain": self._close, "node_kill": self._node_back,
            "node_term": self._node_back, "node_cpu": self._cpu_back, "cut": self._cut_off,
            "link": self._link_off, "discovery_silent": self._unsilence, "discovery_late": self._undelay,
        }  # fmt: skip
        self._cpu_limits: dict[str, list[float]] = {}
        self._silences = 0
        self._delays: list[int] = []

    def schedule(self) -> None:
        """Schedule all faults. Raises FaultError for an unknown kind or target."""
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
        there = (*world.endpoint_hosts, *world.node_hosts, *world.day.zones, "*")
        for name in fault.target.replace(">", ",").split(","):
            if name not in there:
                raise FaultError(f"fault {index} ({fault.kind}): found target {name!r}, not in the day")

    def _run(self, index: int, fault: Fault, begins: bool) -> None:
        self._world.observations.fault(self._engine.now_us, index, begins)
        act = (self._begin if begins else self._end).get(fault.kind)
        if act is not None:
            act(index, fault)

    def _endpoint_hosts(self, fault: Fault) -> list[EndpointHost]:
        return [self._world.endpoint_hosts[name] for name in fault.target.split(",")]

    def _node_hosts(self, fault: Fault) -> list[NodeHost]:
        return [self._world.node_hosts[name] for name in fault.target.split(",")]

    # --- Endpoints --------------------------------------------------------------------------------------
    def _condition(self, index: int, fault: Fault) -> t.Condition:
        day = self._world.day
        classes, tenants = [c.name for c in day.classes], [x.name for x in day.tenants]
        return t.Condition(
            index, fault.text("effect"), tuple(classes.index(x) for x in _param_list(fault, "classes")),
            tuple(tenants.index(x) for x in _param_list(fault, "tenants")),
            tuple(int(x) for x in _param_list(fault, "keys")), _param_list(fault, "nodes"),
            fault.at_us if fault.get("before") else -1, fault.get("share", 1.0), fault.get("factor", 1.0),
        )  # fmt: skip

    def _condition_on(self, index: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            endpoint_host.handle(t.ConditionChange(self._condition(index, fault), True))

    def _condition_off(self, index: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            endpoint_host.handle(t.ConditionChange(self._condition(index, fault), False))

    def _pause(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            endpoint_host.handle(t.Ordered(t.Order.PAUSE))

    def _resume(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            endpoint_host.handle(t.Ordered(t.Order.RESUME))

    def _stop(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            self._world.end_endpoint(endpoint_host, t.Order.STOP)

    def _vanish(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            self._world.end_endpoint(endpoint_host, t.Order.VANISH)

    def _restart_endpoint(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            self._world.start_endpoint(endpoint_host)

    def _drain(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            self._world.drain_endpoint(endpoint_host)

    def _close(self, _: int, fault: Fault) -> None:
        for endpoint_host in self._endpoint_hosts(fault):
            self._world.close_endpoint(endpoint_host)

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
                node_host.start(already_listening=False)

    def _hup(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.reload()

    def _stall(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            node_host.stall(fault.until_us)

    def _cpu(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            self._cpu_limits.setdefault(node_host.name, []).append(fault.get("factor", 1.0))
            node_host.limit_cpu(min(self._cpu_limits[node_host.name]))

    def _cpu_back(self, _: int, fault: Fault) -> None:
        for node_host in self._node_hosts(fault):
            self._cpu_limits[node_host.name].remove(fault.get("factor", 1.0))
            node_host.limit_cpu(min(self._cpu_limits[node_host.name], default=node_host.spec.cpu))

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
        self._update_silence()

    def _unsilence(self, _: int, fault: Fault) -> None:
        self._silences -= 1
        self._update_silence()

    def _update_silence(self) -> None:
        self._world.discovery.silent(self._engine.now_us, self._silences > 0)
        self._world.discover(t.Tick())

    def _delay_on(self, _: int, fault: Fault) -> None:
        self._delays.append(round(fault.get("factor")))
        self._delay()

    def _undelay(self, _: int, fault: Fault) -> None:
        self._delays.remove(round(fault.get("factor")))
        self._delay()

    def _delay(self) -> None:
        self._world.discovery.late(self._engine.now_us, max(self._delays, default=0))
        self._world.discover(t.Tick())

    def _moved(self, _: int, fault: Fault) -> None:
        self._world.move_discovery()


def _param_list(fault: Fault, param: str) -> tuple[str, ...]:
    return tuple(x for x in fault.text(param).split(",") if x)
