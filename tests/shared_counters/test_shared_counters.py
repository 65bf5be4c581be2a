"""Shared counters: merges independent of order, correct bounds, and bounded memory and messages."""

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
from granitewell.lab.judge.counts import NEVER, CountReading, CountsJudge
from granitewell.protocols.peers.counts import CODEC, Ask, Slice, Slot, Word
from granitewell.protocols.peers.frames import MAX_DATAGRAM_BYTES, Frame, Key, Keys, Kind, open_, seal
from granitewell.shared_counters.local_counts import CANDIDATES_PER_SLOT, LocalCounts
from granitewell.shared_counters.remote_counts import RemoteProcess
from granitewell.shared_counters.state_machine import MAX_MESSAGES_PER_ANSWER, SharedCounters
from granitewell.shared_counters.types import (
    OVERFLOW_SLOT,
    CounterSettings,
    Peer,
    Peers,
    Rekey,
    UsageRecorded,
)
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired
from granitewell.status import shared_counts

S = 1_000_000


def make_node(
    name: str,
    now: int = 0,
    counter_settings: CounterSettings = FIGURES,
    others: tuple[str, ...] = ("a", "b", "c"),
) -> SharedCounters:
    made = SharedCounters(name, 1, 100 + ord(name[0]) + now, KEYS, counter_settings, Random(name), now)
    made.handle(now, Peers({n: Peer(n, True) for n in others}))
    return made


def sent(effects: list[object], to: str = "") -> list[SendMessage]:
    return [e for e in effects if isinstance(e, SendMessage) and to in ("", e.to)]


def exchange(
    now: int, requester: SharedCounters, responder: SharedCounters, lose: tuple[int, ...] = ()
) -> int:
    """Let one node poll another; return how many reports came back. Those numbered in `lose` are lost."""
    back = 0
    for say in sent(requester.handle(now, TimerFired()), responder.name):
        for k, report in enumerate(sent(responder.handle(now, MessageReceived(requester.name, say.data)))):
            back += 1
            if k not in lose:
                requester.handle(now, MessageReceived(responder.name, report.data))
    return back


# --- Simulated runs -------------------------------------------------------------------------------------
def test_simulated_faults_keep_all_bounds_correct_and_runs_are_deterministic() -> None:
    runs = [play(Case(seed, 0.6)) for seed in range(1, 13)]
    assert not any(run.broken for run in runs), [d.broken for d in runs if d.broken]
    assert all(run.figures["looks"] for run in runs) and any(run.done for run in runs)
    assert play(Case(3, 0.6)).digest == runs[2].digest


@pytest.mark.parametrize(
    ("plant", "seed", "severity"),
    [("merge-adds", 1, 0.5), ("silent-forgotten", 1, 0.5), ("life-kept", 2, 0.5), ("dated-heard", 0, 0.5),
     ("edge-in", 0, 0.5), ("copy-now", 0, 0.5), ("before-empty", 0, 0.5), ("others-dropped", 0, 0.5),],
)  # fmt: skip
def test_simulated_runs_detect_planted_defects(plant: str, seed: int, severity: float) -> None:
    seeds = (seed,) if seed else range(1, 25)
    assert any(play(Case(s, severity, plant=plant)).broken for s in seeds)


def test_slices_lost_between_two_reports_are_not_known() -> None:
    process = RemoteProcess(1, 9, 10, 0)
    for first, upto in ((0, 1), (4, 6)):
        process.merge(Word(1, 1, 9, 10 * upto + 5, 10, first, upto, "", 0, 0, 0, 0, True))
    assert process.upto == 1 and process.known_until_us == 15


@pytest.mark.parametrize("plant", ["slot-trusted", "gap-skipped"])
def test_defects_that_only_lost_messages_reveal_are_detected(plant: str) -> None:
    caught = {
        "slot-trusted": test_a_lost_message_is_requested_again_and_bounds_stay_correct_meanwhile,
        "gap-skipped": test_slices_lost_between_two_reports_are_not_known,
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
def reports(draw: Any) -> list[Word]:
    """Reports that one process can send about itself: each of a later state, from any first slice."""
    cells: dict[int, dict[int, int]] = {}
    made = []
    up = 0
    for grown in draw(st.lists(slices, min_size=1, max_size=4)):
        up += draw(st.integers(0, 2))
        for index, cell in grown:
            if index >= up:  # a completed slice never changes
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
    process = RemoteProcess(1, 9, 10, 0)
    for report in order:
        process.merge(report)
    return {i: dict(c) for i, c in process.counts_by_slice.items()}, process.slots


@settings(max_examples=60, deadline=None)
@given(reports())
def test_merges_are_commutative_associative_and_idempotent(sent: list[Word]) -> None:
    wanted = state(sent)
    for order in permutations(sent):
        assert state(list(order)) == wanted
        assert state([*order, *order]) == wanted


@settings(max_examples=60, deadline=None)
@given(reports(), st.randoms(use_true_random=False))
def test_merges_are_monotone_and_complete_slices_are_exact(sent: list[Word], rng: Any) -> None:
    process, last = RemoteProcess(1, 9, 10, 0), (0, 0)
    truth = {s.index: sum(s.used[1::2]) for w in sent for s in w.slices}
    for report in rng.choices(sent, k=12):
        process.merge(report)
        now = process.upto, sum(sum(c.values()) for c in process.counts_by_slice.values())
        assert now[0] >= last[0] and now[1] >= last[1]
        last = now
        if process.first >= 0:
            for index in range(process.first, process.upto):
                assert sum(process.counts_by_slice.get(index, {}).values()) == truth.get(index, 0)


# --- Messages -------------------------------------------------------------------------------------------
def test_a_new_node_receives_the_whole_window_and_then_only_changes() -> None:
    counter_settings = CounterSettings(window_us=8 * S, width_us=250_000, keys=40)
    a, b = make_node("a", counter_settings=counter_settings), make_node("b", 10 * S, counter_settings)
    now = 3 * S
    for k in range(4_000):
        now += 2_000
        a.handle(now, UsageRecorded(f"a-rather-long-name-of-a-tenant-{k % 50}"))
    received = exchange(now, b, a)
    assert 1 < received <= MAX_MESSAGES_PER_ANSWER and all(
        len(x.data) <= MAX_DATAGRAM_BYTES for x in sent(a.handle(now, TimerFired()))
    )
    for _ in range(12):
        now += 250_000
        exchange(now, b, a)
    process = b.nodes["a"].latest
    assert (
        process is not None
        and process.upto == a.local.current_slice
        and process.slots_version == a.local.version
    )
    theirs = {i: dict(c) for i, c in process.counts_by_slice.items() if i >= a.local.oldest_slice}
    assert theirs == {i: c for i, c in a.local.counts_by_slice.items() if i >= a.local.oldest_slice}
    before = a.message_counts["said_bytes"]
    now += 250_000
    assert exchange(now, b, a) == 1 and a.message_counts["said_bytes"] - before < 400


def test_a_lost_message_is_requested_again_and_bounds_stay_correct_meanwhile() -> None:
    """The lost first message contains slots that the slices of the later ones refer to.

    Until it is sent again, their usage may belong to any key.
    """
    counter_settings = CounterSettings(
        window_us=8 * S, width_us=250_000, keys=40, floor_per_s=1.0, growth=1.0
    )
    a, b = make_node("a", 0, counter_settings, ("b",)), make_node("b", 0, counter_settings, ("a",))
    now = 20 * S
    for k in range(3_000):
        now += 1_000
        a.handle(now, UsageRecorded(f"a-rather-long-name-of-a-tenant-{k % 40}"))
    now += 250_000
    assert exchange(now, b, a, lose=(0,)) > 2
    key, true = "a-rather-long-name-of-a-tenant-0", 75
    process = b.nodes["a"].latest
    assert process is not None and process.slots_version == 0
    bounds = b.bounds(now, key)
    assert bounds.low <= true <= bounds.high
    for _ in range(4):
        now += 250_000
        exchange(now, b, a)
    bounds = b.bounds(now, key)
    assert process.slots_version == a.local.version and bounds.low <= true <= bounds.high <= true + 40


def test_a_restarted_node_learns_the_usage_of_its_earlier_process() -> None:
    a, b = make_node("a", 0, others=("b",)), make_node("b", 0, others=("a",))
    now = S
    for _ in range(100):
        now += 20_000
        a.handle(now, UsageRecorded("k"))
        if not _ % 10:
            exchange(now, b, a)
    restarted = SharedCounters("a", 2, 7, KEYS, FIGURES, Random(1), now)
    restarted.handle(now, Peers({"b": Peer("b", True)}))
    wide = restarted.bounds(now, "k")
    for _ in range(20):
        now += 250_000
        exchange(now, restarted, b)
        exchange(now, b, restarted)
    bounds = restarted.bounds(now, "k")
    assert wide.low == 0 and wide.high >= 100 and 80 <= bounds.low <= 100 <= bounds.high < wide.high
    assert b.bounds(now, "k").low <= 100 <= b.bounds(now, "k").high


def test_usage_of_an_unreachable_node_is_learned_from_a_node_that_reaches_it() -> None:
    a, b, c = (make_node(n) for n in "abc")
    now = S
    for k in range(160):
        now += 25_000
        a.handle(now, UsageRecorded("k"))
        if k % 8 == 0:
            exchange(now, b, a)  # c receives nothing from a
            exchange(now, c, b)
    part = next(p for p in c.bounds(now, "k").parts if p.name == "a")
    assert 0 <= part.age_us < 2 * S and part.low >= 100


def test_a_node_that_has_left_is_removed_and_late_reports_do_not_restore_it() -> None:
    a, b = make_node("a", others=("b",)), make_node("b", others=("a",))
    a.handle(S, UsageRecorded("k", 5))
    exchange(2 * S, b, a)
    ask = sent(b.handle(3 * S, TimerFired()))[0]
    late = sent(a.handle(3 * S, MessageReceived("b", ask.data)))[0]
    b.handle(4 * S, Peers({"a": Peer("a", False, True)}))
    assert b.bounds(4 * S).low == 5
    b.handle(13 * S, Peers({"a": Peer("a", False, True)}))
    assert not b.nodes and b.bounds(13 * S).high == 0
    b.handle(14 * S, Peers({}))
    b.handle(14 * S, MessageReceived("a", late.data))
    assert not b.nodes and b.bounds(14 * S).high == 0


# --- Bounds ---------------------------------------------------------------------------------------------
def test_many_keys_used_once_need_no_memory_and_evict_no_key() -> None:
    counter_settings = CounterSettings(keys=16)
    local = LocalCounts(counter_settings, 0)
    now = 0
    for k in range(100_000):
        now += 500
        local.add(now, f"once-{k}", 1)
        local.add(now, "hot", 1)
    assert [s.key for s in local.slots.values()] == ["hot"] and len(
        local._seen_once
    ) <= CANDIDATES_PER_SLOT * counter_settings.keys
    assert (
        sum(c.get(OVERFLOW_SLOT, 0) for c in local.counts_by_slice.values()) == 100_001
    )  # including the first use of hot
    assert len(local.counts_by_slice) <= counter_settings.slices


@pytest.mark.parametrize("key", ["x" * 97, "\u00e9" * 49, "\U0001f695" * 96, ""])
def test_a_key_of_invalid_length_is_counted_in_the_overflow_slot(key: str) -> None:
    a, b = make_node("a", others=("b",)), make_node("b", others=("a",))
    for k in range(4):
        a.handle(S + k, UsageRecorded(key))
        a.handle(S + k, UsageRecorded("k"))
    exchange(2 * S, b, a)
    assert b.bounds(2 * S).low == 8 and b.message_counts["dropped malformed"] == 0
    assert [s.key for s in a.local.slots.values()] == ["k"]


def test_counts_beyond_the_precision_of_a_float_are_exact() -> None:
    a, b = make_node("a", others=("b",)), make_node("b", others=("a",))
    for count in (1, (1 << 53) + 1):
        a.handle(S, UsageRecorded("k", count))
    exchange(2 * S, b, a)
    assert b.bounds(2 * S).low == (1 << 53) + 2


def test_many_requests_do_not_delay_polling() -> None:
    a, now = make_node("a"), 0
    while now < 2 * S:
        now += 1_000
        a.handle(now, UsageRecorded("k"))
        if a.wake_us <= now:
            a.handle(now, TimerFired())
    assert a.message_counts["ask said"] >= 3 * 7  # three nodes, each every 250 ms


def test_sent_messages_stay_within_the_byte_rate() -> None:
    counter_settings = CounterSettings(window_us=8 * S, width_us=250_000, bytes_per_s=2_000)
    others = tuple(f"n{k}" for k in range(100))
    a = make_node("a", 0, counter_settings, others)
    for now in range(0, 20 * S, 20_000):
        a.handle(now, TimerFired())
    assert a.message_counts["said_bytes"] <= 2_000 * 20 + 2_000 and a.message_counts["slowed"] > 0


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
def test_invalid_messages_are_counted_and_change_nothing(data: bytes, why: str) -> None:
    a = make_node("a")
    assert a.handle(S, MessageReceived("b", data)) == [] and a.message_counts[f"dropped {why}"] == 1
    assert not any(n.processes for n in a.nodes.values())


@pytest.mark.parametrize(
    "report",
    [
        Word(0, 1, 9, 5, 0, 0, 0), Word(0, 1, 9, 50, 10, 4, 3), Word(0, 1, 9, 50, 10, 0, 7),
        Word(0, 1, 9, 50, 10, 0, 3, slices=[Slice(4, [0, 1])]), Word(0, 1, 9, 50, 10, 0, 3, "", 9, 1),
        Word(0, 1, 9, 50, 10, 0, 3, "c"),
    ],
)  # fmt: skip
def test_impossible_reports_are_dropped(report: Word) -> None:
    from msgspec.structs import replace

    a = make_node("a", others=("b",))
    (ask,) = sent(a.handle(S, TimerFired()), "b")[:1]
    frame = open_(ask.data, KEYS)
    assert isinstance(frame, Frame)
    asked = CODEC.decode(frame.body)
    assert isinstance(asked, Ask)
    body = CODEC.encode(replace(report, number=asked.number))
    a.handle(S, MessageReceived("b", seal(Kind.COUNT, body, KEYS, "b")))
    assert (
        not a.nodes["b"].processes
        and sum(n for k, n in a.message_counts.items() if k.startswith("dropped")) == 1
    )


@settings(max_examples=150, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_sealed_bytes_raise_no_error(body: bytes) -> None:
    a = make_node("a")
    a.handle(S, TimerFired())
    a.handle(S, MessageReceived("b", seal(Kind.COUNT, body, KEYS, "b")))


def test_new_keys_seal_later_messages() -> None:
    a = make_node("a")
    other = Keys(Key(b"another key altogether"))
    a.handle(S, Rekey(other))
    assert isinstance(open_(sent(a.handle(2 * S, TimerFired()))[0].data, other), Frame)


# --- The judge and the status page ------------------------------------------------------------------------
def test_the_judge_reports_exactly_the_impossible_bounds() -> None:
    judge = CountsJudge(10 * S)
    for k in range(10):
        judge.asked(k * S, f"r{k}", "k")
        if k != 4:
            judge.answered(k * S + 1_000, f"r{k}")
    for low, high in ((9, 9), (10, 10), (0, 99), (9, 10), (11, 12), (0, 8)):
        judge.add_reading(CountReading(9 * S + 500_000, "n", "k", low, high))
    report = judge.report()
    assert (report.figures, report.broken) == (6, 2) and not report.kept
    assert "k was 9 to 10, told 11 to 12" in report.texts[0] and "told 0 to 8" in report.texts[1]
    late = CountsJudge(10 * S)
    late.asked(0, "r", "k")
    late.add_reading(
        CountReading(30 * S, "n", "", 1, 1)
    )  # the request may have been counted at any time since
    late.add_reading(CountReading(30 * S, "n", "", 2, 2))
    assert late.report().broken == 1 and NEVER > 30 * S


def test_bounds_on_the_status_page_and_as_metrics() -> None:
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


def test_slots_are_listed_in_the_order_of_their_changes() -> None:
    local = LocalCounts(CounterSettings(window_us=2 * S, width_us=250_000), 0)
    for key in ("a", "a", "b", "b"):
        local.add(S, key, 1)
    local.add(4 * S, "b", 1)
    assert [(s.key, s.ended >= 0) for s in local.slots_after(0)] == [("a", True), ("b", True)]
    assert local.slots_after(local.version) == [] and local.slots_after(3)[0] == Slot(2, "b", 4, 16, 4)
