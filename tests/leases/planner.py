"""One planner of three, driven step by step: the test acts as its disk, its clock and the other two."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from granitewell.lab.cluster.leases import KEYS, planners
from granitewell.lab.cluster.leases_rules import letter_of
from granitewell.leases.incarnation_numbers import NUMBERS_PER_COUNT
from granitewell.leases.record import FOUNDED, KEY, Record
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import (
    Settings,
)
from granitewell.protocols.peers.frames import Kind, seal
from granitewell.protocols.peers.leases import (
    CODEC,
    Ask,
    Envelope,
    Grant,
    Here,
    Message,
    No,
    Would,
)
from granitewell.state_machine import MessageReceived, SendMessage, Store, Stored, TimerFired

SECOND = 1_000_000
FLEET = Settings("p1", planners(3), KEYS)
FIRST = FLEET.first_term
INCARNATIONS = tuple(k * 10 + NUMBERS_PER_COUNT for k in (1, 2, 3))


class SteppedPlanner:
    """Planner p2 of three, whose disk has a vote; the test acts as p1 and p3. Times are on its own clock."""

    def __init__(self, disk: Record | None = None, **more: int) -> None:
        self.settings = replace(FLEET, name="p2", **more)  # type: ignore[arg-type]
        record = disk or Record(
            1, self.settings.fleet, INCARNATIONS[1], FOUNDED, FIRST, None, 0, INCARNATIONS
        )
        self.now, self.disk = SECOND, {KEY: record.write()}
        self.start()

    def start(self) -> None:
        self.machine = Leases(self.settings, Random(self.now), self.now, self.disk)

    def state(self) -> str:
        return self.machine.state.value

    def wait(self, us: int) -> None:
        """Let time pass without any event."""
        self.now += us

    def event(self, event: object) -> list[object]:
        return self.machine.handle(self.now, event)

    def hear(self, name: str, boot: int, body: Message) -> list[object]:
        frame = seal(Kind.LEASE, CODEC.encode(Envelope(self.settings.fleet, boot, body)), KEYS, name)
        return self.event(MessageReceived(name, frame))

    def stored(self, effects: list[object], ok: bool = True) -> list[object]:
        """Acknowledge the requested writes, or refuse them."""
        out: list[object] = []
        for store in [e for e in effects if isinstance(e, Store)]:
            self.disk = {KEY: store.data} if ok else self.disk
            out += self.event(Stored(store.token, ok))
        return out

    def ask(self, name: str, boot: int, term: int, number: int = 1, **more: object) -> list[object]:
        body = Ask(number, FIRST + term, list(INCARNATIONS), 3 * SECOND)
        return self.hear(name, boot, with_fields(body, **more))


def with_fields(asked: Ask, **more: object) -> Ask:
    return Ask(**{name: more.get(name, getattr(asked, name)) for name in asked.__struct_fields__})  # type: ignore[arg-type]


def sent_bodies(effects: list[object]) -> list[Message]:
    """Return the bodies of the messages to others, without announcements."""
    messages = [letter_of(e.data) for e in effects if isinstance(e, SendMessage)]
    return [x.said for x in messages if x is not None and not isinstance(x.said, Here)]


def refusal_reason(effects: list[object]) -> str:
    [no] = sent_bodies(effects)
    assert isinstance(no, No), no
    return no.why


def start_candidacy(planner: SteppedPlanner) -> list[object]:
    """Let the planner probe and become a candidate in term 1; return the effects, with its writes."""
    planner.wait(20 * SECOND)
    planner.event(TimerFired())
    number = planner.machine.candidacy._probe_round[0]
    return planner.hear("p1", 11, Would(number, planner.machine.participant.boot, INCARNATIONS[0], FIRST))


def win_election(planner: SteppedPlanner) -> list[object]:
    asks = sent_bodies(planner.stored(start_candidacy(planner)))
    assert isinstance(asks[0], Ask) and len(asks) == 2
    return planner.hear(
        "p1", 11, Grant(asks[0].round, planner.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    )
