"""Suspicion of a server after failures, for requests that can't be retried. No I/O; times in seconds.

A faulty server may still answer half of its requests, so a single failure says little about the next request.
Idempotent requests test a server again as soon as its ejection ends. A request whose failure would be final
goes to servers whose last result was a success and that have no overdue response, as long as there are any.
Suspicion also expires, because a service may have no idempotent requests that would test its servers.
"""

from __future__ import annotations

import math

# Complete responses in a row that end the suspicion:
SUCCESSES_AFTER_CONNECTION_FAILURE = 3  # after a reset, an incomplete response or an unresponsive server
SUCCESSES_AFTER_ERROR = 1  # after an error response
MAX_MISSING_SUCCESSES = 6
SUSPICION_TIMEOUT_S = 8.0  # time without further failures that ends the suspicion


class FailureSuspicion:
    """Suspicion of one server, from the results of this edge's requests."""

    __slots__ = ("_failed_at", "_missing_successes", "_unanswered")

    def __init__(self) -> None:
        self._missing_successes = 0
        self._failed_at = -math.inf
        self._unanswered: dict[object, float] = {}  # time at which it was written, by request, oldest first

    # --- Events -----------------------------------------------------------------------------------------
    def written(self, request: object, now: float) -> None:
        """Record that a request was written to the server and its response is pending."""
        self._unanswered[request] = now

    def response_started(self, request: object) -> None:
        """Record that a response has begun."""
        self._unanswered.pop(request, None)

    def abandoned(self, request: object, now: float, unresponsive_after_s: float) -> None:
        """Record that a request was abandoned before its response began.

        If it had been pending for too long, the server was unresponsive.
        """
        written_at = self._unanswered.pop(request, math.inf)
        if now - written_at > unresponsive_after_s:
            self.connection_failed(now)

    def connection_failed(self, now: float) -> None:
        """Record a failed connection, a reset, an incomplete response, or an unresponsive server."""
        self._fail(SUCCESSES_AFTER_CONNECTION_FAILURE, now)

    def error_received(self, now: float) -> None:
        """Record that the server answered with an error."""
        self._fail(SUCCESSES_AFTER_ERROR, now)

    def succeeded(self, began_at: float) -> None:
        """Record a complete response to a request that was sent at `began_at`.

        A request that was sent before the last failure does not count.
        """
        if self._missing_successes and began_at >= self._failed_at:
            self._missing_successes -= 1

    def _fail(self, successes: int, now: float) -> None:
        self._missing_successes = min(self._missing_successes + successes, MAX_MISSING_SUCCESSES)
        self._failed_at = now

    # --- State ------------------------------------------------------------------------------------------
    def is_unresponsive(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether a response is overdue, even if later requests were answered."""
        oldest = next(iter(self._unanswered.values()), math.inf)
        return now - oldest > unresponsive_after_s

    def is_suspected(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether requests that can't be retried should avoid the server."""
        if self.is_unresponsive(now, unresponsive_after_s):
            return True
        return self._missing_successes > 0 and now - self._failed_at < SUSPICION_TIMEOUT_S
