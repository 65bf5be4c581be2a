"""The rules on upstream attempts.

No unsafe request runs twice, none that may have run is refused, there are no more attempts than allowed, and
none once the request is over (its final response given, or its client gone).

An earlier attempt is harmless only if its endpoint rejected it unread (`full`): work dropped from a queue
after a cancel cannot be told from work that ran. Whether two attempts of a safe request may be outstanding at
once cannot be checked here, since nobody observes when a node closes a connection.

On sockets the two ends of an exchange timestamp their sides in their own processes, so `ended` may be written
slightly after what it caused. Checks that depend on it run `order_us` later.
"""

from __future__ import annotations

from granitewell.lab.day import Day
from granitewell.lab.judge.fault_exemptions import FaultExemptions
from granitewell.lab.judge.records import ClientAttempt, Request, UpstreamAttempt
from granitewell.lab.judge.violations import ViolationLog

MAX_ATTEMPT_RECORDS = 100  # per client attempt; a node that sends endlessly violates the rules long before
FINAL_OUTCOMES = frozenset({"served", "refused", "failed", "left"})  # outcomes that a node learns of


class AttemptRules:
    """Checks each upstream attempt. Methods take the time of the observation."""

    def __init__(
        self, day: Day, violations: ViolationLog, exemptions: FaultExemptions, order_us: int
    ) -> None:
        self._violations, self._exemptions, self._order_us = violations, exemptions, order_us
        self._max_attempts, self._slack_us = day.rules.max_attempts, day.rules.slack_us
        self._unsafe = [c.unsafe for c in day.classes]
        self.double_bookings = 0  # unsafe requests that ran in two client attempts, or again as a new booking

    def sent(
        self, at: int, client_attempt: ClientAttempt, node: str, endpoint: str, first_byte_at: int
    ) -> UpstreamAttempt | None:
        """An attempt arrived; returns its record, or None if there are too many."""
        attempt, earlier = UpstreamAttempt(node, endpoint, at), client_attempt.attempts
        count = len(earlier) + 1
        if count > self._max_attempts:
            self._violations.record(
                at, "attempts", f"attempt {count} of at most {self._max_attempts}", client_attempt, attempt
            )
        over = (
            client_attempt.closed in FINAL_OUTCOMES
            and first_byte_at > client_attempt.closed_at + self._slack_us
        )
        if over and not self._exemptions.exempts_response(client_attempt, at):
            self._violations.record(
                at, "after", f"sent although it was `{client_attempt.closed}` before", client_attempt, attempt
            )
        if self._unsafe[client_attempt.request.cls]:
            if earlier:
                self._violations.schedule(
                    at + self._order_us, self._check_resent, at, client_attempt, attempt, tuple(earlier)
                )
            if client_attempt.closed == "refused":
                self._violations.record(
                    at, "refusal", "an unsafe request was refused and sent", client_attempt, attempt
                )
        if len(earlier) >= MAX_ATTEMPT_RECORDS:
            return None
        earlier.append(attempt)
        client_attempt.request.outstanding += 1
        return attempt

    def ran(self, at: int, client_attempt: ClientAttempt, endpoint: str, work_us: float) -> None:
        """Work on an attempt began."""
        attempt = _outstanding_attempt(client_attempt, endpoint)
        if attempt is not None and attempt.ran_at < 0:
            attempt.ran_at, attempt.work_us = at, work_us
        client_attempt.ran += 1
        if client_attempt.ran == 1:
            client_attempt.request.ran += 1
            self._count_double_booking(client_attempt.request)
            if client_attempt.request.rebooked_by is not None:
                client_attempt.request.rebooked_by.original_ran = True
                self._count_double_booking(client_attempt.request.rebooked_by)
        elif self._unsafe[client_attempt.request.cls]:
            self._violations.record(
                at, "unsafe", "an unsafe request has run again", client_attempt, attempt, endpoint=endpoint
            )

    def rebooked(self, request: Request, before: Request | None) -> None:
        """A client repeats a lost booking as a new request."""
        if before is not None:
            before.rebooked_by, request.original_ran = request, before.ran > 0

    def _count_double_booking(self, request: Request) -> None:
        """Count an unsafe request that ran in two client attempts, or both as lost and as rebooked."""
        ran_twice = request.ran > 1 or (request.ran == 1 and request.original_ran)
        if ran_twice and not request.is_double_booking and self._unsafe[request.cls]:
            request.is_double_booking = True
            self.double_bookings += 1

    def ended(
        self, at: int, client_attempt: ClientAttempt, endpoint: str, outcome: str
    ) -> UpstreamAttempt | None:
        """An endpoint finished an attempt; returns None if none is known to be outstanding there."""
        attempt = _outstanding_attempt(client_attempt, endpoint)
        if attempt is not None:
            attempt.ended_at, attempt.outcome = at, outcome
            client_attempt.request.outstanding -= 1
        return attempt

    def refused(self, at: int, client_attempt: ClientAttempt) -> None:
        """A refusal invites a retry, so every upstream attempt must have been rejected unread."""
        if self._unsafe[client_attempt.request.cls] and client_attempt.attempts:
            self._violations.schedule(
                at + self._order_us, self._check_refusal, at, client_attempt, tuple(client_attempt.attempts)
            )

    def _check_refusal(
        self, at: int, client_attempt: ClientAttempt, attempts: tuple[UpstreamAttempt, ...]
    ) -> None:
        for x in attempts:
            if x.outcome != "full":
                what = f"an unsafe request was refused, and {_attempt_state(x)}"
                self._violations.record(at, "refusal", what, client_attempt, x)
                return

    def _check_resent(
        self,
        at: int,
        client_attempt: ClientAttempt,
        attempt: UpstreamAttempt,
        earlier: tuple[UpstreamAttempt, ...],
    ) -> None:
        for x in earlier:
            if x.outcome != "full":
                what = f"an unsafe request was sent again, and {_attempt_state(x)}"
                self._violations.record(at, "unsafe", what, client_attempt, attempt)
                return


def _outstanding_attempt(client_attempt: ClientAttempt, endpoint: str) -> UpstreamAttempt | None:
    """The earliest attempt still outstanding at this endpoint."""
    for attempt in client_attempt.attempts:
        if attempt.endpoint == endpoint and not attempt.outcome:
            return attempt
    return None


def _attempt_state(attempt: UpstreamAttempt) -> str:
    """Describes what is known of an attempt."""
    if attempt.outcome:
        return f"its attempt at {attempt.endpoint} had ended `{attempt.outcome}`"
    return f"its attempt at {attempt.endpoint} was still out"
