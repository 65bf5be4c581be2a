"""The timer of a replica group on the event loop."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

WAKE_GRID_S = 0.05
"""Timers of all groups fire at multiples of this interval, so that one wake-up serves them all."""

MIN_DELAY_S = 0.01
"""Minimum delay of a timer. Event loops may fire slightly early and must not be rearmed at once."""


class WakeTimer:
    """Calls a function at the earliest of the times that were scheduled since its last call.

    Args:
        clock: Steady clock, in seconds.
        on_wake: Called on the event loop.
    """

    def __init__(self, clock: Callable[[], float], on_wake: Callable[[], None]) -> None:
        self._clock = clock
        self._on_wake = on_wake
        self._handle: asyncio.TimerHandle | None = None
        self._fires_at = math.inf

    def schedule(self, wake_at: float) -> None:
        """Fire at a time, in seconds, or earlier if that is scheduled already."""
        at = math.ceil(wake_at / WAKE_GRID_S) * WAKE_GRID_S
        if at >= self._fires_at:
            return
        self.cancel()
        delay_s = max(MIN_DELAY_S, at - self._clock())
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._fire)
        self._fires_at = at

    def cancel(self) -> None:
        """Cancel the pending call, if any."""
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        self._fires_at = math.inf
        self._on_wake()
