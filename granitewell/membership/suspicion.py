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
from granitewell.membership.types import Figures


def scale(members: int) -> float:
    """By how much figures grow with the members: two thirds of log10, 1 at least.

    SWIM's whole log10 is the time in which gossip alone gets round; here whoever differs finds out by the
    next probe, too.
    """
    return max(log10(max(members, 1)) * 2.0 / 3.0, 1.0)


def timeout_us(figures: Figures, members: int, confirmed: int) -> int:
    """How long a suspect has, where so many others than the first suspect it too."""
    least = figures.alpha * scale(members) * figures.probe_us
    wanted = min(figures.confirmations, max(members - 2, 0))
    if not figures.lifeguard or wanted == 0:
        return int(least)
    most = figures.beta * least
    shrunk = most - (most - least) * log(min(confirmed, wanted) + 1) / log(wanted + 1)
    return int(max(least, shrunk))


@dataclass(slots=True)
class Doubt:
    """One suspect.

    Attributes:
        by: Who suspects it, each once.
        calls: Last calls still to make.
        sure: Somebody has waited its time out.
        next_us: The next call, or the end.
    """

    standing: Standing
    begun_us: int
    due_us: int
    by: list[str]
    calls: int
    sure: bool = False
    next_us: int = 0


class Suspicions:
    """All suspects, by name."""

    __slots__ = ("_doubts", "_figures", "_heap")

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self._doubts: dict[str, Doubt] = {}
        self._heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._doubts)

    @property
    def due_us(self) -> int:
        """When there is something to do; -1 for never."""
        while self._heap:
            due, name = self._heap[0]
            doubt = self._doubts.get(name)
            if doubt is not None and doubt.next_us == due:
                return due
            heappop(self._heap)
        return -1

    def doubt(
        self, name: str, standing: Standing, by: str, members: int, now_us: int, sure: bool = False
    ) -> bool:
        """Somebody suspects it, or says that it is dead (sure): whether that is news that shortens its
        time.
        """
        figures, doubt = self._figures, self._doubts.get(name)
        if doubt is None or doubt.standing != standing:
            doubt = self._doubts[name] = Doubt(standing, now_us, 0, [by], figures.calls, sure)
        elif (by in doubt.by or len(doubt.by) > figures.confirmations) and (doubt.sure or not sure):
            return False
        else:
            doubt.sure = doubt.sure or sure
            doubt.by.append(by)
        confirmed = figures.confirmations if doubt.sure else len(doubt.by) - 1
        due = doubt.begun_us + timeout_us(figures, members, confirmed)
        doubt.due_us = max(due, now_us + doubt.calls * figures.call_us)
        self._push(name, doubt)
        return True

    def _push(self, name: str, doubt: Doubt) -> None:
        """What is on the heap and holds no more is dropped once it outnumbers the rest."""
        doubt.next_us = doubt.due_us - doubt.calls * self._figures.call_us
        heappush(self._heap, (doubt.next_us, name))
        if len(self._heap) > 64 + 4 * len(self._doubts):
            self._heap = [(d.next_us, name) for name, d in self._doubts.items()]
            heapify(self._heap)

    def clear(self, name: str) -> None:
        """It is no suspect any more."""
        self._doubts.pop(name, None)

    def clear_all(self) -> None:
        """Nobody is."""
        self._doubts.clear()
        self._heap.clear()

    def over(self, now_us: int) -> list[tuple[str, Standing, bool]]:
        """Whom to call now (False), and whose time is over (True), who are no suspects any more."""
        found = []
        while 0 <= self.due_us <= now_us:
            _, name = heappop(self._heap)
            doubt = self._doubts[name]
            found.append((name, doubt.standing, doubt.calls == 0))
            if doubt.calls:
                doubt.calls -= 1
                self._push(name, doubt)
            else:
                del self._doubts[name]
        return found
