"""This edge's share of the retry budget of a service. No I/O.

All edges together may send at most `ratio` retries per request, plus a constant slack, in any window. Each
edge earns a fraction of a retry with each of its requests and saves at most its share of the slack. The total
therefore holds without communication between edges.
"""

from __future__ import annotations

USABLE_RATIO = 0.6  # of the ratio; the rest covers requests that are counted in another window
USABLE_SLACK_RATIO = 0.5  # of the slack; the rest covers nodes that restart
MAX_USABLE_SLACK_RATIO = 0.9  # of the slack, where an edge could otherwise not save up one retry


class RetryBudget:
    """Token bucket: each request earns a fraction of a token, and each retry spends one token."""

    __slots__ = ("_max_tokens", "_ratio", "_tokens")

    def __init__(self, ratio: float, slack: float, max_edges: int) -> None:
        self._ratio = USABLE_RATIO * ratio
        self._tokens = 0.0  # starts empty, so that a node gains nothing by restarting
        self._max_tokens = _max_tokens_per_edge(slack, max_edges)

    def set_max_edges(self, slack: float, max_edges: int) -> None:
        """Set the maximum number of edges; tokens beyond the new share are dropped."""
        self._max_tokens = _max_tokens_per_edge(slack, max_edges)
        self._tokens = min(self._tokens, self._max_tokens)

    def earn(self) -> None:
        """Add the tokens for the first attempt of a request."""
        self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def try_spend(self) -> bool:
        """Spend one token if there is one; return whether a retry may be sent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _max_tokens_per_edge(slack: float, max_edges: int) -> float:
    """Return the maximum number of tokens of one edge.

    If the slack is less than one retry per edge, an edge never has a whole token and sends no retries: the
    tokens of all edges together must stay below the slack.
    """
    slack_per_edge = slack / max(max_edges, 1)
    return max(USABLE_SLACK_RATIO * slack_per_edge, min(1.0, MAX_USABLE_SLACK_RATIO * slack_per_edge))
