"""The rules on attempts of a request.

Nothing unsafe runs twice, nothing that may have run is refused, there are no more attempts than allowed, and
none once the request is over (its final answer given, or its client gone).

It owns those rules and the attempts' records. It must never count worth or know what a client does. An
earlier attempt is harmless only if its endpoint turned it away unseen (`full`): what was dropped from a queue
after a cancel can't be told from what ran. Whether two attempts of a safe request may be out at once can't be
judged here, since nobody observes when a node closes a connection.

On sockets the two ends of one exchange stamp their sides in their own processes, so `ended` may be written a
little after what it has led to. What depends on it is looked at again `order_us` later.
"""

from __future__ import annotations

from granitewell.lab.day import Day
from granitewell.lab.judge.excuses import Excuses
from granitewell.lab.judge.offence_agenda import Desk
from granitewell.lab.judge.records import Attempt, Request, Try

MAX_ATTEMPTS = 100  # records of one try; a node that sends without end is accused long before
OVER = frozenset({"served", "refused", "failed", "left"})  # what a node knows to be over, once it hears of it


class Repeats:
    """Judges each attempt of each try. Methods take the time of the observation."""

    def __init__(self, day: Day, desk: Desk, excuses: Excuses, order_us: int) -> None:
        self._desk, self._excuses, self._order_us = desk, excuses, order_us
        self._most, self._slack_us = day.rules.max_attempts, day.rules.slack_us
        self._unsafe = [c.unsafe for c in day.classes]
        self.double_bookings = 0  # bookings that have run for more than one try, or made anew

    def sent(self, at: int, of: Try, node: str, endpoint: str, first_byte_at: int) -> Attempt | None:
        """An attempt has arrived; its record, unless there are too many."""
        attempt, earlier = Attempt(node, endpoint, at), of.attempts
        count = len(earlier) + 1
        if count > self._most:
            self._desk.accuse(at, "attempts", f"attempt {count} of at most {self._most}", of, attempt)
        over = of.closed in OVER and first_byte_at > of.closed_at + self._slack_us
        if over and not self._excuses.answer(of, at):
            self._desk.accuse(at, "after", f"sent although it was `{of.closed}` before", of, attempt)
        if self._unsafe[of.group.cls]:
            if earlier:
                self._desk.at(at + self._order_us, self._again, at, of, attempt, tuple(earlier))
            if of.closed == "refused":
                self._desk.accuse(at, "refusal", "an unsafe request was refused and sent", of, attempt)
        if len(earlier) >= MAX_ATTEMPTS:
            return None
        earlier.append(attempt)
        of.group.out += 1
        return attempt

    def ran(self, at: int, of: Try, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        attempt = _out(of, endpoint)
        if attempt is not None and attempt.ran_at < 0:
            attempt.ran_at, attempt.work_us = at, work_us
        of.ran += 1
        if of.ran == 1:
            of.group.ran += 1
            self._look_twice(of.group)
            if of.group.after is not None:
                of.group.after.before_ran = True
                self._look_twice(of.group.after)
        elif self._unsafe[of.group.cls]:
            self._desk.accuse(at, "unsafe", "an unsafe request has run again", of, attempt, endpoint=endpoint)

    def rebooked(self, request: Request, before: Request | None) -> None:
        """A client makes a lost booking anew."""
        if before is not None:
            before.after, request.before_ran = request, before.ran > 0

    def _look_twice(self, request: Request) -> None:
        """Count an unsafe request that has run for two tries, or both as lost and as made anew."""
        twice = request.ran > 1 or (request.ran == 1 and request.before_ran)
        if twice and not request.again and self._unsafe[request.cls]:
            request.again = True
            self.double_bookings += 1

    def ended(self, at: int, of: Try, endpoint: str, outcome: str) -> Attempt | None:
        """An endpoint is done with an attempt; None where none is known to be out there."""
        attempt = _out(of, endpoint)
        if attempt is not None:
            attempt.ended_at, attempt.outcome = at, outcome
            of.group.out -= 1
        return attempt

    def refused(self, at: int, of: Try) -> None:
        """A refusal invites a retry: every attempt must have been turned away unseen."""
        if self._unsafe[of.group.cls] and of.attempts:
            self._desk.at(at + self._order_us, self._check_refusal, at, of, tuple(of.attempts))

    def _check_refusal(self, at: int, of: Try, attempts: tuple[Attempt, ...]) -> None:
        for x in attempts:
            if x.outcome != "full":
                what = f"an unsafe request was refused, and {_state(x)}"
                self._desk.accuse(at, "refusal", what, of, x)
                return

    def _again(self, at: int, of: Try, attempt: Attempt, earlier: tuple[Attempt, ...]) -> None:
        for x in earlier:
            if x.outcome != "full":
                what = f"an unsafe request was sent again, and {_state(x)}"
                self._desk.accuse(at, "unsafe", what, of, attempt)
                return


def _out(of: Try, endpoint: str) -> Attempt | None:
    """The earliest attempt still out at this endpoint."""
    for attempt in of.attempts:
        if attempt.endpoint == endpoint and not attempt.outcome:
            return attempt
    return None


def _state(attempt: Attempt) -> str:
    """What is known of an attempt, in words."""
    if attempt.outcome:
        return f"its attempt at {attempt.endpoint} had ended `{attempt.outcome}`"
    return f"its attempt at {attempt.endpoint} was still out"
