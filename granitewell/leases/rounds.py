"""The rounds in which a candidate or holder asks, and how long it may lead by the answers.

It owns when each round was asked and who has granted it last. It must never ask, nor know a state.
"""

from __future__ import annotations

from granitewell.leases.types import Settings


class Rounds:
    """Numbers of rounds never come again within a process, whatever the term."""

    __slots__ = ("_asked", "_granted", "_settings", "last")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.last = 0
        self._asked: dict[int, int] = {}  # round: when it was asked; all of this term
        self._granted: dict[str, tuple[int, int]] = {}  # name: life, and when the round it granted was asked

    def clear(self) -> None:
        """A new term: earlier answers count no more."""
        self._asked, self._granted = {}, {}

    def ask(self, now_us: int) -> int:
        """The number of a new round, asked now."""
        self.last += 1
        over = now_us - self._settings.held(self._settings.lease_us)
        self._asked = {number: asked for number, asked in self._asked.items() if asked > over}
        self._asked[self.last] = now_us
        return self.last

    def grant(self, name: str, life: int, number: int) -> None:
        """An answer has come to a round of the present term."""
        asked = self._asked.get(number)
        if asked is not None:
            known = self._granted.get(name)
            later = asked if known is None or known[0] != life else max(asked, known[1])
            self._granted[name] = (life, later)

    def until(self, lives: dict[str, int]) -> int:
        """Until when a majority lets us lead, on our own clock; -1 where there is none.

        We are one of it.

        Args:
            lives: Of the others; who has a newer disk than it granted with does not count.
        """
        granted = self._granted.items()
        times = sorted((asked for name, (life, asked) in granted if lives[name] == life), reverse=True)
        wanted = self._settings.majority - 1
        if len(times) < wanted:
            return -1
        return times[wanted - 1] + self._settings.held(self._settings.lease_us)

    def newest(self) -> str | None:
        """Whoever has granted last; by name where several did."""
        granted = self._granted
        times = sorted((-asked, name) for name, (_, asked) in granted.items())
        return times[0][1] if times else None
