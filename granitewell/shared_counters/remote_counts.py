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
from granitewell.shared_counters.types import OVERFLOW_SLOT, CounterSettings, NodeUsage

MAX_PROCESSES_PER_NODE = 8  # of one name that are told apart
LONG_AGO_US = -(1 << 62)


@dataclass(slots=True)
class RemoteProcess:
    """One process of a name.

    Attributes:
        upto: Slices below are known whole.
        open_us: How long it had run at the last word that told of the open slice too.
        low_us, high_us: Between which moments it began, by our clock, as measured at at_us.
        drift: Parts in a million by which two clocks may differ in speed.
    """

    incarnation: int
    birth: int
    width_us: int
    drift_ppm: int
    first: int = -1  # the oldest slice that was ever told of
    upto: int = 0
    slots_version: int = 0
    open_slice_us: int = -1
    earliest_start_us: int = LONG_AGO_US
    latest_start_us: int = 1 << 62
    measured_at_us: int = 0
    counts_by_slice: dict[int, dict[int, int]] = field(default_factory=dict)
    slots: dict[int, Slot] = field(default_factory=dict)

    def time_bounds(self, up_us: int, now_us: int) -> tuple[int, int]:
        """Between which moments it had run for so long: the farther from the measuring, the wider apart."""
        away_us = max(now_us - self.measured_at_us, 0) + max(
            self.measured_at_us - self.earliest_start_us - up_us, 0
        )
        drift_us = away_us * self.drift_ppm // 1_000_000 + (1 if self.drift_ppm else 0)
        return self.earliest_start_us + up_us - drift_us, self.latest_start_us + up_us + drift_us

    def update_start(self, first_us: int, last_us: int, up_us: int, now_us: int) -> None:
        """It had run for up_us at some moment between these two."""
        first, latest = first_us - up_us, last_us - up_us
        if self.earliest_start_us != LONG_AGO_US:
            low, high = self.time_bounds(up_us, now_us)
            low, high = low - up_us, high - up_us
            if first <= high and low <= latest:
                first, latest = max(low, first), min(high, latest)
        self.earliest_start_us, self.latest_start_us, self.measured_at_us = first, latest, now_us

    def merge(self, report: Word) -> None:
        """Take up what is new of it."""
        for slot in report.new:
            known = self.slots.get(slot.number)
            if known is None or known.version < slot.version:
                self.slots[slot.number] = slot
        if report.since <= self.slots_version:  # else some before them were lost
            self.slots_version = max(self.slots_version, report.slots)
        for one in report.slices:
            counts = self.counts_by_slice.setdefault(one.index, {})
            for number, count in zip(one.used[::2], one.used[1::2], strict=False):
                counts[number] = max(counts.get(number, 0), count)
        if self.first < 0:
            self.first = self.upto = report.first
        if self.first <= report.first <= self.upto <= report.upto:  # else some before it were lost
            self.upto = report.upto
            if report.open:
                self.open_slice_us = max(report.up_us, self.open_slice_us)

    @property
    def known_until_us(self) -> int:
        """Up to where its own time is known."""
        return max(self.upto * self.width_us, self.open_slice_us)

    def discard_expired(self, oldest: int) -> None:
        """Slices below can't be in any window any more."""
        for index in [k for k in self.counts_by_slice if k < oldest]:
            del self.counts_by_slice[index]
        for number in [n for n, s in self.slots.items() if 0 <= s.ended < oldest]:
            del self.slots[number]

    def slots_after(self, version: int) -> list[Slot]:
        """Those that have changed since, the earliest change first."""
        return sorted((s for s in self.slots.values() if s.version > version), key=lambda s: s.version)

    # --- Bounds -----------------------------------------------------------------------------------------
    def slots_of(self, key: str | None) -> list[Slot]:
        """Slots that the key has had."""
        return [s for s in self.slots.values() if s.key == key] if key is not None else []

    def slice_bounds(self, index: int, key: str | None, slots: list[Slot]) -> tuple[int, int]:
        """Between what a key's use in a slice lies; None: of all keys.

        Args:
            numbers: Slots of that key.
        """
        counts = self.counts_by_slice.get(index)
        if not counts:
            return 0, 0
        if key is None:
            total = sum(counts.values())
            return total, total
        low = sum(counts.get(s.number, 0) for s in slots)
        if any(s.born < index and (s.ended < 0 or index < s.ended) for s in slots):
            return low, low
        # in the slot of the others, or in one of which we have not heard yet what it is
        return low, low + sum(n for s, n in counts.items() if s == OVERFLOW_SLOT or s not in self.slots)

    def peak_count(self, key: str | None, slots: list[Slot]) -> int:
        """The most of a key in one slice."""
        return max((self.slice_bounds(i, key, slots)[1] for i in self.counts_by_slice), default=0)


class RemoteNode:
    """All lives of a name that a window may touch."""

    __slots__ = ("_settings", "gone_us", "processes")

    def __init__(self, settings: CounterSettings) -> None:
        self._settings = settings
        self.processes: dict[int, RemoteProcess] = {}  # by birth
        self.gone_us = -1  # since when it takes nothing, -1: it may

    @property
    def latest(self) -> RemoteProcess | None:
        """The one that began last.

        A life's number is no help: a node that has lost its folder begins with the first again.
        """
        return self.latest_except(0)

    def latest_except(self, except_birth: int) -> RemoteProcess | None:
        """The same without the process of that birth."""
        processes = [x for x in self.processes.values() if x.birth != except_birth]
        return max(processes, key=lambda x: x.earliest_start_us) if processes else None

    def receive(self, asked_us: int, now_us: int, report: Word) -> None:
        """A word has come."""
        process = self.processes.get(report.birth)
        if process is None:
            drift_ppm = self._settings.drift_ppm
            process = self.processes[report.birth] = RemoteProcess(
                report.life, report.birth, report.width_us, drift_ppm
            )
        process.update_start(
            asked_us - report.ago_most_us, now_us - report.ago_least_us, report.up_us, now_us
        )
        process.merge(report)
        while len(self.processes) > MAX_PROCESSES_PER_NODE:
            del self.processes[min(self.processes, key=lambda b: self.processes[b].earliest_start_us)]

    def discard_expired(self, now_us: int) -> None:
        """What can't be in the window any more: slices, and lives before the last."""
        start = now_us - self._settings.window_us
        latest = self.latest
        for birth, process in list(self.processes.items()):
            process.discard_expired((start - process.time_bounds(0, now_us)[1]) // process.width_us)
            if process is not latest and process.time_bounds(process.known_until_us, now_us)[1] < start:
                del self.processes[birth]

    def usage_bounds(self, name: str, key: str | None, now_us: int) -> NodeUsage:
        """Its part of a figure."""
        settings, start = self._settings, now_us - self._settings.window_us
        low = high = window_edge = untracked = unreported_us = 0
        busiest = 0.0  # a second
        from_us = LONG_AGO_US
        for process in sorted(self.processes.values(), key=lambda x: x.earliest_start_us):
            slots, width = process.slots_of(key), process.width_us
            busiest = max(busiest, process.peak_count(key, slots) / width * 1e6)
            # before the first slice that it told of nothing is known of it, nor since the life before
            unreported_us += _overlap_us(
                from_us, process.time_bounds(max(process.first, 0) * width, now_us)[1], start, now_us
            )
            for index in process.counts_by_slice:
                certain, possible = process.slice_bounds(index, key, slots)
                ends_us = (
                    (index + 1) * width if index < process.upto else max(process.open_slice_us, index * width)
                )
                if process.time_bounds(ends_us, now_us)[1] <= start:
                    continue
                high += possible
                if process.time_bounds(index * width, now_us)[0] > start:
                    low += certain
                    untracked += possible - certain
                else:
                    window_edge += possible
            from_us = max(process.time_bounds(process.known_until_us, now_us)[0], from_us)
        until_us = now_us if self.gone_us < 0 else min(self.gone_us, now_us)
        unreported_us += _overlap_us(from_us, until_us, start, now_us)
        rate = settings.ceiling_per_s
        if self.processes:
            rate = min(rate, max(settings.floor_per_s, settings.growth * busiest))
        unreported = int(unreported_us * rate / 1e6) + 1 if unreported_us else 0
        age_us = max(now_us - from_us, 0) if self.processes else -1
        return NodeUsage(name, low, high + unreported, age_us, unreported, window_edge, untracked)


def _overlap_us(from_us: int, to_us: int, start_us: int, end_us: int) -> int:
    """How much of a stretch lies in a window."""
    return max(min(to_us, end_us) - max(from_us, start_us), 0)
