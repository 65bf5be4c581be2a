"""Replicated usage of another node: copies of its slices, and their position on the local clock.

This module merges reports and computes the two bounds. It sends nothing. A merge takes the maximum of each
count, so that the order, the number and the age of reports do not matter; the range of slices known to be
complete only grows.

On the local clock, a node's time is divided into intervals that the reports of its processes cover and the
gaps before, between and after them. Within a gap the node may have used as much as a node can. A process
that is evicted because of `MAX_PROCESSES_PER_NODE` becomes such a gap.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.protocols.peers.counts import Slot, Word
from granitewell.shared_counters.types import OVERFLOW_SLOT, CounterSettings, NodeUsage

MAX_PROCESSES_PER_NODE = 8  # successive processes of one node name that are distinguished
LONG_AGO_US = -(1 << 62)


@dataclass(slots=True)
class RemoteProcess:
    """Replicated usage of one process of a node.

    Attributes:
        incarnation: Incarnation of the node, as its process reports it.
        birth: Random id of the process.
        width_us: Length of its slices, in microseconds.
        drift_ppm: Maximum difference in rate between two clocks, in parts per million.
        first: Oldest slice that was reported; -1 before the first report.
        upto: Slices from `first` to before this one are known completely.
        slots_version: Version up to which its slots are known.
        open_slice_us: Its uptime in the last report that included the open slice, in microseconds; -1 if none
            did.
        earliest_start_us: Earliest possible start of the process on the local clock, as of `measured_at_us`.
        latest_start_us: Latest possible start, likewise.
        measured_at_us: Time of the last measurement of the start on the local clock, in microseconds.
        counts_by_slice: Counts by slice and slot.
        slots: Slots by number.
    """

    incarnation: int
    birth: int
    width_us: int
    drift_ppm: int
    first: int = -1
    upto: int = 0
    slots_version: int = 0
    open_slice_us: int = -1
    earliest_start_us: int = LONG_AGO_US
    latest_start_us: int = 1 << 62
    measured_at_us: int = 0
    counts_by_slice: dict[int, dict[int, int]] = field(default_factory=dict)
    slots: dict[int, Slot] = field(default_factory=dict)

    def time_bounds(self, up_us: int, now_us: int) -> tuple[int, int]:
        """Return the bounds, on the local clock, of the moment at which the process had a given uptime.

        They widen with the distance from the measurement, because the two clocks may drift apart.
        """
        away_us = max(now_us - self.measured_at_us, 0) + max(
            self.measured_at_us - self.earliest_start_us - up_us, 0
        )
        drift_us = away_us * self.drift_ppm // 1_000_000 + (1 if self.drift_ppm else 0)
        return self.earliest_start_us + up_us - drift_us, self.latest_start_us + up_us + drift_us

    def update_start(self, first_us: int, last_us: int, up_us: int, now_us: int) -> None:
        """Narrow the bounds of the start: the process had a given uptime between two local times.

        If the new bounds do not overlap the previous ones, the new ones replace them.
        """
        first, latest = first_us - up_us, last_us - up_us
        if self.earliest_start_us != LONG_AGO_US:
            low, high = self.time_bounds(up_us, now_us)
            low, high = low - up_us, high - up_us
            if first <= high and low <= latest:
                first, latest = max(low, first), min(high, latest)
        self.earliest_start_us, self.latest_start_us, self.measured_at_us = first, latest, now_us

    def merge(self, report: Word) -> None:
        """Merge a report by taking the maximum of each count."""
        for slot in report.new:
            known = self.slots.get(slot.number)
            if known is None or known.version < slot.version:
                self.slots[slot.number] = slot
        if report.since <= self.slots_version:  # otherwise slots are missing in between
            self.slots_version = max(self.slots_version, report.slots)
        for reported_slice in report.slices:
            counts = self.counts_by_slice.setdefault(reported_slice.index, {})
            for number, count in zip(reported_slice.used[::2], reported_slice.used[1::2], strict=False):
                counts[number] = max(counts.get(number, 0), count)
        if self.first < 0:
            self.first = self.upto = report.first
        if self.first <= report.first <= self.upto <= report.upto:  # otherwise slices are missing in between
            self.upto = report.upto
            if report.open:
                self.open_slice_us = max(report.up_us, self.open_slice_us)

    @property
    def known_until_us(self) -> int:
        """Uptime of the process up to which its usage is known, in microseconds."""
        return max(self.upto * self.width_us, self.open_slice_us)

    def discard_expired(self, oldest: int) -> None:
        """Discard the slices before one, and the slots that had ended before it."""
        for index in [k for k in self.counts_by_slice if k < oldest]:
            del self.counts_by_slice[index]
        for number in [n for n, s in self.slots.items() if 0 <= s.ended < oldest]:
            del self.slots[number]

    def slots_after(self, version: int) -> list[Slot]:
        """Return the slots that have changed since a version, the earliest change first."""
        return sorted((s for s in self.slots.values() if s.version > version), key=lambda s: s.version)

    # --- Bounds -----------------------------------------------------------------------------------------
    def slots_of(self, key: str | None) -> list[Slot]:
        """Return the slots that a key has had; none for None (all keys)."""
        return [s for s in self.slots.values() if s.key == key] if key is not None else []

    def slice_bounds(self, index: int, key: str | None, slots: list[Slot]) -> tuple[int, int]:
        """Return the bounds of a key's usage in a slice.

        Args:
            index: The slice.
            key: The key, None for all keys.
            slots: Slots of the key, see `slots_of`.
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
        # the key may be in the overflow slot, or in a slot whose key has not been reported yet
        return low, low + sum(n for s, n in counts.items() if s == OVERFLOW_SLOT or s not in self.slots)

    def peak_count(self, key: str | None, slots: list[Slot]) -> int:
        """Return the highest upper bound of a key's usage in any slice."""
        return max((self.slice_bounds(i, key, slots)[1] for i in self.counts_by_slice), default=0)


class RemoteNode:
    """Replicated usage of all processes of a node that may overlap the window.

    Attributes:
        processes: Processes by `birth`.
        gone_us: Local time since when the node uses nothing, in microseconds; -1 while it may.
    """

    __slots__ = ("_settings", "gone_us", "processes")

    def __init__(self, settings: CounterSettings) -> None:
        self._settings = settings
        self.processes: dict[int, RemoteProcess] = {}
        self.gone_us = -1

    @property
    def latest(self) -> RemoteProcess | None:
        """The process that was started last.

        The start time decides, not the incarnation: a node that has lost its data folder begins again with
        the first incarnation.
        """
        return self.latest_except(0)

    def latest_except(self, except_birth: int) -> RemoteProcess | None:
        """Return the process that was started last, apart from one given by its `birth`."""
        processes = [x for x in self.processes.values() if x.birth != except_birth]
        return max(processes, key=lambda x: x.earliest_start_us) if processes else None

    def receive(self, asked_us: int, now_us: int, report: Word) -> None:
        """Merge a report.

        Args:
            asked_us: Local time at which the report was requested, in microseconds.
            now_us: Current local time, in microseconds.
            report: The report.
        """
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
        """Discard the slices that have left the window, and processes, except the latest, whose usage has."""
        start = now_us - self._settings.window_us
        latest = self.latest
        for birth, process in list(self.processes.items()):
            process.discard_expired((start - process.time_bounds(0, now_us)[1]) // process.width_us)
            if process is not latest and process.time_bounds(process.known_until_us, now_us)[1] < start:
                del self.processes[birth]

    def usage_bounds(self, name: str, key: str | None, now_us: int) -> NodeUsage:
        """Return the bounds of this node's usage; key None for all keys."""
        settings, start = self._settings, now_us - self._settings.window_us
        low = high = window_edge = untracked = unreported_us = 0
        peak_per_s = 0.0
        from_us = LONG_AGO_US
        for process in sorted(self.processes.values(), key=lambda x: x.earliest_start_us):
            slots, width_us = process.slots_of(key), process.width_us
            peak_per_s = max(peak_per_s, process.peak_count(key, slots) / width_us * 1e6)
            # nothing is known from the end of the previous process to the first reported slice
            unreported_us += _overlap_us(
                from_us, process.time_bounds(max(process.first, 0) * width_us, now_us)[1], start, now_us
            )
            for index in process.counts_by_slice:
                certain, possible = process.slice_bounds(index, key, slots)
                ends_us = (
                    (index + 1) * width_us
                    if index < process.upto
                    else max(process.open_slice_us, index * width_us)
                )
                if process.time_bounds(ends_us, now_us)[1] <= start:
                    continue
                high += possible
                if process.time_bounds(index * width_us, now_us)[0] > start:
                    low += certain
                    untracked += possible - certain
                else:
                    window_edge += possible
            from_us = max(process.time_bounds(process.known_until_us, now_us)[0], from_us)
        until_us = now_us if self.gone_us < 0 else min(self.gone_us, now_us)
        unreported_us += _overlap_us(from_us, until_us, start, now_us)
        rate = settings.ceiling_per_s
        if self.processes:
            rate = min(rate, max(settings.floor_per_s, settings.growth * peak_per_s))
        unreported = int(unreported_us * rate / 1e6) + 1 if unreported_us else 0
        age_us = max(now_us - from_us, 0) if self.processes else -1
        return NodeUsage(name, low, high + unreported, age_us, unreported, window_edge, untracked)


def _overlap_us(from_us: int, to_us: int, start_us: int, end_us: int) -> int:
    """Return how much of an interval lies within a window, in microseconds."""
    return max(min(to_us, end_us) - max(from_us, start_us), 0)
