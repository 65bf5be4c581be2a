"""Virtual time: one clock, one agenda, seeded streams of random numbers, and the digest of what happened.

It owns the order of events: by time, then by the order in which they were asked for. It must never read a
real clock or a random source of its own. The same seed gives the same digest on any machine: times are whole
microseconds, streams come from the Mersenne twister's `random()` alone, and nothing iterates over a set or
hashes by address.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from hashlib import blake2b
from heapq import heappop, heappush
from random import Random
from typing import Any


def stream(seed: int, *names: object) -> Random:
    """Return the stream of random numbers of one purpose.

    Each purpose has its own, so that one more draw in one place shifts nothing elsewhere.
    """
    text = "/".join(map(str, (seed, *names)))
    return Random(int.from_bytes(blake2b(text.encode(), digest_size=16).digest(), "big"))


def normal(rng: Random) -> float:
    """A standard normal draw (Box and Muller, 1958); two uniform draws each."""
    return math.sqrt(-2.0 * math.log(1.0 - rng.random())) * math.cos(math.tau * rng.random())


def lognormal(rng: Random, mean: float, cv: float) -> float:
    """A lognormal draw by its mean and coefficient of variation."""
    if cv <= 0.0:
        return mean
    var = math.log1p(cv * cv)
    return mean * math.exp(math.sqrt(var) * normal(rng) - var / 2)


class Engine:
    """The agenda. `at` asks for a call at a time; `run` makes time pass."""

    __slots__ = ("_agenda", "_digest", "_seq", "events", "now_us")

    def __init__(self) -> None:
        self.now_us = 0
        self.events = 0
        self._agenda: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._seq = 0
        self._digest = blake2b(digest_size=16)

    def at(self, when_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Call at that time, or now where it has passed; calls of one time keep the order of asking."""
        self._seq += 1
        now = self.now_us
        heappush(self._agenda, (when_us if when_us > now else now, self._seq, call, args))

    def run(self, until_us: int) -> bool:
        """Let time pass until then, or until nothing is left: True where something still is."""
        agenda = self._agenda
        while agenda and agenda[0][0] <= until_us:
            self.now_us, _, call, args = heappop(agenda)
            self.events += 1
            call(*args)
        if agenda:
            self.now_us = until_us
        return bool(agenda)

    def step(self, until_us: int) -> bool:
        """One call of those due by then; False, and the time is then, where there is none.

        For those who look at the world after each.
        """
        agenda = self._agenda
        if agenda and agenda[0][0] <= until_us:
            self.now_us, _, call, args = heappop(agenda)
            self.events += 1
            call(*args)
            return True
        if agenda:
            self.now_us = until_us
        return False

    def mark(self, *what: object) -> None:
        """Add to the digest something that has happened now."""
        self._digest.update(repr((self.now_us, *what)).encode())

    @property
    def digest(self) -> str:
        """Of all marks so far, in hexadecimal."""
        return self._digest.hexdigest()
