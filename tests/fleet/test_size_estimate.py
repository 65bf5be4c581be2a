"""How many nodes act: the two counts, each on its safe side, and what is written down of it."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.cluster.persisted_record import PersistedRecord, ProcessIdentity, decode, encode
from granitewell.cluster.size_estimate import (
    DECAY_TIME_CONSTANT_US,
    MAX_NAMES,
    ConfiguredCount,
    KnownNode,
    MembersObserved,
    NodeRemoved,
    Presence,
    SizeEstimate,
    SizeEstimator,
)
from granitewell.state_machine import LogLine, TimerFired

S = 1_000_000
HOUR = 3_600 * S
UP, SILENT, AWAY, OUT = Presence
NAMES = [f"n{k}" for k in range(8)]


def census(configured: int = 3, known: tuple[KnownNode, ...] = ()) -> SizeEstimator:
    made = SizeEstimator("me", configured, HOUR, known)
    made.handle(0, TimerFired())
    return made


def seen(**places: Presence) -> MembersObserved:
    return MembersObserved(places)


# what happens, at which second: most and up afterwards
CASES: dict[str, tuple[int, list[tuple[float, Any, tuple[int, float]]]]] = {
    "alone, the others never named": (3, [(0, TimerFired(), (3, 3.0)), (9_000, TimerFired(), (3, 3.0))]),
    "more than the settings say": (2, [(1, seen(a=UP, b=UP, c=UP), (4, 4.0))]),
    "one dies: it counts for budgets, and falls slowly in the forecast": (
        3, [(1, seen(a=UP, b=UP), (3, 3.0)), (2, seen(a=SILENT, b=UP), (3, 3.0)),
            (500, TimerFired(), (3, 2.0))]),
    "one leaves by its own word: it may come back, for some minutes": (
        3, [(1, seen(a=UP, b=UP), (3, 3.0)), (2, seen(a=AWAY), (3, 3.0)), (301, TimerFired(), (3, 2.0)),
            (302, TimerFired(), (2, 2.0)), (303, seen(a=UP), (3, 3.0))]),
    "minutes in which others are not in sight do not count": (
        1, [(1, seen(a=UP, b=UP, c=UP), (4, 4.0)), (2, seen(a=AWAY, b=SILENT), (4, 4.0)),
            (1_000, seen(b=UP), (4, 3.0)), (1_299, TimerFired(), (4, 3.0)), (1_300, TimerFired(), (3, 3.0))]),
    "all have left: they count as long as the silent do": (
        1, [(1, seen(a=UP, b=UP), (3, 3.0)), (2, seen(a=AWAY, b=AWAY), (3, 3.0)),
            (3_601, TimerFired(), (3, 1.0)), (3_602, TimerFired(), (1, 1.0))]),
    "one leaves while another is silent: never fewer than the settings": (
        3, [(1, seen(a=UP, b=UP), (3, 3.0)), (2, NodeRemoved("a"), (2, 3.0)),
            (3, seen(b=SILENT), (3, 2.81))]),
    "a silent one comes back": (
        1, [(1, seen(a=UP), (2, 2.0)), (2, seen(a=SILENT), (2, 2.0)), (90, TimerFired(), (2, 1.0)),
            (91, seen(a=UP), (2, 2.0))]),
    "an operator says that it is gone": (
        1, [(1, seen(a=UP), (2, 2.0)), (2, seen(a=SILENT), (2, 2.0)), (3, NodeRemoved("a"), (1, 1.91))]),
    "who went does not come back silent": (
        1, [(1, seen(a=UP), (2, 2.0)), (2, NodeRemoved("a"), (1, 2.0)), (90, seen(a=SILENT), (1, 1.0))]),
    "who was dead before we came counts": (1, [(1, seen(a=SILENT, b=SILENT), (3, 1.0))]),
    "silent for too long": (1, [(1, seen(a=SILENT), (2, 1.0)), (3_602, TimerFired(), (1, 1.0))]),
    "a name that went hides nobody who was never seen": (
        4, [(1, seen(a=UP), (4, 4.0)), (2, seen(a=OUT), (4, 4.0)), (3, seen(b=UP), (4, 4.0))]),
    "the settings change": (
        3, [(1, seen(a=UP), (3, 3.0)), (2, ConfiguredCount(6), (6, 6.0)),
            (90, ConfiguredCount(1), (2, 6.0))]),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_both_counts_take_the_side_that_is_safe(case: str) -> None:
    configured, steps = CASES[case]
    made = census(configured)
    for at_s, event, expected in steps:
        made.handle(int(at_s * S), event)
        assert (made.estimate.upper_bound, round(made.estimate.expected, 2)) == expected, (at_s, event)


def test_a_fall_goes_by_steps_and_growth_at_once() -> None:
    made = census(1)
    made.handle(S, MembersObserved(dict.fromkeys(NAMES, UP)))
    made.handle(2 * S, MembersObserved(dict.fromkeys(NAMES[:4], SILENT)))
    falls, now = [made.estimate.expected], 2 * S
    while made.wake_us < 2 * S + HOUR:
        now = made.wake_us
        made.handle(now, TimerFired())
        falls.append(made.estimate.expected)
    assert falls == sorted(falls, reverse=True) and falls[0] == 9.0 and falls[-1] == 5.0
    assert all(a - b < 0.25 for a, b in pairwise(falls)) and now > 2 * S + DECAY_TIME_CONSTANT_US
    made.handle(now, MembersObserved(dict.fromkeys(NAMES, UP)))
    assert made.estimate.expected == 9.0


def test_what_goes_for_silence_is_told_and_a_count_only_where_it_changes() -> None:
    made = census(1)
    assert [type(x) for x in made.handle(S, seen(a=SILENT))] == [SizeEstimate]
    assert made.handle(2 * S, seen(a=SILENT)) == []
    (line, count) = made.handle(HOUR + S, TimerFired())
    assert isinstance(line, LogLine) and "a has been silent" in line.text and count == SizeEstimate(1, 1.0)


def test_names_are_bounded_and_those_that_went_make_room() -> None:
    made = census(1)
    made.handle(S, MembersObserved({f"x{k}": OUT for k in range(MAX_NAMES + 50)}))
    made.handle(2 * S, seen(a=UP))
    assert len(made.names(OUT)) < MAX_NAMES and made.names(UP) == ["a", "me"]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(list(Presence)), st.integers(0, 20 * S))),
       st.integers(1, 12))  # fmt: skip
def test_whatever_is_seen_no_node_that_may_act_is_left_out(steps: list[Any], configured: int) -> None:
    made, now = census(configured), 0
    places: dict[str, Presence] = {}
    for name, place, wait in steps:
        now += wait
        known = places.get(name)
        if not (place is SILENT and known in (OUT, AWAY) or place is AWAY and known is OUT):
            places[name] = place
        made.handle(now, MembersObserved({name: place}))
        may_act = 1 + sum(p is not OUT for p in places.values())
        count, unaccounted = made.estimate, {SILENT, AWAY} & {*places.values()} or made.unseen > 0
        assert count.upper_bound >= may_act and (count.upper_bound >= configured or not unaccounted)
        assert 1.0 <= count.expected <= max(configured, 1 + len(places)) + 1e-9
        assert made.wake_us < 0 or made.wake_us > now


# --- What is written down ---------------------------------------------------------------------------------
NOTE = PersistedRecord(
    "n1", ProcessIdentity(3, 77, 5, 1_000), (KnownNode("a", -1), KnownNode("b", 5 * S)), ("10.0.0.1:7946",)
)


def test_what_was_known_counts_as_silent_after_a_restart_and_its_time_goes_on() -> None:
    before = census(1)
    before.handle(S, seen(a=UP, b=UP))
    before.handle(2 * S, seen(b=SILENT))
    before.handle(1_000 * S, TimerFired())
    kept = tuple(before.known())
    assert kept == (KnownNode("a", -1), KnownNode("b", 998 * S))
    after = census(1, kept)
    assert after.estimate.upper_bound == 3 and after.names(SILENT) == ["a", "b"]
    after.handle(2_602 * S + 1, TimerFired())
    assert after.names(OUT) == ["b"] and after.estimate.upper_bound == 2


words = st.text("abcdefgh0123.-", min_size=1, max_size=63)
notes_ = st.builds(
    PersistedRecord, words, st.builds(ProcessIdentity, st.integers(0, 1 << 32), st.integers(0, (1 << 63) - 1),
                           st.integers(0, 1 << 40), st.integers(0, 1 << 61)),
    st.lists(st.builds(KnownNode, words, st.integers(-1, 1 << 60)), max_size=5).map(tuple),
    st.lists(st.sampled_from(["10.0.0.1:1", "[::1]:65535"]), max_size=5).map(tuple),
)  # fmt: skip


@settings(max_examples=100, deadline=None)
@given(notes_)
def test_a_note_is_read_as_it_was_written(note: PersistedRecord) -> None:
    assert decode(encode(note)) == note


def test_a_note_that_is_cut_anywhere_or_has_a_byte_changed_is_refused() -> None:
    whole = encode(NOTE)
    for size in range(len(whole)):
        with pytest.raises(ValueError):
            decode(whole[:size])
    for k in range(len(whole)):
        with pytest.raises(ValueError):
            decode(whole[:k] + bytes([whole[k] ^ 0x20]) + whole[k + 1 :])


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"v": 2}, "of version 2, and this program reads 1"), ({"gen": -1}, "gen: found no whole number"),
        ({"birth": 1 << 63}, "birth:"), ({"inc": True}, "inc:"), ({"seq": "9"}, "seq:"),
        ({"known": {}}, "known: found no list"), ({"known": [["a"]]}, "known: found no name with a time"),
        ({"known": [["a b", 1]]}, "known:"), ({"known": [["a", -2]]}, "out of its bounds"),
        ({"addresses": ["localhost:1"]}, "found 'localhost:1'"), ({"addresses": [1]}, "addresses:"),
        ({"name": ""}, "name: found no name"), ({"addresses": ["10.0.0.1:1"] * 65}, "at most 64"),
    ],
)  # fmt: skip
def test_a_note_of_another_version_or_out_of_its_bounds_is_refused_with_its_field(
    change: dict[str, Any], says: str
) -> None:
    top = json.loads(encode(NOTE).partition(b"\n")[0]) | change
    line = json.dumps(top).encode()
    with pytest.raises(ValueError, match=r".") as caught:
        decode(b"%s\n%08x\n" % (line, crc32(line)))
    assert says in str(caught.value) and "\n" not in str(caught.value)
