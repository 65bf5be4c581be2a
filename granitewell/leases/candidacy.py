"""A planner that follows, stands or leads: its state (terms.TABLE), when it acts next, and its lease.

It owns the states from FOLLOWER to HOLDER and every move between states. It must never say a vote of its own
before that is on the disk, and never verify what it hears: machine does.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases import voter
from granitewell.leases.incarnations import joined
from granitewell.leases.participant import Seat
from granitewell.leases.persistence import Go
from granitewell.leases.rounds import Rounds
from granitewell.leases.types import TABLE, Cause, Leads, Lost, State
from granitewell.leases.voter import Promise
from granitewell.protocols.peers.leases import Ask, Grant, No, Probe, Release, Would
from granitewell.state_machine import Line, Road

ROUNDS_A_LEASE = 8
PROBES_A_LEASE = 16
MAX_TERM = 1 << 53  # a term above it is not believed
_ASKING = (State.CANDIDATE, State.HOLDER)


class Standing:
    """state: see terms.

    Attributes:
        until_us: Of the lease, on our own clock; -1 for none.
        next_us: When `due` is to be called.
    """

    __slots__ = ("_denials", "_end_us", "_heard_term", "_probed", "_raise_us", "_rounds", "_seat", "next_us",
                 "state", "until_us")  # fmt: skip

    def __init__(self, seat: Seat) -> None:
        self._seat, self._rounds = seat, Rounds(seat.settings)
        self.state = State.BLANK
        self.until_us = -1
        self.next_us = self._raise_us = seat.now_us
        self._end_us = -1  # when the present try is over
        self._probed: tuple[int, tuple[str, ...]] = (0, ())  # the round, and who has said yes
        self._denials: tuple[str, ...] = ()  # who has voted for another in our term
        self._heard_term = 0

    @property
    def _spread(self) -> int:
        return self._seat.settings.lease_us // 4

    @property
    def _next_term(self) -> int:
        return max(self._seat.record.term, self._heard_term) + 1

    # --- Moves ------------------------------------------------------------------------------------------
    def _move(self, cause: Cause) -> None:
        self.state = TABLE[self.state, cause]

    def _after(self, time_us: int) -> None:
        self.next_us = time_us + self._seat.some(self._spread)

    def sworn(self) -> None:
        """We may vote, once what we may have promised is over."""
        seat = self._seat
        self._move(Cause.SWORN)
        seat.votes = True
        self._after(max(seat.promise.until_us, seat.now_us))

    def look(self) -> None:
        """Before anything else: is the lease, or the try, over by now?"""
        now = self._seat.now_us
        if self.state is State.HOLDER and now >= self.until_us:
            self._seat.out.append(Line("lease", f"the lease of term {self._seat.record.term} is over"))
            self._leave(Cause.LAPSED)
        elif self.state in (State.PROBING, State.CANDIDATE) and now >= self._end_us:
            self._leave(Cause.OVER)

    def gave(self) -> None:
        """Another has our vote, or more time."""
        if self.state in (State.FOLLOWER, State.PROBING):
            self._move(Cause.GAVE)
            self._after(self._seat.promise.until_us)

    def freed(self, heir: str | None) -> None:
        """Whoever had our vote gives up; the one that it names goes first."""
        if self.state is State.FOLLOWER:
            self._after(self._seat.now_us + (self._spread if heir else 0))
            if heir == self._seat.settings.name:
                self.next_us = self._seat.now_us

    def yield_(self) -> None:
        """Let another that probes too go first."""
        if self.state is State.PROBING:
            self._leave(Cause.OVER)

    def end(self, cause: Cause) -> None:
        """Stop for good, and hand over to whoever has granted last."""
        if self.state in _ASKING:
            self._release(self._rounds.newest())
        self._move(cause)

    def _leave(self, cause: Cause) -> None:
        """Back to following; free whoever has voted for us; try again some time later."""
        if self.state in _ASKING:
            self._release(None)
        self._move(cause)
        self._after(self._seat.now_us + self._spread)

    def _lose(self) -> None:
        if self.until_us >= 0:
            self._seat.out.append(Lost(self._seat.record.term))
        self.until_us = -1
        self._rounds.clear()

    def _release(self, heir: str | None) -> None:
        """Give up the term for good."""
        self._lose()
        seat = self._seat
        if seat.promise.to == seat.who:
            seat.promise = Promise(None, seat.now_us)
        for road in Road:  # at once, and surely
            seat.say_all(Release(seat.record.term, heir), road)

    # --- Asking -----------------------------------------------------------------------------------------
    def due(self) -> None:
        """The time of next_us has come."""
        if self.state is State.FOLLOWER:
            self._ask_first()
        elif self.state is State.PROBING:
            self._ask_again()
        elif self.state in _ASKING:
            self.ask()

    def _ask_first(self) -> None:
        seat = self._seat
        if seat.promise.against(seat.who, seat.now_us):
            self._after(seat.promise.until_us)
            return
        self._move(Cause.DUE)
        self._end_us = seat.now_us + self._spread
        self._probed = (self._rounds.ask(seat.now_us), ())
        self._ask_again()

    def _ask_again(self) -> None:
        """Those that have not said yes; they may not have heard us, or not have been free yet."""
        seat, length = self._seat, self._seat.settings.lease_us
        self.next_us = min(seat.now_us + length // PROBES_A_LEASE, self._end_us)
        number, yes = self._probed
        for name in seat.others:
            if name not in yes:
                seat.say(name, Probe(number, self._next_term, list(seat.record.lives), length))

    def would(self, name: str, body: Would) -> None:
        """The answer to a probe."""
        number, yes = self._probed
        if self.state is not State.PROBING or (body.for_boot, body.round) != (self._seat.boot, number):
            return
        self.hear(body.term)
        if not body.why and name not in yes and body.life == self._seat.life_of(name):
            self._probed = (number, (*yes, name))
        if len(self._probed[1]) + 1 >= self._seat.settings.majority:
            self._move(Cause.ENOUGH)
            self._stand()

    def _stand(self) -> None:
        """Take a new term and vote for ourselves; nothing is said of it before it is on the disk."""
        seat, length = self._seat, self._seat.settings.lease_us
        self._rounds.clear()
        self._denials = ()
        seat.promise = Promise(seat.who, seat.now_us + seat.settings.promised(length))
        self.next_us = self._end_us = seat.now_us + length // 2 + seat.some(self._spread)
        seat.write(replace(seat.record, term=self._next_term, voted=seat.who, lease_us=length), Go("ask"))

    def ask(self) -> None:
        """A round: of a candidate for votes, of a holder for more time. It is our own grant too."""
        if self.state not in _ASKING:
            return
        seat, length = self._seat, self._seat.settings.lease_us
        holds = self.state is State.HOLDER
        seat.promise = Promise(seat.who, seat.now_us + seat.settings.promised(length))
        end = self.until_us if holds else self._end_us
        self.next_us = min(seat.now_us + length // ROUNDS_A_LEASE, end)
        number = self._rounds.ask(seat.now_us)
        seat.say_all(Ask(number, seat.record.term, list(seat.record.lives), length, holds))

    def granted(self, name: str, body: Grant) -> None:
        """A vote, or more time: with a majority's we lead."""
        seat = self._seat
        if self.state not in _ASKING or (body.for_boot, body.term) != (seat.boot, seat.record.term):
            return
        self._rounds.grant(name, body.life, body.round)
        until = self._rounds.until({n: seat.life_of(n) for n in seat.others})
        if until <= max(self.until_us, seat.now_us):
            return
        self.until_us = until
        if self.state is State.CANDIDATE:
            self._move(Cause.ENOUGH)
            self.next_us = seat.now_us  # tell the others at once
        seat.out.append(Leads(seat.record.term, until))

    def denied(self, name: str, body: No) -> None:
        """A refusal: what it says of disks is kept; of a higher term, or of our term's votes, followed."""
        seat = self._seat
        if body.for_boot != seat.boot:
            return
        self.hear(body.term)
        lives = joined(seat.record.lives, body.lives)
        if lives != seat.record.lives:
            seat.write(replace(seat.record, lives=lives), None)
        if body.why not in (voter.TERM, voter.VOTED) or body.term < seat.record.term:
            return
        if self.state is State.HOLDER:
            self._raise()
        elif self.state is State.CANDIDATE:
            self._denials = tuple(sorted({*self._denials, name}))
            left = len(seat.settings.names) - len(self._denials)
            if body.why == voter.TERM or left < seat.settings.majority:
                self._leave(Cause.OVER)

    # --- Higher terms -----------------------------------------------------------------------------------
    def hear(self, term: int) -> None:
        """Somebody is, or was, in that term: we stand in a higher one."""
        if term < MAX_TERM:
            self._heard_term = max(self._heard_term, term)

    def floor(self, term: int) -> None:
        """A plan of that term was taken: ours counts for nothing in a lower one."""
        self.hear(term)
        if self.state is State.HOLDER and term > self._seat.record.term:
            self._raise()

    def _raise(self) -> None:
        """Lead on in a term above the one heard of: at most once a lease, since it costs a moment without."""
        seat = self._seat
        if seat.now_us < self._raise_us:
            return
        self._raise_us = seat.now_us + seat.settings.lease_us
        self._lose()
        self._move(Cause.OUTBID)
        self._stand()
