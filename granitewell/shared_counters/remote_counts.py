"""What is known of another node's use: copies of its slices, and where they lie on our clock.

It owns merging and the two bounds. It must never ask anybody. A merge takes the maximum of each cell, so that
the order, the number and the age of words change nothing; what is known whole only grows.

A node's time, on our clock, is one row without a gap: what its lives' words cover, and before, between and
after them stretches of which nothing is known, in which it may have taken as much as a node can. A life that
is let go of for want of room becomes such a stretch.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.protocols.peers.counts import Slot, Word
from granitewell.shared_counters.types import OTHERS, Figures, Part

MAX_LIVES = 8  # of one name that are told apart
LONG_AGO = -(1 << 62)


@dataclass(slots=True)
class Life:
    """One process of a name.

    Attributes:
        upto: Slices below are known whole.
        open_us: How long it had run at the last word that told of the open slice too.
        low_us, high_us: Between which moments it began, by our clock, as measured at at_us.
        drift: Parts in a million by which two clocks may differ in speed.
    """

    life: int
    birth: int
    width_us: int
    drift: int
    first: int = -1  # the oldest slice that was ever told of
    upto: int = 0
    slots_known: int = 0
    open_us: int = -1
    low_us: int = LONG_AGO
    high_us: int = 1 << 62
    at_us: int = 0
    cells: dict[int, dict[int, int]] = field(default_factory=dict)
    slots: dict[int, Slot] = field(default_factory=dict)

    def when(self, up_us: int, now_us: int) -> tuple[int, int]:
        """Between which moments it had run for so long: the farther from the measuring, the wider apart."""
        away_us = max(now_us - self.at_us, 0) + max(self.at_us - self.low_us - up_us, 0)
        drift_us = away_us * self.drift // 1_000_000 + (1 if self.drift else 0)
        return self.low_us + up_us - drift_us, self.high_us + up_us + drift_us

    def measure(self, first_us: int, last_us: int, up_us: int, now_us: int) -> None:
        """It had run for up_us at some moment between these two."""
        first, last = first_us - up_us, last_us - up_us
        if self.low_us != LONG_AGO:
            low, high = self.when(up_us, now_us)
            low, high = low - up_us, high - up_us
            if first <= high and low <= last:
                first, last = max(low, first), min(high, last)
        self.low_us, self.high_us, self.at_us = first, last, now_us

    def merge(self, word: Word) -> None:
        """Take up what is new of it."""
        for slot in word.new:
            known = self.slots.get(slot.number)
            if known is None or known.version < slot.version:
                self.slots[slot.number] = slot
        if word.since <= self.slots_known:  # else some before them were lost
            self.slots_known = max(self.slots_known, word.slots)
        for one in word.slices:
            cell = self.cells.setdefault(one.index, {})
            for number, count in zip(one.used[::2], one.used[1::2], strict=False):
                cell[number] = max(cell.get(number, 0), count)
        if self.first < 0:
            self.first = self.upto = word.first
        if self.first <= word.first <= self.upto <= word.upto:  # else some before it were lost
            self.upto = word.upto
            if word.open:
                self.open_us = max(word.up_us, self.open_us)

    @property
    def known_us(self) -> int:
        """Up to where its own time is known."""
        return max(self.upto * self.width_us, self.open_us)

    def forget(self, oldest: int) -> None:
        """Slices below can't be in any window any more."""
        for index in [k for k in self.cells if k < oldest]:
            del self.cells[index]
        for number in [n for n, s in self.slots.items() if 0 <= s.ended < oldest]:
            del self.slots[number]

    def slots_after(self, version: int) -> list[Slot]:
        """Those that have changed since, the earliest change first."""
        return sorted((s for s in self.slots.values() if s.version > version), key=lambda s: s.version)

    # --- Bounds -----------------------------------------------------------------------------------------
    def numbers(self, key: str | None) -> list[Slot]:
        """Slots that the key has had."""
        return [s for s in self.slots.values() if s.key == key] if key is not None else []

    def cell(self, index: int, key: str | None, numbers: list[Slot]) -> tuple[int, int]:
        """Between what a key's use in a slice lies; None: of all keys.

        Args:
            numbers: Slots of that key.
        """
        cell = self.cells.get(index)
        if not cell:
            return 0, 0
        if key is None:
            total = sum(cell.values())
            return total, total
        low = sum(cell.get(s.number, 0) for s in numbers)
        if any(s.born < index and (s.ended < 0 or index < s.ended) for s in numbers):
            return low, low
        # in the slot of the others, or in one of which we have not heard yet what it is
        return low, low + sum(n for s, n in cell.items() if s == OTHERS or s not in self.slots)

    def peak(self, key: str | None, numbers: list[Slot]) -> int:
        """The most of a key in one slice."""
        return max((self.cell(i, key, numbers)[1] for i in self.cells), default=0)


class Node:
    """All lives of a name that a window may touch."""

    __slots__ = ("_figures", "gone_us", "lives")

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self.lives: dict[int, Life] = {}  # by birth
        self.gone_us = -1  # since when it takes nothing, -1: it may

    @property
    def last(self) -> Life | None:
        """The one that began last.

        A life's number is no help: a node that has lost its folder begins with the first again.
        """
        return self.newest(0)

    def newest(self, but: int) -> Life | None:
        """The same without the process of that birth."""
        lives = [x for x in self.lives.values() if x.birth != but]
        return max(lives, key=lambda x: x.low_us) if lives else None

    def heard(self, asked_us: int, now_us: int, word: Word) -> None:
        """A word has come."""
        life = self.lives.get(word.birth)
        if life is None:
            drift = self._figures.drift_ppm
            life = self.lives[word.birth] = Life(word.life, word.birth, word.width_us, drift)
        life.measure(asked_us - word.ago_most_us, now_us - word.ago_least_us, word.up_us, now_us)
        life.merge(word)
        while len(self.lives) > MAX_LIVES:
            del self.lives[min(self.lives, key=lambda b: self.lives[b].low_us)]

    def forget(self, now_us: int) -> None:
        """What can't be in the window any more: slices, and lives before the last."""
        start = now_us - self._figures.window_us
        last = self.last
        for birth, life in list(self.lives.items()):
            life.forget((start - life.when(0, now_us)[1]) // life.width_us)
            if life is not last and life.when(life.known_us, now_us)[1] < start:
                del self.lives[birth]

    def part(self, name: str, key: str | None, now_us: int) -> Part:
        """Its part of a figure."""
        figures, start = self._figures, now_us - self._figures.window_us
        low = high = edge = others = unheard_us = 0
        busiest = 0.0  # a second
        from_us = LONG_AGO
        for life in sorted(self.lives.values(), key=lambda x: x.low_us):
            numbers, width = life.numbers(key), life.width_us
            busiest = max(busiest, life.peak(key, numbers) / width * 1e6)
            # before the first slice that it told of nothing is known of it, nor since the life before
            unheard_us += _inside(from_us, life.when(max(life.first, 0) * width, now_us)[1], start, now_us)
            for index in life.cells:
                sure, may = life.cell(index, key, numbers)
                ends_us = (index + 1) * width if index < life.upto else max(life.open_us, index * width)
                if life.when(ends_us, now_us)[1] <= start:
                    continue
                high += may
                if life.when(index * width, now_us)[0] > start:
                    low += sure
                    others += may - sure
                else:
                    edge += may
            from_us = max(life.when(life.known_us, now_us)[0], from_us)
        until_us = now_us if self.gone_us < 0 else min(self.gone_us, now_us)
        unheard_us += _inside(from_us, until_us, start, now_us)
        rate = figures.ceiling_per_s
        if self.lives:
            rate = min(rate, max(figures.floor_per_s, figures.growth * busiest))
        unheard = int(unheard_us * rate / 1e6) + 1 if unheard_us else 0
        age_us = max(now_us - from_us, 0) if self.lives else -1
        return Part(name, low, high + unheard, age_us, unheard, edge, others)


def _inside(from_us: int, to_us: int, start_us: int, end_us: int) -> int:
    """How much of a stretch lies in a window."""
    return max(min(to_us, end_us) - max(from_us, start_us), 0)
