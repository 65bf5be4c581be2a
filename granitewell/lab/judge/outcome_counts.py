"""Counts of client attempts by outcome, class, tenant, node and time, and latencies of served requests.

A client attempt counts once, when it is closed: as `served` (within its class's latency target, measured from
the first attempt), as `late` (served after it), or by its `closed` state. Latencies are those of served
requests, from the first attempt's sending to the last byte.
"""

from __future__ import annotations

from granitewell.lab.day import Day
from granitewell.lab.judge.histogram import Histogram
from granitewell.lab.judge.records import ClientAttempt
from granitewell.lab.judge.value_score import BUCKET_US

OUTCOMES = ("served", "late", "refused", "failed", "lost", "cut", "left", "unreached", "unanswered")
_OUTCOME_INDEX = {k: n for n, k in enumerate(OUTCOMES)}
_SERVED, _LATE = _OUTCOME_INDEX["served"], _OUTCOME_INDEX["late"]


class OutcomeCounts:
    """Counters of client attempts by outcome."""

    def __init__(self, day: Day) -> None:
        self._latency_targets_us = [c.aim_us for c in day.classes]
        self._class_names = [c.name for c in day.classes]
        self._tenant_names = [t.name for t in day.tenants]
        self.tries = self.attempts = self.ran = 0
        self.total = [0] * len(OUTCOMES)
        self.by_class = [[0] * len(OUTCOMES) for _ in day.classes]
        self.by_tenant = [
            [0] * len(OUTCOMES) for _ in range(len(day.tenants) + 1)
        ]  # the last row: unknown tenants
        self.by_node: dict[str, list[int]] = {n.name: [0] * len(OUTCOMES) for n in day.nodes}
        self.by_time: list[list[int]] = []  # indexed by closing time in units of BUCKET_US
        self.latency = [Histogram() for _ in day.classes]

    def closed(self, client_attempt: ClientAttempt, at: int) -> None:
        """Count a client attempt that has been closed."""
        request = client_attempt.request
        outcome = _OUTCOME_INDEX[client_attempt.closed]
        if outcome == _SERVED:
            took = at - request.asked_at
            if took > self._latency_targets_us[request.cls]:
                outcome = _LATE
            self.latency[request.cls].add(took)
        bucket = at // BUCKET_US
        while len(self.by_time) <= bucket:
            self.by_time.append([0] * len(OUTCOMES))
        self.by_time[bucket][outcome] += 1
        self.total[outcome] += 1
        self.by_class[request.cls][outcome] += 1
        known = 0 <= request.tenant < len(self._tenant_names)
        self.by_tenant[request.tenant if known else -1][outcome] += 1
        if client_attempt.node:
            self.by_node.setdefault(client_attempt.node, [0] * len(OUTCOMES))[outcome] += 1

    def class_table(self) -> dict[str, dict[str, int]]:
        """Client attempts by class and outcome."""
        return _counts_by_name(self._class_names, self.by_class)

    def tenant_table(self) -> dict[str, dict[str, int]]:
        """Client attempts by tenant and outcome; those of unknown tenants, if any, stand under `?`."""
        names = [*self._tenant_names, "?"]
        rows = self.by_tenant if any(self.by_tenant[-1]) else self.by_tenant[:-1]
        return _counts_by_name(names[: len(rows)], rows)

    def node_table(self) -> dict[str, dict[str, int]]:
        """Client attempts that reached a node, by node and outcome."""
        return _counts_by_name(list(self.by_node), list(self.by_node.values()))


def named_counts(row: list[int]) -> dict[str, int]:
    """A row of counts keyed by outcome."""
    return dict(zip(OUTCOMES, row, strict=True))


def _counts_by_name(names: list[str], rows: list[list[int]]) -> dict[str, dict[str, int]]:
    return {name: named_counts(row) for name, row in zip(names, rows, strict=True)}
