"""What becomes of a claim: softened, merged, told to the shell, passed on, and a suspect's time set going.

It owns the path of a claim from being heard to its effects. It must never judge whether a letter is to be
believed, nor which of two claims wins.
"""

from __future__ import annotations

from granitewell.membership.history import History, Told
from granitewell.membership.local_member import Seat
from granitewell.membership.probes import Rounds
from granitewell.membership.refutation import Own
from granitewell.membership.states import TELLS, UP, News, Phase, Standing, State
from granitewell.membership.suspicion import Suspicions
from granitewell.membership.table import Change, Record, bare, said
from granitewell.membership.types import Changed, Died, Joined, Left, Member, Suspected
from granitewell.protocols.peers.gossip import Claim, Ping, packed, sound
from granitewell.state_machine import Transport

_EFFECTS = {News.JOINED: Joined, News.SUSPECTED: Suspected, News.DIED: Died, News.LEFT: Left,
            News.CHANGED: Changed}  # fmt: skip


LOOKERS, FEW = 8, 3  # members that ask a suspect at once, on average; suspects at a time, at most


class Claims:
    """suspicions: of those who are suspected now.

    Attributes:
        history: What has changed, by whose word.
    """

    __slots__ = ("_own", "_rounds", "_seat", "_teller", "_turns", "history", "suspicions")

    def __init__(self, seat: Seat, own: Own, rounds: Rounds, turns: Rounds) -> None:
        """rounds, turns: who is probed next, and who is told news next."""
        self._seat, self._own, self._rounds, self._turns = seat, own, rounds, turns
        self.suspicions = Suspicions(seat.figures)
        self.history = History()
        self._teller: tuple[str, str] = ("", "")  # whose word is being taken in, by what road; ours: nobody's

    def start(self) -> None:
        """We are a member: those whom we know as suspects have their time from now on."""
        for record in self._seat.table.records.values():
            if record.standing.state is State.SUSPECT:
                self.doubt(record.name, record.standing, record.by, False)

    def hear(self, claim: Claim, teller: str, transport: Transport = Transport.DATAGRAM) -> None:
        """What is said of a name, by somebody who may be wrong."""
        record = self._seat.table.records.get(claim.name)
        if record is not None and _stale(record, claim):
            self._behind(record, claim)
            return
        if not sound(claim):
            self._seat.count("unsound")
            return
        sure = self._second_hand(claim)
        if sure:
            gen, birth, inc = claim.gen, claim.birth, claim.inc
            claim = Claim(claim.name, gen, birth, inc, State.SUSPECT, by=claim.by or teller)
        self._teller = teller, transport.value
        self.merge(claim, sure)
        self._teller = "", ""

    def _behind(self, record: Record, claim: Claim) -> None:
        """Whoever still doubts an incarnation that has been left behind has missed the refutation.

        The answer carries it.
        """
        gen, birth, inc, state = record.standing
        doubted = claim.state in (State.SUSPECT, State.DEAD) and state is State.ALIVE
        older = (claim.gen, claim.birth) == (gen, birth) and claim.inc < inc
        if doubted and older and record.about is not None:
            self._seat.spread.put(record.name, packed(said(record, self._seat.now_us)[0]))

    def ask_round(self, name: str) -> None:
        """The time of a suspect of ours is nearly over: has anybody heard from it?"""
        seat, record = self._seat, self._seat.table.records.get(name)
        if record is not None and record.standing.state is State.SUSPECT:
            seat.spread.put(name, packed(bare(record, seat.now_us)))
            for member in seat.draw(1, name):
                seat.tell(member, Ping(seat.number()))

    def forget(self, name: str) -> None:
        """An operator knows that it is gone for good; only of the dead."""
        record = self._seat.table.records.get(name)
        if record is not None and record.standing.state is State.DEAD:
            gen, birth, inc, _ = record.standing
            self._teller = "an operator", ""
            self.merge(Claim(name, gen, birth, inc, State.LEFT, by=self._seat.config.name))
            self._teller = "", ""

    def _second_hand(self, claim: Claim) -> bool:
        """Whether it says of somebody we have up, in that life, that it is dead."""
        seat = self._seat
        if claim.state != State.DEAD or self._own.phase is not Phase.IN or claim.name == seat.config.name:
            return False
        if not seat.figures.soften:
            return False
        record = seat.table.records.get(claim.name)
        if record is None or record.standing.state not in UP or claim.inc < record.standing.inc:
            return False
        return (claim.gen, claim.birth) == record.standing[:2]

    def merge(self, claim: Claim, sure: bool = False) -> None:
        """Take a claim in, as true.

        Args:
            sure: A suspicion whose time somebody has waited out.
        """
        seat, refused = self._seat, self._seat.table.refused
        change = seat.table.merge(claim, seat.now_us)
        if change is not None:
            self._changed(change, sure)
            return
        if seat.table.refused > refused:
            seat.line("full", f"no room for {claim.name}: there are {seat.figures.most} members")
        record = seat.table.records.get(claim.name)
        if record is None or claim.state != State.SUSPECT or self._own.phase is not Phase.IN:
            return
        same = record.standing == (claim.gen, claim.birth, claim.inc, State.SUSPECT)
        if same and self.doubt(claim.name, record.standing, claim.by, sure):
            seat.spread.put(claim.name, packed(claim))

    def doubt(self, name: str, standing: Standing, by: str, sure: bool) -> bool:
        """Start or shorten a suspect's time; whether that is news."""
        seat = self._seat
        return self.suspicions.doubt(name, standing, by, seat.members, seat.now_us, sure)

    def _changed(self, change: Change, sure: bool) -> None:
        seat, record = self._seat, change.record
        if change.stands:
            self.history.put(record.name, Told(seat.now_us, *self._teller, record.by, record.standing))
        if record.name == seat.config.name:
            self._own.look()
            if record.standing.birth == seat.birth:
                return
        self._tell(change.before, change.now)
        if self._own.phase is not Phase.IN:
            return
        if record.standing.state is State.SUSPECT and record.name != seat.config.name:
            self.doubt(record.name, record.standing, record.by, sure)
            self._look(record)
        else:
            self.suspicions.clear(record.name)
        self._pass_on(change)

    def _look(self, record: Record) -> None:
        """Somebody else suspects it: some of us, a few in all, ask it next, so that it has the shortest time
        if nobody reaches it (its time shrinks with each who says so), and a living one hears of it soon.
        """
        seat = self._seat
        few = len(self.suspicions) <= FEW  # of many at once each would wait for all those before it
        if few and record.by != seat.config.name and seat.rng.random() * seat.members < LOOKERS:
            self._rounds.ahead(record.name)

    def _pass_on(self, change: Change) -> None:
        record, seat = change.record, self._seat
        if record.standing.state is not State.ALIVE:
            if change.stands:
                seat.spread.put(record.name, packed(bare(record, seat.now_us)))
        elif record.about is not None:
            seat.spread.put(record.name, packed(said(record, seat.now_us)[0]))

    def _tell(self, before: Member | None, now: Member | None) -> None:
        """The effects of a change."""
        out = self._seat.out
        if before is not None and (now is None or now.birth != before.birth or now.gen != before.gen):
            if before.up:
                out.append(Died(before))
            before = None
        if now is None:
            return
        for news in TELLS[before.state if before is not None else None][now.state]:
            same = before is not None and (before.about, before.state) == (now.about, now.state)
            if news is not News.CHANGED or not same:
                out.append(_EFFECTS[news](now))
        if now.up and (before is None or not before.up):
            self._rounds.joined(now.name)
            self._turns.joined(now.name)


def _stale(record: Record, claim: Claim) -> bool:
    """Whether a claim can't change anything: most can't, and are not looked at further."""
    key, known = (claim.gen, claim.birth, claim.inc), record.standing[:3]
    if key == known:
        return claim.state == record.standing.state == State.ALIVE and claim.about == record.about
    return key < known and (claim.about is None or key[:2] < known[:2] or claim.inc <= record.about_inc)
