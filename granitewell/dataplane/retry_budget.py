"""This edge's part of a service's retry budget. No I/O.

All edges share one budget: retries in a window may be at most a ratio of the requests plus a slack. Each edge
earns a part of the ratio with its own requests, and saves up at most its part of the slack, so that the sum
holds whatever the others do, without any communication between edges.
"""

from __future__ import annotations

USABLE_RATIO = 0.6  # of the ratio that is spent; the rest covers requests that are counted in another window
USABLE_SLACK_RATIO = (
    0.5  # of the slack that all nodes together may save up; the rest covers nodes that restart
)

MAX_USABLE_SLACK_RATIO = 0.9  # the same where a node could not save up one repeat otherwise


class RetryBudget:
    """Token bucket: each first attempt of a request earns a part of a retry, each retry spends one."""

    __slots__ = ("_max_tokens", "_ratio", "_tokens")

    def __init__(self, ratio: float, slack: float, max_edges: int) -> None:
        self._ratio = USABLE_RATIO * ratio
        self._tokens = 0.0  # nothing at the start: a node that restarts often must not gain by it
        self._max_tokens = _max_savings(slack, max_edges)

    def set_max_edges(self, slack: float, max_edges: int) -> None:
        """Set the number of edges; savings beyond the new part are lost."""
        self._max_tokens = _max_savings(slack, max_edges)
        self._tokens = min(self._tokens, self._max_tokens)

    def earn(self) -> None:
        """Record that a request of this edge is sent for the first time."""
        self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def try_spend(self) -> bool:
        """Return whether another retry may be sent now; if so, it counts."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _max_savings(slack: float, max_edges: int) -> float:
    """Return how much an edge may save.

    If the slack has less than one retry per edge, an edge saves less than one and makes none: the sum of all
    savings must stay below the slack.
    """
    slack_per_edge = slack / max(max_edges, 1)
    return max(USABLE_SLACK_RATIO * slack_per_edge, min(1.0, MAX_USABLE_SLACK_RATIO * slack_per_edge))
