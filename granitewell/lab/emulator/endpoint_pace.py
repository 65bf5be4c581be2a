"""The pace of a process: one clock of work done that all its running tasks share.

It models the ramp of a cold process and integrates the pace over time. All tasks of a process run at one
pace, so a task that starts when `done` is d and needs w finishes when `done` is d + w, however often the pace
changes in between (virtual time of processor sharing, after Parekh and Gallager 1993, section II): a change
of pace costs the same however many tasks run.

The warm share rises linearly from `cold_from` to 1 over `cold_us`. If work warms the process, the share
follows whichever is further: that line, or the work done as a share of half the work that an always busy
process on that line would do. So it is never slower than linear over the stated time.
"""

from __future__ import annotations

import math

from granitewell.lab.day import KindDay, Warms

_STEPS = 128  # steps of the ramp by work; within each the share is taken as linear in time
EPS = 1e-4  # remaining work treated as done: far under a microsecond


class Pace:
    """The clock of work.

    `factor` is what each of the `active` tasks would do in a microsecond if the process were warm; both may
    be set at the time last advanced to, and then `changed` is to be called.
    """

    __slots__ = (
        "_at",
        "_cold_us",
        "_cold_share",
        "_warming_work",
        "_slope",
        "_start",
        "_worked",
        "active",
        "cold",
        "done",
        "segment_end_us",
        "factor",
        "warm",
    )

    def __init__(self, kind: KindDay, capacity: float, start_us: int, cold: bool) -> None:
        """`capacity`: work a microsecond of the whole warm process."""
        self._at = self._start = start_us
        self._cold_share, self._cold_us = kind.cold_from, kind.cold_us
        self._warming_work = 0.0  # work that warms it fully; 0: only time warms it
        if kind.warms is Warms.WORK:
            self._warming_work = capacity * kind.cold_us * (1.0 + kind.cold_from) / 4.0
        self._worked = 0.0
        self.active = 0
        self.done = 0.0
        self.factor = 0.0
        self.cold = cold and kind.cold_us > 0 and kind.cold_from < 1.0
        self.warm, self._slope, self.segment_end_us = 1.0, 0.0, -1
        if self.cold:
            self._update_ramp()

    def _update_ramp(self) -> None:
        """Update the ramp's position and slope, and until when they hold (`segment_end_us`)."""
        line = (self._at - self._start) / self._cold_us
        by_work = self._worked / self._warming_work if self._warming_work else 0.0
        if max(line, by_work) >= 1.0:
            self.cold, self.warm, self._slope, self.segment_end_us = False, 1.0, 0.0, -1
            return
        rise = 1.0 - self._cold_share
        self.warm = self._cold_share + rise * max(line, by_work)
        self._slope = rise / self._cold_us
        self.segment_end_us = self._start + self._cold_us
        if self._warming_work:
            if by_work > line:
                self._slope = rise * self.factor * self.warm * self.active / self._warming_work
            self.segment_end_us = min(self.segment_end_us, self._at + max(1, self._cold_us // _STEPS))

    def changed(self) -> None:
        """Update the ramp after a change of `factor` or `active`, which affect warming by work."""
        if self.cold and self._warming_work:
            self._update_ramp()

    def advance(self, now_us: int) -> None:
        """Advance time to `now_us`."""
        if not self.cold:
            self.done += self.factor * (now_us - self._at)
            self._at = now_us
            return
        while self._at < now_us:
            until = min(now_us, self.segment_end_us) if self.cold else now_us
            span = until - self._at
            gain = self.factor * span * (self.warm + self._slope * span / 2.0)
            self.done += gain
            self._worked += gain * self.active
            self._at = until
            if self.cold:
                self._update_ramp()

    def skip(self, now_us: int) -> None:
        """Advance time without work; warming by time continues."""
        self._at = now_us
        if self.cold:
            self._update_ramp()

    def at(self, now_us: int) -> tuple[float, float]:
        """Work done and warm share at that time, at or after the last advance, should nothing change."""
        span = now_us - self._at
        if not self.cold or span <= 0:
            return self.done + self.factor * self.warm * span, self.warm
        warm = min(1.0, self.warm + self._slope * span)
        return self.done + self.factor * span * (self.warm + warm) / 2.0, warm

    def when(self, target: float) -> int:
        """Return the first whole microsecond at which `done` has reached the target.

        It is `segment_end_us` if that is sooner: then ask again. -1: never at this pace.
        """
        left = target - self.done
        if left <= EPS:
            return self._at
        if self.factor <= 0.0:
            return -1
        left /= self.factor
        if self._slope:
            span = 2.0 * left / (self.warm + math.sqrt(self.warm * self.warm + 2.0 * self._slope * left))
        else:
            span = left / self.warm
        due = self._at + max(1, math.ceil(span - 1e-6))
        return min(due, self.segment_end_us) if self.cold else due
