"""Rate limiting and replay protection for messages between nodes."""

from __future__ import annotations

_US_PER_S = 1_000_000
WINDOW_SIZE = 1_024  # sequence numbers remembered, back from the highest


class TokenBucket:
    """A token bucket whose burst is twice its rate per second."""

    __slots__ = ("_last_us", "_available", "_capacity", "_rate")

    def __init__(self, per_s: int, now_us: int) -> None:
        self._rate, self._capacity = per_s, 2 * per_s * _US_PER_S
        self._available, self._last_us = self._capacity, now_us

    def take(self, now_us: int) -> bool:
        """Take a token; return whether there was one."""
        available = min(self._available + (now_us - self._last_us) * self._rate, self._capacity)
        self._last_us = now_us
        self._available = available - _US_PER_S if available >= _US_PER_S else available
        return available >= _US_PER_S


class ReplayWindow:
    """Sequence numbers received from one sender (anti-replay window of RFC 4303, section 3.4.3).

    A number below the window counts as received.
    """

    __slots__ = ("_seen", "_highest")

    def __init__(self) -> None:
        self._highest, self._seen = -1, 0

    def accept(self, number: int) -> bool:
        """Mark a number as received; return whether it is new."""
        ahead = number - self._highest
        if ahead > 0:
            self._seen = ((self._seen << ahead) | 1) & ((1 << WINDOW_SIZE) - 1) if ahead < WINDOW_SIZE else 1
            self._highest = number
            return True
        bit = 1 << -ahead if ahead > -WINDOW_SIZE else 0
        if not bit or self._seen & bit:
            return False
        self._seen |= bit
        return True
