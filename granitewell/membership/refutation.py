"""Ourselves: where we stand (states.PHASES), what we say of ourselves, refuting what is said of us, and the
question whose our name is.

It owns our life's number and incarnation, which never fall. It must never judge another name.

Theory of operation. A process that finds its name held by another one that is not known to be gone (its
former self, which nobody has missed yet, or a twin) does not say that it is a member. It asks the holder, by
datagram, by stream and through others. An answer means a twin: it waits, loudly, until that one has died. No
answer means nothing by itself, since we may be the one that is cut off; only where the holder's address is
our own, at which nothing but us can be now, is the holder gone, and we take the next life's number at once.
Else we wait until the others have called it dead. Whoever finds that a later life holds its name, because it
was cut off for long enough to be called dead, goes the same way: so the name goes back and forth between two
living processes at no time.
"""

from __future__ import annotations

from granitewell.membership import health
from granitewell.membership.local_member import Opened, Seat
from granitewell.membership.states import GONE, PHASES, Cause, Phase, Standing, State
from granitewell.membership.suspicion import timeout_us
from granitewell.membership.table import Record
from granitewell.membership.types import Member, Moved, Twin
from granitewell.protocols.peers.gossip import MAX_GEN, MAX_INC, Claim, Ping, Relay, packed
from granitewell.state_machine import Transport

ROUND_US = 500_000  # between two questions to the holder of our name
ROUNDS = 3  # unanswered, and it is gone if its address is ours
SLOW_US = 2_000_000  # between questions after that
MAX_TWINS = 64  # told of, each once


class Own:
    """gen, inc: of the claim that we make; before the first, the least that it may have."""

    __slots__ = ("_about", "_due_us", "_numbers", "_quiet_us", "_rounds", "_seat", "_twins", "gen", "inc",
                 "phase")  # fmt: skip

    def __init__(self, seat: Seat) -> None:
        self._seat, self._about = seat, seat.config.about
        self.phase = Phase.JOINING
        former = seat.config.former
        self.gen = self.inc = 0
        if former is not None:
            self.gen = former.gen if former.goes_on else min(former.gen + 1, MAX_GEN)
            self.inc = former.inc if former.goes_on else 0
        self._due_us = self._quiet_us = -1
        self._rounds = 0  # unanswered
        self._numbers: list[int] = []
        self._twins: list[int] = []

    @property
    def due_us(self) -> int:
        """When there is something to do; -1 for never."""
        return self._due_us

    @property
    def standing(self) -> Standing:
        """What we say of ourselves."""
        state = State.LEFT if self.phase in (Phase.LEAVING, Phase.OUT) else State.ALIVE
        return Standing(self.gen, self._seat.birth, self.inc, state)

    @property
    def record(self) -> Record | None:
        """What is known of our name, whoever holds it."""
        return self._seat.table.records.get(self._seat.config.name)

    @property
    def holder(self) -> Member | None:
        """The other process that holds our name, if one does that is not known to be gone."""
        record = self.record
        if record is None or record.standing.birth == self._seat.birth or record.standing.state in GONE:
            return None
        return record.member

    def _move(self, cause: Cause) -> None:
        before, self.phase = self.phase, PHASES[self.phase, cause]
        if self.phase is not before:
            self._seat.out.append(Moved(self.phase))

    # --- Saying -----------------------------------------------------------------------------------------
    def say(self) -> None:
        """Our claim, to ourselves and to be passed on."""
        seat, standing = self._seat, self.standing
        about = self._about if standing.state is State.ALIVE else None
        claim = Claim(seat.config.name, *standing, about=about)
        seat.table.merge(claim, seat.now_us)
        seat.spread.put(seat.config.name, packed(claim))

    def describe(self, payload: bytes) -> None:
        """Say something else of ourselves."""
        about = self._about
        self._about = type(about)(about.role, about.address, about.zone, about.versions, payload)
        if self.phase is Phase.IN:
            self._above(self.gen, self.inc)

    def _above(self, gen: int, inc: int) -> None:
        """Claim more than that."""
        if inc < MAX_INC:
            self.gen, self.inc = gen, inc + 1
        else:  # said by somebody who means us ill: no incarnation is left in this life
            self.gen, self.inc = min(gen + 1, MAX_GEN), 0
        self.say()

    def enter(self) -> None:
        """Our name is free: be a member, in a life above any that is known of it."""
        self._move(Cause.FREE)
        record, self._due_us = self.record, -1
        known = record.standing.gen if record is not None else 0
        mine = record is not None and record.standing.birth == self._seat.birth
        self.gen = max(self.gen, known if mine else min(known + 1, MAX_GEN))
        self._above(self.gen, max(self.inc, record.standing.inc if record is not None and mine else 0))

    def leave(self) -> None:
        """Say that we go."""
        before = self.phase
        self._move(Cause.LEAVE)
        if self.phase is Phase.LEAVING is not before:
            self.say()
            self._due_us = self._seat.now_us + self._seat.figures.leave_us

    # --- Hearing ----------------------------------------------------------------------------------------
    def look(self) -> None:
        """What is known of our name has changed: refute it, take the name back, or find that it is
        another's.
        """
        record = self.record
        if record is None or record.standing == self.standing and record.about in (None, self._about):
            return
        standing, mine = record.standing, record.standing.birth == self._seat.birth
        if self.phase is Phase.LEAVING and mine:
            self._above(standing.gen, standing.inc)
        elif self.phase is Phase.IN and mine:
            self._seat.health.note(health.REFUTED)
            self._above(standing.gen, standing.inc)
        elif self.phase is Phase.IN and standing.state in GONE:
            self._above(min(standing.gen + 1, MAX_GEN), self.inc)
        elif self.phase is Phase.IN:
            self.dispute()
        elif self.phase in (Phase.DISPUTED, Phase.TAKEN) and (mine or standing.state in GONE):
            self.enter()

    def compared(self) -> None:
        """We have another's whole table, or wait for none any more.

        While we join, that says whether our name is free.
        """
        if self.phase is not Phase.JOINING:
            return
        record = self.record
        mine = record is not None and record.standing.birth == self._seat.birth
        if record is None or mine or record.standing.state in GONE:
            self.enter()
        else:
            self.dispute()

    # --- Whose name it is -------------------------------------------------------------------------------
    def dispute(self) -> None:
        """Another process holds our name: ask it."""
        self._move(Cause.HELD)
        seat = self._seat
        self._rounds, self._numbers = 0, []
        self._due_us = self._quiet_us = seat.now_us
        holder = self.holder
        at = holder.about.address if holder is not None else "an unknown address"
        seat.line("name", f"{seat.config.name} is held by another process, at {at}: asking it")

    def run(self) -> None:
        """Ask again, if it is time; take the name, if the holder is gone; end a leave."""
        if not 0 <= self._due_us <= self._seat.now_us:
            return
        if self.phase is Phase.LEAVING:
            self._move(Cause.OVER)
        elif self.phase is Phase.JOINING:
            self.compared()  # nobody has answered: we are the first, or alone
        elif self.phase in (Phase.DISPUTED, Phase.TAKEN):
            if self._gone():
                self.enter()
            else:
                self._ask()

    def alone_after(self, length_us: int) -> None:
        """Be a member without an answer after so long."""
        self._due_us = self._seat.now_us + length_us

    def _gone(self) -> bool:
        """Whether the holder is, for all that we can tell."""
        seat, holder = self._seat, self.holder
        if holder is None or self._rounds < ROUNDS:
            return False
        if holder.about.address == seat.config.address:
            return True
        nobody = seat.members <= 1  # but the holder, so that nobody else can call it dead
        return nobody and seat.now_us - self._quiet_us >= timeout_us(seat.figures, 2, 0)

    def _ask(self) -> None:
        seat, holder = self._seat, self.holder
        slow = self.phase is Phase.TAKEN or self._rounds >= ROUNDS
        self._due_us = seat.now_us + (SLOW_US if slow else ROUND_US)
        if holder is None:
            return
        self._rounds += 1
        number = seat.number()
        self._numbers = [*self._numbers[-ROUNDS:], number]
        for transport in Transport:
            seat.tell(holder, Ping(number), transport)
        relay = Relay(number, holder.name, holder.birth, holder.about.address)
        for member in seat.draw(seat.figures.helpers):
            seat.tell(member, relay)

    def ack(self, opened: Opened, number: int) -> None:
        """The holder lives: it has answered us, or a helper."""
        seat, holder = self._seat, self.holder
        if self.phase not in (Phase.DISPUTED, Phase.TAKEN) or number not in self._numbers or holder is None:
            return
        itself = (opened.sender, opened.letter.birth) == (holder.name, holder.birth)
        if not itself and not opened.known:
            return
        self._rounds, self._quiet_us = 0, seat.now_us
        self._due_us = max(self._due_us, seat.now_us + ROUND_US)
        self._move(Cause.ANSWERED)
        self._twin(holder.birth, holder.about.address, holds=False)

    def asked(self, opened: Opened) -> None:
        """Another process goes by our name, and has asked whether we live."""
        if opened.sender == self._seat.config.name and self.phase is Phase.IN:
            self._twin(opened.letter.birth, opened.address, holds=True)

    def _twin(self, birth: int, address: str, holds: bool) -> None:
        seat = self._seat
        what = "holds our name: we wait until it is gone" if not holds else "goes by our name, and waits"
        seat.line("twin", f"another living process, at {address}, {what} ({seat.config.name})")
        if birth not in self._twins:
            self._twins = [*self._twins[-MAX_TWINS:], birth]
            seat.out.append(Twin(birth, address, holds))
