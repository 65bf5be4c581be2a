"""A planner as a voter: it answers probes and questions, and hears of those that give up.

It owns what follows from a verdict. It must never stand or lead.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases import voter
from granitewell.leases.participant import Seat
from granitewell.leases.persistence import Reply
from granitewell.leases.types import Follows
from granitewell.leases.voter import Promise, Question, Who, verdict
from granitewell.protocols.peers.leases import Ask, Grant, No, Probe, Release, Would


class Grants:
    """follows: name and term of whoever said last that it leads."""

    __slots__ = ("_given_up", "_seat", "follows")

    def __init__(self, seat: Seat) -> None:
        self._seat = seat
        self._given_up: tuple[Who, int] | None = None  # who has released us, and in which term
        self.follows: tuple[str, int] = ("", -1)

    def probe(self, name: str, boot: int, body: Probe, busy: bool) -> bool:
        """Say what we would do; whether that is to vote for it.

        Args:
            busy: We probe ourselves. Of two that probe at once the one with the lower boot, a random number,
                goes first.
        """
        seat = self._seat
        why = self._why(Question((name, boot), body.term, body.lease_us, tuple(body.lives)))
        if not why and busy and boot > seat.boot:
            why = voter.BUSY
        seat.say(name, Would(body.round, boot, seat.record.life, seat.record.term, why))
        return not why

    def ask(self, name: str, boot: int, body: Ask) -> bool:
        """Grant it or say why not; whether it is granted."""
        seat, record = self._seat, self._seat.record
        asked = Question((name, boot), body.term, body.lease_us, tuple(body.lives))
        if body.leads:
            self._follow(name, body.term)
        why = self._why(asked)
        if why:
            seat.say(name, No(body.round, boot, record.life, record.term, why, seat.lives_said(record)))
        else:
            self._give(asked, body.round)
        return not why

    def release(self, name: str, boot: int, body: Release) -> bool:
        """Who has our vote gives up; whether that frees us."""
        seat, who = self._seat, (name, boot)
        if (seat.record.voted, seat.record.term) != (who, body.term):
            return False
        self._given_up = (who, body.term)
        freed = seat.promise.to == who
        if freed:
            seat.promise = Promise(None, seat.now_us)
        return freed

    def _why(self, asked: Question) -> str:
        if self._given_up == (asked.who, asked.term):
            return voter.GIVEN_UP
        seat = self._seat
        if not seat.votes:
            return voter.NO_VOTE
        return verdict(asked, seat.record, seat.promise, seat.now_us, seat.me)

    def _give(self, asked: Question, number: int) -> None:
        """A vote, or more time: the promise runs from now, the word goes out once the disk has the vote."""
        seat, record = self._seat, self._seat.record
        if asked.term > record.term:
            record = replace(record, term=asked.term, voted=asked.who, lease_us=asked.lease_us)
        record = replace(record, lives=asked.lives)
        seat.promise = Promise(asked.who, seat.now_us + seat.settings.promised(asked.lease_us))
        grant = Grant(number, asked.who[1], record.life, asked.term)
        now = seat.write_then(record, Reply(asked.who[0], grant))
        if now is not None:
            seat.say(asked.who[0], grant)

    def _follow(self, name: str, term: int) -> None:
        if term >= self.follows[1] and self.follows != (name, term):
            self.follows = (name, term)
            self._seat.out.append(Follows(name, term))
