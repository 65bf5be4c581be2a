"""The member that a shell runs: who else is alive, told as it changes.

It owns the order in which its parts are called and which letters' claims are believed. It must never touch a
socket, read a clock, or look at a letter that the seat has not passed.

Theory of operation. Each member probes one other a period (probes); whom nobody can reach is suspected, and
dies when its time to refute is over (suspicion). Every letter carries news (spread), and while there is news
some letters carry nothing else. Whole tables are compared at joining and now and then (sync). What is said of
our own name goes to `own`. Claims merge to the maximum (states); one is softened first: that a member whom we
see alive is dead is believed as a suspicion with the shortest time, so that two halves that meet again do not
bury each other, and who does live refutes it.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from granitewell.membership import health
from granitewell.membership.anti_entropy import SOON_US, Sync
from granitewell.membership.assertions import Claims
from granitewell.membership.history import Told
from granitewell.membership.limits import OwnTime
from granitewell.membership.local_member import Opened, Seat
from granitewell.membership.probes import Probes, Rounds
from granitewell.membership.refutation import Own
from granitewell.membership.states import GONE, Phase, State
from granitewell.membership.types import (
    Config,
    Describe,
    Died,
    Entry,
    Forget,
    Leave,
    Member,
    Rekey,
    Reseed,
    check_payload,
)
from granitewell.protocols.peers.gossip import (
    Ack,
    Claim,
    Hello,
    Nack,
    Page,
    Ping,
    Push,
    Relay,
    Rumour,
    Welcome,
)
from granitewell.state_machine import MessageReceived, TimerFired

HEART_US = 500_000  # woken so often at least, so that standing still shows
APART_US = 750_000  # between two looks at a digest that is not ours, after which tables are compared
FORGET_US = 30_000_000  # between two looks at who is to be forgotten
_ACTIVE = (Phase.IN, Phase.LEAVING)


class Membership:
    """A member.

    Attributes:
        rng: Its own; the birth of the process is drawn from it, so it must differ with each start. Effects
            besides the shared ones are those of `terms`. Raises nothing on what comes from outside.
    """

    __slots__ = ("_apart_us", "_before", "_begun", "_claims", "_forget_us", "_gossip_us", "_probes", "_sync",
                 "_time", "_turns", "own", "seat", "stood_us")  # fmt: skip

    def __init__(self, config: Config, rng: Random) -> None:
        self.seat = Seat(config, rng)
        self.own = Own(self.seat)
        self._probes, self._sync = Probes(self.seat), Sync(self.seat)
        self._turns = Rounds(self.seat)  # of those who are told news: all in turn, so that none is missed
        self._claims = Claims(self.seat, self.own, self._probes.rounds, self._turns)
        self._time = OwnTime(config.figures.stall_us)
        self._begun = False
        self._before = self.phase
        self._forget_us = self._gossip_us = self._apart_us = -1
        self.stood_us = 0  # in all

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted, by the clock: at once before the first event; -1 for never."""
        return self._time.wanted_us if self._begun else 0

    @property
    def phase(self) -> Phase:
        """Where we stand."""
        return self.own.phase

    @property
    def health(self) -> int:
        """How ill we take ourselves to be, 0 to 8."""
        return self.seat.health.score

    @property
    def counts(self) -> dict[str, int]:
        """Letters and claims that were dropped, by reason."""
        return {**self.seat.counts, "full": self.seat.table.refused}

    def members(self, role: str = "") -> tuple[Member, ...]:
        """Those up (alive or suspect), ourselves included once we are one, by name; of a role, or all."""
        table = self.seat.table
        found = [m for m in map(table.member, sorted(table.up.names)) if m is not None]
        return tuple(m for m in found if role in ("", m.about.role))

    def member(self, name: str) -> Member | None:
        """What is known of a name, up or gone; None for nothing."""
        return self.seat.table.member(name)

    def everyone(self) -> tuple[Entry, ...]:
        """All names that are known, up or gone, in order.

        Of one that was dead before we came it is not known what it said of itself.
        """
        records = self.seat.table.records
        return tuple(
            Entry(r.name, r.standing, r.about, r.by, r.gone_us if r.standing.state in GONE else -1)
            for r in (records[name] for name in sorted(records))
        )

    def history(self, name: str) -> tuple[Told, ...]:
        """What has changed of a name, by whose word, the newest last; a bounded number of them."""
        return self._claims.history.of(name)

    def alive(self, name: str) -> bool:
        """Whether it is up (alive or suspect)."""
        member = self.seat.table.member(name)
        return member is not None and member.up

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; the effects, in order. Raises ValueError on a Describe that is too long."""
        seat = self.seat
        out = seat.out = []
        if self.phase is Phase.OUT:
            return out
        seat.now_us, stood = self._time.read(now_us)
        if not self._begun:
            self._begin()
        elif stood:
            self._stood(stood)
        if isinstance(event, MessageReceived):
            self._heard(event)
        elif isinstance(event, Leave):
            self._leave()
        elif isinstance(event, Describe):
            check_payload(event.payload)
            self.own.describe(event.payload)
        elif isinstance(event, Forget):
            self._claims.forget(event.name)
        elif isinstance(event, Rekey):
            seat.config = replace(seat.config, keys=event.keys)
        elif isinstance(event, Reseed):
            seat.config = replace(seat.config, seeds=event.seeds)
        elif not isinstance(event, TimerFired):
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of terms and machine")
        self._due()
        if any(isinstance(effect, Died) for effect in out):
            self._sync.stirred()
        self._settle()
        self._time.want(self._next())
        return out

    def _begin(self) -> None:
        self._begun = True
        seat, figures = self.seat, self.seat.figures
        seat.begin(seat.now_us)
        self._sync.begin()
        self._forget_us = seat.now_us + FORGET_US
        others = [s for s in seat.config.seeds if s != seat.config.address]
        self._sync.within(0)
        self.own.alone_after(figures.alone_us if others else 0)
        if seat.goes_on:  # our name is ours already, and whoever asks wants an answer from a member
            self.own.enter()

    def _stood(self, stood_us: int) -> None:
        """Nobody else is to blame for what came too late."""
        self.stood_us += stood_us
        self._probes.stood()
        self.seat.health.note(health.STOOD)
        self.seat.line("stood", f"this process stood still for {stood_us / 1e6:.1f} s; nobody else is blamed")

    def _leave(self) -> None:
        self.own.leave()
        if self.phase is Phase.LEAVING:
            for member in self.seat.draw(self.seat.spread.most(self.seat.members)):
                self.seat.tell(member, Rumour())

    # --- Time -------------------------------------------------------------------------------------------
    def _due(self) -> None:
        seat = self.seat
        failed = self._probes.run()
        if self._probes.lost:
            self._sync.soon(self._probes.lost)
            self._probes.lost = ""
        if failed is not None:
            life = (failed.name, failed.gen, failed.birth, failed.inc)
            self._claims.merge(Claim(*life, State.SUSPECT, by=seat.config.name))
        for name, standing, over in self._claims.suspicions.over(seat.now_us):
            member = seat.table.member(name)
            if over:
                self._claims.merge(Claim(name, *standing[:3], State.DEAD, by=seat.config.name))
            elif member is not None:
                seat.tell(member, Ping(seat.number()))
                self._claims.ask_round(name)
        self._gossip()
        self._sync.run(self.phase)
        self.own.run()
        if seat.now_us >= self._forget_us:
            self._forget_us = seat.now_us + FORGET_US
            seat.table.forget(seat.now_us)

    def _gossip(self) -> None:
        seat = self.seat
        if not len(seat.spread) or self.phase not in _ACTIVE:
            self._gossip_us = -1
        elif self._gossip_us < 0:
            self._gossip_us = seat.now_us + seat.some(seat.figures.gossip_us)
        elif seat.now_us >= self._gossip_us:
            self._gossip_us = seat.now_us + seat.figures.gossip_us
            for _ in range(seat.figures.fanout):
                member = self._turns.next() if len(seat.spread) else None
                if member is not None:
                    seat.tell(member, Rumour())

    def _next(self) -> int:
        if self.phase is Phase.OUT:
            return -1
        dues = (self._probes.due_us, self._claims.suspicions.due_us, self._gossip_us, self._sync.due_us,
                self.own.due_us, self._forget_us, self.seat.now_us + HEART_US)  # fmt: skip
        return min(due for due in dues if due >= 0)

    def _settle(self) -> None:
        """What follows from where we stand now, if that has changed in this event."""
        before, self._before = self._before, self.phase
        if self.phase is before:
            return
        if self.phase is Phase.IN:
            self._probes.start()
            self._sync.entered()
            self._claims.start()
        elif before is Phase.IN:
            self._probes.stop()
            self._claims.suspicions.clear_all()
            self._sync.within(SOON_US)

    # --- Letters ----------------------------------------------------------------------------------------
    def _heard(self, heard: MessageReceived) -> None:
        opened = self.seat.open(heard)
        if opened is None:
            return
        before = self.seat.table.member(opened.sender)
        believed, whole = self._compare(opened)
        if opened.letter.to and (opened.known or believed):
            for claim in opened.letter.claims:
                self._claims.hear(claim, opened.sender, opened.transport)
            self._missed(opened)
        if whole:
            self.own.compared()
        self._said(opened)
        self._again(opened, before)

    def _missed(self, opened: Opened) -> None:
        """Whoever asks us and still suspects an incarnation that we have left behind has missed what we said
        since: say it again, so that the answer carries it.
        """
        own, claims = self.own, opened.letter.claims
        if self.phase is Phase.IN and claims and isinstance(opened.letter.said, Ping):
            first = claims[0]
            if (first.birth, first.gen) == (self.seat.birth, own.gen) and first.inc < own.inc:
                own.say()

    def _compare(self, opened: Opened) -> tuple[bool, bool]:
        """What has to do with comparing tables.

        Whether its claims may be believed though we don't know the sender, and whether the comparison is
        over.
        """
        said, sync = opened.letter.said, self._sync
        if isinstance(said, Hello):
            sync.hello_heard(opened, said)
        elif isinstance(said, Welcome):
            return False, sync.welcome_heard(opened, said)
        elif isinstance(said, Push):
            return sync.push_heard(opened, said), False
        elif isinstance(said, Page):
            return sync.page_heard(opened, said)
        return False, False

    def _said(self, opened: Opened) -> None:
        said, seat = opened.letter.said, self.seat
        if isinstance(said, Ping):
            ack = Ack(said.number, seat.table.up_digest)
            seat.send(opened.address, opened.letter.birth, ack, opened.sender, opened.transport)
            self.own.asked(opened)
            self._differs(opened, said.seen)
            if not opened.known and opened.sender != seat.config.name:
                self._sync.soon(opened.address)
        elif isinstance(said, Ack):
            self._probes.ack(opened, said.number)
            self.own.ack(opened, said.number)
            self._differs(opened, said.seen)
        elif isinstance(said, Nack):
            self._probes.nack(opened, said.number)
        elif isinstance(said, Relay):
            self._probes.relay(opened, said)

    def _differs(self, opened: Opened, seen: int) -> None:
        """Whoever has missed a piece of news differs from all others, and finds out here.

        For news is told so often and no more, and the next comparison may be far. While news is on its way
        all differ for a moment: once is no reason to ask.
        """
        seat = self.seat
        if self.phase is not Phase.IN or not opened.known or not seen:
            return
        if seen == seat.table.up_digest:
            self._apart_us = -1
        elif self._apart_us < 0:
            self._apart_us = seat.now_us
        elif seat.now_us - self._apart_us >= APART_US:
            self._apart_us = -1
            self._sync.soon(opened.address)

    def _again(self, opened: Opened, before: Member | None) -> None:
        """Somebody we took for dead talks to us: we were cut off from each other, and have much to
        compare.
        """
        if before is not None and before.state is State.DEAD and self.alive(opened.sender):
            self._sync.soon(opened.address)
