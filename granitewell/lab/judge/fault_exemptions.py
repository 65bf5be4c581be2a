"""The faults during which a rule is suspended because no node could keep it.

    node_stall              responses and drains of that node, and attempts for clients that have left,
                            however long ago: its process is stopped
    cut of a node           its responses, and attempts for clients that have left: they cannot reach each
                            other
    cut of a zone           the same for clients on the other side of the cut

An exemption covers what was due from the fault's beginning to RECOVERY_US after its end, the time in which a
node may work off its backlog. No other fault (a CPU limit, dead or silent endpoints, bad links, late
discovery) suspends a rule. Exemptions depend only on the day's faults, never on what a node did.
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
    """Tracks active faults. The day's names tell zones from nodes in a fault's target."""

    def __init__(self, day: Day) -> None:
        self._faults = day.faults
        self._zones = {z: k for k, z in enumerate(day.zones)}
        self._node_zone = {n.name: n.zone for n in day.nodes}
        self._exemptions: list[_Exemption] = []

    def fault(self, at: int, index: int, begins: bool) -> None:
        """Begin or end a fault of the day. Raises ValueError for an index that the day does not have."""
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
        """Whether a fault exempts the response of this attempt, which was due then."""
        return any(
            x.begin <= due and client_attempt.asked_at <= x.end and self._affects(x, client_attempt)
            for x in self._exemptions
        )

    def exempts_drain(self, node: str, at: int) -> bool:
        """Whether a stall exempts what the node sent then from the drain that it was told of."""
        return any(x.is_stall and node in x.names and x.begin <= at <= x.end for x in self._exemptions)

    def _affects(self, x: _Exemption, client_attempt: ClientAttempt) -> bool:
        zone = self._node_zone.get(client_attempt.node, client_attempt.zone)
        cut = {self._zones[n] for n in x.names if n in self._zones}
        return client_attempt.node in x.names or (
            zone != client_attempt.zone and bool(cut & {zone, client_attempt.zone})
        )
