"""The client model: what clients send, how long they wait, when they retry and when they rebook.

It tracks every request with its attempts, from arrival to end, and sees no connections or nodes. Arrivals
never wait for responses. All attempts of a request share class, tenant, key, zone, work and deadline:

    arrival ──▶ attempt ──served──▶ done
                 │ refused, failed, broken, given up ──▶ retry, if allowed ──▶ next attempt, else done
                 │ its client is impatient ──▶ leaves for good

    how an attempt ends           class safe     class unsafe
    refused                       retry          retry
    broken before it was sent     retry          retry
    failed                        retry          done: it may have run
    broken after it was sent      retry          lost: some rebook
    given up                      retry          lost: some rebook

A retry comes at once or after the backoff, for clients that honour it after the Retry-After, up to `retries`
times and never after the request's deadline. An attempt is given up when its share of the deadline is over;
its connection stays open a little longer, for responses still due within the rules' slack, but a late
response changes nothing. A rebooking is a new request with its own deadline; it happens once, and not after
the end of the arrivals. Memory holds only what is open, however long the day.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import count

from granitewell.lab.day import Day
from granitewell.lab.emulator.arrivals import Arrival, Arrivals
from granitewell.lab.emulator.types import Ask, Broken, ClientEffect, ClientEvent, Leave, Replied, Tick
from granitewell.lab.engine import stream

MIN_ATTEMPT_US = 1_000  # timeouts are sent in whole milliseconds
LINGER_US = (
    250_000  # a connection stays open after the slack, since the response's due time counts from its reading
)


def _rids(seed: str) -> Iterator[str]:
    """Yield request ids of sixteen hexadecimal digits.

    Eight digits come from a hash, and eight from the count times an odd number, so that the first 2^32 ids
    differ. One hash serves sixteen ids.
    """
    for block in count():
        digits = blake2b(f"{seed}/{block}".encode()).hexdigest()
        for k in range(16):
            yield f"{digits[8 * k : 8 * k + 8]}{(block * 16 + k) * 0x9E3779B1 & 0xFFFFFFFF:08x}"


# States of timer subjects; a timer set for another state than the present one is stale.
_OPEN, _GIVEN_UP, _ENDED = range(3)


class _ClientRequest:
    """One request of a client, with all its attempts.

    Attributes:
        retries_left: Retries that it may still make.
    """

    __slots__ = ("arrival", "deadline_us", "first", "honours_retry_after", "retries_left", "rebooks", "state")

    def __init__(
        self, arrival: Arrival, first: str, deadline_us: int, retries_left: int, rebooks: str
    ) -> None:
        self.arrival, self.first, self.deadline_us, self.retries_left = (
            arrival,
            first,
            deadline_us,
            retries_left,
        )
        self.rebooks = rebooks  # the first attempt of the lost booking, if this is a rebooking
        self.honours_retry_after: bool | None = None  # drawn when it first matters
        self.state = _OPEN


class _ClientAttempt:
    """One client attempt.

    State given up: its connection stays open for a response that is still due.

    Attributes:
        is_impatient: Its client leaves for good before due_us, when others would give up this attempt and
            retry.
    """

    __slots__ = ("due_us", "is_impatient", "rid", "state", "request")

    def __init__(self, rid: str, request: _ClientRequest, due_us: int, is_impatient: bool) -> None:
        self.rid, self.request, self.due_us, self.is_impatient = rid, request, due_us, is_impatient
        self.state = _OPEN


class Clients:
    """All clients of a day.

    `handle` takes times that never fall; the shell calls it with a Tick at `wake_us` (-1: never). `rng_seed`
    determines the request ids and client behavior; the arrivals are the day's.
    """

    def __init__(self, day: Day, rng_seed: int) -> None:
        figures = day.clients
        self._classes, self._length_us, self._figures = day.classes, day.length_us, figures
        self._attempt_timeout_us = [
            c.deadline_us if c.unsafe else max(MIN_ATTEMPT_US, int(c.deadline_us * figures.try_share))
            for c in day.classes
        ]
        self._linger_us = day.rules.slack_us + LINGER_US
        self._honour, self._impatient, self._leave_time, self._rebook = (
            stream(day.seed, "clients", rng_seed, x).random for x in ("honour", "impatient", "when", "rebook")
        )
        self._rid = _rids(f"{day.seed}/{rng_seed}").__next__
        self._arrivals = Arrivals(day)
        self._next = next(self._arrivals, None)
        self._open_attempts: dict[str, _ClientAttempt] = {}
        self._waiting = 0  # requests between two attempts
        self._timers: list[
            tuple[int, int, _ClientAttempt | _ClientRequest, int]
        ] = []  # heap of (when, number, subject, its state)
        self._timer_count = 0
        self.rebooked = 0
        self.wake_us = self._wake()

    @property
    def over(self) -> bool:
        """Whether all arrivals have been sent and no request is open."""
        return self._next is None and not self._open_attempts and not self._waiting

    def handle(self, now_us: int, event: ClientEvent) -> list[ClientEffect]:
        """Handle an event and return the clients' actions in order. An attempt's end counts only once."""
        effects: list[ClientEffect] = []
        if isinstance(event, Tick):
            self._tick(now_us, effects)
        elif isinstance(event, Replied):
            self._replied(now_us, event, effects)
        else:
            self._broken(now_us, event, effects)
        self.wake_us = self._wake()
        return effects

    def _wake(self) -> int:
        """The time of the next arrival or of the first timer that is not stale."""
        timers = self._timers
        while timers and timers[0][2].state != timers[0][3]:
            heappop(timers)
        if self._next is None:
            return timers[0][0] if timers else -1
        at = self._next.at_us
        return timers[0][0] if timers and timers[0][0] < at else at

    def _tick(self, now_us: int, effects: list[ClientEffect]) -> None:
        """Handle everything due, in order of time; timers go before an arrival at the same time."""
        timers = self._timers
        while True:
            at = self._next.at_us if self._next is not None else now_us + 1
            if timers and timers[0][0] <= at and timers[0][0] <= now_us:
                _, _, subject, state = heappop(timers)
                if subject.state == state:
                    self._on_timer(now_us, subject, effects)
            elif self._next is not None and at <= now_us:
                self._arrive(now_us, self._next, effects)
                self._next = next(self._arrivals, None)
            else:
                return

    def _schedule(self, when_us: int, subject: _ClientAttempt | _ClientRequest) -> None:
        self._timer_count += 1
        heappush(self._timers, (when_us, self._timer_count, subject, subject.state))

    def _on_timer(
        self, now_us: int, subject: _ClientAttempt | _ClientRequest, effects: list[ClientEffect]
    ) -> None:
        if isinstance(subject, _ClientRequest):
            self._waiting -= 1
            if now_us + MIN_ATTEMPT_US <= subject.deadline_us:  # the caller may be late
                self._ask(now_us, subject, effects)
        elif subject.state == _GIVEN_UP or (subject.is_impatient and now_us < subject.due_us):
            subject.state = _ENDED
            del self._open_attempts[subject.rid]
            effects.append(Leave(subject.rid))
        else:
            subject.state = _GIVEN_UP
            self._schedule(now_us + self._linger_us, subject)
            if not subject.is_impatient:  # else the shell has come late, and the answer is owed by now
                self._on_lost(now_us, subject.request, effects)

    # --- Tries ------------------------------------------------------------------------------------------
    def _arrive(self, now_us: int, arrival: Arrival, effects: list[ClientEffect], rebooks: str = "") -> None:
        figures, rid = self._figures, self._rid()
        ends = now_us + self._classes[arrival.cls].deadline_us
        request = _ClientRequest(arrival, rid, ends, figures.retries, rebooks)
        is_impatient = figures.impatient > 0.0 and self._impatient() < figures.impatient
        self._send_attempt(now_us, rid, request, is_impatient, effects)

    def _ask(self, now_us: int, request: _ClientRequest, effects: list[ClientEffect]) -> None:
        request.retries_left -= 1
        self._send_attempt(now_us, self._rid(), request, False, effects)

    def _send_attempt(
        self, now_us: int, rid: str, request: _ClientRequest, is_impatient: bool, effects: list[ClientEffect]
    ) -> None:
        """Send an attempt."""
        _, cls, tenant, key, zone, work_us = request.arrival
        timeout_us = min(self._attempt_timeout_us[cls], request.deadline_us - now_us)
        self._open_attempts[rid] = made = _ClientAttempt(rid, request, now_us + timeout_us, is_impatient)
        self._schedule(now_us + (int(timeout_us * self._leave_time()) if is_impatient else timeout_us), made)
        first = request.first
        if rid == first:
            effects.append(
                Ask(rid, first, cls, tenant, key, zone, timeout_us, work_us, False, request.rebooks)
            )
        else:
            marked = self._figures.marks_retry
            effects.append(Ask(rid, first, cls, tenant, key, zone, timeout_us, work_us, marked))

    # --- Ends of attempts --------------------------------------------------------------------------------
    def _close_attempt(self, rid: str) -> _ClientRequest | None:
        """Close an attempt; returns its request if the client still waits."""
        ended = self._open_attempts.pop(rid, None)
        if ended is None:
            return None
        listens, ended.state = ended.state == _OPEN, _ENDED
        return ended.request if listens else None

    def _replied(self, now_us: int, event: Replied, effects: list[ClientEffect]) -> None:
        request = self._close_attempt(event.rid)
        if request is None or event.verdict == "served":
            return
        if event.verdict == "refused":
            self._retry(now_us, request, effects, self._retry_after_wait(request, event.retry_after_us))
        elif not self._classes[request.arrival.cls].unsafe:
            self._retry(now_us, request, effects)

    def _broken(self, now_us: int, event: Broken, effects: list[ClientEffect]) -> None:
        request = self._close_attempt(event.rid)
        if request is None:
            return
        if event.sent:
            self._on_lost(now_us, request, effects)
        else:
            self._retry(now_us, request, effects)

    def _on_lost(self, now_us: int, request: _ClientRequest, effects: list[ClientEffect]) -> None:
        """An attempt that may have run got no response."""
        if not self._classes[request.arrival.cls].unsafe:
            self._retry(now_us, request, effects)
        elif not request.rebooks and self._rebook() < self._figures.rebook and now_us < self._length_us:
            self.rebooked += 1
            self._arrive(now_us, request.arrival, effects, rebooks=request.first)

    def _retry_after_wait(self, request: _ClientRequest, retry_after_us: int) -> int:
        """How long the client waits for Retry-After; 0 if it does not honour it."""
        if retry_after_us <= 0:
            return 0
        if request.honours_retry_after is None:
            request.honours_retry_after = self._honour() < self._figures.honour
        return min(retry_after_us, self._figures.max_retry_after_us) if request.honours_retry_after else 0

    def _retry(
        self, now_us: int, request: _ClientRequest, effects: list[ClientEffect], wait_us: int = 0
    ) -> None:
        """Retry now or after a wait, if a retry is allowed."""
        wait = max(wait_us, self._figures.backoff_us)
        if request.retries_left <= 0 or now_us + wait + MIN_ATTEMPT_US > request.deadline_us:
            return
        if wait:
            self._waiting += 1
            self._schedule(now_us + wait, request)
        else:
            self._ask(now_us, request, effects)
