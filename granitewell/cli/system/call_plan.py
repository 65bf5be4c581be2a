"""Retry policy of a call to the operator API. Does no I/O; the current time is a parameter.

A final answer ends the call: 2xx, a status of FINAL_STATUSES, or the third of any other 4xx. A 307 is
followed at most twice in a row. Everything else (no answer in time, 5xx, 408, 429, too many redirects)
moves on to the next address after a growing delay, until the total timeout is over.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})  # end the call at once
RETRIED_STATUSES = frozenset({408, 429})
REDIRECT_STATUS = 307
MAX_REDIRECTS = 2
MAX_OTHER_REFUSALS = 3  # number of other 4xx answers that ends the call
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of a control node.

    Attributes:
        location: The Location header of a redirect.
    """

    status: int
    body: bytes = b""
    location: str | None = None

    @property
    def reason(self) -> str:
        """The start of the body, for an error message."""
        return " ".join(self.body[:300].decode(errors="replace").split())


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer came, or not in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the unchanged call to this address after a delay."""

    address: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class Answered:
    """The call has its answer."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The total timeout is over.

    Attributes:
        reason: The last failure.
    """

    reason: str


Step = SendTo | Answered | GiveUp


class CallPlan:
    """The state of one call that may be sent to several addresses."""

    def __init__(self, addresses: Sequence[str], now: float, total_timeout_s: float) -> None:
        self._addresses = tuple(addresses)
        self._ends_at = now + total_timeout_s
        self._address_index = 0
        self._redirects = 0
        self._refusals = 0
        self._delay_s = INITIAL_BACKOFF_S

    def first(self) -> SendTo:
        """Return the first step."""
        return SendTo(self._addresses[0], 0.0)

    def after(self, outcome: Reply | Unanswered, now: float) -> Step:
        """Return the next step after an attempt with this outcome."""
        if isinstance(outcome, Unanswered):
            return self._next(outcome.reason, now)
        if outcome.status == REDIRECT_STATUS:
            return self._follow(outcome, now)
        if self._is_final(outcome.status):
            return Answered(outcome)
        return self._next(f"answered {outcome.status} {outcome.reason}".strip(), now)

    def _is_final(self, status: int) -> bool:
        if 200 <= status < 300 or status in FINAL_STATUSES:
            return True
        if not 400 <= status < 500 or status in RETRIED_STATUSES:
            return False
        self._refusals += 1
        return self._refusals >= MAX_OTHER_REFUSALS

    def _follow(self, reply: Reply, now: float) -> Step:
        address = _address_of(reply.location)
        if address is None:
            return self._next(f"redirected to {reply.location!r}", now)
        if self._redirects >= MAX_REDIRECTS:
            return self._next("redirected too often", now)
        self._redirects += 1
        return SendTo(address, 0.0)

    def _next(self, reason: str, now: float) -> Step:
        if now + self._delay_s > self._ends_at:
            return GiveUp(reason)
        self._redirects = 0
        self._address_index = (self._address_index + 1) % len(self._addresses)
        delay_s, self._delay_s = self._delay_s, min(MAX_BACKOFF_S, 2.0 * self._delay_s)
        return SendTo(self._addresses[self._address_index], delay_s)


def _address_of(location: str | None) -> str | None:
    """Return the `ip:port` of a redirect, or None if it can't be followed."""
    try:
        parts = urlsplit(location or "")
        port = parts.port
    except ValueError:
        return None
    if parts.scheme != "http" or not parts.hostname:
        return None
    return f"{parts.hostname}:{port or 80}"
