"""How many nodes act on the same endpoints, as far as this one can know.

It owns two counts and the names behind them. It must never know how a member is found dead, speak to anybody,
or decide what a count is used for.

Theory of operation. A view of a fleet can be wrong both ways, and the two uses of a count have their safe
sides on different ends:

- `most` divides what all nodes together may push: at a cold endpoint, of a tenant's allowance. A node that we
  hear nothing of may only be cut off from us and go on serving, so it counts until it has left by its own
  word and stays away, an operator has said that it is gone, or a long time has passed. One that has left may
  come back (a restart) while we are cut off, so it counts until it has been away for some minutes in which we
  had everybody else in sight. And a node that the settings count
  and nobody has ever named may be cut off as well: while any is unaccounted for, `most` is never below what
  the settings say.
- `up` multiplies what this node sees of the traffic, for a forecast of all of it. Who is dead brings no
  traffic of its own any more, so only those count that are up; but a fall comes slowly, as all shrinking in
  this program does, since after a death the traffic of the dead comes to us first and the news of it later.
  Those whom nobody has ever named are held to be up: that nothing was heard of them proves nothing.

Each name is up, silent (dead as far as we know), away (has left), or out (has left for long enough, was
called gone, or was silent for too long). What names are not out is written down and read again at the next
start, where all begin as silent. Nodes that nobody has named are those that the settings count beyond the
most that were ever up or silent at a time: so neither a name that has gone nor a new one in its place hides
one that was never seen.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import exp

from granitewell.state_machine import LogLine, TimerFired

STEP_US = 500_000  # between two steps of a fall
FALL_US = 10_000_000  # in which a fall has done two thirds of its way
AWAY_US = 300_000_000  # for which one that has left may come back
NEAR = 0.05  # of a node; a fall that is so near its end is over
MAX_NAMES = 20_000  # in all states; the membership shows half as many at a time


class Place(Enum):
    """Where a name stands."""

    UP = "up"
    SILENT = "silent"
    AWAY = "away"
    OUT = "out"


GONE = (Place.SILENT, Place.AWAY)
STILL = {Place.SILENT: (Place.AWAY, Place.OUT), Place.AWAY: (Place.OUT,)}  # what such news leaves as it is


def stands(state: str, by: str) -> Place:
    """Where a member of that state stands: alive, suspect, dead or left, as it is said by somebody.

    Whom another has called gone did not say so itself: an operator knows that it stays away.
    """
    if state == "left":
        return Place.OUT if by else Place.AWAY
    return Place.SILENT if state == "dead" else Place.UP


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Seen:
    """Where those of our role stand in the view, all that it names; whom it does not name stays where it
    is.
    """

    places: Mapping[str, Place]


@dataclass(frozen=True, slots=True)
class Out:
    """An operator says that it is gone."""

    name: str


@dataclass(frozen=True, slots=True)
class Configured:
    """So many nodes act by the settings."""

    count: int


# --- Effects --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Count:
    """Both counts, after a change of either."""

    most: int
    up: float


@dataclass(frozen=True, slots=True)
class Known:
    """A name as it is written down.

    Attributes:
        silent_us: For how long it had been silent or away; -1 for up.
    """

    name: str
    silent_us: int


@dataclass(slots=True)
class _Name:
    place: Place
    since_us: int  # when it fell silent, or when it went
    clear_us: int = 0  # since it left, with everybody else in sight


class Census:
    """own: our name, which is up for as long as we run.

    Attributes:
        unheard_us: Silence after which a name is out.
        known: Of the process before.
    """

    __slots__ = ("_at_us", "_configured", "_falls_us", "_names", "_now_us", "_own", "_peak", "_said", "_up",
                 "unheard_us")  # fmt: skip

    def __init__(self, own: str, configured: int, unheard_us: int, known: Iterable[Known] = ()) -> None:
        self._own, self._configured, self.unheard_us = own, max(configured, 1), unheard_us
        self._names: dict[str, _Name] = {own: _Name(Place.UP, 0)}
        for one in known:
            if one.name != own and len(self._names) < MAX_NAMES:
                self._names[one.name] = _Name(Place.SILENT, -max(one.silent_us, 0))
        self._peak = len(self._names)  # most names that were up or silent at a time
        self._up = float(self._target())
        self._at_us = self._falls_us = -1
        self._now_us = 0
        self._said: Count | None = None

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted; -1 for never."""
        ends = [x.since_us + self.unheard_us for x in self._names.values() if x.place in GONE]
        away = [x for x in self._names.values() if x.place is Place.AWAY]
        if away and self._clear:
            ends += [self._now_us + AWAY_US - x.clear_us for x in away]
        return min((x for x in (*ends, self._falls_us) if x >= 0), default=-1)

    @property
    def count(self) -> Count:
        """Both counts now."""
        return Count(self._most(), round(self._up, 3))

    def names(self, place: Place) -> list[str]:
        """Those that stand there."""
        return sorted(name for name, x in self._names.items() if x.place is place)

    @property
    def unseen(self) -> int:
        """Nodes that the settings count and nobody has named."""
        return max(self._configured - self._peak, 0)

    def known(self) -> list[Known]:
        """To be written down; not ourselves."""
        return [
            Known(name, -1 if x.place is Place.UP else max(self._now_us - x.since_us, 0))
            for name, x in sorted(self._names.items()) if name != self._own and x.place is not Place.OUT
        ]  # fmt: skip

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; a Count where one has changed, and lines."""
        first = self._at_us < 0
        passed_us = max(now_us - self._now_us, 0)
        if not first and self._clear:
            for one in self._names.values():
                one.clear_us += passed_us if one.place is Place.AWAY else 0
        self._now_us = max(now_us, self._now_us)
        if first:
            self._at_us = self._now_us
            for one in self._names.values():  # what was read is dated from the start on
                one.since_us += self._now_us
        out: list[object] = []
        if isinstance(event, Seen):
            for name, place in event.places.items():
                self._put(name, place)
        elif isinstance(event, Out):
            self._put(event.name, Place.OUT)
        elif isinstance(event, Configured):
            self._configured = max(event.count, 1)
        elif not isinstance(event, TimerFired):
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of census")
        self._expire(out)
        self._peak = max(self._peak, self._in(Place.UP) + self._in(Place.SILENT))
        self._fall()
        now = self.count
        if now != self._said:
            self._said = now
            out.append(now)
        return out

    def _put(self, name: str, place: Place) -> None:
        if name == self._own:
            return
        one = self._names.get(name)
        if one is not None and one.place in STILL.get(place, ()):
            return  # who went does not come back silent, nor leaves twice
        if one is None:
            if len(self._names) >= MAX_NAMES and not self._room():
                return
            self._names[name] = _Name(place, self._now_us)
        elif one.place is not place:
            one.place, one.since_us, one.clear_us = place, self._now_us, 0

    def _room(self) -> bool:
        """Let go of the name that has been out for longest; whether there was one."""
        out = [(x.since_us, name) for name, x in self._names.items() if x.place is Place.OUT]
        if out:
            del self._names[min(out)[1]]
        return bool(out)

    def _expire(self, out: list[object]) -> None:
        for name, one in self._names.items():
            if one.place in GONE and self._now_us - one.since_us >= self.unheard_us:
                if one.place is Place.SILENT:
                    hours = self.unheard_us / 3.6e9
                    out.append(
                        LogLine("lost", f"{name} has been silent for {hours:.1f} h: it counts no more")
                    )
                one.place, one.since_us = Place.OUT, self._now_us
            elif one.place is Place.AWAY and one.clear_us >= AWAY_US:
                one.place, one.since_us = Place.OUT, self._now_us

    # --- Counts -----------------------------------------------------------------------------------------
    def _in(self, place: Place) -> int:
        return sum(x.place is place for x in self._names.values())

    def _most(self) -> int:
        unaccounted = self._in(Place.SILENT) + self._in(Place.AWAY) + self.unseen
        found = self._in(Place.UP) + unaccounted
        return max(found, self._configured) if unaccounted else max(found, 1)

    @property
    def _clear(self) -> bool:
        """Is everybody who may act in sight, but for those who have left?"""
        return not self._in(Place.SILENT) and not self.unseen and self._in(Place.UP) > 1

    def _target(self) -> int:
        return max(self._in(Place.UP) + self.unseen, 1)

    def _fall(self) -> None:
        """Growth at once; a fall by steps, each a part of what is left."""
        target, passed_us = self._target(), self._now_us - self._at_us
        if target >= self._up:
            self._up, self._at_us = float(target), self._now_us
        elif self._falls_us < 0:
            self._at_us = self._now_us  # it begins now
        elif passed_us > 0:
            self._up += (target - self._up) * (1.0 - exp(-passed_us / FALL_US))
            self._at_us = self._now_us
        if self._up - target < NEAR:
            self._up = float(target)
        self._falls_us = self._now_us + STEP_US if self._up > target else -1
