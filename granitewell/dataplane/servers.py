"""What this edge knows of each server: its requests, load and health. No I/O; times in seconds.

A record is kept when the server's models change, but not when the server restarts: every start gives a server
a new id, and nothing is known of the new incarnation.

A server that fails is ejected for a while: it receives no requests as long as others are available.
"""

from __future__ import annotations

import math

from granitewell.dataplane.failure_suspicion import FailureSuspicion
from granitewell.dataplane.headers import ServerLoad
from granitewell.domain.servers import Server

LOAD_DECAY_S = 1.5  # time constant with which the load that a server reported loses weight
WAITING_DECAY_S = 0.4  # the same for the reported queue, which changes faster
# Extra cost of a waiting request: a server reads waiting prompts one by one, before that of the next request.
WAITING_REQUEST_COST = 2.0
BASE_EJECTION_S = 1.0  # after a first failure; doubles with each further one
MAX_EJECTION_S = 5.0
CONSECUTIVE_ERRORS_TO_EJECT = 3
FIRST_BYTE_EWMA_WEIGHT = 0.1  # weight of the newest time to the first byte
REJECTION_BACKOFF_S = 0.1  # time for which a server that rejected a request counts as full
MISDIRECTED_BACKOFF_S = 1.0  # after a 421, until the table of servers may have changed


class ServerRecord:
    """State of one incarnation of a server, as seen by this edge."""

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
        self.in_flight = 0  # requests of this node, until their responses have ended
        self.unanswered = 0  # of those, requests whose response has not begun
        self.consecutive_failures = 0
        self._consecutive_errors = 0  # failures that the server answered with
        self.suspicion = FailureSuspicion()  # avoided by requests that can't be retried
        self.ejected_until = -math.inf
        self._failed_at = -math.inf
        self._rejecting_until = -math.inf
        self._unresponsive_since = math.inf
        self._first_byte_s_per_request = 0.0  # mean, per request waiting there; 0 if unknown
        self._load: ServerLoad | None = None
        self._load_at = -math.inf
        self._others_running = 0.0  # by its last report: running requests of other nodes
        self._others_waiting = 0.0  # by its last report: waiting requests of other nodes

    @property
    def id(self) -> str:
        """Id of the server; each start of a server has a new one."""
        return self.server.id

    def version(self, model: str) -> int:
        """Return the version of a model's weights on the server, 0 if unknown."""
        loaded = self.server.models.get(model)
        return loaded.version if loaded is not None else 0

    # --- Events -----------------------------------------------------------------------------------------
    def sent(self, now: float) -> None:
        """Record that a request was sent."""
        if not self.unanswered:
            self._unresponsive_since = now
        self.in_flight += 1
        self.unanswered += 1

    def response_started(self, now: float) -> None:
        """Record that a response has begun."""
        self.unanswered -= 1
        self._unresponsive_since = now if self.unanswered else math.inf

    def first_byte_received(self, after_s: float, waiting: float) -> None:
        """Record the time from a request to its first byte, and how many requests were waiting before it."""
        sample = after_s / (1.0 + waiting)
        self._first_byte_s_per_request += (sample - self._first_byte_s_per_request) * (
            FIRST_BYTE_EWMA_WEIGHT if self._first_byte_s_per_request else 1.0
        )

    def abandoned(self, now: float, unresponsive_after_s: float) -> None:
        """Record that a request was abandoned before its response began. Ejects an unresponsive server."""
        if self.is_unresponsive(now, unresponsive_after_s):
            self.failed(now)
        self.request_withdrawn()

    def request_withdrawn(self) -> None:
        """Record that a request was not sent, or was abandoned before its response began."""
        self.unanswered -= 1
        if not self.unanswered:
            self._unresponsive_since = math.inf

    def ended(self) -> None:
        """Record that a request has ended."""
        self.in_flight -= 1

    def error_received(self, now: float) -> None:
        """Record that the server answered with an error; several in a row eject it."""
        self._consecutive_errors += 1
        self.suspicion.error_received(now)
        if self._consecutive_errors >= CONSECUTIVE_ERRORS_TO_EJECT:
            self._consecutive_errors = 0
            self.failed(now)

    def response_completed(self, began_at: float) -> None:
        """Record a complete response; it ends an ejection unless the request precedes the last failure."""
        self._consecutive_errors = 0
        self.suspicion.succeeded(began_at)
        if began_at >= self._failed_at:
            self.consecutive_failures = 0
            self.ejected_until = -math.inf

    def failed(self, now: float) -> None:
        """Record a connection failure, a reset, or an invalid response: ejects the server."""
        self.suspicion.connection_failed(now)
        if now < self.ejected_until:
            return  # concurrent requests fail together and count as one failure
        self._failed_at = now
        self.consecutive_failures += 1
        ejection_s = BASE_EJECTION_S * 2.0 ** min(self.consecutive_failures - 1, 8)
        self.ejected_until = now + min(ejection_s, MAX_EJECTION_S)

    def rejected(self, now: float) -> None:
        """Record that the server rejected a request without executing it."""
        self._rejecting_until = now + REJECTION_BACKOFF_S

    def load_reported(self, load: ServerLoad, now: float) -> None:
        """Record the load that the server reports."""
        self._load, self._load_at = load, now
        self._others_running = max(load.running - (self.in_flight - self.unanswered), 0)
        self._others_waiting = max(load.waiting - self.unanswered, 0)

    # --- State ------------------------------------------------------------------------------------------
    @property
    def slots(self) -> int:
        """Number of requests that the server runs at once."""
        if self._load is not None and self._load.slots > 0:
            return self._load.slots
        return max(self.server.slots, 1)

    def waiting(self, now: float) -> float:
        """Return the estimated number of requests that wait at the server.

        These are this edge's requests without a response, and those of others by the server's last report.
        """
        return self.unanswered + self._others_waiting * math.exp((self._load_at - now) / WAITING_DECAY_S)

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the server, running or waiting."""
        others = self._others_running * math.exp((self._load_at - now) / LOAD_DECAY_S)
        return self.in_flight - self.unanswered + others + self.waiting(now)

    def cost(self, now: float) -> float:
        """Return the cost of one more request, in requests; waiting requests count more than running ones."""
        return self.load(now) + WAITING_REQUEST_COST * self.waiting(now)

    def expected_first_byte_s(self, now: float) -> float:
        """Return the expected time to the first byte of one more request, in seconds."""
        return self._first_byte_s_per_request * (1.0 + self.waiting(now))

    def full(self, now: float) -> bool:
        """Return whether the server has no free slot."""
        return now < self._rejecting_until or self.load(now) >= self.slots

    def is_unresponsive(self, now: float, unresponsive_after_s: float) -> bool:
        """Return whether requests are pending and no response has begun for too long."""
        return now - self._unresponsive_since > unresponsive_after_s

    def is_healthy(self, now: float, unresponsive_after_s: float, is_final_attempt: bool = False) -> bool:
        """Return whether the server is neither ejected nor unresponsive.

        Args:
            now: Current time, in seconds.
            unresponsive_after_s: Time without any response after which it is unresponsive, in seconds.
            is_final_attempt: Whether the request can't be retried, so that the server must not be suspected.
        """
        if now < self.ejected_until or self.is_unresponsive(now, unresponsive_after_s):
            return False
        return not (is_final_attempt and self.suspicion.is_suspected(now, unresponsive_after_s))
