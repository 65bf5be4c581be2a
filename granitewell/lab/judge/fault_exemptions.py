"""The faults under which a rule can't be held against a node, because no node could keep it.

It owns which kinds of fault excuse what, for how long, and must never look at what a node did:

    node_stall              answers and drains of that node, and attempts for clients that have left, however
                            long ago: its process stands still
    cut of a node           its answers, and attempts for clients that have left: they can't hear each other
    cut of a zone           the same for clients on the other side of the cut

Each excuses what was due from the fault's beginning to TAIL_US after its end, the time in which a node may
work off what has waited. All other faults (a CPU limit, dead or silent endpoints, bad links, late discovery)
excuse nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.lab.day import Day
from granitewell.lab.judge.records import ClientAttempt

RECOVERY_US = 100_000
NOT_ENDED_US = 1 << 62


@dataclass(slots=True)
class _Exemption:
    index: int
    is_stall: bool
    names: tuple[str, ...]
    begin: int
    end: int = NOT_ENDED_US


class FaultExemptions:
    """What the day's faults excuse. Zones are told apart from nodes by the day's names."""

    def __init__(self, day: Day) -> None:
        self._faults = day.faults
        self._zones = {z: k for k, z in enumerate(day.zones)}
        self._node_zone = {n.name: n.zone for n in day.nodes}
        self._exemptions: list[_Exemption] = []

    def fault(self, at: int, index: int, begins: bool) -> None:
        """A fault of the day begins or ends. ValueError for one that the day does not have."""
        if not 0 <= index < len(self._faults):
            raise ValueError(f"fault: found index {index}, the day has {len(self._faults)} faults")
        fault = self._faults[index]
        if begins and fault.kind in ("node_stall", "cut"):
            names = tuple(fault.target.split(","))
            self._exemptions.append(_Exemption(index, fault.kind == "node_stall", names, at))
        for x in self._exemptions:
            if not begins and x.index == index and x.end == NOT_ENDED_US:
                x.end = at + RECOVERY_US

    def exempts_response(self, client_attempt: ClientAttempt, due: int) -> bool:
        """Whether this try need not have been answered, which was due then."""
        return any(
            x.begin <= due and client_attempt.asked_at <= x.end and self._affects(x, client_attempt)
            for x in self._exemptions
        )

    def exempts_drain(self, node: str, at: int) -> bool:
        """Whether a node's sending then need not have heeded what it was told."""
        return any(x.is_stall and node in x.names and x.begin <= at <= x.end for x in self._exemptions)

    def _affects(self, x: _Exemption, client_attempt: ClientAttempt) -> bool:
        zone = self._node_zone.get(client_attempt.node, client_attempt.zone)
        cut = {self._zones[n] for n in x.names if n in self._zones}
        return client_attempt.node in x.names or (
            zone != client_attempt.zone and bool(cut & {zone, client_attempt.zone})
        )
