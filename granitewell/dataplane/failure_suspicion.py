"""What speaks against a server for a request that has no second attempt. Pure; times in seconds.

Half of the requests that a server with a fault takes may be answered well, so a failure there tells little
about the next request. A request that may be repeated goes there all the same once the server is no longer
avoided, and so finds out. One whose failure would be final goes where the last that was seen is a success and
no request waits too long for its answer, as long as there is such a server. FailureSuspicion also ends with
time: a service may have no requests that find out.
"""

from __future__ import annotations

import math

PROOFS_AFTER_BREAK = 3  # whole answers in a row that end the doubt after a reset, a cut or silence
PROOFS_AFTER_ERROR = 1  # the same after a failure that the server answered with
MAX_PROOFS = 6
DOUBT_LASTS_S = 8.0  # without further failures


class FailureSuspicion:
    """Of one server, by the ends of this node's requests there."""

    __slots__ = ("_failed_at", "_missing_proofs", "_unanswered")

    def __init__(self) -> None:
        self._missing_proofs = 0
        self._failed_at = -math.inf
        self._unanswered: dict[object, float] = {}  # by request: when it was written, the oldest first

    # --- What happens there -----------------------------------------------------------------------------
    def written(self, request: object, now: float) -> None:
        """A request has been written to the server; it owes an answer."""
        self._unanswered[request] = now

    def answered(self, request: object) -> None:
        """The answer has begun."""
        self._unanswered.pop(request, None)

    def given_up(self, request: object, now: float, patience: float) -> None:
        """Nobody waits for the answer any more; where it was due long ago, that was the server's silence."""
        written_at = self._unanswered.pop(request, math.inf)
        if now - written_at > patience:
            self.broke(now)

    def broke(self, now: float) -> None:
        """It could not be reached, broke off or stayed silent."""
        self._fail(PROOFS_AFTER_BREAK, now)

    def erred(self, now: float) -> None:
        """It answered with a failure of its own."""
        self._fail(PROOFS_AFTER_ERROR, now)

    def succeeded(self, began_at: float) -> None:
        """A whole answer to a request that went there at this time.

        One from before the failure proves nothing.
        """
        if self._missing_proofs and began_at >= self._failed_at:
            self._missing_proofs -= 1

    def _fail(self, proofs: int, now: float) -> None:
        self._missing_proofs = min(self._missing_proofs + proofs, MAX_PROOFS)
        self._failed_at = now

    # --- What follows -----------------------------------------------------------------------------------
    def silent(self, now: float, patience: float) -> bool:
        """Whether a request has waited for its answer for so long, whatever was answered since."""
        oldest = next(iter(self._unanswered.values()), math.inf)
        return now - oldest > patience

    def holds(self, now: float, patience: float) -> bool:
        """Whether a request without a second attempt goes elsewhere."""
        if self.silent(now, patience):
            return True
        return self._missing_proofs > 0 and now - self._failed_at < DOUBT_LASTS_S
