"""How long a replica has been asking to join its group without an answer of its leader. No I/O."""

from __future__ import annotations

JOIN_WARNING_S = 5.0
"""Time without an answer after which a replica is reported, and again each time it has passed.

A replica joins within a second or two.
"""


class JoinWait:
    """The time since a replica started, until it knows the members of its group.

    Args:
        now: Time of its start, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._warn_at = now + JOIN_WARNING_S

    def overdue_s(self, knows_members: bool, now: float) -> float | None:
        """Return the seconds since the start if a warning is due, otherwise None."""
        if knows_members or now < self._warn_at:
            return None
        self._warn_at = now + JOIN_WARNING_S
        return now - self._started_at
