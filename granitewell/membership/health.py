"""Lifeguard's local health multiplier.

A process that is slow, overloaded or badly connected sees every other member fail. The more of its own probes
fail for that reason, the longer it waits before it believes such failures.
"""

from __future__ import annotations

MAX_SCORE = 8  # S in the Lifeguard paper

PROBE_ANSWERED = -1
PROBE_FAILED = 1  # and there was no helper to ask
NACK_MISSED = 1  # a helper sent no nack: our requests may not reach healthy members
SUSPICION_REFUTED = 1  # we were suspected: our answers arrive late
PROCESS_STALLED = 1  # the process did not run for some time


class Health:
    """Local health score.

    Attributes:
        score: 0 for healthy, up to MAX_SCORE.
    """

    __slots__ = ("_enabled", "score")

    def __init__(self, enabled: bool) -> None:
        """Start healthy; if not enabled, the score stays at 0."""
        self._enabled, self.score = enabled, 0

    def adjust(self, step: int) -> None:
        """Add one of the steps above, or a multiple of it, to the score."""
        if self._enabled:
            self.score = min(max(self.score + step, 0), MAX_SCORE)

    def scale(self, length_us: int) -> int:
        """Return a duration multiplied by the score plus one."""
        return length_us * (self.score + 1)
