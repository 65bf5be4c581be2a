"""A process's own use, in slices of its own time.

It owns which keys have a place of their own and what was used when. It must never know another node. Memory
is bounded by the window and `keys`, however many keys come.

A key gets a slot once it has come twice within a window, if one is free; until then, and where none is, its
use goes to the slot of the others. So a hundred thousand keys that come once cost nothing and push nobody
out. A slot that was not used for a window is given up: nothing in the window tells of it any more.
"""

from __future__ import annotations

from granitewell.protocols.peers.counts import Slot
from granitewell.shared_counters.types import OVERFLOW_SLOT, CounterSettings, key_fits

USES_BEFORE_SLOT = 2
CANDIDATES_PER_SLOT = 8  # times `keys`, of which it is remembered that they came once


class LocalCounts:
    """figures: window, width and keys.

    Attributes:
        began_us: Of the process, by its clock.
    """

    __slots__ = (
        "_seen_once",
        "_settings",
        "_last_used",
        "_next_number",
        "_slot_by_key",
        "started_us",
        "counts_by_slice",
        "current_slice",
        "slots",
        "version",
    )

    def __init__(self, settings: CounterSettings, started_us: int) -> None:
        self._settings, self.started_us = settings, started_us
        self.counts_by_slice: dict[int, dict[int, int]] = {}  # by slice, by slot
        self.slots: dict[int, Slot] = {}  # in the order of their last change
        self.version = 0
        self.current_slice = 0
        self._slot_by_key: dict[str, int] = {}
        self._last_used: dict[int, int] = {}  # slice in which a slot was last used
        self._seen_once: dict[str, int] = {}  # keys without a slot: the slice in which they came
        self._next_number = OVERFLOW_SLOT + 1

    def uptime_us(self, now_us: int) -> int:
        """How long the process has run."""
        return max(now_us - self.started_us, 0)

    def add(self, now_us: int, key: str, count: int) -> None:
        """So much of a key."""
        index = self.advance(now_us)
        slot = self._slot_by_key.get(key)
        if slot is None:
            slot = self._slot_for(key, index)
        if slot != OVERFLOW_SLOT:
            self._last_used[slot] = index
        counts = self.counts_by_slice.setdefault(index, {})
        counts[slot] = counts.get(slot, 0) + count

    def advance(self, now_us: int) -> int:
        """The slice that is open now; what has left the window goes."""
        index = self.uptime_us(now_us) // self._settings.width_us
        if index != self.current_slice:
            self.current_slice = index
            oldest_slice = self.oldest_slice
            for past in [k for k in self.counts_by_slice if k < oldest_slice]:
                del self.counts_by_slice[past]
            for slot in [s for s, last in self._last_used.items() if last < oldest_slice]:
                self._release_slot(slot, index)
            for number in [n for n, s in self.slots.items() if 0 <= s.ended < oldest_slice]:
                del self.slots[number]
            for key in [k for k, seen in self._seen_once.items() if seen < oldest_slice]:
                del self._seen_once[key]
        return index

    @property
    def oldest_slice(self) -> int:
        """The first slice that a window which ends now may still touch."""
        return max(self.current_slice - self._settings.slices, 0)

    def _slot_for(self, key: str, index: int) -> int:
        if not key_fits(key):
            return OVERFLOW_SLOT  # no letter could name it, and one that tried would be dropped whole
        seen = self._seen_once.pop(key, None)
        if seen is not None and len(self._slot_by_key) < self._settings.keys:
            number, self._next_number = self._next_number, self._next_number + 1
            self._slot_by_key[key] = number
            self._store_slot(Slot(number, key, index, -1, 0))
            return number
        while len(self._seen_once) >= CANDIDATES_PER_SLOT * self._settings.keys:
            del self._seen_once[next(iter(self._seen_once))]
        self._seen_once[key] = index
        return OVERFLOW_SLOT

    def _release_slot(self, number: int, index: int) -> None:
        slot = self.slots[number]
        del self._slot_by_key[slot.key], self._last_used[number]
        self._store_slot(Slot(number, slot.key, slot.born, index, 0))

    def _store_slot(self, slot: Slot) -> None:
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
