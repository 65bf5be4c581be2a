"""Membership: merging of assertions, one member among scripted peers, and many members in virtual time."""

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


# --- One member and scripted peers ------------------------------------------------------------------------
class Peer:
    """A scripted peer.

    Attributes:
        answers: Whether it acknowledges pings by itself.
        received: Envelopes sent to it.
    """

    def __init__(self, name: str, birth: int, answers: bool = True) -> None:
        self.name, self.birth, self.seq, self.answers = name, birth, 0, answers
        self.received: list[Envelope] = []

    def assertion(self, inc: int = 1, state: State = ALIVE, by: str = "") -> Assertion:
        about = About("forwarder", self.name, "", (1,)) if state is ALIVE else None
        return Assertion(self.name, 1, self.birth, inc, state, 0, by, about)

    def sealed_message(self, to: int, message: Message, *assertions: Assertion) -> bytes:
        self.seq += 1
        body = encode_envelope(Envelope(self.birth, to, self.seq, message), [pack(c) for c in assertions])
        return seal(Kind.GOSSIP, body, KEYS, self.name)


def acks(envelopes: list[Envelope]) -> list[int]:
    """Numbers of the requests that were acknowledged."""
    return [x.message.number for x in envelopes if isinstance(x.message, Ack)]


class SingleMember:
    """A member among scripted peers, with a clock that the test advances."""

    def __init__(self, *peers: Peer, seed: int = 1, **parameters: Any) -> None:
        self.now, self.events = 10**12, list[Any]()
        self.machine = Membership(
            Config("me", "me", KEYS, parameters=Parameters(**parameters)), stream(seed, "me")
        )
        self.peers = {peer.name: peer for peer in peers}
        self.handle(TimerFired())
        for peer in peers:
            self.join(peer)

    def handle(self, event: object) -> list[Any]:
        """Pass an event to the member; return its effects other than messages, which go to the peers."""
        events, to_answer = [], []
        for effect in self.machine.handle(self.now, event):
            if not isinstance(effect, SendMessage):
                events.append(effect)
            elif (peer := self.peers.get(effect.to)) is not None:
                frame = open_(effect.data, KEYS, limit=1 << 20)
                assert isinstance(frame, Frame) and (
                    effect.transport is Transport.STREAM or len(effect.data) <= 1_200
                )
                envelope = CODEC.decode(frame.body)
                if envelope is None:  # a refusal
                    continue
                peer.received.append(envelope)
                if peer.answers and isinstance(envelope.message, Ping) and envelope.to == peer.birth:
                    to_answer.append((peer, envelope.message.number))
        self.events += events
        for peer, number in to_answer:
            self.receive(peer, Ack(number))
        return events

    def receive(self, peer: Peer, message: Message, *assertions: Assertion) -> list[Any]:
        return self.handle(
            MessageReceived(peer.name, peer.sealed_message(self.machine.local.birth, message, *assertions))
        )

    def join(self, peer: Peer, *assertions: Assertion) -> None:
        self.handle(MessageReceived(peer.name, peer.sealed_message(0, Hello(9, peer.name)), Transport.STREAM))
        welcome = [x.message for x in peer.received if isinstance(x.message, Welcome)][-1]
        self.receive(peer, Push(9, welcome.token), *(assertions or (peer.assertion(),)))

    def wait(self, length_us: int) -> list[Any]:
        end, before = self.now + length_us, len(self.events)
        while 0 <= self.machine.wake_us <= end:
            self.now = max(self.now, self.machine.wake_us)
            self.handle(TimerFired())
        self.now = end
        return self.events[before:]

    def state(self, name: str) -> State | None:
        member = self.machine.member(name)
        return member.state if member is not None else None


def of_type(events: list[Any], *types: type) -> list[Any]:
    return [effect for effect in events if isinstance(effect, types)]


# --- Assertions -------------------------------------------------------------------------------------------
state_values = st.sampled_from(State)
standing_values = st.builds(Standing, st.integers(1, 2), st.integers(1, 2), st.integers(0, 2), state_values)


def description_of(x: Standing) -> About | None:
    return About("r", f"a{x.gen}{x.birth}{x.inc}", "", (1,)) if x.state is ALIVE else None


sample_assertions = standing_values.map(lambda x: Assertion("n", *x, about=description_of(x)))


@given(standing_values, standing_values, standing_values)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_merge_is_commutative_associative_and_idempotent(a: Standing, b: Standing, c: Standing) -> None:
    assert merged(a, b) == merged(b, a)
    assert merged(a, merged(b, c)) == merged(merged(a, b), c)
    assert merged(a, a) == a and merged(a, b) in (a, b)


def table_of(assertions: list[Assertion]) -> Table:
    table = Table(Parameters())
    for assertion in assertions:
        table.merge(assertion, 0)
    return table


def test_table_does_not_depend_on_the_order_of_assertions() -> None:
    @given(st.lists(sample_assertions, max_size=8), st.randoms(use_true_random=False))
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    def check(assertions: list[Assertion], rng: Any) -> None:
        other = assertions + [c for c in assertions if rng.random() < 0.5]
        rng.shuffle(other)
        one, two = table_of(assertions), table_of(other)
        assert (one.digests, one.member("n")) == (two.digests, two.member("n"))
        third = table_of([c for record in one.records.values() for c in assertions_for(record, 0)])
        assert third.digests == one.digests  # the assertions of a table are enough to rebuild it

    check()


def test_state_tables_have_a_row_for_every_case() -> None:
    assert all(set(row) == set(State) for row in OVERRIDES.values()) and set(OVERRIDES) == set(State)
    assert all(set(row) == set(State) for row in MEMBER_EVENTS.values()) and set(MEMBER_EVENTS) == {
        *State,
        None,
    }


@given(st.lists(st.tuples(st.integers(1, 3), st.booleans(), st.integers(0, 9), state_values), max_size=8))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_assertions_about_the_local_member_are_refuted_and_its_incarnation_never_decreases(
    reports: list[tuple[int, bool, int, State]],
) -> None:
    peer = Peer("a", 5)
    single = SingleMember(peer)
    identity, birth = single.machine.identity, single.machine.local.birth
    for gen, mine, inc, state in reports:
        before, about = (
            (identity.gen, identity.inc),
            About("r", "elsewhere", "", (1,)) if state is ALIVE else None,
        )
        assertion = Assertion("me", gen, birth if mine else 7, inc, state, about=about)
        single.receive(peer, Rumour(), assertion)
        assert (identity.gen, identity.inc) >= before
        record = single.machine.local.table.records["me"]
        if single.machine.phase is Phase.ACTIVE:
            assert record.standing == identity.standing and single.machine.is_up("me")
        else:
            assert (record.standing.birth, single.machine.phase) == (7, Phase.NAME_DISPUTED)


# --- Suspicion --------------------------------------------------------------------------------------------
def test_suspicion_timeout_shrinks_with_confirmations_and_grows_with_members() -> None:
    parameters = Parameters(alpha=3, beta=6, confirmations=3, probe_us=S)
    times = [timeout_us(parameters, 10, confirmed) for confirmed in range(5)]
    assert times == [18 * S, 10_500_000, pytest.approx(6_113_000, abs=1_000), 3 * S, 3 * S]
    assert timeout_us(parameters, 1000, 0) == 2 * times[0] and timeout_us(parameters, 1000, 3) == 2 * times[3]
    assert timeout_us(Parameters(lifeguard=False), 10, 0) == 3 * S  # plain SWIM: no longer time for the first


def test_refutation_ends_a_suspicion() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    single = SingleMember(a, b)
    assert of_type(single.receive(a, Rumour(), b.assertion(1, SUSPECT, "a")), Suspected)
    assert single.machine.is_up("b") and single.state("b") is SUSPECT
    assert of_type(single.receive(a, Rumour(), b.assertion(2)), Changed) and single.state("b") is ALIVE
    assert not of_type(single.wait(120 * S), Died, Suspected)


def with_unresponsive_b(*answers: str) -> tuple[SingleMember, Peer]:
    """Run a member whose peer b does not answer.

    The named peers send acks as helpers, other helpers nacks. An unknown sender acknowledges each ping to b.
    """
    peers = [Peer(name, k + 5, answers=name != "b") for k, name in enumerate("abcd")]
    single, stranger = SingleMember(*peers), Peer("s", 99)
    for _ in range(60):
        single.wait(100_000)
        for ping in [x.message for x in peers[1].received if isinstance(x.message, Ping)]:
            single.receive(stranger, Ack(ping.number))
        for peer in peers:
            for envelope in peer.received:
                if isinstance(envelope.message, Relay) and peer.name in answers:
                    single.receive(peer, Ack(envelope.message.number))
                elif isinstance(envelope.message, Relay):
                    single.receive(peer, Nack(envelope.message.number))
            peer.received.clear()
    return single, peers[1]


def test_only_a_member_that_no_helper_reaches_is_suspected() -> None:
    assert not of_type(with_unresponsive_b("c")[0].events, Suspected)
    single, b = with_unresponsive_b()
    assert [x.member.name for x in of_type(single.events, Suspected)] == ["b"]
    assert single.machine.health == 0  # helpers sent nacks, so the local member is not at fault
    assert [x.member.name for x in of_type(single.wait(60 * S), Died)] == ["b"] and not single.machine.is_up(
        "b"
    )


def test_missing_nacks_raise_the_health_score_and_slow_probing() -> None:
    single = SingleMember(*(Peer(name, k + 5, answers=False) for k, name in enumerate("abcd")))
    single.wait(3 * S)
    assert single.machine.health >= 2
    for peer in single.peers.values():
        peer.received.clear()
    single.wait(8 * S)
    asked = {
        x.message.number for p in single.peers.values() for x in p.received if isinstance(x.message, Ping)
    }
    assert len(asked) <= 4  # 8 if it were healthy
    health = Health(True)
    health.adjust(3)
    assert health.scale(10) == 40 and Health(False).scale(10) == 10
    health.adjust(100)
    assert health.score == 8


def test_helper_pings_sends_a_nack_and_forwards_an_ack() -> None:
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    single = SingleMember(a, b)
    single.receive(a, Relay(77, "b", 6, "b"))
    ping = [x.message for x in b.received if isinstance(x.message, Ping)][-1]
    single.wait(400_000)
    assert Nack(77) in [x.message for x in a.received]
    single.receive(b, Ack(ping.number))
    assert 77 in acks(a.received)


@pytest.mark.parametrize("calls", [2, 0])
def test_suspect_is_pinged_before_it_is_declared_dead(calls: int) -> None:
    """Without final pings, a member that missed a refutation declares a running member dead.

    Here b is running and has refuted a suspicion that others reported. All pings before the last second of
    its timeout are lost.
    """
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    single = SingleMember(a, b, calls=calls, probe_us=10 * S, timeout_us=5 * S)
    for by in "acde":
        single.receive(a, Rumour(), b.assertion(1, SUSPECT, by))
    single.wait(29 * S)
    b.received.clear()
    for _ in range(10):
        single.wait(100_000)
        for envelope in b.received[:1]:
            assert isinstance(envelope.message, Ping) and envelope.assertions[0].state == SUSPECT
            single.receive(b, Ack(envelope.message.number), b.assertion(2))
            b.answers = True
    single.wait(5 * S)
    assert single.machine.is_up("b") is (calls > 0)


def test_each_member_confirms_a_suspicion_once() -> None:
    suspicions, standing = Suspicions(Parameters(calls=0)), Standing(1, 5, 1, SUSPECT)
    assert suspicions.suspect("n", standing, "a", 10, 0) and suspicions.due_us == 18 * S
    assert not suspicions.suspect("n", standing, "a", 10, 0) and suspicions.due_us == 18 * S
    assert suspicions.suspect("n", standing, "b", 10, 0) and suspicions.due_us == 10_500_000
    assert (
        suspicions.suspect("n", standing, "b", 10, 0, expired_elsewhere=True) and suspicions.due_us == 3 * S
    )
    assert suspicions.take_due(3 * S) == [("n", standing, True)] and suspicions.due_us == -1


def test_ping_with_an_outdated_suspicion_is_answered_with_the_refutation() -> None:
    a = Peer("a", 5)
    single = SingleMember(a)
    old = Assertion("me", 1, single.machine.local.birth, 1, SUSPECT, by="a")
    single.receive(a, Rumour(), old)
    single.wait(60 * S)
    assert len(single.machine.local.dissemination) == 0  # the refutation was sent its number of times
    single.receive(a, Ping(1), old)
    assert [c.inc for c in a.received[-1].assertions if c.name == "me"] == [2] and acks(a.received[-1:]) == [
        1
    ]


def test_stalled_process_suspects_no_member() -> None:
    peers = [Peer(name, k + 5) for k, name in enumerate("abc")]
    single = SingleMember(*peers)
    single.receive(peers[0], Rumour(), peers[1].assertion(1, SUSPECT, "a"))
    for peer in peers:
        peer.answers = False
        peer.received.clear()
    while not any(isinstance(x.message, Ping) for peer in peers for x in peer.received):
        single.wait(10_000)
    single.now += 300 * S
    events = single.handle(TimerFired())  # the timer fires before the waiting answers are read
    assert not of_type(events, Suspected, Died) and [
        x for x in of_type(events, LogLine) if "stood still" in x.text
    ]
    for peer in peers:
        peer.answers = True
    assert not of_type(single.wait(2 * S), Died, Suspected) and single.machine.stalled_us > 299 * S


# --- Untrusted input ----------------------------------------------------------------------------------------
def test_replayed_message_does_not_revive_an_expired_member() -> None:
    a, c = Peer("a", 5), Peer("c", 7)
    single = SingleMember(a, forget_us=10 * S)
    kept = a.sealed_message(single.machine.local.birth, Rumour(), c.assertion())
    single.handle(MessageReceived("a", kept))
    assert single.machine.is_up("c")
    single.receive(a, Rumour(), c.assertion(1, DEAD, "a"))
    single.wait(100 * S)
    assert single.machine.member("c") is None  # dead and expired
    single.handle(MessageReceived("a", kept))
    assert single.machine.member("c") is None and single.machine.drop_counts["replayed"] == 1
    new = SingleMember(a, seed=2)
    new.handle(MessageReceived("a", kept))  # another process than the one it was sent to
    assert not new.machine.is_up("c")


def test_replay_window() -> None:
    window = ReplayWindow()
    assert [window.accept(n) for n in (5, 7, 6, 5, 7, 2_000, 1_999, 1_999, 2_000 - WINDOW_SIZE)] == [
        True, True, True, False, False, True, True, False, False,
    ]  # fmt: skip


def test_message_that_does_not_verify_changes_nothing() -> None:
    a = Peer("a", 5)
    single = SingleMember(a)
    good = a.sealed_message(
        single.machine.local.birth,
        Rumour(),
        Assertion("me", 1, single.machine.local.birth, 1, SUSPECT, by="a"),
    )

    def state() -> object:
        m = single.machine
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
        single.handle(MessageReceived("a", good[:k] + bytes([good[k] ^ 1]) + good[k + 1 :]))
        single.handle(MessageReceived("a", good[:k]))
        assert state() == before
    single.handle(MessageReceived("a", good))
    assert single.machine.identity.inc == 2 and state() != before


def test_unknown_senders_are_answered_but_not_trusted() -> None:
    stranger, single = Peer("s", 9), SingleMember(Peer("a", 5))
    single.peers["s"] = stranger
    single.receive(
        stranger, Ping(3), stranger.assertion(), Peer("t", 10).assertion(), Peer("a", 5).assertion(4, DEAD)
    )
    assert acks(stranger.received[:1]) == [3] and len(single.machine.members()) == 2
    single.receive(stranger, Push(9, 12345), stranger.assertion())  # a token that was never issued
    assert not single.machine.is_up("s")


def test_invalid_or_misattributed_assertions_are_not_trusted() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    single = SingleMember(a)
    single.peers["b"] = b
    single.receive(a, Rumour(), Assertion("a\nb", 1, 9, 1, SUSPECT), Assertion("x", 1, 9, 1, ALIVE))
    assert len(single.machine.local.table.records) == 2 and single.machine.drop_counts["unsound"] == 2
    single.receive(
        b, Push(9, [x.message for x in a.received if isinstance(x.message, Welcome)][-1].token), b.assertion()
    )
    assert not single.machine.is_up("b")  # with a token issued to another member
    single.wait(40 * S)
    number = [x.message for x in a.received if isinstance(x.message, Hello)][-1].number
    single.receive(a, Welcome(number, 1, bytes(256)))
    single.receive(b, Page(number), b.assertion())
    assert not single.machine.is_up("b")  # in an answer that another member owes
    mine = Peer("a", single.machine.local.birth)
    single.receive(mine, Ping(1))
    assert single.machine.drop_counts["own"] == 1 and 1 not in acks(a.received)


def test_restarted_process_is_accepted_from_its_first_message() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    a.seq = 10**6
    single = SingleMember(a, b)
    single.receive(a, Ping(0))
    new = Peer("a", 7)
    single.peers["a"] = new
    single.receive(b, Rumour(), Assertion("a", 2, 7, 1, ALIVE, about=About("forwarder", "a", "", (1,))))
    single.receive(new, Ping(1))
    assert single.machine.member("a") == single.machine.local.table.member("a") and acks(
        new.received[-1:]
    ) == [1]
    single.receive(a, Ping(2), b.assertion(5, DEAD))  # the earlier process is an unknown sender now
    assert single.state("b") is ALIVE


def test_tables_are_compared_at_once_with_a_member_that_was_declared_dead() -> None:
    a, b = Peer("a", 5), Peer("b", 6, answers=False)
    single = SingleMember(a, b)
    single.wait(60 * S)
    assert single.state("b") is DEAD
    b.received.clear()
    single.receive(b, Ping(1), b.assertion(2))
    assert [type(x.message) for x in b.received] == [Ack, Hello] and single.machine.is_up("b")


def test_only_an_ack_of_the_holder_or_a_member_shows_that_the_name_is_taken() -> None:
    a = Peer("a", 5)
    single = SingleMember(a)
    other = Assertion("me", 2, 77, 1, ALIVE, about=About("forwarder", "there", "", (1,)))
    single.receive(a, Rumour(), other)
    for number in range(50):
        single.receive(Peer("s", 99), Ack(number))
    assert single.machine.phase is Phase.NAME_DISPUTED and not single.wait(
        60 * S
    )  # a is up, so a missing answer proves nothing
    relays = [x.message.number for x in a.received if isinstance(x.message, Relay)]
    single.receive(a, Ack(relays[-1]))
    assert [type(x) for x in single.events[-2:]] == [
        LogLine,
        DuplicateIdentity,
    ] and single.machine.phase.value == "taken"


def test_rate_limit_of_one_sender_does_not_affect_others() -> None:
    a, b = Peer("a", 5), Peer("b", 6)
    single = SingleMember(a, b)
    a.received.clear()
    for number in range(500):
        single.receive(a, Ping(number))
    answered = len(acks(a.received))
    assert answered <= 100 and single.machine.drop_counts["sender"] == 500 - answered
    single.receive(b, Ping(1))
    assert 1 in acks(b.received)


def test_total_rate_relays_and_table_comparisons_are_limited() -> None:
    peers = [Peer(f"p{k}", 10 + k) for k in range(30)]
    single = SingleMember(*peers, in_all=200)
    single.wait(10 * S)
    for number in range(600):
        single.receive(peers[number % 30], Nack(number))
    assert single.machine.drop_counts["in_all"] == 200
    single = SingleMember(peers[0], in_all=10**6, per_sender=10**6)
    for number in range(300):
        single.receive(peers[0], Relay(number, "x", 99, "x"))
        single.handle(
            MessageReceived("p0", peers[0].sealed_message(0, Hello(number, "p0")), Transport.STREAM)
        )
    assert (
        single.machine.drop_counts["relays"] == 300 - 256 and single.machine.drop_counts["syncs"] == 300 - 99
    )


def test_refusals_of_unknown_versions_are_rate_limited() -> None:
    single = SingleMember()
    frames = [
        single.machine.handle(single.now, MessageReceived("x", b"GW\x09\x10" + bytes(30))) for _ in range(50)
    ]
    answers = [x for out in frames for x in out if isinstance(x, SendMessage)]
    assert 1 <= len(answers) <= 2 and single.machine.drop_counts["version"] == 50


# --- Bounds -------------------------------------------------------------------------------------------------
def test_memory_is_bounded() -> None:
    a = Peer("a", 5)
    single = SingleMember(a, most=50, per_sender=10**6, in_all=10**6)
    for k in range(400):
        single.receive(a, Rumour(), *(Peer(f"n{k}-{j}", 100 + k).assertion(1, State(j)) for j in range(4)))
        single.now += 1_000
    table = single.machine.local.table
    assert len(table.up) <= 50 and len(table.records) <= 101 and single.machine.drop_counts["full"] > 300
    assert len(single.machine.local.dissemination) <= 100 and len(table.dead) <= 50


def test_each_assertion_is_sent_a_bounded_number_of_times_newest_first() -> None:
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


def test_dead_members_expire_although_they_are_gossiped() -> None:
    parameters = Parameters(forget_us=60 * S)
    tables = [Table(parameters) for _ in range(3)]
    tables[0].merge(Assertion("n", 1, 5, 1, DEAD, by="x"), 0)
    for second in range(0, 150, 5):
        for k, table in enumerate(tables[: second // 20 + 1]):  # each receives the assertion later
            for assertion in list(tables[k - 1].assertions((1 << 32) - 1, second * S)):
                table.merge(assertion, second * S)
            table.expire(second * S)
        assert second != 45 or all(table.records for table in tables)
    assert not any(table.records for table in tables)


def test_full_table_revives_no_member_and_expired_deaths_are_not_added() -> None:
    table, peers = Table(Parameters(most=2, forget_us=60 * S)), [Peer(f"n{k}", 5 + k) for k in range(3)]
    for assertion in (
        peers[0].assertion(),
        peers[0].assertion(1, DEAD),
        peers[1].assertion(),
        peers[2].assertion(),
    ):
        assert table.merge(assertion, 0) is not None
    assert table.merge(peers[0].assertion(2), 0) is None and table.refused == 1 and len(table.up) == 2
    assert table.merge(Assertion("old", 1, 9, 1, DEAD, age_s=60), 0) is None and "old" not in table.records


def test_invalid_settings_are_named() -> None:
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
        SingleMember().handle(UpdatePayload(bytes(200)))


# --- Many, in virtual time --------------------------------------------------------------------------------
def joined_cluster(count: int, **parameters: Any) -> tuple[Cluster, list[tuple[str, object]]]:
    """Return a cluster whose members see each other, and a list of their effects from now on."""
    cluster, events = (
        Site(7, count, parameters=Parameters(**parameters)).cluster(),
        list[tuple[str, object]](),
    )
    watch = Watch()
    cluster.watches += [watch.watch, lambda c, node, event, effects: events.extend(
        (node.id, x) for x in effects if not isinstance(x, SendMessage)
    )]  # fmt: skip
    cluster.run(10 * S)
    assert agreed(cluster) is None and cluster.broken is None
    events.clear()
    return cluster, events


def events_of_type(events: list[tuple[str, object]], *types: type) -> Iterator[Any]:
    return (effect for _, effect in events if isinstance(effect, types))


def birth(node: Node) -> int:
    machine = member_of(node)
    assert machine is not None
    return machine.local.birth


def phase(node: Node) -> Phase:
    machine = member_of(node)
    assert machine is not None
    return machine.phase


def test_restart_is_reported_as_a_death_and_a_join() -> None:
    cluster, events = joined_cluster(6)
    node = cluster.nodes["m0004"]
    former = birth(node)
    cluster.kill(node)
    cluster.start(node)
    cluster.run(cluster.now_us + 4 * S)
    assert agreed(cluster) is None and birth(node) != former
    others = [(who, x) for who, x in events if who != "m0004" and isinstance(x, Died | Joined)]
    wanted = [("Died", former), ("Joined", birth(node))]
    for k in (0, 1, 2, 3, 5):
        assert [(type(x).__name__, x.member.birth) for who, x in others if who == f"m000{k}"] == wanted


def test_duplicate_waits_until_the_name_is_free_and_both_report_it() -> None:
    cluster, events = joined_cluster(5)
    holder = cluster.nodes["m0003"]

    def make(boot: Any) -> list[Membership]:
        config = Config(
            "m0003", "elsewhere", KEYS, seeds=("m0000", "m0001"), parameters=Parameters(helpers=0)
        )
        return [Membership(config, boot.rng)]

    duplicate = cluster.add(Spec("twin", "elsewhere", make))
    cut = Cut((("elsewhere",), ("m0003",)))
    cluster.links.cut(cut)
    cluster.start(duplicate)
    cluster.run(cluster.now_us + 30 * S)
    assert phase(duplicate) is Phase.NAME_DISPUTED  # it cannot reach the holder, which proves nothing
    cluster.links.heal(cut)
    cluster.run(cluster.now_us + 60 * S)
    assert phase(duplicate) is Phase.NAME_TAKEN and agreed(cluster) is None
    duplicates = [(who, x.owns_name) for who, x in events if isinstance(x, DuplicateIdentity)]
    assert sorted(duplicates) == [("m0003", True), ("twin", False)]
    assert not [x for who, x in events if who != "twin" and isinstance(x, Died | Joined | Suspected)]
    cluster.kill(holder)
    cluster.run(cluster.now_us + 60 * S)
    assert phase(duplicate) is Phase.ACTIVE and agreed(cluster) is None
    cluster.start(holder)  # restarts, and is the newer process now
    cluster.run(cluster.now_us + 30 * S)
    assert phase(holder) is Phase.NAME_TAKEN and agreed(cluster) is None


def test_healed_partition_causes_no_deaths() -> None:
    cluster, events = joined_cluster(12)
    names = list(cluster.nodes)
    cut = Cut((tuple(names[:6]), tuple(names[6:])))
    cluster.links.cut(cut)
    cluster.run(cluster.now_us + 60 * S)
    assert len(list(events_of_type(events, Died))) == 72  # 6 members report 6 deaths in each half
    cluster.links.heal(cut)
    events.clear()
    cluster.run(cluster.now_us + 40 * S)
    assert (
        agreed(cluster) is None
        and not list(events_of_type(events, Died))
        and len(list(events_of_type(events, Joined))) == 72
    )


def test_leaving_member_is_not_suspected() -> None:
    cluster, events = joined_cluster(8)
    node = cluster.nodes["m0005"]
    cluster.tell(node, Leave())
    cluster.run(cluster.now_us + 3 * S)
    assert [x.phase for x in events_of_type(events, PhaseChanged)] == [Phase.LEAVING, Phase.STOPPED]
    cluster.kill(node)
    cluster.run(cluster.now_us + 60 * S)
    assert (
        len(list(events_of_type(events, Left))) == 7
        and not list(events_of_type(events, Died, Suspected))
        and agreed(cluster) is None
    )


def test_description_of_a_member_reaches_all() -> None:
    cluster, events = joined_cluster(8)
    cluster.tell(cluster.nodes["m0002"], UpdatePayload(b"load 7"))
    cluster.run(cluster.now_us + 5 * S)
    assert {x.member.about.payload for x in events_of_type(events, Changed)} == {b"load 7"}
    seen = member_of(cluster.nodes["m0006"])
    assert seen is not None and len(list(events_of_type(events, Changed))) == 7
    assert (
        [m.name for m in seen.members("forwarder") if m.about.payload]
        == ["m0002"]
        == [m.name for m in seen.members() if m.inc == 2]
    )


def test_under_loss_deaths_are_detected_without_false_deaths() -> None:
    found: dict[str, Any] = measure(Plan("deaths", 25, 0.3, 20, deaths=2))
    assert (found["never"], found["deaths"]) == (0, 0) and found["all_s"]["worst"] < 60
    assert 0 < found["first_s"]["least"] <= found["first_s"]["median"]


def test_traffic_per_member_does_not_grow_with_the_members() -> None:
    few, lots = (measure(Plan("idle", count, 0.0, 30))["bytes_s"] for count in (10, 80))
    assert isinstance(few, dict) and isinstance(lots, dict)
    assert lots["median"] < 1.3 * few["median"]


@pytest.mark.parametrize("seed", range(400, 406))
def test_members_agree_after_chaos(seed: int) -> None:
    outcome = SUBJECT.play(Case(seed, 0.9))
    assert outcome.broken is None, outcome.broken
    assert seed > 400 or SUBJECT.play(Case(seed, 0.9)).digest == outcome.digest


def test_command_line_measures(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["lab", "membership", "restart", "--members", "4", "--seconds", "5", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["found"]["back_s"]["count"] == 4
    assert run(["lab", "membership", "idle", "--set", "alpha=99"]) == 2
    assert "alpha: found 99" in capsys.readouterr().err


# --- Planted defects --------------------------------------------------------------------------------------
CATCHES: dict[str, Callable[[], None]] = {
    "refutation-ignored": test_refutation_ends_a_suspicion,
    "inc-ge": test_table_does_not_depend_on_the_order_of_assertions,
    "timeout-unscaled": test_suspicion_timeout_shrinks_with_confirmations_and_grows_with_members,
    "former-self": test_restart_is_reported_as_a_death_and_a_join,
    "gossip-unbounded": test_each_assertion_is_sent_a_bounded_number_of_times_newest_first,
    "replay-heard": test_replayed_message_does_not_revive_an_expired_member,
    "hearsay-kills": test_healed_partition_causes_no_deaths,
    "stall-unseen": test_stalled_process_suspects_no_member,
    "twin-unasked": test_duplicate_waits_until_the_name_is_free_and_both_report_it,
    "ages-lost": test_dead_members_expire_although_they_are_gossiped,
}


@pytest.mark.parametrize("name", PLANTS)
def test_each_planted_defect_is_caught(name: str) -> None:
    with planted(name), pytest.raises(AssertionError):
        CATCHES[name]()
