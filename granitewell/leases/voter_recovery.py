"""How a planner with a new disk comes to its vote.

It owns the number of its life and what the others have said of it. It must never vote.

A planner that has lost its disk does not know in which terms it has voted, nor whom it has promised what. It
takes a number for its new disk that is higher than any that the others know of it, and asks all of them to
write that down. Two ways lead on:

- **founded**: every other planner has written down our first life, so none has ever heard of an earlier disk
  of ours,
  and
  none has itself come to its vote by oath. Then this is our first disk, and we have never voted.
- **oath**: a majority of all planners, ourselves not among them, who have a vote have written it down. We
  then
  vote in no term up to the highest that any of them was in, and not before a longest lease has passed.

An answer counts only if nobody names a newer disk of whoever gave it. docs/design/leases.md has the proof.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases.incarnations import count_of, join, joined, life, takes
from granitewell.leases.participant import Seat
from granitewell.leases.persistence import Go, Reply
from granitewell.leases.record import BLANK, FOUNDED, OATH, Record
from granitewell.leases.types import LONGEST_US, Settings
from granitewell.protocols.peers.leases import Oath, Sworn

FOUNDING_LEASES = 3  # for how long a first disk prefers to be one of the founders


def blank(settings: Settings, count: int, bits: float) -> Record:
    """The record of a name's count-th disk.

    Args:
        bits: A random number from 0 up to 1.
    """
    mine = life(count, bits)
    lives = tuple(mine if name == settings.name else 0 for name in settings.names)
    return Record(settings.epoch, settings.fleet, mine, BLANK, settings.first_term, None, 0, lives)


class Swearing:
    """answers: of the others, to our present life."""

    __slots__ = ("_answers", "_seat")

    def __init__(self, seat: Seat) -> None:
        self._seat = seat
        self._answers: dict[str, Sworn] = {}

    def ask(self) -> bool:
        """Ask those who have not answered, or had no vote themselves; whether there is nothing more to ask.

        What we have decided is on the disk first.
        """
        seat = self._seat
        if seat.record.sworn != BLANK:
            return seat.write_then(seat.record, Go("sworn")) is not None
        if seat.write_then(seat.record, Go("swear")) is None or self._decide():
            return False
        for name in seat.others:
            if name not in self._answers or self._answers[name].sworn == BLANK:
                seat.say(name, Oath(seat.record.life))
        return False

    def asked(self, name: str, body: Oath) -> None:
        """Write down another's new disk, and tell it what we know."""
        seat, record = self._seat, self._seat.record
        place = seat.settings.names.index(name)
        if takes(record.lives[place], body.life):
            others = record.lives[:place], record.lives[place + 1 :]
            record = replace(record, lives=(*others[0], body.life, *others[1]))
        lives = seat.lives_said(record)
        answer = Sworn(body.life, record.life, record.sworn, record.term, lives)
        if seat.write_then(record, Reply(name, answer)) is not None:
            seat.say(name, answer)

    def answered(self, name: str, body: Sworn) -> None:
        """Keep an answer; with enough of them, write down that we may vote."""
        seat, record = self._seat, self._seat.record
        if record.sworn != BLANK:
            return
        known = body.lives[seat.me]
        if count_of(known) >= count_of(record.life) and known != record.life:
            self._anew(count_of(known) + 1)
        elif body.asked == record.life == known:
            self._answers[name] = body
            self._decide()

    def _decide(self) -> bool:
        """With answers enough, write down that we may vote.

        A first disk waits a while for all of them, since an oath would cost it a longest lease.
        """
        seat = self._seat
        result = sworn(seat.settings, seat.record, self._answers)
        early = seat.now_us < seat.began_us + FOUNDING_LEASES * seat.settings.lease_us
        if result is None or (result.sworn == OATH and count_of(result.life) == 1 and early):
            return False
        seat.write(result, Go("sworn"))
        return True

    def _anew(self, count: int) -> None:
        """Another disk of ours is known: take a number above it."""
        seat = self._seat
        self._answers = {}
        record = blank(seat.settings, count, seat.rng.random())
        seat.write(replace(record, lives=joined(record.lives, seat.record.lives)), Go("swear"))


def sworn(settings: Settings, record: Record, answers: dict[str, Sworn]) -> Record | None:
    """The record with which we may vote, once there are answers enough."""
    lives = record.lives
    for answer in answers.values():
        lives = joined(lives, answer.lives)
    place = settings.names.index
    counted = [a for name, a in answers.items() if join(lives[place(name)], a.life) == a.life]
    first = count_of(record.life) == 1 and all(a.sworn != OATH for a in counted)
    if first and len(counted) == len(settings.names) - 1:
        return replace(record, lives=lives, sworn=FOUNDED)
    voters = [a for a in counted if a.sworn != BLANK]
    if len(voters) < settings.majority:
        return None
    term = max(a.term for a in voters)
    return replace(record, lives=lives, sworn=OATH, term=term, lease_us=LONGEST_US)
