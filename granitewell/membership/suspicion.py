"""How long a suspect has to refute it (Lifeguard's LHA-Suspicion).

It owns the time-outs of suspects. It must never change a member. The first suspicion alone waits long, since
it may be whoever suspects that is ill; each further member that suspects independently shortens the wait, on
a log scale, to what plain SWIM would wait. Shortly before the end comes the last call, which is ours: nobody
is called dead by a member that has not asked it, and told some others of its doubt once more. Under loss now
and then a member misses a refutation that all others have heard; it would be the one to bury somebody who
lives, and whoever has heard it says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import log, log10

from granitewell.membership.states import Standing
from granitewell.membership.types import Parameters


def timeout_scale(members: int) -> float:
    """By how much figures grow with the members: two thirds of log10, 1 at least.

    SWIM's whole log10 is the time in which gossip alone gets round; here whoever differs finds out by the
    next probe, too.
    """
    return max(log10(max(members, 1)) * 2.0 / 3.0, 1.0)


def timeout_us(parameters: Parameters, members: int, confirmed: int) -> int:
    """How long a suspect has, where so many others than the first suspect it too."""
    shortest = parameters.alpha * timeout_scale(members) * parameters.probe_us
    needed = min(parameters.confirmations, max(members - 2, 0))
    if not parameters.lifeguard or needed == 0:
        return int(shortest)
    longest = parameters.beta * shortest
    shortened = longest - (longest - shortest) * log(min(confirmed, needed) + 1) / log(needed + 1)
    return int(max(shortest, shortened))


@dataclass(slots=True)
class Suspicion:
    """One suspect.

    Attributes:
        by: Who suspects it, each once.
        final_pings: Last calls still to make.
        sure: Somebody has waited its time out.
        next_us: The next call, or the end.
    """

    standing: Standing
    started_us: int
    due_us: int
    by: list[str]
    final_pings: int
    expired_elsewhere: bool = False
    next_us: int = 0


class Suspicions:
    """All suspects, by name."""

    __slots__ = ("_suspicions", "_parameters", "_heap")

    def __init__(self, parameters: Parameters) -> None:
        self._parameters = parameters
        self._suspicions: dict[str, Suspicion] = {}
        self._heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._suspicions)

    @property
    def due_us(self) -> int:
        """When there is something to do; -1 for never."""
        while self._heap:
            due, name = self._heap[0]
            suspicion = self._suspicions.get(name)
            if suspicion is not None and suspicion.next_us == due:
                return due
            heappop(self._heap)
        return -1

    def suspect(
        self,
        name: str,
        standing: Standing,
        by: str,
        members: int,
        now_us: int,
        expired_elsewhere: bool = False,
    ) -> bool:
        """Somebody suspects it, or says that it is dead (sure): whether that is news that shortens its
        time.
        """
        parameters, suspicion = self._parameters, self._suspicions.get(name)
        if suspicion is None or suspicion.standing != standing:
            suspicion = self._suspicions[name] = Suspicion(
                standing, now_us, 0, [by], parameters.calls, expired_elsewhere
            )
        elif (by in suspicion.by or len(suspicion.by) > parameters.confirmations) and (
            suspicion.expired_elsewhere or not expired_elsewhere
        ):
            return False
        else:
            suspicion.expired_elsewhere = suspicion.expired_elsewhere or expired_elsewhere
            suspicion.by.append(by)
        confirmed = parameters.confirmations if suspicion.expired_elsewhere else len(suspicion.by) - 1
        due = suspicion.started_us + timeout_us(parameters, members, confirmed)
        suspicion.due_us = max(due, now_us + suspicion.final_pings * parameters.call_us)
        self._push(name, suspicion)
        return True

    def _push(self, name: str, suspicion: Suspicion) -> None:
        """What is on the heap and holds no more is dropped once it outnumbers the rest."""
        suspicion.next_us = suspicion.due_us - suspicion.final_pings * self._parameters.call_us
        heappush(self._heap, (suspicion.next_us, name))
        if len(self._heap) > 64 + 4 * len(self._suspicions):
            self._heap = [(d.next_us, name) for name, d in self._suspicions.items()]
            heapify(self._heap)

    def clear(self, name: str) -> None:
        """It is no suspect any more."""
        self._suspicions.pop(name, None)

    def clear_all(self) -> None:
        """Nobody is."""
        self._suspicions.clear()
        self._heap.clear()

    def take_due(self, now_us: int) -> list[tuple[str, Standing, bool]]:
        """Whom to call now (False), and whose time is over (True), who are no suspects any more."""
        found = []
        while 0 <= self.due_us <= now_us:
            _, name = heappop(self._heap)
            suspicion = self._suspicions[name]
            found.append((name, suspicion.standing, suspicion.final_pings == 0))
            if suspicion.final_pings:
                suspicion.final_pings -= 1
                self._push(name, suspicion)
            else:
                del self._suspicions[name]
        return found
