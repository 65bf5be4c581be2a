"""Usage of this process, counted in slices of its own time.

This module assigns slots to keys and counts usage by slice and slot. It knows no other node. Its memory is
bounded by the window and the `keys` setting, however many different keys are used.

A key gets a slot when it is used for the second time within a window, if a slot is free. Until then, and
while no slot is free, its usage is counted in the overflow slot, so that a hundred thousand keys that are
used once need no memory and evict no other key. A slot that was not used for a window is released, because
no slice in the window refers to it any more.
"""

from __future__ import annotations

from granitewell.protocols.peers.counts import Slot
from granitewell.shared_counters.types import OVERFLOW_SLOT, CounterSettings, key_fits

USES_BEFORE_SLOT = 2
CANDIDATES_PER_SLOT = 8  # how many keys that were used once are remembered, per slot


class LocalCounts:
    """Usage of this process within the window.

    Args:
        settings: Settings of the counters.
        started_us: Time of the start of the process on its own clock, in microseconds.

    Attributes:
        started_us: Time of the start of the process on its own clock, in microseconds.
        counts_by_slice: Counts by slice and slot.
        slots: Slots by number, in the order of their last change.
        version: Version of the slots, raised by each change.
        current_slice: Slice that was open at the last call of `advance`.
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
        self.counts_by_slice: dict[int, dict[int, int]] = {}
        self.slots: dict[int, Slot] = {}
        self.version = 0
        self.current_slice = 0
        self._slot_by_key: dict[str, int] = {}
        self._last_used: dict[int, int] = {}  # slice in which a slot was last used
        self._seen_once: dict[str, int] = {}  # keys used once, without a slot: slice of that use
        self._next_number = OVERFLOW_SLOT + 1

    def uptime_us(self, now_us: int) -> int:
        """Return how long the process has been running, in microseconds."""
        return max(now_us - self.started_us, 0)

    def add(self, now_us: int, key: str, count: int) -> None:
        """Count usage of a key."""
        index = self.advance(now_us)
        slot = self._slot_by_key.get(key)
        if slot is None:
            slot = self._slot_for(key, index)
        if slot != OVERFLOW_SLOT:
            self._last_used[slot] = index
        counts = self.counts_by_slice.setdefault(index, {})
        counts[slot] = counts.get(slot, 0) + count

    def advance(self, now_us: int) -> int:
        """Discard what has left the window; return the slice that is open now."""
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
        """The first slice that may overlap a window ending now."""
        return max(self.current_slice - self._settings.slices, 0)

    def _slot_for(self, key: str, index: int) -> int:
        if not key_fits(key):
            return OVERFLOW_SLOT  # receivers reject a whole message that names it
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
        """Store a changed slot last, so that `slots_after` finds the newest changes at the end."""
        self.version += 1
        self.slots.pop(slot.number, None)
        self.slots[slot.number] = Slot(slot.number, slot.key, slot.born, slot.ended, self.version)

    # --- Replication ------------------------------------------------------------------------------------
    def slots_after(self, version: int) -> list[Slot]:
        """Return the slots that have changed since a version, the earliest change first."""
        found = []
        for slot in reversed(self.slots.values()):
            if slot.version <= version:
                break
            found.append(slot)
        return found[::-1]
