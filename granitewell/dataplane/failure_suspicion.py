"""Suspicion of a server, for requests that have no second attempt. No I/O; times in seconds.

A faulty server may answer half of its requests well, so one failure tells little about the next request. An
idempotent request goes there again once the server is no longer avoided, and thereby tests it. A request
whose failure would be final goes to servers whose last result was a success and where no request waits too
long for its answer, as long as there are any. Suspicion also expires, because a service may have no requests
that test its servers.
"""

from __future__ import annotations

import math

SUCCESSES_AFTER_CONNECTION_FAILURE = (
    3  # whole answers in a row that end the doubt after a reset, a cut or silence
)
SUCCESSES_AFTER_ERROR = 1  # the same after a failure that the server answered with
MAX_MISSING_SUCCESSES = 6
SUSPICION_TIMEOUT_S = 8.0  # without further failures


class FailureSuspicion:
    """Suspicion of one server, by the results of this edge's requests there."""

    __slots__ = ("_failed_at", "_missing_successes", "_unanswered")

    def __init__(self) -> None:
        self._missing_successes = 0
        self._failed_at = -math.inf
        self._unanswered: dict[object, float] = {}  # by request: when it was written, the oldest first

    # --- What happens there -----------------------------------------------------------------------------
    def written(self, request: object, now: float) -> None:
        """Record that a request was written to the server, so that an answer is due."""
        self._unanswered[request] = now

    def response_started(self, request: object) -> None:
        """Record that an answer has begun."""
        self._unanswered.pop(request, None)

    def abandoned(self, request: object, now: float, unresponsive_after_s: float) -> None:
        """Record that no one waits for an answer any more.

        If it was due long ago, the server was unresponsive.
        """
        written_at = self._unanswered.pop(request, math.inf)
        if now - written_at > unresponsive_after_s:
            self.connection_failed(now)

    def connection_failed(self, now: float) -> None:
        """Record that the server could not be reached, broke off, or was unresponsive."""
        self._fail(SUCCESSES_AFTER_CONNECTION_FAILURE, now)

    def error_received(self, now: float) -> None:
        """Record that the server answered with a failure of its own."""
        self._fail(SUCCESSES_AFTER_ERROR, now)

    def succeeded(self, began_at: float) -> None:
        """Record a complete answer to a request that was sent at a given time.

        A request sent before the last failure proves nothing.
        """
        if self._missing_successes and began_at >= self._failed_at:
            self._missing_successes -= 1

    def _fail(self, successes: int, now: float) -> None:
        self._missing_successes = min(self._missing_successes + successes, MAX_MISSING_SUCCESSES)
        self._failed_at = now

    # --- What follows -----------------------------------------------------------------------------------
    def is_unresponsive(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether a request has waited too long for its answer, whatever was answered since."""
        oldest = next(iter(self._unanswered.values()), math.inf)
        return now - oldest > unresponsive_after_s

    def is_suspected(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether requests without a second attempt should go elsewhere."""
        if self.is_unresponsive(now, unresponsive_after_s):
            return True
        return self._missing_successes > 0 and now - self._failed_at < SUSPICION_TIMEOUT_S
