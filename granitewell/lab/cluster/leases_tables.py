"""Processes, messages and votes of the exhaustive search, each kept once and known by a number.

It owns what comes of one event at one process, worked out by the planners' real code and only once. It must
never know which events may happen. Sets of messages and of votes are whole numbers, a bit each.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any, NamedTuple

from granitewell.lab.cluster.clock import Clock
from granitewell.lab.cluster.leases_rules import letter_of
from granitewell.leases import (
    candidacy,
    duplicate_identity,
    grants,
    participant,
    persistence,
    rounds,
    voter,
    voter_recovery,
)
from granitewell.leases.record import KEY
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import Leads, Settings, State
from granitewell.protocols.peers.frames import Key, Keys
from granitewell.protocols.peers.leases import Ask, Grant, Here, Message, No, Oath, Probe, Sworn, Would
from granitewell.state_machine import MessageReceived, SendMessage, Store, Stored, TimerFired

LEASE_US = 10_000_000  # as long as there are, so that a new disk waits no longer than a lease
STEP_US = 3_500_000
DRIFT_PPM = 100_000
NAMES = ("A", "B", "C")
KEYS = Keys(Key(b"a key for the search alone"))
SETTINGS = tuple(
    Settings(name, tuple((n, n) for n in NAMES), KEYS, lease_us=LEASE_US, drift_ppm=DRIFT_PPM)
    for name in NAMES
)  # fmt: skip
START_US = 100_000_000  # of every clock, when the search begins
WAKE = -1  # in place of a message's number
_QUIET = (Here, Probe, Would)  # what is not kept among the messages
_TELLING = (voter.TERM, voter.VOTED, voter.INCARNATIONS)  # the refusals that change who hears them
_PARTS = (
    Leases,
    participant.Participant,
    persistence.Persistence,
    grants.Grants,
    voter_recovery.VoterRecovery,
    rounds.Rounds,
    candidacy.Candidacy,
    duplicate_identity.DuplicateIdentityCheck,
)


class Fixed(Random):
    """Not random at all: a number of its own for each process, small, so that waits are short."""

    def __init__(self, number: int) -> None:
        super().__init__(0)
        self._number = number

    def random(self) -> float:
        """The same each time."""
        return self._number / 1_000


@dataclass(frozen=True, slots=True)
class Process:
    """name: its place among the planners.

    Attributes:
        start: A number that no other process has.
        waits: Its boot and term, which a grant must have that is for it.
    """

    name: int
    start: int
    machine: Leases
    disk: bytes | None
    waits: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message that was said."""

    sender: int
    frame: bytes
    words: str


class Look(NamedTuple):
    """due: the state of a process that has something to do by itself; None where it has not.

    Attributes:
        holds: Whether it holds the lease by its own clock.
    """

    due: State | None
    holds: bool


class Came(NamedTuple):
    """What came of one event at one process.

    Its number now, the messages, the terms it leads in from now on, the votes.

    Attributes:
        moved: Whether its term has changed.
        stored: Whether something was to be written.
        early: Messages and votes said before that.
    """

    process: int
    said: tuple[int, ...]
    led: tuple[int, ...]
    votes: int
    moved: bool
    stored: bool
    early: tuple[tuple[int, ...], int]


class Tables:
    """ppm: of the three clocks."""

    def __init__(self, ppm: tuple[int, int, int]) -> None:
        self._clocks = tuple(Clock(START_US, one) for one in ppm)
        self.processes: list[Process] = []
        self.letters: list[Envelope] = []
        self.to = [0, 0, 0]  # by place: the messages to that planner
        self._numbers: dict[Hashable, int] = {}
        self._known: dict[tuple[str, bytes], int] = {}
        self._fresh: dict[tuple[int, int, int, bytes | None, int], int] = {}
        self._looks: dict[tuple[int, int], Look] = {}
        self._came: dict[tuple[int, int, int], Came] = {}
        self._stood: dict[tuple[int, int, int], Came | None] = {}
        self._slots: dict[Hashable, list[tuple[int, int]]] = {}  # rank and number, by what is asked
        self._below: list[int] = []  # by message: those that it makes worthless
        self._above: list[int] = []
        self._grants = 0  # all messages that are grants
        self._waited: dict[tuple[int, int], int] = {}  # boot and term: the grants to it
        self._votes: dict[tuple[Hashable, ...], int] = {}
        self._contests: dict[tuple[Hashable, ...], int] = {}  # whose vote of which term: all that were given

    # --- Processes --------------------------------------------------------------------------------------
    def now(self, name: int, time: int) -> int:
        """A planner's clock after so many steps."""
        return self._clocks[name].local(time * STEP_US)

    def fresh(self, name: int, start: int, time: int, disk: bytes | None, ago_us: int = 0) -> int:
        """The number of a process that starts now, or some time before now."""
        key = (name, start, time, disk, ago_us)
        if key not in self._fresh:
            kept = {} if disk is None else {KEY: disk}
            machine = Leases(SETTINGS[name], Fixed(start), self.now(name, time) - ago_us, kept)
            self._fresh[key] = self._number(Process(name, start, machine, disk))
        return self._fresh[key]

    def _number(self, process: Process) -> int:
        key = (process.name, process.start, process.disk, key_of(process.machine))
        number = self._numbers.setdefault(key, len(self.processes))
        if number == len(self.processes):
            machine = process.machine
            self.processes.append(replace(process, waits=(machine.participant.boot, machine.term)))
        return number

    def look(self, number: int, time: int) -> Look:
        """What can be told of a process then; worked out once."""
        known = self._looks.get((number, time))
        if known is None:
            process = self.processes[number]
            machine, now = process.machine, self.now(process.name, time)
            due = machine.state if 0 <= machine.wake_us <= now else None
            known = self._looks[number, time] = Look(due, machine.leads(now))
        return known

    def event(self, number: int, time: int, message: int) -> Came:
        """What comes of a message, or of waking; worked out once."""
        key = (number, time, message)
        came = self._came.get(key)
        if came is None:
            what: object = (
                TimerFired() if message == WAKE else MessageReceived("", self.letters[message].frame)
            )
            came = self._came[key] = self._handle(self.processes[number], time, what)
        return came

    def _handle(self, process: Process, time: int, event: object) -> Came:
        """Apply an event; what is to be written is on the disk at once, after what was said before."""
        machine, disk, now = clone(process.machine), process.disk, self.now(process.name, time)
        events, out, early = [event], list[object](), -1
        while events:
            effects = machine.handle(now, events.pop(0))
            out += effects
            for effect in effects:
                if isinstance(effect, Store):
                    early = early if early >= 0 else len(out)
                    disk = effect.data
                    events.append(Stored(effect.token))
        led = tuple(e.term for e in out if isinstance(e, Leads) and e.until_us > now)
        number = self._number(Process(process.name, process.start, machine, disk))
        said, votes = self._spoken(process, out)
        moved = machine.term != process.machine.term
        return Came(number, said, led, votes, moved, early >= 0, self._spoken(process, out[: max(early, 0)]))

    def stand(self, number: int, other: int, time: int) -> Came | None:
        """A follower probes, one other answers, and it stands; None where it does not."""
        key = (number, other, time)
        if self.processes[number].name == self.processes[other].name:
            return None
        if key not in self._stood:
            self._stood[key] = self._campaign(self.processes[number], self.processes[other], time)
        return self._stood[key]

    def _campaign(self, process: Process, helper: Process, time: int) -> Came | None:
        machine, now = clone(process.machine), self.now(process.name, time)
        probe = _say_to(machine.handle(now, TimerFired()), NAMES[helper.name])
        if machine.state is not State.PROBING or probe is None:
            return None
        answers = clone(helper.machine).handle(self.now(helper.name, time), MessageReceived("", probe))
        would = _say_to(answers, NAMES[process.name])
        if would is None:
            return None
        came = self._handle(replace(process, machine=machine), time, MessageReceived("", would))
        heard = self.processes[came.process].machine
        term = heard.candidacy._highest_term_seen
        if heard.state is State.PROBING and term > process.machine.candidacy._highest_term_seen:
            again = clone(process.machine)  # it has heard of a higher term, and tries again
            again.candidacy._highest_term_seen = term
            return self._campaign(replace(process, machine=again), helper, time)
        return came if heard.state is State.CANDIDATE else None

    # --- Messages and votes -----------------------------------------------------------------------------
    def _spoken(self, process: Process, effects: list[object]) -> tuple[tuple[int, ...], int]:
        """Numbers of the messages that were said, and the votes among them."""
        said, votes = [], 0
        for effect in effects:
            message = letter_of(effect.data) if isinstance(effect, SendMessage) else None
            if message is None or not isinstance(effect, SendMessage) or isinstance(message.said, _QUIET):
                continue
            if isinstance(message.said, No) and message.said.why not in _TELLING:
                continue
            if isinstance(message.said, Grant):
                votes |= self._vote(process.name, effect.to, message.said)
            said.append(self._letter(process.name, effect, message.said, message.boot))
        return tuple(said), votes

    def _vote(self, voter_name: int, to: str, grant: Grant) -> int:
        whose = (voter_name, grant.incarnation, grant.term)
        vote = self._votes.setdefault((*whose, to, grant.for_boot), 1 << len(self._votes))
        self._contests[whose] = self._contests.get(whose, 0) | vote
        return vote

    def _letter(self, sender: int, say: SendMessage, said: Message, boot: int) -> int:
        number = self._known.setdefault((say.to, say.data), len(self.letters))
        if number == len(self.letters):
            self.letters.append(Envelope(sender, say.data, words(said)))
            self.to[NAMES.index(say.to)] |= 1 << number
            if isinstance(said, Grant):
                self._grants |= 1 << number
                waited = (said.for_boot, said.term)
                self._waited[waited] = self._waited.get(waited, 0) | 1 << number
            self._rank(number, (boot, say.to, *_slot(said, number)), getattr(said, "round", 0))
        return number

    def _rank(self, number: int, slot: Hashable, rank: int) -> None:
        """Note which messages it makes worthless, and which make it so."""
        others = self._slots.setdefault(slot, [])
        self._below.append(sum(1 << n for r, n in others if r < rank))
        self._above.append(sum(1 << n for r, n in others if r > rank))
        for r, n in others:
            self._above[n] |= (r < rank) << number
            self._below[n] |= (r > rank) << number
        others.append((rank, number))

    def add(self, said: int, numbers: tuple[int, ...]) -> int:
        """More messages.

        Of questions of one process in one term, and of answers to them, only those of the newest round are
        kept: an older one asks for the same, and gives less.
        """
        for number in numbers:
            if not said & self._above[number]:
                said = said & ~self._below[number] | 1 << number
        return said

    def alive(self, processes: tuple[int, ...], said: int) -> int:
        """Return the world without the grants that nobody waits for.

        Those are grants to a process that has ended, or that is in another term by now.
        """
        if not said & self._grants:
            return said
        waited = ~self._grants
        for number in processes:
            waited |= self._waited.get(self.processes[number].waits, 0)
        return said & waited

    def voted_twice(self, votes: int) -> bool:
        """Whether a disk has given one term to two processes."""
        return any((votes & all_of).bit_count() > 1 for all_of in self._contests.values())


def _slot(said: Message, number: int) -> tuple[Hashable, ...]:
    if isinstance(said, Ask):
        return "ask", said.term
    if isinstance(said, Grant):
        return "grant", said.incarnation, said.for_boot, said.term
    if isinstance(said, No):
        return "no", said.incarnation, said.for_boot, said.term, said.why
    return ("one of its kind", number)


def _say_to(effects: list[object], name: str) -> bytes | None:
    """What is said to a planner that is no greeting to itself."""
    return next((e.data for e in effects if isinstance(e, SendMessage) and e.to == name), None)


def words(said: Message) -> str:
    """A message in few words; terms without the epoch."""
    term = getattr(said, "term", 0) & 0xFFFF
    if isinstance(said, Ask):
        return f"{'I lead' if said.leads else 'vote for me'} in term {term} (round {said.round})"
    if isinstance(said, Grant):
        return f"granted, term {term} (round {said.round})"
    if isinstance(said, No):
        return f"no ({said.why}), my term is {term}"
    if isinstance(said, Oath):
        return "I have a new disk"
    if isinstance(said, Sworn):
        return f"your new disk is written down; I am {said.sworn}, my term is {term}"
    return type(said).__name__.lower()


# --- Copies and keys of machines ------------------------------------------------------------------------
def clone(machine: Leases) -> Leases:
    """A copy that shares only what never changes."""
    copied: dict[int, Any] = {}

    def copy(value: Any) -> Any:
        if type(value) in (dict, list):
            return value.copy()
        if type(value) not in _PARTS:
            return value
        if id(value) not in copied:
            new = copied[id(value)] = object.__new__(type(value))
            for name in type(value).__slots__:
                setattr(new, name, copy(getattr(value, name)))
        return copied[id(value)]

    return copy(machine)  # type: ignore[no-any-return]


def key_of(machine: Leases) -> tuple[Any, ...]:
    """All of a machine that what it does later can depend on, but for greetings and lines."""
    participant, own, rounds = machine.participant, machine.candidacy, machine.candidacy._rounds
    return (
        own.state, machine.duplicate_identity.wait_ends_us, participant.started_us, participant.record,
        participant.persistence.durable, participant.promise, participant.votes, own.until_us, own.next_us,
        own._deadline_us, own._highest_term_seen, own._next_raise_us, own._denials, rounds.last,
        tuple(rounds._asked.items()), tuple(sorted(rounds._granted.items())),
        machine.grants._released, tuple(sorted(_answers(machine))),
    )  # fmt: skip


def _answers(machine: Leases) -> Iterator[tuple[Any, ...]]:
    for name, a in machine.voter_recovery._answers.items():
        yield name, a.asked, a.incarnation, a.sworn, a.term, tuple(a.incarnations)
