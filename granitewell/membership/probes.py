"""Probes: whom to ask next, how often, through whom, and what is done for others who ask.

It owns the open probe and the relays. It must never change a member: it hands back whom nobody could reach.

Theory of operation. Members are asked one by one in a random order that is drawn anew when all have had their
turn, so that the time between two probes of one is bounded (SWIM, section 4.3). A probe is a plan of steps
made when it begins: the question, put again while nothing has come; then helpers, who ask for us and say that
they did (nack); the end. An answer at any time before the end is one. Local health stretches the whole plan.
The question is put more than once, which SWIM does not do: the time-out is hundreds of round trips long, and
under loss a second datagram is much cheaper than a suspicion that everybody hears of.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from granitewell.membership import health
from granitewell.membership.local_member import Opened, Seat
from granitewell.membership.types import Member
from granitewell.protocols.peers.gossip import Ack, Nack, Ping, Relay

MAX_RELAYS = 256
NACK_PART = 0.8  # of the time-out, after which a helper says that it has heard nothing


class Step(Enum):
    """Of a probe."""

    PING = "ping"
    ASK = "ask"
    END = "end"


@dataclass(slots=True)
class Probe:
    """Under way.

    Attributes:
        steps: Still to come.
        helpers: Asked first, who owe a nack.
        asked: All.
    """

    number: int
    member: Member
    steps: list[tuple[int, Step]]
    answered: bool = False
    helpers: list[str] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    nacked: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Errand:
    """A ping for somebody else.

    Pings: still to put;

    Attributes:
        nack_us: -1 once it is said.
    """

    origin: str
    address: str
    birth: int
    number: int
    target: Relay
    again_us: int
    nack_us: int
    end_us: int


class Rounds:
    """Whose turn it is."""

    __slots__ = ("_at", "_order", "_seat")

    def __init__(self, seat: Seat) -> None:
        self._seat, self._order, self._at = seat, list[str](), 0

    def joined(self, name: str) -> None:
        """At a random place among those whose turn is still to come."""
        left = len(self._order) - self._at
        self._order.insert(self._at + self._seat.some(left + 1), name)

    def ahead(self, name: str) -> None:
        """Its turn is next; the one that it still has stays."""
        self._order.insert(self._at, name)

    def next(self) -> Member | None:
        """The next that is up; None where there is nobody else."""
        seat = self._seat
        for _ in range(2):
            while self._at < len(self._order):
                name = self._order[self._at]
                self._at += 1
                member = seat.table.member(name)
                if member is not None and member.up and name != seat.config.name:
                    return member
            self._draw()
        return None

    def _draw(self) -> None:
        """All members in a new order (Durstenfeld 1964, algorithm 235)."""
        order = list(self._seat.table.up.names)
        for k in range(len(order) - 1, 0, -1):
            other = self._seat.some(k + 1)
            order[k], order[other] = order[other], order[k]
        self._order, self._at = order, 0


class Probes:
    """due_us: when there is something to do; -1 for never."""

    __slots__ = ("_errands", "_next_us", "_probe", "_revive_us", "_seat", "lost", "rounds")

    def __init__(self, seat: Seat) -> None:
        self._seat, self.rounds = seat, Rounds(seat)
        self._probe: Probe | None = None
        self._errands: dict[int, Errand] = {}
        self._next_us = self._revive_us = -1
        self.lost = ""  # the address of one of the dead: it may be another process's by now

    def start(self) -> None:
        """We are a member: begin somewhere in the period, so that members who start together do not ask
        together.
        """
        seat = self._seat
        self._next_us = seat.now_us + seat.some(seat.figures.probe_us)
        self._revive_us = seat.now_us + seat.some(seat.figures.revive_us)

    def stop(self) -> None:
        """We are none any more."""
        self._probe, self._next_us, self._revive_us = None, -1, -1

    def stood(self) -> None:
        """We stood still: what is under way proves nothing."""
        if self._probe is not None:
            self._probe = None

    @property
    def due_us(self) -> int:
        """When there is something to do; -1 for never."""
        dues = [t for t in (self._next_us, self._revive_us) if t >= 0]
        if self._probe is not None and self._probe.steps:
            dues.append(self._probe.steps[0][0])
        dues += [min(t for t in (e.again_us, e.nack_us, e.end_us) if t >= 0) for e in self._errands.values()]
        return min(dues, default=-1)

    def run(self) -> Member | None:
        """Do what is due; whom a probe has just failed to reach."""
        now, failed = self._seat.now_us, None
        if self._errands:
            self._run_errands(now)
        if 0 <= self._revive_us <= now:
            self._revive(now)
        probe = self._probe
        while probe is not None and probe.steps and probe.steps[0][0] <= now:
            failed = self._step(probe, probe.steps.pop(0)[1])
        if 0 <= self._next_us <= now:
            self._begin(now)
        return failed

    # --- Our own ----------------------------------------------------------------------------------------
    def _begin(self, now: int) -> None:
        seat, figures = self._seat, self._seat.figures
        period, first = seat.health.times(figures.probe_us), seat.health.times(figures.timeout_us)
        self._next_us = now + period
        member = self.rounds.next()
        if member is None:
            self._probe = None
            return
        rest = period - first
        steps = [(now + first * k // figures.pings, Step.PING) for k in range(figures.pings)]
        steps += [(now + first + rest * k // figures.asks, Step.ASK) for k in range(figures.asks)]
        steps.append((now + period, Step.END))
        self._probe = Probe(seat.number(), member, steps)
        self._step(self._probe, self._probe.steps.pop(0)[1])

    def _step(self, probe: Probe, step: Step) -> Member | None:
        seat = self._seat
        if step is Step.END:
            self._probe = None
            return self._failed(probe)
        if step is Step.ASK:
            self._ask(probe)
        member = seat.table.member(probe.member.name) or probe.member
        there = member if member.birth == probe.member.birth else probe.member
        seat.tell(there, Ping(probe.number, seat.table.up_digest))
        return None

    def _ask(self, probe: Probe) -> None:
        seat, target = self._seat, probe.member
        relay = Relay(probe.number, target.name, target.birth, target.about.address)
        helpers = seat.draw(seat.figures.helpers, target.name, *probe.asked)
        for member in helpers:
            seat.tell(member, relay)
        if not probe.asked:
            probe.helpers = [member.name for member in helpers]
        probe.asked += [member.name for member in helpers]

    def _failed(self, probe: Probe) -> Member | None:
        """Nobody could reach it. Where helpers did not even say that they tried, it may be us."""
        missed = len(probe.helpers) - len(probe.nacked)
        self._seat.health.note(missed * health.NACK_MISSED if probe.helpers else health.UNANSWERED)
        member = self._seat.table.member(probe.member.name)
        return member if member is not None and member.birth == probe.member.birth and member.up else None

    def ack(self, opened: Opened, number: int) -> None:
        """An answer: to our probe, by whom we asked or a helper; or to an errand."""
        probe, sender = self._probe, opened.sender
        if probe is not None and number == probe.number:
            target = (probe.member.name, probe.member.birth)
            if (sender, opened.letter.birth) == target or (opened.known and sender in probe.asked):
                self._probe = None
                self._seat.health.note(health.ANSWERED)
        errand = self._errands.get(number)
        if errand is not None and (sender, opened.letter.birth) == (errand.target.name, errand.target.birth):
            del self._errands[number]
            self._seat.send(errand.address, errand.birth, Ack(errand.number), errand.origin)

    def nack(self, opened: Opened, number: int) -> None:
        """A helper has tried."""
        probe, sender = self._probe, opened.sender
        if probe is None or number != probe.number or sender in probe.nacked:
            return
        if sender in probe.helpers:
            probe.nacked.append(sender)

    def _revive(self, now: int) -> None:
        """Ask one of the dead: we may have been cut off from it.

        It hears with the ping that it is dead, and refutes that; a process that has begun there since hears
        no ping for the one before it.
        """
        seat = self._seat
        self._revive_us = now + seat.figures.revive_us
        for name in seat.table.dead.draw(seat.rng, 1, (seat.config.name,)):
            member = seat.table.member(name)
            if member is not None:
                seat.tell(member, Ping(seat.number()))
                self.lost = member.about.address

    # --- For others -------------------------------------------------------------------------------------
    def relay(self, opened: Opened, said: Relay) -> None:
        """Ping somebody for somebody else."""
        seat, now = self._seat, self._seat.now_us
        letter, wait = opened.letter, int(seat.figures.timeout_us * NACK_PART)
        if len(self._errands) >= MAX_RELAYS:
            seat.count("relays")
            return
        mine = seat.number()
        self._errands[mine] = Errand(
            opened.sender, opened.address, letter.birth, said.number, said,
            now + wait // 2, now + wait if seat.figures.lifeguard else -1, now + 2 * wait,
        )  # fmt: skip
        seat.send(said.address, said.birth, Ping(mine), said.name)

    def _run_errands(self, now: int) -> None:
        for number, errand in list(self._errands.items()):
            if now >= errand.end_us:
                del self._errands[number]
                continue
            if 0 <= errand.again_us <= now:
                errand.again_us = -1
                self._seat.send(errand.target.address, errand.target.birth, Ping(number), errand.target.name)
            if 0 <= errand.nack_us <= now:
                errand.nack_us = -1
                self._seat.send(errand.address, errand.birth, Nack(errand.number), errand.origin)
