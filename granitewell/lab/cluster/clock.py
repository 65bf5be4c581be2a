"""A node's own clock: starts anywhere, runs a little fast or slow, never stands or goes back.

It owns the two conversions between real and local time.
"""

from __future__ import annotations

_MILLION = 1_000_000


class Clock:
    """Local microseconds from real ones.

    Attributes:
        ppm: How much faster than real time it runs; below a million either way.
    """

    __slots__ = ("_before", "_local", "_rate", "_real", "ppm")

    def __init__(self, offset_us: int = 0, ppm: int = 0) -> None:
        self._real, self._local = 0, offset_us
        self._before: list[tuple[int, int, int]] = []  # rates of before: from when, and what it showed then
        self.ppm, self._rate = ppm, _MILLION + ppm

    def local(self, real_us: int) -> int:
        """What the clock shows then."""
        return self._local + (real_us - self._real) * self._rate // _MILLION

    def real(self, local_us: int) -> int:
        """The first real time since its beginning at which the clock shows that or more."""
        real, local, rate = self._real, self._local, self._rate
        for before in reversed(self._before):
            if local_us >= local:
                break
            real, local, rate = before
        ahead = local_us - local
        return real if ahead <= 0 else real - (-ahead * _MILLION // rate)

    def drift(self, real_us: int, ppm: int) -> None:
        """From then on it runs at another rate."""
        self._before.append((self._real, self._local, self._rate))
        self._local, self._real = self.local(real_us), real_us
        self.ppm, self._rate = ppm, _MILLION + ppm
