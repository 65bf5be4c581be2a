"""The rules on endpoints: drains are kept, and no cold endpoint is pushed over.

It owns what each node was told of each endpoint, the present capacity of cold processes, and those two rules.
It must never look at answers. Drains: the first byte of an attempt must not come later than grace + slack
after the node was told `draining` or `gone`; the first telling counts until it is told `ready` again, and a
new process of the node has been told nothing.

Cold endpoints: a process of age a has the part `cold_from + (1 - cold_from) * a / cold_us` of its capacity.
`fell` breaks the rule where at least two thirds of the work sent in the window before came from nodes that
had been told `ready` since its start (WIRE's fourth rule). Besides, the work that those nodes sent within any
window of fall_us must stay under fall_multiple * present capacity * window, with a slack for chance of three
standard deviations of a Poisson stream of such pieces. Work is counted as its class's mean, since that is all
that a node can know when it sends.
"""

from __future__ import annotations

import math
from collections import deque

from granitewell.lab.day import Day
from granitewell.lab.judge.excuses import Excuses
from granitewell.lab.judge.offence_agenda import Desk
from granitewell.lab.judge.records import Attempt, Try

CHANCE = 3.0  # standard deviations
TOLD_PART = 2 / 3  # of the work, sent by nodes that knew of the start


class _Word:
    """What one node was told of one endpoint."""

    __slots__ = ("bad_at", "ready_at", "was_bad_at")

    def __init__(self) -> None:
        self.bad_at = -1  # since when it is known to drain or be gone; -1: it is ready
        self.ready_at = -1  # when `ready` was last told
        self.was_bad_at = -1  # the bad_at before that


class _Cold:
    """A process that is not warm yet."""

    __slots__ = ("capacity", "cold_from", "cold_us", "pieces", "told_us", "total_us", "up_at")

    def __init__(self, up_at: int, capacity: float, cold_from: float, cold_us: int) -> None:
        self.up_at, self.capacity, self.cold_from, self.cold_us = up_at, capacity, cold_from, cold_us
        self.pieces: deque[tuple[int, float, bool]] = deque()  # (at, work, by a node that knew)
        self.total_us = self.told_us = 0.0

    def now(self, at: int) -> float:
        """Present capacity, in work units a microsecond."""
        age = min(max((at - self.up_at) / self.cold_us, 0.0), 1.0)
        return self.capacity * (self.cold_from + (1.0 - self.cold_from) * age)

    def add(self, at: int, work: float, told: bool) -> None:
        """One more piece of work has come."""
        self.pieces.append((at, work, told))
        self.total_us += work
        self.told_us += work if told else 0.0

    def forget(self, before: int) -> None:
        """Only what came after that time matters still."""
        while self.pieces and self.pieces[0][0] <= before:
            _, work, told = self.pieces.popleft()
            self.total_us -= work
            self.told_us -= work if told else 0.0


class Fleet:
    """Judges where attempts go."""

    def __init__(self, day: Day, desk: Desk, excuses: Excuses) -> None:
        self._desk, self._excuses, self._rules = desk, excuses, day.rules
        self._limit_us = day.rules.drain_grace_us + day.rules.slack_us
        self._mean = [c.work_us for c in day.classes]
        self._largest = max(self._mean, default=0.0)
        self._words: dict[str, dict[str, _Word]] = {}
        self._cold: dict[str, _Cold] = {}
        self.fell = 0  # endpoints pushed over
        self.fell_untold = 0  # those by nodes that could not know

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to the node."""
        word = self._words.setdefault(node, {}).setdefault(endpoint, _Word())
        if state == "ready":
            if word.bad_at >= 0:
                word.was_bad_at, word.bad_at = word.bad_at, -1
            word.ready_at = at
        elif word.bad_at < 0:
            word.bad_at = at

    def node_up(self, node: str) -> None:
        """A new process: it has been told nothing."""
        self._words.pop(node, None)

    def endpoint_up(self, at: int, endpoint: str, capacity: float, cold_from: float, cold_us: int) -> None:
        """A process has started."""
        self._cold.pop(endpoint, None)
        if cold_us > 0 and cold_from < 1.0:
            self._cold[endpoint] = _Cold(at, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """It is gone."""
        cold = self._cold.pop(endpoint, None)
        if why != "fell":
            return
        self.fell += 1
        if cold is None:
            self._desk.accuse(at, "cold", "an endpoint was pushed over", endpoint=endpoint)
            return
        cold.forget(at - self._rules.fall_us)
        if cold.pieces and cold.told_us >= TOLD_PART * cold.total_us - 1e-6:  # sums of floats drift
            text = f"pushed over {(at - cold.up_at) / 1e6:.3f} s after its start, {self._sums(cold, at)}"
            self._desk.accuse(at, "cold", text, endpoint=endpoint)
        else:
            self.fell_untold += 1

    def sent(self, at: int, of: Try, attempt: Attempt, first_byte_at: int) -> None:
        """An attempt has arrived at an endpoint."""
        word = self._words.get(attempt.node, {}).get(attempt.endpoint)
        if word is not None and (word.bad_at >= 0 or word.was_bad_at >= 0):
            self._drain(at, of, attempt, first_byte_at, word)
        cold = self._cold.get(attempt.endpoint)
        if cold is not None:
            self._budget(at, of, attempt, cold, word)

    def _drain(self, at: int, of: Try, attempt: Attempt, first_byte_at: int, word: _Word) -> None:
        since = word.bad_at
        if since < 0 or first_byte_at < since:  # it may belong to the telling before
            since = word.was_bad_at if first_byte_at <= word.ready_at else -1
        if since < 0 or first_byte_at - since <= self._limit_us:
            return
        if not self._excuses.drain(attempt.node, first_byte_at):
            late = (first_byte_at - since - self._limit_us) / 1000
            text = f"first byte {late:.3f} ms past the limit; told at {since / 1e6:.6f} s"
            self._desk.accuse(at, "drain", text, of, attempt)

    def _budget(self, at: int, of: Try, attempt: Attempt, cold: _Cold, word: _Word | None) -> None:
        if at >= cold.up_at + cold.cold_us:
            del self._cold[attempt.endpoint]
            return
        rules = self._rules
        told = word is not None and word.ready_at >= cold.up_at
        work = self._mean[of.group.cls]
        cold.forget(at - rules.fall_us)
        cold.add(at, work, told)
        if not told:
            return
        budget = rules.fall_multiple * cold.now(at) * rules.fall_us
        if cold.told_us > budget + CHANCE * math.sqrt(budget * self._largest):
            text = f"{(at - cold.up_at) / 1e6:.3f} s after its start, {self._sums(cold, at)}"
            self._desk.accuse(at, "cold", text, of, attempt)

    def _sums(self, cold: _Cold, at: int) -> str:
        able = self._rules.fall_multiple * cold.now(at) * self._rules.fall_us
        return (
            f"{cold.told_us / 1000:.1f} ms of work (mean) in {self._rules.fall_us / 1e6:g} s from nodes that "
            f"knew, {cold.total_us / 1000:.1f} ms from all, {able / 1000:.1f} ms of budget"
        )
