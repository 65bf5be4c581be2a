"""The clients: what they send, how long they wait, when they try again, and when they book anew.

It owns every first try with its further tries, from its arrival to its end. It must never see a connection or
a node, and never waits for an answer before the next arrival. The life of one want (one thing that one client
wants; all its tries share class, tenant, key, zone, work and deadline):

    arrival ──▶ try ──served──▶ done
                 │ refused, failed, broken, given up ──▶ try again, where allowed ──▶ next try, else done
                 │ its client is impatient ──▶ leaves for good

    how a try ends                class safe     class unsafe
    refused                       again          again
    broken before it was sent     again          again
    failed                        again          done: it may have run
    broken after it was sent      again          lost: some book anew
    given up                      again          lost: some book anew

Again means at once or after the backoff, for those who heed it after the Retry-After, up to `retries` times
and never after the first try's deadline. A try is given up when its share of the deadline is over; its
connection stays a little longer, for what is owed within the rules' slack, but nobody listens: a late answer
changes nothing. A booking made anew is a first try with a deadline of its own; it is made once, and not after
the arrivals' end. What is held is what is open, however long the day.
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

SHORTEST_US = 1_000  # of a try: its time is told in whole milliseconds
STAYS_US = 250_000  # for which a connection stays beyond the slack: what is owed counts from its reading


def _rids(seed: str) -> Iterator[str]:
    """Sixteen hexadecimal digits each.

    Eight of a hash, and eight of the count times an odd number, by which the first 2^32 all differ. One hash
    gives sixteen of them.
    """
    for block in count():
        digits = blake2b(f"{seed}/{block}".encode()).hexdigest()
        for k in range(16):
            yield f"{digits[8 * k : 8 * k + 8]}{(block * 16 + k) * 0x9E3779B1 & 0xFFFFFFFF:08x}"


# States of what the agenda names; an entry that waits for another state than the present one is stale.
_OPEN, _OVER, _ENDED = range(3)


class _Want:
    """One thing that one client wants, with all its tries.

    Attributes:
        left: Further tries that it may make.
    """

    __slots__ = ("arrival", "ends_us", "first", "heeds", "left", "rebooks", "state")

    def __init__(self, arrival: Arrival, first: str, ends_us: int, left: int, rebooks: str) -> None:
        self.arrival, self.first, self.ends_us, self.left = arrival, first, ends_us, left
        self.rebooks = rebooks  # the first try of the lost booking, if this one is made anew
        self.heeds: bool | None = None  # whether its client heeds Retry-After; drawn when it first matters
        self.state = _OPEN


class _Try:
    """One try.

    State over: given up, its connection left to what is still owed.

    Attributes:
        leaves: Its client is impatient, and goes for good before due_us, when others would give this try up
            and go on.
    """

    __slots__ = ("due_us", "leaves", "rid", "state", "want")

    def __init__(self, rid: str, want: _Want, due_us: int, leaves: bool) -> None:
        self.rid, self.want, self.due_us, self.leaves = rid, want, due_us, leaves
        self.state = _OPEN


class Clients:
    """All clients of a day.

    `handle` takes times that never fall; the shell calls it with a Tick at `wake_us` (-1: never). `rng_seed`
    sets this object's rids and its clients' tempers; the arrivals are the day's.
    """

    def __init__(self, day: Day, rng_seed: int) -> None:
        figures = day.clients
        self._classes, self._length_us, self._figures = day.classes, day.length_us, figures
        self._try_us = [
            c.deadline_us if c.unsafe else max(SHORTEST_US, int(c.deadline_us * figures.try_share))
            for c in day.classes
        ]
        self._stays_us = day.rules.slack_us + STAYS_US
        self._honour, self._impatient, self._when, self._rebook = (
            stream(day.seed, "clients", rng_seed, x).random for x in ("honour", "impatient", "when", "rebook")
        )
        self._rid = _rids(f"{day.seed}/{rng_seed}").__next__
        self._arrivals = Arrivals(day)
        self._next = next(self._arrivals, None)
        self._open: dict[str, _Try] = {}
        self._waiting = 0  # wants between two tries
        self._agenda: list[tuple[int, int, _Try | _Want, int]] = []  # (when, number, whom, its state): a heap
        self._numbers = 0
        self.rebooked = 0
        self.wake_us = self._wake()

    @property
    def over(self) -> bool:
        """Whether all arrivals have been sent and nothing is open."""
        return self._next is None and not self._open and not self._waiting

    def handle(self, now_us: int, event: ClientEvent) -> list[ClientEffect]:
        """Take an event; what clients do on it, in order. A try's end counts once, the first time."""
        out: list[ClientEffect] = []
        if isinstance(event, Tick):
            self._tick(now_us, out)
        elif isinstance(event, Replied):
            self._replied(now_us, event, out)
        else:
            self._broken(now_us, event, out)
        self.wake_us = self._wake()
        return out

    def _wake(self) -> int:
        """The time of the next arrival or of the first entry of the agenda that still matters."""
        agenda = self._agenda
        while agenda and agenda[0][2].state != agenda[0][3]:
            heappop(agenda)
        if self._next is None:
            return agenda[0][0] if agenda else -1
        at = self._next.at_us
        return agenda[0][0] if agenda and agenda[0][0] < at else at

    def _tick(self, now_us: int, out: list[ClientEffect]) -> None:
        """Everything whose time has come, by time; what was asked for earlier goes before an arrival."""
        agenda = self._agenda
        while True:
            at = self._next.at_us if self._next is not None else now_us + 1
            if agenda and agenda[0][0] <= at and agenda[0][0] <= now_us:
                _, _, whom, state = heappop(agenda)
                if whom.state == state:
                    self._due(now_us, whom, out)
            elif self._next is not None and at <= now_us:
                self._arrive(now_us, self._next, out)
                self._next = next(self._arrivals, None)
            else:
                return

    def _at(self, when_us: int, whom: _Try | _Want) -> None:
        self._numbers += 1
        heappush(self._agenda, (when_us, self._numbers, whom, whom.state))

    def _due(self, now_us: int, whom: _Try | _Want, out: list[ClientEffect]) -> None:
        if isinstance(whom, _Want):
            self._waiting -= 1
            if now_us + SHORTEST_US <= whom.ends_us:  # the shell may have come late
                self._ask(now_us, whom, out)
        elif whom.state == _OVER or (whom.leaves and now_us < whom.due_us):
            whom.state = _ENDED
            del self._open[whom.rid]
            out.append(Leave(whom.rid))
        else:
            whom.state = _OVER
            self._at(now_us + self._stays_us, whom)
            if not whom.leaves:  # else the shell has come late, and the answer is owed by now
                self._lost(now_us, whom.want, out)

    # --- Tries ------------------------------------------------------------------------------------------
    def _arrive(self, now_us: int, arrival: Arrival, out: list[ClientEffect], rebooks: str = "") -> None:
        figures, rid = self._figures, self._rid()
        ends = now_us + self._classes[arrival.cls].deadline_us
        want = _Want(arrival, rid, ends, figures.retries, rebooks)
        leaves = figures.impatient > 0.0 and self._impatient() < figures.impatient
        self._put(now_us, rid, want, leaves, out)

    def _ask(self, now_us: int, want: _Want, out: list[ClientEffect]) -> None:
        want.left -= 1
        self._put(now_us, self._rid(), want, False, out)

    def _put(self, now_us: int, rid: str, want: _Want, leaves: bool, out: list[ClientEffect]) -> None:
        """Send a try."""
        _, cls, tenant, key, zone, work_us = want.arrival
        stays = min(self._try_us[cls], want.ends_us - now_us)
        self._open[rid] = made = _Try(rid, want, now_us + stays, leaves)
        self._at(now_us + (int(stays * self._when()) if leaves else stays), made)
        first = want.first
        if rid == first:
            out.append(Ask(rid, first, cls, tenant, key, zone, stays, work_us, False, want.rebooks))
        else:
            marked = self._figures.marks_retry
            out.append(Ask(rid, first, cls, tenant, key, zone, stays, work_us, marked))

    # --- Ends of tries ----------------------------------------------------------------------------------
    def _end(self, rid: str) -> _Want | None:
        """A try's connection is done with; its want, if somebody still listens."""
        ended = self._open.pop(rid, None)
        if ended is None:
            return None
        listens, ended.state = ended.state == _OPEN, _ENDED
        return ended.want if listens else None

    def _replied(self, now_us: int, event: Replied, out: list[ClientEffect]) -> None:
        want = self._end(event.rid)
        if want is None or event.verdict == "served":
            return
        if event.verdict == "refused":
            self._again(now_us, want, out, self._heeded(want, event.retry_after_us))
        elif not self._classes[want.arrival.cls].unsafe:
            self._again(now_us, want, out)

    def _broken(self, now_us: int, event: Broken, out: list[ClientEffect]) -> None:
        want = self._end(event.rid)
        if want is None:
            return
        if event.sent:
            self._lost(now_us, want, out)
        else:
            self._again(now_us, want, out)

    def _lost(self, now_us: int, want: _Want, out: list[ClientEffect]) -> None:
        """No answer came to what may have run."""
        if not self._classes[want.arrival.cls].unsafe:
            self._again(now_us, want, out)
        elif not want.rebooks and self._rebook() < self._figures.rebook and now_us < self._length_us:
            self.rebooked += 1
            self._arrive(now_us, want.arrival, out, rebooks=want.first)

    def _heeded(self, want: _Want, retry_after_us: int) -> int:
        """How long this want's client stays away, as it was told to: 0 if it does not care."""
        if retry_after_us <= 0:
            return 0
        if want.heeds is None:
            want.heeds = self._honour() < self._figures.honour
        return min(retry_after_us, self._figures.max_retry_after_us) if want.heeds else 0

    def _again(self, now_us: int, want: _Want, out: list[ClientEffect], wait_us: int = 0) -> None:
        """A further try, now or later, if there may be one."""
        wait = max(wait_us, self._figures.backoff_us)
        if want.left <= 0 or now_us + wait + SHORTEST_US > want.ends_us:
            return
        if wait:
            self._waiting += 1
            self._at(now_us + wait, want)
        else:
            self._ask(now_us, want, out)
