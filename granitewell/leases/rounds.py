"""Rounds in which a candidate or holder asks, and how long it may lead by the answers.

This module records when each round began and which planners have granted it last. It sends nothing and does
not depend on the state of the planner.
"""

from __future__ import annotations

from granitewell.leases.types import Settings


class Rounds:
    """Rounds of one term. Their numbers are never reused within a process, whatever the term."""

    __slots__ = ("_asked", "_granted", "_settings", "last")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.last = 0
        self._asked: dict[int, int] = {}  # start time by round of this term
        # by name: incarnation, and start time of the newest round that it granted
        self._granted: dict[str, tuple[int, int]] = {}

    def clear(self) -> None:
        """Begin a new term, in which earlier answers do not count."""
        self._asked, self._granted = {}, {}

    def begin(self, now_us: int) -> int:
        """Begin a new round now; return its number."""
        self.last += 1
        over = now_us - self._settings.requester_lease_us(self._settings.lease_us)
        self._asked = {number: asked for number, asked in self._asked.items() if asked > over}
        self._asked[self.last] = now_us
        return self.last

    def grant(self, name: str, incarnation: int, number: int) -> None:
        """Record an answer to a round of the current term."""
        asked = self._asked.get(number)
        if asked is not None:
            known = self._granted.get(name)
            later = asked if known is None or known[0] != incarnation else max(asked, known[1])
            self._granted[name] = (incarnation, later)

    def lease_end_us(self, incarnations: dict[str, int]) -> int:
        """Return until when a majority lets this planner lead, on its own clock; -1 without a majority.

        The planner itself is part of the majority.

        Args:
            incarnations: Known incarnations of the others; one with a newer disk than it granted with does
                not count.
        """
        granted = self._granted.items()
        times = sorted(
            (asked for name, (incarnation, asked) in granted if incarnations[name] == incarnation),
            reverse=True,
        )
        wanted = self._settings.majority - 1
        if len(times) < wanted:
            return -1
        return times[wanted - 1] + self._settings.requester_lease_us(self._settings.lease_us)

    def last_granter(self) -> str | None:
        """Return the planner that granted last; the first by name if there are several."""
        granted = self._granted
        times = sorted((-asked, name) for name, (_, asked) in granted.items())
        return times[0][1] if times else None
