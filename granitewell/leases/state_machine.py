"""The planner that a shell runs: which of a few leads, by a lease that a majority grants.

It owns which part hears of which event, and the start of a process. It must never let a part handle an event
before the present time has been held against the lease.

Theory of operation. A planner that hears of no holder first asks whether it would be voted for (PROBING),
which changes nothing anywhere, so that one that is cut off does not raise terms. With a majority's yes it
takes a new term, votes for itself, writes that down, and asks (CANDIDATE). A vote is written before it is
said; it is also the first grant of the lease. With a majority, itself included, it leads (HOLDER) until the
lease is over, counted from when it asked the round that the majority has granted; it asks again eight times a
lease. Waits before probing are random, as are those after a failure; nobody has priority.

Whoever comes late (a process that was stopped) compares the clock with its lease before anything else.
Whoever stops, fails or lets its lease lapse says so, which frees its voters at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import assert_never

from granitewell.leases import voter_recovery
from granitewell.leases.candidacy import Standing
from granitewell.leases.duplicate_identity import Twins
from granitewell.leases.grants import Grants
from granitewell.leases.incarnations import join
from granitewell.leases.participant import Seat
from granitewell.leases.persistence import Desk, Go, Reply, Then
from granitewell.leases.record import BLANK, KEY, OATH, MalformedRecordError, Record, read
from granitewell.leases.types import LONGEST_US, Cause, Floor, Refuses, Settings, State, Stop
from granitewell.leases.voter import Promise, at_start
from granitewell.leases.voter_recovery import Swearing
from granitewell.protocols.peers.leases import (
    Ask,
    Grant,
    Here,
    No,
    Oath,
    Probe,
    Release,
    Said,
    Sworn,
    Would,
)
from granitewell.state_machine import Heard, Line, Stored, Woken

OATHS_A_LEASE = 8
_DONE = (State.REFUSED, State.STOPPED)


class Leases:
    """A planner.

    Attributes: disk: What the shell has found, by key; an empty one is a new disk. Raises
        MalformedRecordError where the record can't be read; a shell then stops, and an operator decides
        whether to go on with a new disk.
    """

    __slots__ = ("grants", "seat", "standing", "swearing", "twins")

    def __init__(self, settings: Settings, rng: Random, now_us: int, disk: Mapping[str, bytes]) -> None:
        record = restored(settings, disk)
        desk = Desk(record or voter_recovery.blank(settings, 1, rng.random()), record is not None)
        seat = self.seat = Seat(settings, rng, now_us, desk)
        seat.promise = at_start(desk.record, now_us, settings)
        self.grants, self.swearing = Grants(seat), Swearing(seat)
        self.standing, self.twins = Standing(seat), Twins(seat)
        if desk.record.sworn != BLANK:
            self.standing.sworn()

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When Woken is wanted; -1 for never."""
        return -1 if self.state in _DONE else min(self.standing.next_us, self.twins.next_us)

    @property
    def state(self) -> State:
        """Where we stand."""
        return self.standing.state

    @property
    def term(self) -> int:
        """The highest we have voted in or adopted."""
        return self.seat.record.term

    @property
    def until_us(self) -> int:
        """Until when we lead, on our own clock; -1 where we do not."""
        return self.standing.until_us

    @property
    def follows(self) -> tuple[str, int]:
        """Name and term of whoever said last that it leads."""
        return self.grants.follows

    def leads(self, now_us: int) -> bool:
        """Whether we hold the lease at that time of our own clock."""
        return self.state is State.HOLDER and now_us < self.until_us

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; the effects, in order. A time before the last one counts as the last one."""
        self.seat.now_us = max(now_us, self.seat.now_us)
        self.seat.out = []
        if self.state not in _DONE:
            self.standing.look()
            self._event(event)
        return self.seat.out

    def _event(self, event: object) -> None:
        if isinstance(event, Heard):
            letter = self.seat.open(event)
            if letter is not None:
                self._heard(event.sender, *letter)
        elif isinstance(event, Woken):
            self._due()
        elif isinstance(event, Stored):
            self._stored(event)
        elif isinstance(event, Floor):
            self.standing.floor(event.term)
        elif isinstance(event, Stop):
            self.standing.end(Cause.STOP)

    def _due(self) -> None:
        self.twins.due()
        if self.seat.now_us < self.standing.next_us:
            return
        if self.state is State.BLANK:
            self._swear()
        else:
            self.standing.due()

    def _stored(self, event: Stored) -> None:
        if not event.ok:
            self.seat.out.append(Line("disk", "the disk has refused the lease record: no vote without it"))
        then = self.seat.desk.stored(event)
        if then is not None:
            self._go_on(then)

    def _go_on(self, then: Then) -> None:
        """What has waited for the disk."""
        if isinstance(then, Reply):
            self.seat.say(then.to, then.body)
        elif then == Go("ask") and self.state is State.CANDIDATE:
            self.standing.ask()
        elif then == Go("swear") and self.state is State.BLANK:
            self._swear()
        elif then == Go("sworn") and self.state is State.BLANK:
            self._may_vote()

    # --- A new disk -------------------------------------------------------------------------------------
    def _swear(self) -> None:
        """Wait for somebody who goes by our name, then ask for our vote, again and again."""
        seat, standing = self.seat, self.standing
        if seat.now_us < self.twins.waits_us:
            standing.next_us = self.twins.waits_us
            return
        standing.next_us = seat.now_us + seat.settings.lease_us // OATHS_A_LEASE
        if self.swearing.ask():
            self._may_vote()

    def _may_vote(self) -> None:
        """From now on; after an oath, once whatever we may have promised has run out."""
        seat = self.seat
        if seat.record.sworn == OATH:
            seat.promise = Promise(None, seat.now_us + seat.settings.promised(LONGEST_US))
        if seat.record.sworn != BLANK:
            self.standing.sworn()
            words = f"the new disk may vote ({seat.record.sworn}), above term {seat.record.term}"
            seat.out.append(Line("sworn", words))

    # --- Messages ---------------------------------------------------------------------------------------
    def _heard(self, sender: str, name: str, boot: int, said: Said) -> None:
        if name != self.seat.settings.name:
            if self._lives(said):
                self._said(name, boot, said)
        elif isinstance(said, Here) and boot != self.seat.boot:
            self._refuse(self.twins.heard(sender, boot, said))

    def _lives(self, said: Said) -> bool:
        """Whether what is said of disks can be; refuses ourselves where it says that ours is an old one."""
        if isinstance(said, Would | Grant | Release | Oath | Here):
            return True
        if len(said.lives) != len(self.seat.settings.names):
            return False
        mine = self.seat.record.life
        if self.seat.votes and join(said.lives[self.seat.me], mine) != mine:
            self._refuse("another process has taken our name with a newer disk")
            return False
        return True

    def _refuse(self, reason: str) -> None:
        """Our name is another's: do nothing more."""
        if reason:
            self.standing.end(Cause.TWIN)
            self.seat.out += [Line("twin", reason), Refuses(reason)]

    def _said(self, name: str, boot: int, said: Said) -> None:
        match said:
            case Ask():
                if self.grants.ask(name, boot, said):
                    self.standing.gave()
            case Grant():
                self.standing.granted(name, said)
            case No():
                self.standing.denied(name, said)
            case Probe():
                if self.grants.probe(name, boot, said, self.state is State.PROBING):
                    self.standing.yield_()
            case Would():
                self.standing.would(name, said)
            case Release():
                if self.grants.release(name, boot, said):
                    self.standing.freed(said.next)
            case Oath():
                self.swearing.asked(name, said)
            case Sworn():
                if self.state is State.BLANK:
                    self.swearing.answered(name, said)
            case Here():
                pass
            case _:
                assert_never(said)


def restored(settings: Settings, disk: Mapping[str, bytes]) -> Record | None:
    """The record on the disk; None for none of this epoch. Raises MalformedRecordError."""
    data = disk.get(KEY)
    if data is None:
        return None
    record = read(data, len(settings.names))
    if record.epoch > settings.epoch:
        raise MalformedRecordError(
            f"lease record: epoch: found {record.epoch}, allowed are up to {settings.epoch}"
        )
    if record.epoch < settings.epoch:
        return None
    if record.fleet != settings.fleet:
        raise MalformedRecordError(
            "lease record: of other planners: a new list of planners needs a new epoch on all"
        )
    return record
