"""The small world of three planners for the exhaustive search.

Their real code, and every order of what may befall them.

It owns what a state is, which steps there are, their bounds, and where a search begins. It must never change
the planners' code; a planted defect does (leases_plants).

**Steps.** Any message ever said may be delivered at any time, again and again, or never: that is loss,
doubling and reordering in one. Time passes in steps of 0.35 of a lease, so that three of them are just more
than one; clocks run as far off as is allowed. A process does what is due only when that is chosen, which is
how one that is stalled behaves. It may die and start again, with what its disk has, at any time, also before
what it asked to be written is there (having said what it says before that), or with a new disk. A twin of one
starts with a new disk while the first goes on. Standing is one step with the help of one other, since probes
change nothing but whether somebody stands.

**What is left out**, as it changes nothing: refusals that say no more than "not now"; a question or grant of
an older round than one of the same process and term that is under way too; a grant that comes to a process
after it has gone on to another term.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from granitewell.lab.cluster.leases_plants import planted
from granitewell.lab.cluster.leases_tables import DRIFT_PPM, LEASE_US, NAMES, SETTINGS, WAKE, Came, Tables
from granitewell.lab.cluster.search import Seen, search
from granitewell.leases import voter_recovery
from granitewell.leases.incarnation_numbers import incarnation
from granitewell.leases.record import FOUNDED, Record
from granitewell.leases.types import State


class Bounds(NamedTuple):
    """Bounds of a search.

    They count steps of time, deaths (the disk stays), lost disks, duplicate processes, and candidacies.
    """

    times: int = 0
    deaths: int = 0
    lost: int = 0
    duplicate_identity: int = 0
    stands: int = 0


class World(NamedTuple):
    """One state.

    Attributes:
        processes: By number in the tables; those beyond the third are twins.
        said, votes: Sets of messages and of votes.
        led: Each term that was led in, and the start of who did.
        left: Of the bounds.
    """

    time: int
    processes: tuple[int, ...]
    said: int
    led: tuple[tuple[int, int], ...]
    votes: int
    starts: int
    left: Bounds


class Step(NamedTuple):
    """One step of a search: an event at a process.

    The process is given by its number and its index in the world, the event by a message or a helper.
    """

    what: str
    number: int = -1
    place: int = -1
    other: int = -1
    dies: bool = False


class Planners:
    """The steps.

    Attributes:
        ppm: Of the three clocks.
    """

    def __init__(self, ppm: tuple[int, int, int]) -> None:
        self.tables = Tables(ppm)

    def steps(self, world: World) -> Iterator[tuple[Step, World]]:
        """All that may happen next."""
        left, tables = world.left, self.tables
        if left.times:
            less = left._replace(times=left.times - 1)
            yield Step("time passes"), world._replace(time=world.time + 1, left=less)
        for place, number in enumerate(world.processes):
            name = tables.processes[number].name
            yield from self._due(world, place, number)
            if left.deaths or left.lost or left.duplicate_identity:
                yield from self._deaths(world, place, number)
            rest = world.said & tables.to[name]
            while rest:
                lowest = rest & -rest
                rest ^= lowest
                message = lowest.bit_length() - 1
                came = tables.event(number, world.time, message)
                if came.process != number or tables.add(world.said, came.said) != world.said:
                    yield from self._follow(world, place, came, Step("hears", number, place, message))

    def _due(self, world: World, place: int, number: int) -> Iterator[tuple[Step, World]]:
        """What a process does by itself."""
        tables = self.tables
        state = tables.look(number, world.time).due
        if state is State.FOLLOWER and world.left.stands:
            less = world.left._replace(stands=world.left.stands - 1)
            for helper in world.processes:
                stood = tables.stand(number, helper, world.time)
                if stood is not None:
                    step = Step("stands, with a vote to hope for from", number, place, helper)
                    yield from self._follow(world._replace(left=less), place, stood, step)
        elif state is not None and state is not State.FOLLOWER:
            came = tables.event(number, world.time, WAKE)
            if came.process != number or came.said:
                yield from self._follow(world, place, came, Step("does what is due", number, place))

    def _follow(self, world: World, place: int, came: Came, step: Step) -> Iterator[tuple[Step, World]]:
        """Return the worlds that may follow a step.

        There is a second one if something had to be written: that in which the process died before it was.
        """
        tables, processes = self.tables, _put(world.processes, place, came.process)
        led, said = world.led, tables.add(world.said, came.said)
        if came.led:
            start = tables.processes[came.process].start
            led = tuple(sorted({*led, *((term, start) for term in came.led)}))
        if came.votes or came.moved:
            said = tables.alive(processes, said)
        votes = world.votes | came.votes
        yield step, World(world.time, processes, said, led, votes, world.starts, world.left)
        if came.stored and world.left.deaths:
            letters, votes = came.early
            before = world._replace(said=tables.add(world.said, letters), votes=world.votes | votes)
            disk = tables.processes[world.processes[place]].disk
            yield step._replace(dies=True), self._again(before, place, disk)

    def _deaths(self, world: World, place: int, number: int) -> Iterator[tuple[Step, World]]:
        process, left = self.tables.processes[number], world.left
        if left.deaths:
            yield Step("dies and starts again", number, place), self._again(world, place, process.disk)
        if left.lost:
            less = world._replace(left=left._replace(lost=left.lost - 1))
            yield Step("loses its disk and starts again", number, place), self._again(less, place, None)
        if left.duplicate_identity and place < len(NAMES):
            twin = self.tables.fresh(process.name, world.starts, world.time, None)
            more = world._replace(
                left=left._replace(duplicate_identity=left.duplicate_identity - 1), starts=world.starts + 1
            )
            yield Step("gets a twin", number, place), more._replace(processes=(*world.processes, twin))

    def _again(self, world: World, place: int, disk: bytes | None) -> World:
        """A process starts once more."""
        name = self.tables.processes[world.processes[place]].name
        number = self.tables.fresh(name, world.starts, world.time, disk)
        left = world.left if disk is None else world.left._replace(deaths=world.left.deaths - 1)
        processes = _put(world.processes, place, number)
        said = self.tables.alive(processes, world.said)
        return world._replace(processes=processes, said=said, starts=world.starts + 1, left=left)

    def words(self, step: Step) -> str:
        """A step as a line of a trace; a twin has a dash."""
        tables = self.tables
        if step.number < 0:
            return step.what
        who = NAMES[tables.processes[step.number].name] + ("'" if step.place >= len(NAMES) else "")
        what = step.what
        if what == "hears":
            message = tables.letters[step.other]
            what = f"hears from {NAMES[message.sender]}: {message.words}"
        elif step.other >= 0:
            what = f"{what} {NAMES[tables.processes[step.other].name]}"
        return f"{who} {what}" + ("; it dies before that is written, and starts again" if step.dies else "")

    def broken(self, world: World) -> str:
        """Which invariant does not hold; empty for none."""
        if len({term for term, _ in world.led}) < len(world.led):
            return "term-twice: two processes have led in one term"
        if self.tables.voted_twice(world.votes):
            return "voted-twice: a disk has granted one term to two processes"
        if sum(self.tables.look(number, world.time).holds for number in world.processes) > 1:
            return "two-holders: two processes hold the lease"
        return ""


def _put(processes: tuple[int, ...], place: int, number: int) -> tuple[int, ...]:
    return (*processes[:place], number, *processes[place + 1 :])


# --- Where a search begins ------------------------------------------------------------------------------
def founded(planners: Planners, bounds: Bounds) -> World:
    """Three that have just come to their first votes; whatever may have been promised is over."""
    incarnations, first, numbers = tuple(incarnation(1, k / 10) for k in range(1, 4)), SETTINGS[0], []
    for k in range(3):
        record = Record(
            first.epoch, first.fleet, incarnations[k], FOUNDED, first.first_term, None, 0, incarnations
        )
        numbers.append(planners.tables.fresh(k, k + 1, 0, record.write(), 5 * LEASE_US))
    return World(0, tuple(numbers), 0, (), 0, 4, bounds)


def led(planners: Planners, bounds: Bounds) -> World:
    """A leads in term 1 by the vote of B; C has heard of nothing."""
    world = founded(planners, Bounds(stands=1))
    world = _played(planners, world, "A stands", "B hears from A", "A hears from B")
    return world._replace(left=bounds)


def _played(planners: Planners, world: World, *titles: str) -> World:
    """The world after the first step of each title, or one that begins so."""
    for title in titles:
        world = next(new for step, new in planners.steps(world) if planners.words(step).startswith(title))
    return world


def split(planners: Planners, bounds: Bounds) -> World:
    """A and B have both stood in term 1, and nobody else has heard of it."""
    world = _played(planners, founded(planners, Bounds(stands=2)), "A stands", "B stands, with a vote")
    return world._replace(left=bounds)


def lost(planners: Planners, bounds: Bounds) -> World:
    """Return the same world after B has lost its disk.

    B has heard from A and C of its first disk, and has waited for a duplicate process, which it has not
    found.
    """
    world = led(planners, bounds)
    processes = _put(world.processes, 1, _second(planners, world))
    return world._replace(processes=processes, starts=world.starts + 1)


def twin(planners: Planners, bounds: Bounds) -> World:
    """The same, and B goes on, but the new one has not heard of it."""
    world = led(planners, bounds)
    return world._replace(processes=(*world.processes, _second(planners, world)), starts=world.starts + 1)


def sworn_twin(planners: Planners, bounds: Bounds) -> World:
    """Nobody leads, B goes on, and its twin has just come to its vote."""
    world = founded(planners, Bounds())
    world = world._replace(processes=(*world.processes, _second(planners, world)), starts=world.starts + 1)
    world = _played(planners, world, "B' does", "A hears", "C hears", "B' hears from A", "B' hears from C")
    return world._replace(left=bounds)


def _second(planners: Planners, world: World) -> int:
    disk = voter_recovery.blank_record(SETTINGS[1], 2, 0.2).write()
    return planners.tables.fresh(1, world.starts, 0, disk, 2 * LEASE_US)


# --- What is searched -----------------------------------------------------------------------------------
APART = (-DRIFT_PPM, DRIFT_PPM, DRIFT_PPM)  # whoever leads first has the slow clock
STARTS = {
    "founded": founded, "split": split, "led": led, "lost": lost, "twin": twin, "sworn-twin": sworn_twin,
}  # fmt: skip
SEARCHES = {
    "quick": (
        ("founded", Bounds(times=2, deaths=1, stands=1)), ("split", Bounds()),
        ("led", Bounds(times=3, stands=1)), ("lost", Bounds(times=1, stands=1)),
        ("sworn-twin", Bounds(times=3, stands=1)),
    ),
    "long": (
        ("founded", Bounds(times=3, deaths=1, stands=1)), ("founded", Bounds(times=3, stands=2)),
        ("led", Bounds(times=3, deaths=1, stands=1)), ("led", Bounds(times=3, lost=1, stands=1)),
        ("lost", Bounds(times=3, stands=1)), ("twin", Bounds(times=2, stands=1)),
        ("sworn-twin", Bounds(times=3, stands=2)),
    ),
}  # fmt: skip
CATCHES = {  # where the shortest trace to each planted defect begins, and the bounds that hold it
    "vote-unwritten": ("split", Bounds(times=3, deaths=1)),
    "term-ge": ("split", Bounds(times=3)),
    "lease-unshortened": ("led", Bounds(times=3, stands=1)),
    "lost-disk-votes": ("lost", Bounds(times=3, stands=1)),
    "oath-forgets": ("lost", Bounds(times=3, stands=1)),
    "oath-minority": ("lost", Bounds(times=3, stands=1)),
    "oath-unwaited": ("twin", Bounds(times=1, stands=1)),
    "lives-ignored": ("sworn-twin", Bounds(times=3, stands=2)),
    "promise-forgotten": ("led", Bounds(times=3, deaths=1, stands=1)),
    "promise-broken": ("led", Bounds(times=3, stands=1)),
    "counted-late": ("founded", Bounds(times=3, stands=2)),
}


def look(start: str, bounds: Bounds, plant: str = "", most: int = 1_000_000) -> Seen[str]:
    """Search from a start, with a planted defect if one is named; the trace in words."""
    with planted(plant):
        planners = Planners(APART)
        seen = search(STARTS[start](planners, bounds), planners.steps, planners.broken, most)
        trace = tuple(map(planners.words, seen.trace))
        return Seen(seen.states, seen.steps, seen.depth, seen.whole, seen.broken, trace)
