"""Encoding of messages, and decoding of bytes that are not valid messages."""

from __future__ import annotations

import time
from contextlib import suppress
from random import Random
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.coordination.consensus import codec, messages
from granitewell.coordination.consensus.encoding import (
    NewerMembershipFormatError,
    check_flat,
    decode_entries,
    decode_list,
    decode_membership,
    encode_change,
    encode_end,
    encode_entries,
    encode_list,
    encode_member,
    encode_membership,
)
from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.storage import (
    UnreadableRecordsError,
    decode_records,
    encode_records,
    replay,
    state_records,
)
from granitewell.coordination.consensus.types import (
    Entry,
    EntryKind,
    HardState,
    Identity,
    Member,
    Membership,
    Snapshot,
    StoredState,
    VoterChange,
)
from granitewell.domain.errors import MalformedFrameError

IDS = st.text(min_size=1, max_size=20)
NUMBERS = st.integers(0, 2**62)
MEMBERS = st.builds(Member, IDS, st.text(max_size=20), st.text(max_size=20))
MEMBERSHIPS = st.builds(
    Membership,
    st.lists(MEMBERS, max_size=5).map(tuple),
    st.lists(IDS, max_size=5).map(tuple),
    st.lists(MEMBERS, max_size=5).map(tuple),
)


CHANGES = st.builds(
    VoterChange, st.lists(MEMBERS, max_size=3).map(tuple), st.lists(MEMBERS, max_size=3).map(tuple)
)
DATA_OF = {
    EntryKind.ADD_VOTER: MEMBERS.map(encode_member),
    EntryKind.REMOVE_VOTER: MEMBERS.map(encode_member),
    EntryKind.CHANGE_VOTERS: CHANGES.map(encode_change),
    EntryKind.END_CHANGE: st.booleans().map(encode_end),
}


@st.composite
def appends(draw: st.DrawFn) -> messages.Append:
    """Generate an append whose entries are in order."""
    previous, terms = draw(NUMBERS), sorted(draw(st.lists(st.integers(0, 2**40), min_size=1, max_size=6)))
    entries = []
    for offset, term in enumerate(terms[1:]):
        kind = draw(st.sampled_from(list(EntryKind)))
        entries.append(
            Entry(previous + 1 + offset, term, kind, draw(DATA_OF.get(kind, st.binary(max_size=100))))
        )
    return messages.Append(draw(IDS), draw(IDS), terms[-1], previous, terms[0], draw(NUMBERS), tuple(entries))


@st.composite
def chunks(draw: st.DrawFn) -> messages.SnapshotChunk:
    """Generate a chunk within its snapshot."""
    data, offset = draw(st.binary(max_size=200)), draw(st.integers(0, 2**40))
    total = offset + len(data) + draw(st.integers(0, 100))
    numbers = draw(NUMBERS), draw(NUMBERS), draw(NUMBERS)
    return messages.SnapshotChunk(draw(IDS), draw(IDS), *numbers, draw(MEMBERSHIPS), offset, total, data)


MESSAGES = st.one_of(
    st.builds(messages.PreVote, IDS, IDS, NUMBERS, NUMBERS, NUMBERS),
    st.builds(messages.PreVoteReply, IDS, IDS, NUMBERS, st.booleans()),
    st.builds(messages.Vote, IDS, IDS, NUMBERS, NUMBERS, NUMBERS, st.booleans()),
    st.builds(messages.VoteReply, IDS, IDS, NUMBERS, st.booleans()),
    st.builds(messages.Heartbeat, IDS, IDS, NUMBERS, NUMBERS, NUMBERS, st.booleans(), NUMBERS, NUMBERS),
    st.builds(messages.HeartbeatReply, IDS, IDS, NUMBERS, NUMBERS, NUMBERS),
    appends(),
    st.builds(messages.AppendReply, IDS, IDS, NUMBERS, st.booleans(), NUMBERS),
    chunks(),
    st.builds(messages.SnapshotReply, IDS, IDS, NUMBERS, NUMBERS, NUMBERS),
    st.builds(messages.TimeoutNow, IDS, IDS, NUMBERS),
    st.builds(messages.Join, IDS, st.just(""), NUMBERS, MEMBERS, st.booleans()),
    st.builds(messages.Removed, IDS, IDS, NUMBERS),
    st.builds(messages.Leave, IDS, IDS, NUMBERS),
    st.builds(messages.LeaveReply, IDS, IDS, NUMBERS, st.booleans()),
)
EXAMPLE = messages.Append("a", "b", 5, 3, 2, 3, (Entry(4, 5, EntryKind.DATA, b"payload"),))


def sealed(number: int, payload: bytes) -> bytes:
    """Return a frame with a correct checksum and any payload."""
    return codec._HEAD.pack(codec.VERSION, number, crc32(payload)) + payload


@given(MESSAGES)
@settings(max_examples=200, deadline=None)
def test_messages_round_trip(message: Message) -> None:
    assert codec.decode(codec.encode(message)) == message


def test_four_mebibytes_round_trip() -> None:
    entry = Entry(4, 5, EntryKind.DATA, Random(0).randbytes(4 << 20))
    message = messages.Append("a", "b", 5, 3, 2, 3, (entry,))
    assert codec.decode(codec.encode(message)) == message


def test_a_truncated_frame_is_malformed() -> None:
    frame = codec.encode(EXAMPLE)
    for length in range(len(frame)):
        with pytest.raises(MalformedFrameError):
            codec.decode(frame[:length])


def test_a_frame_with_a_flipped_byte_is_malformed() -> None:
    frame = codec.encode(EXAMPLE)
    for offset in range(2, len(frame)):
        with pytest.raises(MalformedFrameError):
            codec.decode(frame[:offset] + bytes([frame[offset] ^ 1]) + frame[offset + 1 :])


def test_a_newer_version_is_refused_and_named() -> None:
    frame = codec.encode(EXAMPLE)
    with pytest.raises(MalformedFrameError, match="version 2, known: 1"):
        codec.decode(b"\x02" + frame[1:])


def test_an_unknown_message_type_is_refused() -> None:
    with pytest.raises(MalformedFrameError, match="kind 99"):
        codec.decode(sealed(99, b"\0"))


def test_an_unknown_field_is_skipped() -> None:
    frame = codec.encode(EXAMPLE)
    payload = frame[codec._HEAD.size : -1] + b"\x0b\x00\x63\x00\x00\x00\x03new" + b"\x00"
    assert codec.decode(sealed(7, payload)) == EXAMPLE


def test_a_missing_field_is_refused() -> None:
    with pytest.raises(MalformedFrameError, match="field sender"):
        codec.decode(sealed(5, b"\0"))


@pytest.mark.parametrize(
    "payload",
    [
        b"\x0f\x00\x01\x0c\x7f\xff\xff\xff",
        b"\x0f\x00\x01\x01\x7f\xff\xff\xff",
        b"\x0d\x00\x01\x01\x01\x7f\xff\xff\xff",
        b"\x0c\x00\x01" * 100_000,
        b"\x0b\x00\x01\x7f\xff\xff\xff",
        b"\x0b\x00\x01\xff\xff\xff\xff",
        b"\x0b\x00\x01\x00\x00\x00\x02\xff\xff\x00",
    ],
    ids=["long list", "list of nothing", "long map", "deep", "long string", "negative string", "not UTF-8"],
)
def test_input_that_thriftpy_cannot_handle_is_refused_at_once(payload: bytes) -> None:
    started = time.process_time()
    for number in range(1, 16):
        with pytest.raises(MalformedFrameError):
            codec.decode(sealed(number, payload))
    assert time.process_time() - started < 0.2


@given(st.integers(0, 15), st.binary(max_size=80))
@settings(max_examples=300, deadline=None)
def test_random_bytes_are_a_malformed_frame_or_a_message(number: int, payload: bytes) -> None:
    with suppress(MalformedFrameError):
        assert isinstance(codec.decode(sealed(number, payload)), Message)


def test_entries_out_of_order_are_refused() -> None:
    for entries in (
        (Entry(5, 5, EntryKind.DATA),),
        (Entry(4, 6, EntryKind.DATA),),
        (Entry(4, 1, EntryKind.DATA),),
        (Entry(4, 4, EntryKind.DATA), Entry(5, 3, EntryKind.DATA)),
    ):
        with pytest.raises(MalformedFrameError, match="out of order"):
            codec.decode(codec.encode(messages.Append("a", "b", 5, 3, 2, 3, entries)))


def test_a_change_of_members_without_a_member_is_refused() -> None:
    entry = Entry(4, 5, EntryKind.ADD_VOTER, b"nobody")
    with pytest.raises(MalformedFrameError):
        codec.decode(codec.encode(messages.Append("a", "b", 5, 3, 2, 3, (entry,))))


NEWER_ENTRIES = (
    Entry(4, 5, EntryKind.CHANGE_VOTERS, b"\2" + encode_change(VoterChange((), ()))[1:]),
    Entry(4, 5, EntryKind.END_CHANGE, b"\2\1"),
)


@pytest.mark.parametrize("entry", NEWER_ENTRIES, ids=lambda entry: entry.kind.name)
def test_a_change_of_members_of_a_newer_version_is_refused_and_named(entry: Entry) -> None:
    with pytest.raises(NewerMembershipFormatError, match="version 2, known: 1"):
        decode_entries(encode_entries((entry,)))
    with pytest.raises(UnreadableRecordsError, match="version 2, known: 1"):
        decode_records(encode_records([entry]))


@pytest.mark.parametrize("data", [b"", b"\1", b"\1\2", b"\1\1\1"])
def test_an_empty_end_of_a_change_is_refused(data: bytes) -> None:
    with pytest.raises(MalformedFrameError):
        decode_entries(encode_entries((Entry(4, 5, EntryKind.END_CHANGE, data),)))


def test_members_of_a_newer_version_are_refused_and_those_of_an_older_one_read() -> None:
    member = Member("me", "node", "1.2.3.4:5")
    parts = decode_list(encode_membership(Membership((member,), ("gone",), (member,))))
    assert decode_membership(encode_list(parts[:2])) == Membership((member,), ("gone",))
    with pytest.raises(NewerMembershipFormatError, match="4 parts"):
        decode_membership(encode_list([*parts, b""]))


@given(st.lists(st.binary(max_size=20), max_size=5))
@settings(deadline=None)
def test_lists_round_trip_and_truncated_ones_are_malformed(parts: list[bytes]) -> None:
    data = encode_list(parts)
    assert decode_list(data) == parts
    ends = {len(encode_list(parts[:count])) for count in range(len(parts) + 1)}
    for length in set(range(len(data))) - ends:
        with pytest.raises(MalformedFrameError):
            decode_list(data[:length])


def test_truncated_entries_are_malformed() -> None:
    data = encode_entries((Entry(1, 1, EntryKind.DATA, b"abc"),))
    for length in range(1, len(data)):
        with pytest.raises(MalformedFrameError):
            decode_entries(data[:length])


def test_a_struct_of_plain_fields_is_flat() -> None:
    check_flat(codec.encode(EXAMPLE)[codec._HEAD.size :])


# Stored records

STATE = StoredState(
    "me",
    HardState(3, "other"),
    Snapshot(4, 2, Membership((Member("me", "node", "1.2.3.4:5"),), ("gone",)), b"state"),
    (Entry(5, 2, EntryKind.DATA, b"x"), Entry(6, 3, EntryKind.NO_OPERATION)),
)


def test_a_state_round_trips_through_its_records() -> None:
    assert replay(decode_records(encode_records(state_records(STATE)))) == STATE


def test_an_entry_replaces_all_entries_from_its_index_on() -> None:
    records = [*state_records(STATE), Entry(5, 4, EntryKind.DATA, b"y"), HardState(4, "")]
    state = replay(records)
    assert state.entries == (Entry(5, 4, EntryKind.DATA, b"y"),)
    assert state.hard_state == HardState(4, "")


def test_a_snapshot_replaces_entries_up_to_its_index_and_conflicting_ones() -> None:
    same_term = Snapshot(5, 2, Membership(), b"newer")
    assert replay([*state_records(STATE), same_term]).entries == STATE.entries[1:]
    other_term = Snapshot(5, 3, Membership(), b"newer")
    assert replay([*state_records(STATE), other_term]).entries == ()


@pytest.mark.parametrize(
    "records", [[], [HardState(1, "")], [Identity("me"), Entry(5, 1, EntryKind.DATA)]], ids=str
)
def test_records_that_do_not_add_up_are_refused(records: list[Entry]) -> None:
    with pytest.raises(UnreadableRecordsError):
        replay(records)


@given(st.binary(max_size=60))
@settings(max_examples=300, deadline=None)
def test_random_records_are_refused_or_read(payload: bytes) -> None:
    with suppress(UnreadableRecordsError):
        replay(decode_records(payload))
