"""Suspicion timeouts (Lifeguard's LHA-Suspicion).

A suspicion of a single member lasts long, since that member may be the faulty one. Each further member that
suspects independently shortens the timeout, on a log scale, to that of plain SWIM.

This implementation adds final pings shortly before a timeout ends: no member declares another one dead
without having pinged it and having repeated its suspicion to some others. Under loss a member now and then
misses a refutation that all others have received, and would declare a running member dead; any of those
others can correct it.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import log, log10

from granitewell.membership.states import Standing
from granitewell.membership.types import Parameters


def timeout_scale(members: int) -> float:
    """Return the factor by which timeouts grow with the members: two thirds of log10, at least 1.

    SWIM's full log10 is the time in which gossip alone reaches every member. Here a member that missed an
    assertion also finds out by comparing digests with the next probe.
    """
    return max(log10(max(members, 1)) * 2.0 / 3.0, 1.0)


def timeout_us(parameters: Parameters, members: int, confirmed: int) -> int:
    """Return the timeout of a suspicion that `confirmed` members besides the first share."""
    shortest = parameters.alpha * timeout_scale(members) * parameters.probe_us
    needed = min(parameters.confirmations, max(members - 2, 0))
    if not parameters.lifeguard or needed == 0:
        return int(shortest)
    longest = parameters.beta * shortest
    shortened = longest - (longest - shortest) * log(min(confirmed, needed) + 1) / log(needed + 1)
    return int(max(shortest, shortened))


@dataclass(slots=True)
class Suspicion:
    """A running suspicion.

    Attributes:
        standing: The suspected standing.
        started_us: When it began.
        due_us: When it expires.
        by: Members that suspect it, each once.
        final_pings: Final pings still to send.
        expired_elsewhere: Whether its timeout has expired at another member.
        next_us: Time of the next final ping, or of the end.
    """

    standing: Standing
    started_us: int
    due_us: int
    by: list[str]
    final_pings: int
    expired_elsewhere: bool = False
    next_us: int = 0


class Suspicions:
    """All running suspicions, by name."""

    __slots__ = ("_suspicions", "_parameters", "_heap")

    def __init__(self, parameters: Parameters) -> None:
        self._parameters = parameters
        self._suspicions: dict[str, Suspicion] = {}
        self._heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._suspicions)

    @property
    def due_us(self) -> int:
        """Time of the next final ping or expiry; -1 for never."""
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
        """Start a suspicion or add a confirmation; return whether that changed the timeout.

        Args:
            name: The suspect.
            standing: The suspected standing; a new one starts a new suspicion.
            by: The member that suspects it.
            members: Number of members.
            now_us: Current time.
            expired_elsewhere: That member has waited the timeout out and declares it dead.
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
        """Schedule the next step; rebuilds the heap once obsolete entries outnumber the others."""
        suspicion.next_us = suspicion.due_us - suspicion.final_pings * self._parameters.call_us
        heappush(self._heap, (suspicion.next_us, name))
        if len(self._heap) > 64 + 4 * len(self._suspicions):
            self._heap = [(d.next_us, name) for name, d in self._suspicions.items()]
            heapify(self._heap)

    def clear(self, name: str) -> None:
        """Drop the suspicion of a name."""
        self._suspicions.pop(name, None)

    def clear_all(self) -> None:
        """Drop all suspicions."""
        self._suspicions.clear()
        self._heap.clear()

    def take_due(self, now_us: int) -> list[tuple[str, Standing, bool]]:
        """Return suspects to ping now (False) and suspects whose timeout has expired (True).

        The latter are removed.
        """
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
