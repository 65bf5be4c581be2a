"""Terms, votes and leases: the hard cases one by one, then days of chaos, then planted defects.

The exhaustive search of small states is in test_search.py.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab.cluster.clock import Clock
from granitewell.lab.cluster.days import Case
from granitewell.lab.cluster.disk import Fate
from granitewell.lab.cluster.leases import KEYS, SUBJECT, cluster_of, planners
from granitewell.lab.cluster.leases_plants import planted
from granitewell.lab.cluster.leases_rules import Rules, holds, letter_of, planner_of
from granitewell.lab.cluster.links import Cut
from granitewell.lab.cluster.world import Boot, Cluster, Node
from granitewell.leases.duplicate_identity import younger
from granitewell.leases.incarnation_numbers import NUMBERS_PER_COUNT, accepts, merge
from granitewell.leases.record import BLANK, FOUNDED, KEY, RECOVERED, MalformedRecordError, Record, read
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import (
    MAX_LEASE_US,
    TABLE,
    Cause,
    Floor,
    Leads,
    LeaseSettingsError,
    Lost,
    Refuses,
    Settings,
    State,
    Stop,
)
from granitewell.protocols.peers.frames import Key, Keys, Kind, seal
from granitewell.protocols.peers.leases import (
    LETTERS,
    Ask,
    Grant,
    Here,
    Letter,
    No,
    Release,
    Said,
    Would,
)
from granitewell.state_machine import Heard, Line, Say, Store, Stored, Woken

SECOND = 1_000_000
FLEET = Settings("p1", planners(3), KEYS)
FIRST = FLEET.first_term
INCARNATIONS = tuple(k * 10 + NUMBERS_PER_COUNT for k in (1, 2, 3))


# --- One planner, by hand -------------------------------------------------------------------------------
class Hand:
    """p2 of three, founded long ago; p1 and p3 are played by the test. Time is its own clock's."""

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
        """Time passes, and nothing is done in it."""
        self.now += us

    def event(self, event: object) -> list[object]:
        return self.machine.handle(self.now, event)

    def hear(self, name: str, boot: int, said: Said) -> list[object]:
        frame = seal(Kind.LEASE, LETTERS.write(Letter(self.settings.fleet, boot, said)), KEYS, name)
        return self.event(Heard(name, frame))

    def stored(self, effects: list[object], ok: bool = True) -> list[object]:
        """The disk has done what was asked for."""
        out: list[object] = []
        for store in [e for e in effects if isinstance(e, Store)]:
            self.disk = {KEY: store.data} if ok else self.disk
            out += self.event(Stored(store.token, ok))
        return out

    def ask(self, name: str, boot: int, term: int, number: int = 1, **more: object) -> list[object]:
        body = Ask(number, FIRST + term, list(INCARNATIONS), 3 * SECOND)
        return self.hear(name, boot, replace_(body, **more))


def replace_(said: Ask, **more: object) -> Ask:
    return Ask(**{name: more.get(name, getattr(said, name)) for name in said.__struct_fields__})  # type: ignore[arg-type]


def said(effects: list[object]) -> list[Said]:
    """What was said to others, greetings left out."""
    letters = [letter_of(e.data) for e in effects if isinstance(e, Say)]
    return [x.said for x in letters if x is not None and not isinstance(x.said, Here)]


def why(effects: list[object]) -> str:
    [no] = said(effects)
    assert isinstance(no, No), no
    return no.why


def test_a_vote_is_written_before_it_is_said() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    effects = hand.ask("p1", 11, 1)
    assert said(effects) == [] and any(isinstance(e, Store) for e in effects)
    assert said(hand.ask("p1", 11, 1)) == []  # the same question, while the disk is at work
    assert said(hand.stored(effects)) == [Grant(1, 11, INCARNATIONS[1], FIRST + 1)]
    assert said(hand.ask("p1", 11, 1, 5)) == [Grant(5, 11, INCARNATIONS[1], FIRST + 1)]  # nothing to write


def test_what_the_disk_refuses_is_not_said_and_is_tried_again() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    refused = hand.stored(hand.ask("p1", 11, 1), ok=False)
    assert said(refused) == [] and any(isinstance(e, Line) and e.topic == "disk" for e in refused)
    assert why(hand.ask("p3", 33, 1)) == "voted"  # it may be on the disk
    again = hand.ask("p1", 11, 1, 2)
    assert said(again) == [] and said(hand.stored(again)) == [Grant(2, 11, INCARNATIONS[1], FIRST + 1)]


def test_a_vote_that_was_overtaken_while_it_was_written_is_not_said() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    slow = hand.ask("p1", 11, 1)
    hand.wait(4 * SECOND)  # the promise is over, and another asks
    newer = hand.ask("p3", 33, 2)
    assert said(hand.stored(slow)) == []
    assert said(hand.stored(newer)) == [Grant(1, 33, INCARNATIONS[1], FIRST + 2)]


def test_a_term_goes_to_one_process_and_a_promise_is_kept() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    hand.stored(hand.ask("p1", 11, 3))
    assert why(hand.ask("p3", 33, 3)) == "voted"
    assert why(hand.ask("p1", 12, 3)) == "voted"  # p1 started again: another process
    assert why(hand.ask("p3", 33, 2)) == "term"
    assert why(hand.ask("p3", 33, 4)) == "promised"
    assert why(hand.ask("p1", 11, 3, lease_us=4 * SECOND)) == "length"
    hand.wait(FLEET.promiser_lease_us(3 * SECOND) - 1)
    assert why(hand.ask("p3", 33, 4)) == "promised"
    hand.wait(1)
    assert why(hand.ask("p3", 33, 3)) == "voted"
    assert said(hand.stored(hand.ask("p3", 33, 4))) == [Grant(1, 33, INCARNATIONS[1], FIRST + 4)]


def test_a_restart_keeps_the_vote_and_waits_as_long_as_it_may_have_promised() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    hand.stored(hand.ask("p1", 11, 1, lease_us=9 * SECOND))
    hand.wait(SECOND)
    hand.start()
    assert said(hand.ask("p1", 11, 1, 2, lease_us=9 * SECOND)) == [Grant(2, 11, INCARNATIONS[1], FIRST + 1)]
    hand.start()
    assert why(hand.ask("p3", 33, 1)) == "voted" and why(hand.ask("p3", 33, 2)) == "promised"
    hand.wait(FLEET.promiser_lease_us(9 * SECOND) - 1)
    assert why(hand.ask("p3", 33, 2)) == "promised"
    hand.wait(1)
    assert hand.stored(hand.ask("p3", 33, 2))


def test_whoever_gives_up_frees_its_voters_but_only_of_that_term() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    hand.stored(hand.ask("p1", 11, 2))
    hand.hear("p1", 11, Release(FIRST + 1))
    hand.hear("p1", 10, Release(FIRST + 2))
    assert why(hand.ask("p3", 33, 3)) == "promised"
    hand.hear("p1", 11, Release(FIRST + 2))
    assert why(hand.ask("p1", 11, 2, 9)) == "given up"  # a question that was overtaken
    assert hand.stored(hand.ask("p3", 33, 3))


def stands(hand: Hand) -> list[object]:
    """It probes and stands in term 1; what its disk is asked for."""
    hand.wait(20 * SECOND)
    hand.event(Woken())
    number = hand.machine.candidacy._probed[0]
    return hand.hear("p1", 11, Would(number, hand.machine.participant.boot, INCARNATIONS[0], FIRST))


def leads(hand: Hand) -> list[object]:
    asks = said(hand.stored(stands(hand)))
    assert isinstance(asks[0], Ask) and len(asks) == 2
    return hand.hear(
        "p1", 11, Grant(asks[0].round, hand.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    )


def test_nothing_is_asked_before_our_own_vote_is_written_and_nothing_at_all_if_it_cannot_be() -> None:
    hand = Hand()
    effects = stands(hand)
    assert said(effects) == [] and hand.state() == "candidate"
    assert said(hand.stored(effects, ok=False)) == []
    hand.wait(3 * SECOND)
    hand.event(Woken())
    assert hand.state() == "follower"


def test_the_lease_counts_from_the_question_and_a_process_that_wakes_late_sees_that_it_is_over() -> None:
    hand = Hand()
    asks = said(hand.stored(stands(hand)))
    asked = hand.now
    hand.wait(SECOND)
    assert isinstance(asks[0], Ask)
    grant = Grant(asks[0].round, hand.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    assert Leads(FIRST + 1, asked + FLEET.requester_lease_us(3 * SECOND)) in hand.hear("p1", 11, grant)
    hand.wait(3 * SECOND)  # stopped meanwhile; what waited comes first, not the timer
    effects = hand.hear("p1", 11, grant)
    assert Lost(FIRST + 1) in effects and not any(isinstance(x, Ask) for x in said(effects))
    assert not hand.machine.leads(hand.now) and not any(isinstance(e, Leads) for e in effects)


def test_an_answer_that_comes_after_the_lease_it_would_give_makes_nobody_lead() -> None:
    hand = Hand()
    asks = said(hand.stored(stands(hand)))
    hand.wait(FLEET.requester_lease_us(3 * SECOND))
    assert isinstance(asks[0], Ask)
    effects = hand.hear(
        "p1", 11, Grant(asks[0].round, hand.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    )
    assert not any(isinstance(e, Leads) for e in effects)


@pytest.mark.parametrize(
    "changed", [{"for_boot": 1}, {"round": 99}, {"term": FIRST}, {"incarnation": 5}, {"term": FIRST + 2}]
)
def test_grants_that_are_not_for_this_lease_count_for_nothing(changed: dict[str, int]) -> None:
    hand = Hand()
    asks = said(hand.stored(stands(hand)))
    assert isinstance(asks[0], Ask)
    good = {
        "round": asks[0].round,
        "for_boot": hand.machine.participant.boot,
        "incarnation": INCARNATIONS[0],
        "term": FIRST + 1,
    }
    hand.hear("p1", 11, Grant(**{**good, **changed}))
    assert hand.state() == "candidate"
    hand.hear("p1", 11, Grant(**good))
    assert hand.state() == "holder"


def test_a_holder_that_hears_of_a_higher_term_leads_on_above_it() -> None:
    hand = Hand()
    leads(hand)
    assert hand.event(Floor(FIRST + 1)) == []
    effects = hand.event(Floor(FIRST + 40))
    assert Lost(FIRST + 1) in effects
    asks = said(hand.stored(effects))
    assert isinstance(asks[0], Ask) and asks[0].term == FIRST + 41


def test_a_stop_hands_over_and_is_the_last_word() -> None:
    hand = Hand()
    leads(hand)
    effects = hand.event(Stop())
    assert effects[0] == Lost(FIRST + 1) and Release(FIRST + 1, "p1") in said(effects)
    assert hand.machine.wake_us == -1 and hand.ask("p3", 33, 9) == []


def test_what_does_not_verify_changes_nothing() -> None:
    hand = Hand()
    hand.wait(10 * SECOND)
    body = Ask(1, FIRST + 1, list(INCARNATIONS), 3 * SECOND)
    message = LETTERS.write(Letter(hand.settings.fleet, 11, body))
    long = Letter(hand.settings.fleet, 11, replace_(body, incarnations=[1] * 5))
    other = LETTERS.write(Letter(hand.settings.fleet + 1, 11, body))
    for frame in (
        seal(Kind.LEASE, message, Keys(Key(bytes(32))), "p1"), seal(Kind.LEASE, message, KEYS, "p9"),
        seal(Kind.LEASE, message[:-1], KEYS, "p1"), seal(Kind.GOSSIP, message, KEYS, "p1"), b"", b"GW",
        seal(Kind.LEASE, LETTERS.write(long), KEYS, "p1"),
    ):  # fmt: skip
        assert hand.event(Heard("x", frame)) == []
    [line] = hand.event(Heard("x", seal(Kind.LEASE, other, KEYS, "p1")))
    assert isinstance(line, Line) and line.topic == "fleet"
    assert hand.machine.term == FIRST and hand.machine.participant.refused == 3


def test_an_unknown_version_is_answered_once_a_second() -> None:
    hand = Hand()
    frame = seal(Kind.LEASE, b"", KEYS, "p1", version=9)
    answers = [len([e for e in hand.event(Heard("x", frame)) if isinstance(e, Say)]) for _ in range(5)]
    hand.wait(SECOND)
    answers += [len([e for e in hand.event(Heard("x", frame)) if isinstance(e, Say)])]
    assert answers == [1, 0, 0, 0, 0, 1]


def test_a_disk_of_which_others_know_a_newer_one_refuses_itself() -> None:
    hand = Hand()
    [_, refuses] = hand.ask(
        "p1", 11, 1, incarnations=[INCARNATIONS[0], 2 * NUMBERS_PER_COUNT, INCARNATIONS[2]]
    )
    assert isinstance(refuses, Refuses) and hand.machine.state is State.REFUSED


# --- Figures and forms ----------------------------------------------------------------------------------
RATE = st.integers(-100_000, 100_000)


@settings(max_examples=300, deadline=None)
@given(RATE, RATE, st.integers(0, 10**9), st.integers(0, 10**6), st.integers(100_000, MAX_LEASE_US))
def test_a_promise_outlives_the_lease_whatever_the_two_clocks_do(
    holder: int, voter: int, asked: int, way: int, lease: int
) -> None:
    """From asking to the last microsecond in which the holder believes it, in real time, and the voter's."""
    ours, theirs = Clock(77, holder), Clock(5, voter)
    until = ours.local(asked) + FLEET.requester_lease_us(lease)
    promised = theirs.local(asked + way) + FLEET.promiser_lease_us(lease)
    assert ours.real(until) - 1 < theirs.real(promised)


def test_the_order_of_lives() -> None:
    first, other, second = NUMBERS_PER_COUNT + 1, NUMBERS_PER_COUNT + 2, 2 * NUMBERS_PER_COUNT
    assert accepts(0, first) and accepts(first, first) and accepts(first, second)
    assert not accepts(first, other) and not accepts(second, first) and not accepts(second, second + 1)
    assert merge(first, other) == merge(other, first) == second and merge(0, first) == first
    assert merge(second, first) == second and merge(second + 5, second) == second + 5


@pytest.mark.parametrize(
    ("changed", "words"),
    [
        ({"v": 2}, "found version 2, this node reads up to 1"), ({"v": None}, "no version"),
        ({"term": -1}, "term: found -1"), ({"lives": [1, 2]}, "lives: found"),
        ({"voted": "p1"}, "voted: found"),
        ({"voted": ["p1", "x"]}, "voted: found"), ({"sworn": "maybe"}, "sworn: found 'maybe'"),
        ({"epoch": True}, "epoch: found True"), ({"fleet": 1 << 63}, "fleet: found"),
    ],
)  # fmt: skip
def test_a_bad_record_names_what_is_wrong(changed: dict[str, object], words: str) -> None:
    good = Record(1, FLEET.fleet, INCARNATIONS[0], RECOVERED, FIRST + 7, ("p1", 8), 9, INCARNATIONS)
    assert read(good.write(), 3) == good
    with pytest.raises(MalformedRecordError, match=words.replace("[", r"\[")):
        read(json.dumps(json.loads(good.write()) | changed).encode(), 3)
    missing = {k: v for k, v in json.loads(good.write()).items() if k != "term"}
    with pytest.raises(MalformedRecordError, match="KeyError at 'term'"):
        read(json.dumps(missing).encode(), 3)


def test_a_record_cut_at_any_byte_or_of_another_fleet_is_never_taken() -> None:
    good = Record(1, FLEET.fleet, INCARNATIONS[1], FOUNDED, FIRST + 7, None, 0, INCARNATIONS)
    for length in range(len(good.write())):
        with pytest.raises(MalformedRecordError):
            read(good.write()[:length], 3)
    for bad in (replace(good, fleet=5), replace(good, epoch=2)):
        with pytest.raises(MalformedRecordError, match="allowed are up to 1|new epoch"):
            Hand(bad)
    assert Hand(good, epoch=2).machine.state is State.BLANK  # the operator has begun anew


@pytest.mark.parametrize(
    ("changed", "words"),
    [
        ({"planners": planners(2)}, "planners: found 2, allowed are 3 to 7"),
        ({"planners": (*planners(3), ("p4", "p1"))}, "different names and addresses"),
        ({"name": "p9"}, "name: found 'p9'"), ({"lease_us": 1}, "lease_us: found 1"),
        ({"drift_ppm": 300_000}, "drift_ppm: found 300000"), ({"epoch": 0}, "epoch: found 0"),
    ],
)  # fmt: skip
def test_settings_name_the_field(changed: dict[str, object], words: str) -> None:
    with pytest.raises(LeaseSettingsError, match=words):
        replace(FLEET, **changed)  # type: ignore[arg-type]


def test_every_state_can_be_come_to_and_only_two_cannot_be_left() -> None:
    assert {to for to in TABLE.values()} | {State.BLANK} == {*State}
    ways = {state: {to for (s, _), to in TABLE.items() if s is state} - {state} for state in State}
    assert ways[State.STOPPED] == set() and ways[State.REFUSED] == {State.STOPPED}
    assert all(ways[state] for state in State if state is not State.STOPPED)
    assert {cause for _, cause in TABLE} == {*Cause}


def test_of_two_processes_the_younger_is_found_by_both() -> None:
    assert younger(Here(10 * SECOND), 1, 2, 3 * SECOND) and not younger(Here(3 * SECOND), 2, 1, 10 * SECOND)
    assert younger(Here(5), 1, 2, 9) and not younger(Here(9), 2, 1, 5)  # close together: by their boots


# --- Planners in the virtual cluster --------------------------------------------------------------------
def running(seed: int, count: int = 3, until_us: int = 12 * SECOND) -> tuple[Cluster, Rules]:
    cluster = cluster_of(seed, count)
    rules = Rules(tuple(cluster.nodes))
    rules.begin(cluster, 10**12)
    for node in list(cluster.nodes.values()):
        cluster.start(node)
    assert cluster.run(until_us) is None
    return cluster, rules


def starts(settings: Settings) -> Callable[[Boot], list[Leases]]:
    return lambda boot: [Leases(settings, boot.rng, boot.now_us, boot.disk)]


def holder(cluster: Cluster) -> Node:
    [node] = [node for node in cluster.nodes.values() if holds(cluster, node)]
    return node


def until(cluster: Cluster, true: Callable[[], bool], at_most_s: int = 60) -> None:
    """Let time pass until something is so; all that must hold holds meanwhile."""
    end = cluster.now_us + at_most_s * SECOND
    cluster.engine.at(end, lambda: None)
    while not true():
        assert cluster.now_us < end, "it never came to be"
        assert cluster.run(min(cluster.now_us + SECOND // 10, end)) is None, cluster.broken


def machines(cluster: Cluster) -> Iterator[Leases]:
    for node in cluster.nodes.values():
        machine = planner_of(node)
        if machine is not None:
            yield machine


@pytest.mark.parametrize("count", [3, 4, 5, 7])
def test_new_planners_found_themselves_and_one_leads(count: int) -> None:
    cluster, rules = running(1, count)
    first = holder(cluster)
    assert {m.participant.record.sworn for m in machines(cluster)} == {FOUNDED}
    assert len({m.follows for m in machines(cluster)} - {("", -1)}) == 1
    cluster.kill(first)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))
    assert holder(cluster) is not first and len(rules.terms) >= 2


def test_half_of_new_planners_do_not_found_themselves_and_a_minority_never_leads() -> None:
    cluster = cluster_of(1, 4)
    for name in ("p1", "p2", "p3"):
        cluster.start(cluster.nodes[name])
    cluster.run(60 * SECOND)
    assert {m.participant.record.sworn for m in machines(cluster)} == {BLANK}
    cluster, _ = running(2, 4)
    cut = Cut((("p1", "p2"), ("p3", "p4")))
    cluster.links.cut(cut)
    cluster.run(30 * SECOND)
    assert not any(holds(cluster, n) for n in cluster.nodes.values())
    cluster.links.heal(cut)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))


def test_a_lost_disk_comes_back_by_oath_waits_and_votes_in_higher_terms_only() -> None:
    cluster, _ = running(3)
    term = next(iter(machines(cluster))).term
    lost = next(n for n in cluster.nodes.values() if not holds(cluster, n))
    cluster.kill(lost, Fate.LOST)
    cluster.run(20 * SECOND)
    cluster.start(lost)
    machine = planner_of(lost)
    assert machine is not None and machine.state is State.BLANK
    until(cluster, lambda: machine.state is not State.BLANK)
    sworn_at = lost.clock.local(cluster.now_us)
    assert machine.participant.record.sworn == RECOVERED and machine.term >= term
    assert machine.participant.promise.to is None
    assert machine.participant.promise.until_us >= sworn_at + MAX_LEASE_US
    until(cluster, lambda: machine.participant.record.voted is not None)
    assert machine.term > term


def test_a_founder_that_loses_its_disk_founds_nothing_again() -> None:
    cluster, _ = running(4)
    first = cluster.nodes["p1"]
    incarnation = first.machines[0].participant.record.incarnation  # type: ignore[attr-defined]
    cluster.kill(first, Fate.LOST)
    cluster.start(first)
    machine = planner_of(first)
    assert machine is not None
    until(cluster, lambda: machine.state is not State.BLANK)
    assert (
        machine.participant.record.sworn == RECOVERED and machine.participant.record.incarnation > incarnation
    )


def test_a_lost_majority_stays_without_a_leader_until_the_operator_begins_a_new_epoch() -> None:
    cluster, rules = running(5)
    for name in ("p1", "p2"):
        cluster.kill(cluster.nodes[name], Fate.LOST)
        cluster.start(cluster.nodes[name])
    cluster.run(cluster.now_us + 60 * SECOND)
    assert not any(holds(cluster, n) for n in cluster.nodes.values())
    for node in cluster.nodes.values():
        cluster.kill(node)
        node.spec = replace(node.spec, make=starts(Settings(node.id, planners(3), KEYS, epoch=2)))
        cluster.start(node)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))
    assert max(rules.terms) > FIRST + FIRST > min(rules.terms)


def test_a_holder_that_is_stopped_for_longer_than_its_lease_wakes_up_as_nobody() -> None:
    cluster, _ = running(6)
    first, machine = holder(cluster), planner_of(holder(cluster))
    cluster.stall(first)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values() if n is not first))
    assert machine is not None and machine.candidacy.state is State.HOLDER  # as it still believes
    cluster.go_on(first)
    assert machine.state is not State.HOLDER


def test_handing_over_takes_a_moment_and_nobody_leads_in_between() -> None:
    cluster, rules = running(7)
    for _ in range(4):
        first = holder(cluster)
        cluster.tell(first, Stop())
        until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()), at_most_s=1)
        cluster.kill(first)
        cluster.start(first)
        cluster.run(cluster.now_us + 8 * SECOND)
    assert len(rules.terms) == 5


@pytest.mark.parametrize("disk", ["copy", "empty"])
def test_a_second_process_of_a_name_refuses_itself_and_the_first_goes_on(disk: str) -> None:
    for seed in range(5):
        cluster, _ = running(seed + 10)
        first = holder(cluster)
        spec = replace(first.spec, id="twin")
        twin = cluster.add(spec, dict(first.disk.kept) if disk == "copy" else None)
        cluster.start(twin)
        until(cluster, lambda twin=twin: twin.machines[0].state is State.REFUSED, at_most_s=10)  # type: ignore[misc]
        assert first.machines[0].state is not State.REFUSED  # type: ignore[attr-defined]
        cluster.kill(twin)
        until(cluster, lambda cluster=cluster: any(holds(cluster, n) for n in cluster.nodes.values()))  # type: ignore[misc]


def test_a_former_self_that_is_dead_is_not_taken_for_a_twin() -> None:
    hand = Hand()
    old = hand.machine.participant.boot
    hand.wait(SECOND)
    hand.start()
    effects = hand.hear("p2", old, Here(50 * SECOND))
    assert hand.state() == "follower" and not any(isinstance(e, Refuses) for e in effects)
    hand.hear("p2", old, Here(50 * SECOND, hand.machine.participant.boot))  # it answers us: it is alive
    assert hand.state() == "refused"


# --- Chaos and planted defects --------------------------------------------------------------------------
@pytest.mark.parametrize("severity", [0.4, 1.0])
def test_days_of_chaos(severity: float) -> None:
    led = 0.0
    for seed in range(1, 6):
        outcome = SUBJECT.play(Case(seed, severity))
        assert outcome.broken is None, f"{outcome.broken}: {Case(seed, severity).command('leases')}"
        terms = outcome.figures["terms"]
        led += terms if isinstance(terms, float | int) else 0
    assert led >= 5  # somebody led on each day, or the days show nothing


@pytest.mark.parametrize(
    ("plant", "seed", "severity", "rule"),
    [
        ("vote-unwritten", 1, 0.5, "unwritten"), ("lease-unshortened", 1, 0.5, "outlived"),
        ("lost-disk-votes", 2, 0.5, "term-fell"), ("counted-late", 1, 1.0, "outlived"),
        ("disk-trusted", 1, 1.0, "unwritten"), ("promise-forgotten", 20, 1.0, "two-holders"),
        ("promise-broken", 27, 1.0, "two-holders"), ("term-ge", 49, 1.0, "voted-twice"),
    ],
)  # fmt: skip
def test_days_that_find_what_was_planted(plant: str, seed: int, severity: float, rule: str) -> None:
    assert SUBJECT.play(Case(seed, severity)).broken is None
    broken = SUBJECT.play(Case(seed, severity, plant=plant)).broken
    assert broken is not None and broken.text.startswith(f"{rule}:")


def test_a_clock_that_is_not_read_is_found_by_the_case_of_a_late_waking() -> None:
    with planted("clock-unread"), pytest.raises(AssertionError):
        test_the_lease_counts_from_the_question_and_a_process_that_wakes_late_sees_that_it_is_over()
