"""Members: claims and their order, one member among scripted peers, and many in virtual time."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.cli.main import run
from granitewell.lab.cluster.days import Case
from granitewell.lab.cluster.links import Cut
from granitewell.lab.cluster.membership import KEYS, SUBJECT, Site
from granitewell.lab.cluster.membership_measure import Plan, measure
from granitewell.lab.cluster.membership_plants import PLANTS, planted
from granitewell.lab.cluster.membership_watch import Watch, agreed, member_of
from granitewell.lab.cluster.world import Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.membership.dissemination import DisseminationQueue
from granitewell.membership.health import Health
from granitewell.membership.state_machine import Membership
from granitewell.membership.states import MEMBER_EVENTS, OVERRIDES, Phase, Standing, State, merged
from granitewell.membership.suspicion import Suspicions, timeout_us
from granitewell.membership.table import Table, assertions_for
from granitewell.membership.types import (
    Changed,
    Config,
    Died,
    DuplicateIdentity,
    Joined,
    Leave,
    Left,
    Parameters,
    PhaseChanged,
    Suspected,
    UpdatePayload,
)
from granitewell.protocols.peers.frames import Frame, Kind, open_, seal
from granitewell.protocols.peers.gossip import (
    CODEC,
    About,
    Ack,
    Assertion,
    Envelope,
    Hello,
    Message,
    Nack,
    Page,
    Ping,
    Push,
    Relay,
    Rumour,
    Welcome,
    encode_envelope,
    pack,
)
from granitewell.protocols.peers.limits import WINDOW_SIZE, ReplayWindow
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, TimerFired, Transport

S = 1_000_000
ALIVE, SUSPECT, DEAD, LEFT = State


# --- One member, and peers that do what they are told -----------------------------------------------------
class Peer:
    """A peer by hand.

    Attributes:
        answers: It acknowledges pings by itself.
    """

    def __init__(self, name: str, birth: int, answers: bool = True) -> None:
        self.name, self.birth, self.seq, self.answers = name, birth, 0, answers
        self.heard: list[Envelope] = []

    def claim(self, inc: int = 1, state: State = ALIVE, by: str = "") -> Assertion:
        about = About("forwarder", self.name, "", (1,)) if state is ALIVE else None
        return Assertion(self.name, 1, self.birth, inc, state, 0, by, about)

    def letter(self, to: int, said: Message, *claims: Assertion) -> bytes:
        self.seq += 1
        body = encode_envelope(Envelope(self.birth, to, self.seq, said), [pack(c) for c in claims])
        return seal(Kind.GOSSIP, body, KEYS, self.name)


def acks(letters: list[Envelope]) -> list[int]:
    """The numbers that were answered."""
    return [x.message.number for x in letters if isinstance(x.message, Ack)]


class Lone:
    """A member with a clock that the test moves, among peers."""

    def __init__(self, *peers: Peer, seed: int = 1, **parameters: Any) -> None:
        self.now, self.told = 10**12, list[Any]()
        self.m = Membership(Config("me", "me", KEYS, parameters=Parameters(**parameters)), stream(seed, "me"))
        self.peers = {peer.name: peer for peer in peers}
        self.at(TimerFired())
        for peer in peers:
            self.meet(peer)

    def at(self, event: object) -> list[Any]:
        """Give it an event; what it tells, without what it says."""
        told, to_answer = [], []
        for effect in self.m.handle(self.now, event):
            if not isinstance(effect, SendMessage):
                told.append(effect)
            elif (peer := self.peers.get(effect.to)) is not None:
                frame = open_(effect.data, KEYS, limit=1 << 20)
                assert isinstance(frame, Frame) and (
                    effect.transport is Transport.STREAM or len(effect.data) <= 1_200
                )
                letter = CODEC.decode(frame.body)
                if letter is None:  # a refusal
                    continue
                peer.heard.append(letter)
                if peer.answers and isinstance(letter.message, Ping) and letter.to == peer.birth:
                    to_answer.append((peer, letter.message.number))
        self.told += told
        for peer, number in to_answer:
            self.hear(peer, Ack(number))
        return told

    def hear(self, peer: Peer, said: Message, *claims: Assertion) -> list[Any]:
        return self.at(MessageReceived(peer.name, peer.letter(self.m.local.birth, said, *claims)))

    def meet(self, peer: Peer, *claims: Assertion) -> None:
        self.at(MessageReceived(peer.name, peer.letter(0, Hello(9, peer.name)), Transport.STREAM))
        welcome = [x.message for x in peer.heard if isinstance(x.message, Welcome)][-1]
        self.hear(peer, Push(9, welcome.token), *(claims or (peer.claim(),)))

    def wait(self, length_us: int) -> list[Any]:
        end, before = self.now + length_us, len(self.told)
        while 0 <= self.m.wake_us <= end:
            self.now = max(self.now, self.m.wake_us)
            self.at(TimerFired())
        self.now = end
        return self.told[before:]

    def state(self, name: str) -> State | None:
        member = self.m.member(name)
        return member.state if member is not None else None


def kinds(told: list[Any], *types: type) -> list[Any]:
    return [effect for effect in told if isinstance(effect, types)]


# --- Claims -----------------------------------------------------------------------------------------------
states = st.sampled_from(State)
standings = st.builds(Standing, st.integers(1, 2), st.integers(1, 2), st.integers(0, 2), states)


def _about(x: Standing) -> About | None:
    return About("r", f"a{x.gen}{x.birth}{x.inc}", "", (1,)) if x.state is ALIVE else None


sample_assertions = standings.map(lambda x: Assertion("n", *x, about=_about(x)))


@given(standings, standings, standings)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_the_merge_is_commutative_associative_and_idempotent(a: Standing, b: Standing, c: Standing) -> None:
    assert merged(a, b) == merged(b, a)
    assert merged(a, merged(b, c)) == merged(merged(a, b), c)
    assert merged(a, a) == a and merged(a, b) in (a, b)


def table_of(claims: list[Assertion]) -> Table:
    table = Table(Parameters())
    for claim in claims:
        table.merge(claim, 0)
    return table


def test_every_order_of_claims_gives_the_same_table() -> None:
    @given(st.lists(sample_assertions, max_size=8), st.randoms(use_true_random=False))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def check(claims: list[Assertion], rng: Any) -> None:
        other = claims + [c for c in claims if rng.random() < 0.5]
        rng.shuffle(other)
        one, two = table_of(claims), table_of(other)
        assert (one.digests, one.member("n")) == (two.digests, two.member("n"))
        third = table_of([c for record in one.records.values() for c in assertions_for(record, 0)])
        assert third.digests == one.digests  # a table can be told whole

    check()


def test_the_tables_have_a_row_for_every_case() -> None:
    assert all(set(row) == set(State) for row in OVERRIDES.values()) and set(OVERRIDES) == set(State)
    assert all(set(row) == set(State) for row in MEMBER_EVENTS.values()) and set(MEMBER_EVENTS) == {
        *State,
        None,
    }


@given(st.lists(st.tuples(st.integers(1, 3), st.booleans(), st.integers(0, 9), states), max_size=8))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_what_is_said_of_oneself_is_refuted_and_ones_incarnation_never_falls(
    said: list[tuple[int, bool, int, State]],
) -> None:
    peer = Peer("a", 5)
    lone = Lone(peer)
    own, birth = lone.m.identity, lone.m.local.birth
    for gen, mine, inc, state in said:
        before, about = (own.gen, own.inc), About("r", "elsewhere", "", (1,)) if state is ALIVE else None
        claim = Assertion("me", gen, birth if mine else 7, inc, state, about=about)
        lone.hear(peer, Rumour(), claim)
        assert (own.gen, own.inc) >= before
        record = lone.m.local.table.records["me"]
        if lone.m.phase is Phase.ACTIVE:
            assert record.standing == own.standing and lone.m.is_up("me")
        else:
            assert (record.standing.birth, lone.m.phase) == (7, Phase.NAME_DISPUTED)


# --- Suspicion --------------------------------------------------------------------------------------------
def test_a_suspect_has_less_time_the_more_suspect_it_and_more_the_more_members_there_are() -> None:
    parameters = Parameters(alpha=3, beta=6, confirmations=3, probe_us=S)
    times = [timeout_us(parameters, 10, confirmed) for confirmed in range(5)]
    assert times == [18 * S, 10_500_000, pytest.approx(6_113_000, abs=1_000), 3 * S, 3 * S]
    assert timeout_us(parameters, 1000, 0) == 2 * times[0] and timeout_us(parameters, 1000, 3) == 2 * times[3]
    assert timeout_us(Parameters(lifeguard=False), 10, 0) == 3 * S  # plain SWIM: no longer time for the first


def test_a_refutation_lifts_a_suspicion() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    lone = Lone(a, b)
    assert kinds(lone.hear(a, Rumour(), b.claim(1, SUSPECT, "a")), Suspected)
    assert lone.m.is_up("b") and lone.state("b") is SUSPECT
    assert kinds(lone.hear(a, Rumour(), b.claim(2)), Changed) and lone.state("b") is ALIVE
    assert not kinds(lone.wait(120 * S), Died, Suspected)


def silent(*answers: str) -> tuple[Lone, Peer]:
    """B does not answer; whoever is named answers as a helper; somebody unknown answers whatever it can."""
    peers = [Peer(name, k + 5, answers=name != "b") for k, name in enumerate("abcd")]
    lone, stranger = Lone(*peers), Peer("s", 99)
    for _ in range(60):
        lone.wait(100_000)
        for ping in [x.message for x in peers[1].heard if isinstance(x.message, Ping)]:
            lone.hear(stranger, Ack(ping.number))
        for peer in peers:
            for letter in peer.heard:
                if isinstance(letter.message, Relay) and peer.name in answers:
                    lone.hear(peer, Ack(letter.message.number))
                elif isinstance(letter.message, Relay):
                    lone.hear(peer, Nack(letter.message.number))
            peer.heard.clear()
    return lone, peers[1]


def test_whom_nobody_reaches_is_suspected_and_whom_a_helper_reaches_is_not() -> None:
    assert not kinds(silent("c")[0].told, Suspected)
    lone, b = silent()
    assert [x.member.name for x in kinds(lone.told, Suspected)] == ["b"]
    assert lone.m.health == 0  # helpers have said that they tried: it is not us
    assert [x.member.name for x in kinds(lone.wait(60 * S), Died)] == ["b"] and not lone.m.is_up("b")


def test_whose_helpers_say_nothing_takes_itself_for_ill_and_waits_longer() -> None:
    lone = Lone(*(Peer(name, k + 5, answers=False) for k, name in enumerate("abcd")))
    lone.wait(3 * S)
    assert lone.m.health >= 2
    for peer in lone.peers.values():
        peer.heard.clear()
    lone.wait(8 * S)
    asked = {x.message.number for p in lone.peers.values() for x in p.heard if isinstance(x.message, Ping)}
    assert len(asked) <= 4  # of 8, were it well
    health = Health(True)
    health.adjust(3)
    assert health.scale(10) == 40 and Health(False).scale(10) == 10
    health.adjust(100)
    assert health.score == 8


def test_a_helper_pings_says_that_it_has_heard_nothing_and_passes_an_answer_on() -> None:
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    lone = Lone(a, b)
    lone.hear(a, Relay(77, "b", 6, "b"))
    ping = [x.message for x in b.heard if isinstance(x.message, Ping)][-1]
    lone.wait(400_000)
    assert Nack(77) in [x.message for x in a.heard]
    lone.hear(b, Ack(ping.number))
    assert 77 in acks(a.heard)


@pytest.mark.parametrize("calls", [2, 0])
def test_nobody_is_called_dead_unasked(calls: int) -> None:
    """B lives and has refuted it, which we have missed; others have told us of the suspicion.

    Whatever we ask before the last second is lost.
    """
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    lone = Lone(a, b, calls=calls, probe_us=10 * S, timeout_us=5 * S)
    for by in "acde":
        lone.hear(a, Rumour(), b.claim(1, SUSPECT, by))
    lone.wait(29 * S)
    b.heard.clear()
    for _ in range(10):
        lone.wait(100_000)
        for letter in b.heard[:1]:
            assert isinstance(letter.message, Ping) and letter.assertions[0].state == SUSPECT
            lone.hear(b, Ack(letter.message.number), b.claim(2))
            b.answers = True
    lone.wait(5 * S)
    assert lone.m.is_up("b") is (calls > 0)


def test_the_time_of_a_suspect_shrinks_by_each_that_suspects_it_once() -> None:
    doubts, life = Suspicions(Parameters(calls=0)), Standing(1, 5, 1, SUSPECT)
    assert doubts.suspect("n", life, "a", 10, 0) and doubts.due_us == 18 * S
    assert not doubts.suspect("n", life, "a", 10, 0) and doubts.due_us == 18 * S
    assert doubts.suspect("n", life, "b", 10, 0) and doubts.due_us == 10_500_000
    assert doubts.suspect("n", life, "b", 10, 0, expired_elsewhere=True) and doubts.due_us == 3 * S
    assert doubts.take_due(3 * S) == [("n", life, True)] and doubts.due_us == -1


def test_who_asks_with_an_old_suspicion_is_told_what_it_has_missed() -> None:
    a = Peer("a", 5)
    lone = Lone(a)
    old = Assertion("me", 1, lone.m.local.birth, 1, SUSPECT, by="a")
    lone.hear(a, Rumour(), old)
    lone.wait(60 * S)
    assert len(lone.m.local.dissemination) == 0  # nobody is told any more
    lone.hear(a, Ping(1), old)
    assert [c.inc for c in a.heard[-1].assertions if c.name == "me"] == [2] and acks(a.heard[-1:]) == [1]


def test_who_stood_still_suspects_nobody() -> None:
    peers = [Peer(name, k + 5) for k, name in enumerate("abc")]
    lone = Lone(*peers)
    lone.hear(peers[0], Rumour(), peers[1].claim(1, SUSPECT, "a"))
    for peer in peers:
        peer.answers = False
        peer.heard.clear()
    while not any(isinstance(x.message, Ping) for peer in peers for x in peer.heard):
        lone.wait(10_000)
    lone.now += 300 * S
    told = lone.at(TimerFired())  # the timers come first; the answers still wait in the socket
    assert not kinds(told, Suspected, Died) and [x for x in kinds(told, LogLine) if "stood still" in x.text]
    for peer in peers:
        peer.answers = True
    assert not kinds(lone.wait(2 * S), Died, Suspected) and lone.m.stalled_us > 299 * S


# --- What may not be believed -------------------------------------------------------------------------------
def test_an_old_letter_brings_no_ghost_back() -> None:
    a, c = Peer("a", 5), Peer("c", 7)
    lone = Lone(a, forget_us=10 * S)
    kept = a.letter(lone.m.local.birth, Rumour(), c.claim())
    lone.at(MessageReceived("a", kept))
    assert lone.m.is_up("c")
    lone.hear(a, Rumour(), c.claim(1, DEAD, "a"))
    lone.wait(100 * S)
    assert lone.m.member("c") is None  # dead, and forgotten
    lone.at(MessageReceived("a", kept))
    assert lone.m.member("c") is None and lone.m.drop_counts["replayed"] == 1
    new = Lone(a, seed=2)
    new.at(MessageReceived("a", kept))  # to a process that is not the one it was for
    assert not new.m.is_up("c")


def test_the_window_tells_numbers_apart() -> None:
    window = ReplayWindow()
    assert [window.accept(n) for n in (5, 7, 6, 5, 7, 2_000, 1_999, 1_999, 2_000 - WINDOW_SIZE)] == [
        True, True, True, False, False, True, True, False, False,
    ]  # fmt: skip


def test_a_letter_that_does_not_verify_changes_nothing() -> None:
    a = Peer("a", 5)
    lone = Lone(a)
    good = a.letter(lone.m.local.birth, Rumour(), Assertion("me", 1, lone.m.local.birth, 1, SUSPECT, by="a"))

    def state() -> object:
        m = lone.m
        return (
            m.local.table.digests,
            m.identity.standing,
            m.health,
            m.wake_us,
            len(m.local.dissemination),
            m.members(),
        )

    before = state()
    for k in range(len(good)):
        lone.at(MessageReceived("a", good[:k] + bytes([good[k] ^ 1]) + good[k + 1 :]))
        lone.at(MessageReceived("a", good[:k]))
        assert state() == before
    lone.at(MessageReceived("a", good))
    assert lone.m.identity.inc == 2 and state() != before


def test_strangers_are_answered_and_not_believed() -> None:
    stranger, lone = Peer("s", 9), Lone(Peer("a", 5))
    lone.peers["s"] = stranger
    lone.hear(stranger, Ping(3), stranger.claim(), Peer("t", 10).claim(), Peer("a", 5).claim(4, DEAD))
    assert acks(stranger.heard[:1]) == [3] and len(lone.m.members()) == 2
    lone.hear(stranger, Push(9, 12345), stranger.claim())  # a token that nobody gave
    assert not lone.m.is_up("s")


def test_what_is_not_sound_or_not_whose_it_says_is_not_believed() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    lone = Lone(a)
    lone.peers["b"] = b
    lone.hear(a, Rumour(), Assertion("a\nb", 1, 9, 1, SUSPECT), Assertion("x", 1, 9, 1, ALIVE))
    assert len(lone.m.local.table.records) == 2 and lone.m.drop_counts["unsound"] == 2
    lone.hear(b, Push(9, [x.message for x in a.heard if isinstance(x.message, Welcome)][-1].token), b.claim())
    assert not lone.m.is_up("b")  # with a token that was another's
    lone.wait(40 * S)
    number = [x.message for x in a.heard if isinstance(x.message, Hello)][-1].number
    lone.hear(a, Welcome(number, 1, bytes(256)))
    lone.hear(b, Page(number), b.claim())
    assert not lone.m.is_up("b")  # in an answer that was another's
    mine = Peer("a", lone.m.local.birth)
    lone.hear(mine, Ping(1))
    assert lone.m.drop_counts["own"] == 1 and 1 not in acks(a.heard)


def test_a_new_life_is_heard_from_its_first_letter_on() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    a.seq = 10**6
    lone = Lone(a, b)
    lone.hear(a, Ping(0))
    new = Peer("a", 7)
    lone.peers["a"] = new
    lone.hear(b, Rumour(), Assertion("a", 2, 7, 1, ALIVE, about=About("forwarder", "a", "", (1,))))
    lone.hear(new, Ping(1))
    assert lone.m.member("a") == lone.m.local.table.member("a") and acks(new.heard[-1:]) == [1]
    lone.hear(a, Ping(2), b.claim(5, DEAD))  # the former one is a stranger now
    assert lone.state("b") is ALIVE


def test_whoever_we_took_for_dead_is_compared_with_at_once() -> None:
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    lone = Lone(a, b)
    lone.wait(60 * S)
    assert lone.state("b") is DEAD
    b.heard.clear()
    lone.hear(b, Ping(1), b.claim(2))
    assert [type(x.message) for x in b.heard] == [Ack, Hello] and lone.m.is_up("b")


def test_only_the_holder_or_a_member_shows_that_our_name_is_taken() -> None:
    a = Peer("a", 5)
    lone = Lone(a)
    other = Assertion("me", 2, 77, 1, ALIVE, about=About("forwarder", "there", "", (1,)))
    lone.hear(a, Rumour(), other)
    for number in range(50):
        lone.hear(Peer("s", 99), Ack(number))
    assert lone.m.phase is Phase.NAME_DISPUTED and not lone.wait(60 * S)  # a is up: silence proves nothing
    relays = [x.message.number for x in a.heard if isinstance(x.message, Relay)]
    lone.hear(a, Ack(relays[-1]))
    assert [type(x) for x in lone.told[-2:]] == [LogLine, DuplicateIdentity] and lone.m.phase.value == "taken"


def test_too_much_is_dropped_and_counted_and_others_are_still_heard() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    lone = Lone(a, b)
    a.heard.clear()
    for number in range(500):
        lone.hear(a, Ping(number))
    answered = len(acks(a.heard))
    assert answered <= 100 and lone.m.drop_counts["sender"] == 500 - answered
    lone.hear(b, Ping(1))
    assert 1 in acks(b.heard)


def test_what_all_ask_for_together_is_limited_too() -> None:
    peers = [Peer(f"p{k}", 10 + k) for k in range(30)]
    lone = Lone(*peers, in_all=200)
    lone.wait(10 * S)
    for number in range(600):
        lone.hear(peers[number % 30], Nack(number))
    assert lone.m.drop_counts["in_all"] == 200
    lone = Lone(peers[0], in_all=10**6, per_sender=10**6)
    for number in range(300):
        lone.hear(peers[0], Relay(number, "x", 99, "x"))
        lone.at(MessageReceived("p0", peers[0].letter(0, Hello(number, "p0")), Transport.STREAM))
    assert lone.m.drop_counts["relays"] == 300 - 256 and lone.m.drop_counts["syncs"] == 300 - 99


def test_an_unknown_version_is_refused_but_not_each_time() -> None:
    lone = Lone()
    frames = [lone.m.handle(lone.now, MessageReceived("x", b"GW\x09\x10" + bytes(30))) for _ in range(50)]
    answers = [x for out in frames for x in out if isinstance(x, SendMessage)]
    assert 1 <= len(answers) <= 2 and lone.m.drop_counts["version"] == 50


# --- Bounds -------------------------------------------------------------------------------------------------
def test_memory_is_bounded() -> None:
    a = Peer("a", 5)
    lone = Lone(a, most=50, per_sender=10**6, in_all=10**6)
    for k in range(400):
        lone.hear(a, Rumour(), *(Peer(f"n{k}-{j}", 100 + k).claim(1, State(j)) for j in range(4)))
        lone.now += 1_000
    table = lone.m.local.table
    assert len(table.up) <= 50 and len(table.records) <= 101 and lone.m.drop_counts["full"] > 300
    assert len(lone.m.local.dissemination) <= 100 and len(table.dead) <= 50


def test_each_claim_is_sent_a_bounded_number_of_times_the_newest_first() -> None:
    queue, sent = DisseminationQueue(4, 9), list[bytes]()
    queue.add("old", b"old" * 20)
    sent += queue.take(100, 500)
    queue.add("new", b"new" * 20)
    assert queue.take(100, 500) == [b"new" * 20]
    for _ in range(100):
        picked = queue.take(1_000, 500)
        assert sum(map(len, picked)) <= 1_000
        sent += picked
    assert sent.count(b"old" * 20) == 12 and len(queue) == 0  # 4 * ceil(log10(501))


def test_the_dead_are_forgotten_though_they_are_passed_on() -> None:
    parameters = Parameters(forget_us=60 * S)
    tables = [Table(parameters) for _ in range(3)]
    tables[0].merge(Assertion("n", 1, 5, 1, DEAD, by="x"), 0)
    for second in range(0, 150, 5):
        for k, table in enumerate(tables[: second // 20 + 1]):  # each hears of it later
            for claim in list(tables[k - 1].assertions((1 << 32) - 1, second * S)):
                table.merge(claim, second * S)
            table.expire(second * S)
        assert second != 45 or all(table.records for table in tables)
    assert not any(table.records for table in tables)


def test_a_full_table_takes_nobody_back_and_an_old_grave_is_not_dug_again() -> None:
    table, peers = Table(Parameters(most=2, forget_us=60 * S)), [Peer(f"n{k}", 5 + k) for k in range(3)]
    for claim in (peers[0].claim(), peers[0].claim(1, DEAD), peers[1].claim(), peers[2].claim()):
        assert table.merge(claim, 0) is not None
    assert table.merge(peers[0].claim(2), 0) is None and table.refused == 1 and len(table.up) == 2
    assert table.merge(Assertion("old", 1, 9, 1, DEAD, age_s=60), 0) is None and "old" not in table.records


def test_settings_that_cannot_be_are_named() -> None:
    good: dict[str, Any] = {"name": "n", "address": "a", "keys": KEYS}
    bad: list[tuple[str, object, str]] = [
        ("name", "a b", "name: found 'a b'"), ("payload", bytes(129), "payload: found 129"),
        ("role", "", "role: found ''"), ("seeds", ("é",), "seeds: found 'é'"),
    ]  # fmt: skip
    for field, value, says in bad:
        with pytest.raises(ValueError, match=says):
            Config(**(good | {field: value}))
    with pytest.raises(ValueError, match="alpha: found 99, allowed are 1 to 20"):
        Parameters(alpha=99)
    with pytest.raises(ValueError, match="payload: found 200"):
        Lone().at(UpdatePayload(bytes(200)))


# --- Many, in virtual time --------------------------------------------------------------------------------
def many(count: int, **parameters: Any) -> tuple[Cluster, list[tuple[str, object]]]:
    """Members that see each other; what each has told since."""
    cluster, told = Site(7, count, parameters=Parameters(**parameters)).cluster(), list[tuple[str, object]]()
    watch = Watch()
    cluster.watches += [watch.watch, lambda c, node, event, effects: told.extend(
        (node.id, x) for x in effects if not isinstance(x, SendMessage)
    )]  # fmt: skip
    cluster.run(10 * S)
    assert agreed(cluster) is None and cluster.broken is None
    told.clear()
    return cluster, told


def of(told: list[tuple[str, object]], *types: type) -> Iterator[Any]:
    return (effect for _, effect in told if isinstance(effect, types))


def birth(node: Node) -> int:
    machine = member_of(node)
    assert machine is not None
    return machine.local.birth


def phase(node: Node) -> Phase:
    machine = member_of(node)
    assert machine is not None
    return machine.phase


def test_a_restart_is_another_life() -> None:
    cluster, told = many(6)
    node = cluster.nodes["m0004"]
    former = birth(node)
    cluster.kill(node)
    cluster.start(node)
    cluster.run(cluster.now_us + 4 * S)
    assert agreed(cluster) is None and birth(node) != former
    others = [(who, x) for who, x in told if who != "m0004" and isinstance(x, Died | Joined)]
    wanted = [("Died", former), ("Joined", birth(node))]
    for k in (0, 1, 2, 3, 5):
        assert [(type(x).__name__, x.member.birth) for who, x in others if who == f"m000{k}"] == wanted


def test_a_twin_waits_until_the_name_is_free_and_both_say_so() -> None:
    cluster, told = many(5)
    holder = cluster.nodes["m0003"]

    def make(boot: Any) -> list[Membership]:
        config = Config(
            "m0003", "elsewhere", KEYS, seeds=("m0000", "m0001"), parameters=Parameters(helpers=0)
        )
        return [Membership(config, boot.rng)]

    twin = cluster.add(Spec("twin", "elsewhere", make))
    cut = Cut((("elsewhere",), ("m0003",)))
    cluster.links.cut(cut)
    cluster.start(twin)
    cluster.run(cluster.now_us + 30 * S)
    assert phase(twin) is Phase.NAME_DISPUTED  # it can't reach the holder, which proves nothing
    cluster.links.heal(cut)
    cluster.run(cluster.now_us + 60 * S)
    assert phase(twin) is Phase.NAME_TAKEN and agreed(cluster) is None
    twins = [(who, x.owns_name) for who, x in told if isinstance(x, DuplicateIdentity)]
    assert sorted(twins) == [("m0003", True), ("twin", False)]
    assert not [x for who, x in told if who != "twin" and isinstance(x, Died | Joined | Suspected)]
    cluster.kill(holder)
    cluster.run(cluster.now_us + 60 * S)
    assert phase(twin) is Phase.ACTIVE and agreed(cluster) is None
    cluster.start(holder)  # comes back, and is the younger one now
    cluster.run(cluster.now_us + 30 * S)
    assert phase(holder) is Phase.NAME_TAKEN and agreed(cluster) is None


def test_two_halves_that_meet_again_bury_nobody() -> None:
    cluster, told = many(12)
    names = list(cluster.nodes)
    cut = Cut((tuple(names[:6]), tuple(names[6:])))
    cluster.links.cut(cut)
    cluster.run(cluster.now_us + 60 * S)
    assert len(list(of(told, Died))) == 72  # each of one half by each of the other
    cluster.links.heal(cut)
    told.clear()
    cluster.run(cluster.now_us + 40 * S)
    assert agreed(cluster) is None and not list(of(told, Died)) and len(list(of(told, Joined))) == 72


def test_who_leaves_is_missed_by_nobody() -> None:
    cluster, told = many(8)
    node = cluster.nodes["m0005"]
    cluster.tell(node, Leave())
    cluster.run(cluster.now_us + 3 * S)
    assert [x.phase for x in of(told, PhaseChanged)] == [Phase.LEAVING, Phase.STOPPED]
    cluster.kill(node)
    cluster.run(cluster.now_us + 60 * S)
    assert len(list(of(told, Left))) == 7 and not list(of(told, Died, Suspected)) and agreed(cluster) is None


def test_what_a_member_says_of_itself_reaches_all() -> None:
    cluster, told = many(8)
    cluster.tell(cluster.nodes["m0002"], UpdatePayload(b"load 7"))
    cluster.run(cluster.now_us + 5 * S)
    assert {x.member.about.payload for x in of(told, Changed)} == {b"load 7"}
    seen = member_of(cluster.nodes["m0006"])
    assert seen is not None and len(list(of(told, Changed))) == 7
    assert (
        [m.name for m in seen.members("forwarder") if m.about.payload]
        == ["m0002"]
        == [m.name for m in seen.members() if m.inc == 2]
    )


def test_under_loss_a_death_is_noticed_by_all_and_nobody_dies_wrongly() -> None:
    found: dict[str, Any] = measure(Plan("deaths", 25, 0.3, 20, deaths=2))
    assert (found["never"], found["deaths"]) == (0, 0) and found["all_s"]["worst"] < 60
    assert 0 < found["first_s"]["least"] <= found["first_s"]["median"]


def test_what_a_member_sends_does_not_grow_with_the_members() -> None:
    few, lots = (measure(Plan("idle", count, 0.0, 30))["bytes_s"] for count in (10, 80))
    assert isinstance(few, dict) and isinstance(lots, dict)
    assert lots["median"] < 1.3 * few["median"]


@pytest.mark.parametrize("seed", range(400, 406))
def test_after_any_chaos_all_agree(seed: int) -> None:
    outcome = SUBJECT.play(Case(seed, 0.9))
    assert outcome.broken is None, outcome.broken
    assert seed > 400 or SUBJECT.play(Case(seed, 0.9)).digest == outcome.digest


def test_the_command_measures(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["lab", "membership", "restart", "--members", "4", "--seconds", "5", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["found"]["back_s"]["count"] == 4
    assert run(["lab", "membership", "idle", "--set", "alpha=99"]) == 2
    assert "alpha: found 99" in capsys.readouterr().err


# --- Planted defects --------------------------------------------------------------------------------------
CATCHES: dict[str, Callable[[], None]] = {
    "refutation-ignored": test_a_refutation_lifts_a_suspicion,
    "inc-ge": test_every_order_of_claims_gives_the_same_table,
    "timeout-unscaled": test_a_suspect_has_less_time_the_more_suspect_it_and_more_the_more_members_there_are,
    "former-self": test_a_restart_is_another_life,
    "gossip-unbounded": test_each_claim_is_sent_a_bounded_number_of_times_the_newest_first,
    "replay-heard": test_an_old_letter_brings_no_ghost_back,
    "hearsay-kills": test_two_halves_that_meet_again_bury_nobody,
    "stall-unseen": test_who_stood_still_suspects_nobody,
    "twin-unasked": test_a_twin_waits_until_the_name_is_free_and_both_say_so,
    "ages-lost": test_the_dead_are_forgotten_though_they_are_passed_on,
}


@pytest.mark.parametrize("name", PLANTS)
def test_each_planted_defect_is_caught(name: str) -> None:
    with planted(name), pytest.raises(AssertionError):
        CATCHES[name]()
