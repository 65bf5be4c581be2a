"""Local health: whether it may be ourselves who is ill (Lifeguard's local health multiplier).

It owns the score. It must never know a member. A process that is slow, overloaded or badly connected sees
everybody fail; the more its own probes fail for that reason, the longer it waits before it believes them.
"""

from __future__ import annotations

MAX_SCORE = 8  # the paper's S

PROBE_ANSWERED = -1  # a probe was
PROBE_FAILED = 1  # a probe was not, and no helper could be asked
NACK_MISSED = 1  # of a helper: what we ask for does not even get as far as to those who are well
SUSPICION_REFUTED = 1  # we were suspected: our answers come late
PROCESS_STALLED = 1  # we stood still


class Health:
    """score: 0 is well, 8 the worst.

    Attributes:
        on: Off keeps it at 0.
    """

    __slots__ = ("_enabled", "score")

    def __init__(self, enabled: bool) -> None:
        self._enabled, self.score = enabled, 0

    def adjust(self, step: int) -> None:
        """Something above has happened, that often."""
        if self._enabled:
            self.score = min(max(self.score + step, 0), MAX_SCORE)

    def scale(self, length_us: int) -> int:
        """That time, lengthened by how ill we are."""
        return length_us * (self.score + 1)
