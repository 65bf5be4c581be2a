"""What is dropped before it is looked at: too much of it, or heard before.

It owns the token bucket and the window of numbers heard, which all that nodes say to each other goes through.
It must never know what is dropped or why it matters.
"""

from __future__ import annotations

_S = 1_000_000
WINDOW = 1_024  # numbers back from the highest that are told apart


class Bucket:
    """A token bucket: so many a second, twice that at once."""

    __slots__ = ("_last_us", "_level", "_most", "_rate")

    def __init__(self, per_s: int, now_us: int) -> None:
        self._rate, self._most = per_s, 2 * per_s * _S
        self._level, self._last_us = self._most, now_us

    def take(self, now_us: int) -> bool:
        """Whether there is one, and then one less."""
        level = min(self._level + (now_us - self._last_us) * self._rate, self._most)
        self._last_us = now_us
        self._level = level - _S if level >= _S else level
        return level >= _S


class Window:
    """Numbers of one sender that were heard (the anti-replay window of RFC 4303, section 3.4.3).

    What is too far back to be told counts as heard.
    """

    __slots__ = ("_heard", "_top")

    def __init__(self) -> None:
        self._top, self._heard = -1, 0

    def fresh(self, number: int) -> bool:
        """Whether it is heard for the first time; it is heard now."""
        ahead = number - self._top
        if ahead > 0:
            self._heard = ((self._heard << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self._top = number
            return True
        bit = 1 << -ahead if ahead > -WINDOW else 0
        if not bit or self._heard & bit:
            return False
        self._heard |= bit
        return True
