"""A process's own use, in slices of its own time.

It owns which keys have a place of their own and what was used when. It must never know another node. Memory
is bounded by the window and `keys`, however many keys come.

A key gets a slot once it has come twice within a window, if one is free; until then, and where none is, its
use goes to the slot of the others. So a hundred thousand keys that come once cost nothing and push nobody
out. A slot that was not used for a window is given up: nothing in the window tells of it any more.
"""

from __future__ import annotations

from granitewell.protocols.peers.counts import Slot
from granitewell.shared_counters.types import OTHERS, Figures, key_fits

TWICE = 2
CANDIDATES = 8  # times `keys`, of which it is remembered that they came once


class Own:
    """figures: window, width and keys.

    Attributes:
        began_us: Of the process, by its clock.
    """

    __slots__ = ("_came", "_figures", "_last", "_next", "_slot_of", "began_us", "cells", "now_index", "slots",
                 "version")  # fmt: skip

    def __init__(self, figures: Figures, began_us: int) -> None:
        self._figures, self.began_us = figures, began_us
        self.cells: dict[int, dict[int, int]] = {}  # by slice, by slot
        self.slots: dict[int, Slot] = {}  # in the order of their last change
        self.version = 0
        self.now_index = 0
        self._slot_of: dict[str, int] = {}
        self._last: dict[int, int] = {}  # slice in which a slot was last used
        self._came: dict[str, int] = {}  # keys without a slot: the slice in which they came
        self._next = OTHERS + 1

    def up_us(self, now_us: int) -> int:
        """How long the process has run."""
        return max(now_us - self.began_us, 0)

    def took(self, now_us: int, key: str, count: int) -> None:
        """So much of a key."""
        index = self.turn(now_us)
        slot = self._slot_of.get(key)
        if slot is None:
            slot = self._slot(key, index)
        if slot != OTHERS:
            self._last[slot] = index
        cell = self.cells.setdefault(index, {})
        cell[slot] = cell.get(slot, 0) + count

    def turn(self, now_us: int) -> int:
        """The slice that is open now; what has left the window goes."""
        index = self.up_us(now_us) // self._figures.width_us
        if index != self.now_index:
            self.now_index = index
            oldest = self.oldest
            for past in [k for k in self.cells if k < oldest]:
                del self.cells[past]
            for slot in [s for s, last in self._last.items() if last < oldest]:
                self._give_up(slot, index)
            for number in [n for n, s in self.slots.items() if 0 <= s.ended < oldest]:
                del self.slots[number]
            for key in [k for k, came in self._came.items() if came < oldest]:
                del self._came[key]
        return index

    @property
    def oldest(self) -> int:
        """The first slice that a window which ends now may still touch."""
        return max(self.now_index - self._figures.slices, 0)

    def _slot(self, key: str, index: int) -> int:
        if not key_fits(key):
            return OTHERS  # no letter could name it, and one that tried would be dropped whole
        came = self._came.pop(key, None)
        if came is not None and len(self._slot_of) < self._figures.keys:
            number, self._next = self._next, self._next + 1
            self._slot_of[key] = number
            self._change(Slot(number, key, index, -1, 0))
            return number
        while len(self._came) >= CANDIDATES * self._figures.keys:
            del self._came[next(iter(self._came))]
        self._came[key] = index
        return OTHERS

    def _give_up(self, number: int, index: int) -> None:
        slot = self.slots[number]
        del self._slot_of[slot.key], self._last[number]
        self._change(Slot(number, slot.key, slot.born, index, 0))

    def _change(self, slot: Slot) -> None:
        """Slots that change come last, so that what is new stands behind what is known."""
        self.version += 1
        self.slots.pop(slot.number, None)
        self.slots[slot.number] = Slot(slot.number, slot.key, slot.born, slot.ended, self.version)

    # --- For others -------------------------------------------------------------------------------------
    def slots_after(self, version: int) -> list[Slot]:
        """Those that have changed since, the earliest change first."""
        found = []
        for slot in reversed(self.slots.values()):
            if slot.version <= version:
                break
            found.append(slot)
        return found[::-1]
