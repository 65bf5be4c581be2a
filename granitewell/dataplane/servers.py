"""What this edge knows of each server: its requests, load and health. No I/O; times in seconds.

A record outlives changes of the server's models, and ends with the server's id: every start of a server is a
new incarnation with a new id, of which nothing is known.
"""

from __future__ import annotations

import math

from granitewell.dataplane.failure_suspicion import FailureSuspicion
from granitewell.dataplane.headers import ServerLoad
from granitewell.domain.servers import Server

LOAD_DECAY_S = 1.5  # a server's word on its load loses its say over such a time
WAITING_DECAY_S = 0.4  # the same for requests that wait there: a queue is gone sooner
WAITING_REQUEST_COST = (
    2.0  # of a request that waits, besides its place: it is read before the next, one by one
)
BASE_EJECTION_S = 1.0  # after a failure a server gets no requests for so long, while others are there
MAX_EJECTION_S = 5.0
CONSECUTIVE_ERRORS_TO_EJECT = 3  # own failures of a server, from which it is held to be ill
FIRST_BYTE_EWMA_WEIGHT = 0.1  # weight of the newest time to a first byte
REJECTION_BACKOFF_S = 0.1  # a server that turned a request away is held to be full for so long
MISDIRECTED_BACKOFF_S = 1.0  # a server that said 421 is not asked again before the table may have changed


class ServerRecord:
    """One incarnation of a server as this edge sees it."""

    __slots__ = (
        "_consecutive_errors",
        "_failed_at",
        "_load",
        "_load_at",
        "_others_running",
        "_others_waiting",
        "_first_byte_s_per_request",
        "_rejecting_until",
        "_unresponsive_since",
        "ejected_until",
        "consecutive_failures",
        "in_flight",
        "server",
        "suspicion",
        "unanswered",
    )

    def __init__(self, server: Server) -> None:
        self.server = server
        self.in_flight = 0  # requests of this node there, until their answers have ended
        self.unanswered = 0  # of those, the ones without a first byte of their answer
        self.consecutive_failures = 0  # in a row
        self._consecutive_errors = 0  # the same for failures that it answered with
        self.suspicion = FailureSuspicion()  # for requests without a second attempt
        self.ejected_until = -math.inf
        self._failed_at = -math.inf
        self._rejecting_until = -math.inf
        self._unresponsive_since = math.inf
        self._first_byte_s_per_request = (
            0.0  # mean time to a first byte for each request in line there, 0: not known
        )
        self._load: ServerLoad | None = None
        self._load_at = -math.inf
        self._others_running = 0.0  # by its last word: requests of others that it runs,
        self._others_waiting = 0.0  # and all that wait there

    @property
    def id(self) -> str:
        """Id of the server, new with each of its starts."""
        return self.server.id

    def version(self, model: str) -> int:
        """Return the version of a model's weights there, 0 if it is not known."""
        loaded = self.server.models.get(model)
        return loaded.version if loaded is not None else 0

    # --- What happens there -----------------------------------------------------------------------------
    def sent(self, now: float) -> None:
        """Record that a request was sent."""
        if not self.unanswered:
            self._unresponsive_since = now
        self.in_flight += 1
        self.unanswered += 1

    def response_started(self, now: float) -> None:
        """Record that an answer has begun."""
        self.unanswered -= 1
        self._unresponsive_since = now if self.unanswered else math.inf

    def first_byte_received(self, after_s: float, waiting: float) -> None:
        """Record how long after the request its answer began, and how many requests were waiting."""
        sample = after_s / (1.0 + waiting)
        self._first_byte_s_per_request += (sample - self._first_byte_s_per_request) * (
            FIRST_BYTE_EWMA_WEIGHT if self._first_byte_s_per_request else 1.0
        )

    def abandoned(self, now: float, unresponsive_after_s: float) -> None:
        """Record that an answer that has not begun is no longer awaited."""
        if self.is_unresponsive(now, unresponsive_after_s):
            self.failed(now)
        self.request_withdrawn()

    def request_withdrawn(self) -> None:
        """Record that a request was not sent after all, or that no one waits for its answer."""
        self.unanswered -= 1
        if not self.unanswered:
            self._unresponsive_since = math.inf

    def ended(self) -> None:
        """Record that a request has ended."""
        self.in_flight -= 1

    def error_received(self, now: float) -> None:
        """Record that it answered with a failure of its own; a few in a row make it unhealthy."""
        self._consecutive_errors += 1
        self.suspicion.error_received(now)
        if self._consecutive_errors >= CONSECUTIVE_ERRORS_TO_EJECT:
            self._consecutive_errors = 0
            self.failed(now)

    def response_completed(self, began_at: float) -> None:
        """Record a complete answer, unless the request was sent before the last failure."""
        self._consecutive_errors = 0
        self.suspicion.succeeded(began_at)
        if began_at >= self._failed_at:
            self.consecutive_failures = 0
            self.ejected_until = -math.inf

    def failed(self, now: float) -> None:
        """Record that it could not be reached, broke off, or sent an invalid answer."""
        self.suspicion.connection_failed(now)
        if now < self.ejected_until:
            return  # requests that were there together failed together: this counts once
        self._failed_at = now
        self.consecutive_failures += 1
        ejection_s = BASE_EJECTION_S * 2.0 ** min(self.consecutive_failures - 1, 8)
        self.ejected_until = now + min(ejection_s, MAX_EJECTION_S)

    def rejected(self, now: float) -> None:
        """Record that it rejected a request without executing it."""
        self._rejecting_until = now + REJECTION_BACKOFF_S

    def load_reported(self, load: ServerLoad, now: float) -> None:
        """Record the load that it reports."""
        self._load, self._load_at = load, now
        self._others_running = max(load.running - (self.in_flight - self.unanswered), 0)
        self._others_waiting = max(load.waiting - self.unanswered, 0)

    # --- What follows -----------------------------------------------------------------------------------
    @property
    def slots(self) -> int:
        """Concurrent requests."""
        if self._load is not None and self._load.slots > 0:
            return self._load.slots
        return max(self.server.slots, 1)

    def waiting(self, now: float) -> float:
        """Return how many requests are assumed to wait there.

        Those are this edge's without an answer, and others' by the server's last report.
        """
        return self.unanswered + self._others_waiting * math.exp((self._load_at - now) / WAITING_DECAY_S)

    def load(self, now: float) -> float:
        """Return how many requests are assumed to be there, in progress or waiting."""
        others = self._others_running * math.exp((self._load_at - now) / LOAD_DECAY_S)
        return self.in_flight - self.unanswered + others + self.waiting(now)

    def cost(self, now: float) -> float:
        """Return the cost of one more request, in requests: those that wait count for more."""
        return self.load(now) + WAITING_REQUEST_COST * self.waiting(now)

    def expected_first_byte_s(self, now: float) -> float:
        """Return how long one more request would wait for its first byte, in seconds."""
        return self._first_byte_s_per_request * (1.0 + self.waiting(now))

    def full(self, now: float) -> bool:
        """Return whether one more request would find no slot."""
        return now < self._rejecting_until or self.load(now) >= self.slots

    def is_unresponsive(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether it owes answers and has begun none for too long."""
        return now - self._unresponsive_since > unresponsive_after_s

    def is_healthy(self, now: float, unresponsive_after_s: float, is_final_attempt: bool = False) -> bool:
        """Return whether it is healthy.

        Args:
            now: Current time, in seconds.
            unresponsive_after_s: How long it may owe answers, in seconds.
            is_final_attempt: Whether this is for a request without a second attempt.
        """
        if now < self.ejected_until or self.is_unresponsive(now, unresponsive_after_s):
            return False
        return not (is_final_attempt and self.suspicion.is_suspected(now, unresponsive_after_s))
