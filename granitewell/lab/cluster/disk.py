"""A node's disk: small values under keys, each durable some time after it was asked for.

It owns what survives a kill. It must never tear a value: whole or not at all is what storage promises, and
storage's own tests hold it to that.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from random import Random

from granitewell.state_machine import Store


class Fate(Enum):
    """What a kill leaves of a disk."""

    KEPT = "kept"  # the process alone dies: what it wrote last may or may not be there
    UNSYNCED = "unsynced"  # power is lost: what was not durable yet is gone
    LOST = "lost"  # a new, empty disk


class Disk:
    """kept: what is durable.

    Attributes:
        delay_us: From asking to durable.
        failing: Writes are refused.
    """

    __slots__ = ("_last_us", "_under_way", "delay_us", "failing", "kept")

    def __init__(self, delay_us: int = 2_000) -> None:
        self.kept: dict[str, bytes] = {}
        self.delay_us = delay_us
        self.failing = False
        self._under_way: deque[Store] = deque()
        self._last_us = 0

    def ask(self, now_us: int, store: Store) -> int:
        """Take a write; when it will be done. Writes are done in the order of asking."""
        self._under_way.append(store)
        self._last_us = max(now_us + self.delay_us, self._last_us)
        return self._last_us

    def done(self) -> tuple[Store, bool]:
        """The oldest write is over: whether it is durable."""
        store = self._under_way.popleft()
        if not self.failing:
            self.kept[store.key] = store.data
        return store, not self.failing

    def kill(self, fate: Fate, rng: Random) -> None:
        """The process is gone, and with it what was under way, but for what the system still had of it."""
        left = int(rng.random() * (len(self._under_way) + 1)) if fate is Fate.KEPT and not self.failing else 0
        for _ in range(left):
            self.done()
        self._under_way.clear()
        self._last_us = 0
        if fate is Fate.LOST:
            self.kept = {}
