"""Counts: merges that keep no order, bounds that hold the truth, memory and letters that are bounded."""

from __future__ import annotations

import json
from itertools import permutations
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab.cluster.counts import FIGURES, KEYS, play
from granitewell.lab.cluster.counts_plants import PLANTS, planted
from granitewell.lab.cluster.days import Case
from granitewell.lab.judge.counts import NEVER, CountsJudge, Told
from granitewell.protocols.peers.counts import CODEC, Ask, Slice, Slot, Word
from granitewell.protocols.peers.frames import MAX_DATAGRAM_BYTES, Frame, Key, Keys, Kind, open_, seal
from granitewell.shared_counters.local_counts import CANDIDATES, Own
from granitewell.shared_counters.remote_counts import Life
from granitewell.shared_counters.state_machine import WORDS, Counts
from granitewell.shared_counters.types import OTHERS, Figures, Peer, Peers, Rekey, Took
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired
from granitewell.status import shared_counts

S = 1_000_000


def node(
    name: str, now: int = 0, figures: Figures = FIGURES, others: tuple[str, ...] = ("a", "b", "c")
) -> Counts:
    made = Counts(name, 1, 100 + ord(name[0]) + now, KEYS, figures, Random(name), now)
    made.handle(now, Peers({n: Peer(n, True) for n in others}))
    return made


def said(effects: list[object], to: str = "") -> list[SendMessage]:
    return [e for e in effects if isinstance(e, SendMessage) and to in ("", e.to)]


def exchange(now: int, asks: Counts, answers: Counts, lose: tuple[int, ...] = ()) -> int:
    """Asks wakes, and its question to answers is answered; how many letters came back."""
    back = 0
    for say in said(asks.handle(now, TimerFired()), answers.name):
        for k, word in enumerate(said(answers.handle(now, MessageReceived(asks.name, say.data)))):
            back += 1
            if k not in lose:
                asks.handle(now, MessageReceived(answers.name, word.data))
    return back


# --- Days in virtual time -------------------------------------------------------------------------------
def test_days_of_chaos_keep_every_figure_round_the_truth_and_have_one_digest() -> None:
    days = [play(Case(seed, 0.6)) for seed in range(1, 13)]
    assert not any(day.broken for day in days), [d.broken for d in days if d.broken]
    assert all(day.figures["looks"] for day in days) and any(day.done for day in days)
    assert play(Case(3, 0.6)).digest == days[2].digest


@pytest.mark.parametrize(
    ("plant", "seed", "severity"),
    [("merge-adds", 1, 0.5), ("silent-forgotten", 1, 0.5), ("life-kept", 2, 0.5), ("dated-heard", 0, 0.5),
     ("edge-in", 0, 0.5), ("copy-now", 0, 0.5), ("before-empty", 0, 0.5), ("others-dropped", 0, 0.5),],
)  # fmt: skip
def test_a_planted_defect_breaks_a_day(plant: str, seed: int, severity: float) -> None:
    seeds = (seed,) if seed else range(1, 25)
    assert any(play(Case(s, severity, plant=plant)).broken for s in seeds)


def test_what_was_lost_between_two_words_is_not_known() -> None:
    life = Life(1, 9, 10, 0)
    for first, upto in ((0, 1), (4, 6)):
        life.merge(Word(1, 1, 9, 10 * upto + 5, 10, first, upto, "", 0, 0, 0, 0, True))
    assert life.upto == 1 and life.known_us == 15


@pytest.mark.parametrize("plant", ["slot-trusted", "gap-skipped"])
def test_a_defect_that_only_lost_letters_show_is_caught(plant: str) -> None:
    caught = {
        "slot-trusted": test_a_lost_letter_of_several_is_asked_for_again_and_hides_nothing_meanwhile,
        "gap-skipped": test_what_was_lost_between_two_words_is_not_known,
    }
    assert plant in PLANTS
    with planted(plant), pytest.raises(AssertionError):
        caught[plant]()


# --- Merging --------------------------------------------------------------------------------------------
slices = st.lists(
    st.tuples(st.integers(0, 5), st.dictionaries(st.integers(0, 3), st.integers(1, 9), max_size=3)),
    max_size=4, unique_by=lambda x: x[0],
)  # fmt: skip


@st.composite
def words(draw: Any) -> list[Word]:
    """What one process may truly have said of itself: each word a later state, told from anywhere."""
    cells: dict[int, dict[int, int]] = {}
    made = []
    up = 0
    for grown in draw(st.lists(slices, min_size=1, max_size=4)):
        up += draw(st.integers(0, 2))
        for index, cell in grown:
            if index >= up:  # a slice that is over never changes
                for slot, count in cell.items():
                    cells.setdefault(up, {})[slot] = cells.get(up, {}).get(slot, 0) + count
        first = draw(st.integers(0, up))
        told = [
            Slice(i, [x for p in sorted(c.items()) for x in p])
            for i, c in sorted(cells.items())
            if i >= first
        ]
        made.append(Word(1, 1, 9, up * 10 + 5, 10, first, up, "", 0, 0, 0, 0, True, [], told))
    return made


def state(order: list[Word]) -> tuple[Any, ...]:
    life = Life(1, 9, 10, 0)
    for word in order:
        life.merge(word)
    return {i: dict(c) for i, c in life.cells.items()}, life.slots


@settings(max_examples=60, deadline=None)
@given(words())
def test_merges_are_commutative_associative_and_idempotent(said: list[Word]) -> None:
    wanted = state(said)
    for order in permutations(said):
        assert state(list(order)) == wanted
        assert state([*order, *order]) == wanted


@settings(max_examples=60, deadline=None)
@given(words(), st.randoms(use_true_random=False))
def test_merges_are_monotone_and_what_is_whole_is_whole(said: list[Word], rng: Any) -> None:
    life, last = Life(1, 9, 10, 0), (0, 0)
    truth = {s.index: sum(s.used[1::2]) for w in said for s in w.slices}
    for word in rng.choices(said, k=12):
        life.merge(word)
        now = life.upto, sum(sum(c.values()) for c in life.cells.values())
        assert now[0] >= last[0] and now[1] >= last[1]
        last = now
        if life.first >= 0:
            for index in range(life.first, life.upto):
                assert sum(life.cells.get(index, {}).values()) == truth.get(index, 0)


# --- Letters --------------------------------------------------------------------------------------------
def test_who_knows_nothing_learns_a_whole_window_and_then_only_what_is_new() -> None:
    figures = Figures(window_us=8 * S, width_us=250_000, keys=40)
    a, b = node("a", figures=figures), node("b", 10 * S, figures)
    now = 3 * S
    for k in range(4_000):
        now += 2_000
        a.handle(now, Took(f"a-rather-long-name-of-a-tenant-{k % 50}"))
    came = exchange(now, b, a)
    assert 1 < came <= WORDS and all(
        len(x.data) <= MAX_DATAGRAM_BYTES for x in said(a.handle(now, TimerFired()))
    )
    for _ in range(12):
        now += 250_000
        exchange(now, b, a)
    life = b.nodes["a"].last
    assert life is not None and life.upto == a.own.now_index and life.slots_known == a.own.version
    theirs = {i: dict(c) for i, c in life.cells.items() if i >= a.own.oldest}
    assert theirs == {i: c for i, c in a.own.cells.items() if i >= a.own.oldest}
    before = a.counts["said_bytes"]
    now += 250_000
    assert exchange(now, b, a) == 1 and a.counts["said_bytes"] - before < 400


def test_a_lost_letter_of_several_is_asked_for_again_and_hides_nothing_meanwhile() -> None:
    """The first letter tells of slots that the last one's slices are in.

    Until it is told again their use may be anybody's.
    """
    figures = Figures(window_us=8 * S, width_us=250_000, keys=40, floor_per_s=1.0, growth=1.0)
    a, b = node("a", 0, figures, ("b",)), node("b", 0, figures, ("a",))
    now = 20 * S
    for k in range(3_000):
        now += 1_000
        a.handle(now, Took(f"a-rather-long-name-of-a-tenant-{k % 40}"))
    now += 250_000
    assert exchange(now, b, a, lose=(0,)) > 2
    key, true = "a-rather-long-name-of-a-tenant-0", 75
    life = b.nodes["a"].last
    assert life is not None and life.slots_known == 0
    figure = b.figure(now, key)
    assert figure.low <= true <= figure.high
    for _ in range(4):
        now += 250_000
        exchange(now, b, a)
    figure = b.figure(now, key)
    assert life.slots_known == a.own.version and figure.low <= true <= figure.high <= true + 40


def test_a_node_that_begins_again_learns_from_others_what_its_name_has_used() -> None:
    a, b = node("a", 0, others=("b",)), node("b", 0, others=("a",))
    now = S
    for _ in range(100):
        now += 20_000
        a.handle(now, Took("k"))
        if not _ % 10:
            exchange(now, b, a)
    again = Counts("a", 2, 7, KEYS, FIGURES, Random(1), now)
    again.handle(now, Peers({"b": Peer("b", True)}))
    wide = again.figure(now, "k")
    for _ in range(20):
        now += 250_000
        exchange(now, again, b)
        exchange(now, b, again)
    figure = again.figure(now, "k")
    assert wide.low == 0 and wide.high >= 100 and 80 <= figure.low <= 100 <= figure.high < wide.high
    assert b.figure(now, "k").low <= 100 <= b.figure(now, "k").high


def test_one_that_only_another_hears_is_asked_of_that_other() -> None:
    a, b, c = (node(n) for n in "abc")
    now = S
    for k in range(160):
        now += 25_000
        a.handle(now, Took("k"))
        if k % 8 == 0:
            exchange(now, b, a)  # c hears nothing of a
            exchange(now, c, b)
    part = next(p for p in c.figure(now, "k").parts if p.name == "a")
    assert 0 <= part.age_us < 2 * S and part.low >= 100


def test_who_is_gone_for_good_is_folded_away_and_no_ghost_of_it_returns() -> None:
    a, b = node("a", others=("b",)), node("b", others=("a",))
    a.handle(S, Took("k", 5))
    exchange(2 * S, b, a)
    ask = said(b.handle(3 * S, TimerFired()))[0]
    late = said(a.handle(3 * S, MessageReceived("b", ask.data)))[0]
    b.handle(4 * S, Peers({"a": Peer("a", False, True)}))
    assert b.figure(4 * S).low == 5
    b.handle(13 * S, Peers({"a": Peer("a", False, True)}))
    assert not b.nodes and b.figure(13 * S).high == 0
    b.handle(14 * S, Peers({}))
    b.handle(14 * S, MessageReceived("a", late.data))
    assert not b.nodes and b.figure(14 * S).high == 0


# --- Bounds ---------------------------------------------------------------------------------------------
def test_a_hundred_thousand_keys_that_come_once_cost_no_memory_and_push_nobody_out() -> None:
    figures = Figures(keys=16)
    own = Own(figures, 0)
    now = 0
    for k in range(100_000):
        now += 500
        own.took(now, f"once-{k}", 1)
        own.took(now, "hot", 1)
    assert [s.key for s in own.slots.values()] == ["hot"] and len(own._came) <= CANDIDATES * figures.keys
    assert sum(c.get(OTHERS, 0) for c in own.cells.values()) == 100_001  # the first of hot among them
    assert len(own.cells) <= figures.slices


@pytest.mark.parametrize("key", ["x" * 97, "\u00e9" * 49, "\U0001f695" * 96, ""])
def test_a_key_that_no_letter_can_name_counts_among_the_others_and_spoils_no_word(key: str) -> None:
    a, b = node("a", others=("b",)), node("b", others=("a",))
    for k in range(4):
        a.handle(S + k, Took(key))
        a.handle(S + k, Took("k"))
    exchange(2 * S, b, a)
    assert b.figure(2 * S).low == 8 and b.counts["dropped malformed"] == 0
    assert [s.key for s in a.own.slots.values()] == ["k"]


def test_counts_beyond_what_a_float_holds_are_exact() -> None:
    a, b = node("a", others=("b",)), node("b", others=("a",))
    for count in (1, (1 << 53) + 1):
        a.handle(S, Took("k", count))
    exchange(2 * S, b, a)
    assert b.figure(2 * S).low == (1 << 53) + 2


def test_a_node_with_many_requests_asks_as_often_as_one_with_none() -> None:
    a, now = node("a"), 0
    while now < 2 * S:
        now += 1_000
        a.handle(now, Took("k"))
        if a.wake_us <= now:
            a.handle(now, TimerFired())
    assert a.counts["ask said"] >= 3 * 7  # of each of three, every 250 ms


def test_what_is_said_stays_within_its_bytes() -> None:
    figures = Figures(window_us=8 * S, width_us=250_000, bytes_per_s=2_000)
    others = tuple(f"n{k}" for k in range(100))
    a = node("a", 0, figures, others)
    for now in range(0, 20 * S, 20_000):
        a.handle(now, TimerFired())
    assert a.counts["said_bytes"] <= 2_000 * 20 + 2_000 and a.counts["slowed"] > 0


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "short"), (b"x" * 99, "magic"), (seal(Kind.GOSSIP, b"", KEYS, "b"), "kind"),
        (seal(Kind.COUNT, b"", Keys(Key(b"q" * 20)), "b"), "key"),
        (seal(Kind.COUNT, b"\x80", KEYS, "b"), "malformed"),
        (seal(Kind.COUNT, CODEC.encode(Ask(1)), KEYS, "z"), "stranger"),
        (seal(Kind.COUNT, CODEC.encode(Word(1, 1, 9, 5, 10, 0, 0)), KEYS, "b"), "unasked"),
    ],
)  # fmt: skip
def test_what_is_no_letter_for_us_is_counted_and_changes_nothing(data: bytes, why: str) -> None:
    a = node("a")
    assert a.handle(S, MessageReceived("b", data)) == [] and a.counts[f"dropped {why}"] == 1
    assert not any(n.lives for n in a.nodes.values())


@pytest.mark.parametrize(
    "word",
    [
        Word(0, 1, 9, 5, 0, 0, 0), Word(0, 1, 9, 50, 10, 4, 3), Word(0, 1, 9, 50, 10, 0, 7),
        Word(0, 1, 9, 50, 10, 0, 3, slices=[Slice(4, [0, 1])]), Word(0, 1, 9, 50, 10, 0, 3, "", 9, 1),
        Word(0, 1, 9, 50, 10, 0, 3, "c"),
    ],
)  # fmt: skip
def test_an_answer_that_can_not_be_is_dropped(word: Word) -> None:
    from msgspec.structs import replace

    a = node("a", others=("b",))
    (ask,) = said(a.handle(S, TimerFired()), "b")[:1]
    frame = open_(ask.data, KEYS)
    assert isinstance(frame, Frame)
    asked = CODEC.decode(frame.body)
    assert isinstance(asked, Ask)
    body = CODEC.encode(replace(word, number=asked.number))
    a.handle(S, MessageReceived("b", seal(Kind.COUNT, body, KEYS, "b")))
    assert not a.nodes["b"].lives and sum(n for k, n in a.counts.items() if k.startswith("dropped")) == 1


@settings(max_examples=150, deadline=None)
@given(st.binary(max_size=200))
def test_bytes_from_a_holder_of_the_key_raise_nothing(body: bytes) -> None:
    a = node("a")
    a.handle(S, TimerFired())
    a.handle(S, MessageReceived("b", seal(Kind.COUNT, body, KEYS, "b")))


def test_other_keys_are_taken_up() -> None:
    a = node("a")
    other = Keys(Key(b"another key altogether"))
    a.handle(S, Rekey(other))
    assert isinstance(open_(said(a.handle(2 * S, TimerFired()))[0].data, other), Frame)


# --- The judge and the words -----------------------------------------------------------------------------
def test_the_judge_accuses_what_can_not_be_true_and_nothing_else() -> None:
    judge = CountsJudge(10 * S)
    for k in range(10):
        judge.asked(k * S, f"r{k}", "k")
        if k != 4:
            judge.answered(k * S + 1_000, f"r{k}")
    for low, high in ((9, 9), (10, 10), (0, 99), (9, 10), (11, 12), (0, 8)):
        judge.told(Told(9 * S + 500_000, "n", "k", low, high))
    report = judge.report()
    assert (report.figures, report.broken) == (6, 2) and not report.kept
    assert "k was 9 to 10, told 11 to 12" in report.texts[0] and "told 0 to 8" in report.texts[1]
    late = CountsJudge(10 * S)
    late.asked(0, "r", "k")
    late.told(Told(30 * S, "n", "", 1, 1))  # it may have been taken at any time since
    late.told(Told(30 * S, "n", "", 2, 2))
    assert late.report().broken == 1 and NEVER > 30 * S


def test_figures_in_words_and_as_metrics() -> None:
    view = {
        "version": 1, "name": "n1", "window_s": 10.0, "speaks": False, "cut": True,
        "letters": {"ask said": 2},
        "keys": [{"key": None, "low": 5, "high": 15, "unnamed": 4, "parts": [
            {"name": "n2\x1b", "low": 1, "high": 9, "age_s": None, "unheard": 8, "edge": 0, "others": 0}]},
            {"key": "gold", "low": 0, "high": 0, "unnamed": 0}],
    }  # fmt: skip
    lines, sheets = shared_counts.describe_counts(json.loads(json.dumps(view)))
    assert "n1: in the last 10 s" in lines and len(lines) == 3
    assert sheets[0].rows == [("all", "5", "15", "100.0%"), ("gold", "0", "0", "-")]
    assert (
        sheets[1].rows[0][3] == "never"
        and sheets[1].rows[1][0] == "nobody has named"
        and 0 in sheets[1].highlighted
    )
    assert "\x1b" not in str(sheets)
    assert 'granitewell_shared_count_high{tenant="all"} 15' in shared_counts.metrics_text(view)
    wrong: list[Any] = [None, [], {}, {"version": 2}, {"version": 1, "name": 3, "window_s": "x"}]
    for bad in wrong:
        with pytest.raises(ValueError, match="."):
            shared_counts.describe_counts(bad)


def test_slots_are_told_in_the_order_of_their_changes() -> None:
    own = Own(Figures(window_us=2 * S, width_us=250_000), 0)
    for key in ("a", "a", "b", "b"):
        own.took(S, key, 1)
    own.took(4 * S, "b", 1)
    assert [(s.key, s.ended >= 0) for s in own.slots_after(0)] == [("a", True), ("b", True)]
    assert own.slots_after(own.version) == [] and own.slots_after(3)[0] == Slot(2, "b", 4, 16, 4)
