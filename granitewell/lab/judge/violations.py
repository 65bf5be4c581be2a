"""The violations found so far, and checks scheduled for a later time.

The log orders violations by time and bounds how many are kept; it also runs checks that must wait for later
observations. It knows no rule. Times are microseconds since the day began.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from operator import attrgetter
from typing import Any

from granitewell.lab.judge.records import ClientAttempt, UpstreamAttempt, Violation

MAX_KEPT_VIOLATIONS = 20  # the earliest are kept in full; the rest are only counted by rule
NEVER = 1 << 62


class ViolationLog:
    """Violations and scheduled checks of one day."""

    def __init__(self) -> None:
        self.offences: list[Violation] = []  # by time
        self.counts: Counter[str] = Counter()  # by rule
        self.now_us = 0
        self.next_us = NEVER  # time of the next scheduled check
        self._scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._seq = 0

    def schedule(self, when_us: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call for when all observations up to that time have been seen."""
        self._seq += 1
        heappush(self._scheduled, (when_us, self._seq, call, args))
        self.next_us = self._scheduled[0][0]

    def run_due(self, now_us: int) -> None:
        """Run the checks scheduled before now."""
        agenda = self._scheduled
        while agenda and agenda[0][0] < now_us:
            self.now_us, _, call, args = heappop(agenda)
            call(*args)
        self.next_us = agenda[0][0] if agenda else NEVER

    def record(
        self,
        at: int,
        rule: str,
        text: str,
        client_attempt: ClientAttempt | None = None,
        attempt: UpstreamAttempt | None = None,
        node: str = "",
        endpoint: str = "",
    ) -> None:
        """Record a violation at this time, which may lie slightly in the past."""
        self.counts[rule] += 1
        if len(self.offences) >= MAX_KEPT_VIOLATIONS and at >= self.offences[-1].at:
            return
        if attempt is not None:
            node, endpoint = node or attempt.node, endpoint or attempt.endpoint
        rid, first, history = "", "", []
        if client_attempt is not None:
            rid, first, history = (
                client_attempt.rid,
                client_attempt.request.first,
                client_attempt.request.history,
            )
            node = node or client_attempt.node
        made = Violation(at, rule, text, rid, first, node, endpoint, history)
        insort(self.offences, made, key=attrgetter("at"))
        del self.offences[MAX_KEPT_VIOLATIONS:]
