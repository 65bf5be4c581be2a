"""Frames between nodes: published test vectors of the hash, the layout, and rejection of invalid frames.

`fuzz` is the fuzz target: it takes bytes and raises only if something is wrong. Its corpus is
tests/protocols/corpus/frames.
"""

from __future__ import annotations

import hashlib
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.protocols.peers.bodies import Body, BodyCodec
from granitewell.protocols.peers.frames import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_FRAME_BYTES,
    TAG_BYTES,
    Frame,
    FrameSplitter,
    Key,
    Keys,
    Kind,
    RefusalReason,
    Refused,
    open_,
    refusal,
    seal,
)
from granitewell.protocols.peers.leases import CODEC, Ask, Envelope, Grant, Here, Message, No, Release, Sworn

CORPUS = sorted((Path(__file__).parent / "corpus" / "frames").iterdir())
OLD, NEW, OTHER = (Key(bytes([k]) * 32) for k in (1, 2, 3))
KEYS = Keys(OLD)
MESSAGES: tuple[Message, ...] = (
    Ask(3, 7, [1, 2, 3], 3_000_000, True), Grant(3, 9, 8, 7), No(3, 9, 8, 7, "term", [1, 0, 3]),
    Release(7, "p2"), Release(7), Sworn(5, 6, "blank", 7, [1, 2, 3]), Here(10, 4),
)  # fmt: skip
NAMES = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=63)


def sealed_message(message: Message) -> bytes:
    return seal(Kind.LEASE, CODEC.encode(Envelope(1, 2, message)), KEYS, "p1")


def fuzz(data: bytes) -> None:
    """Decode any bytes: no exception, and no frame that was not sealed with our key."""
    frame = open_(data, KEYS)
    if isinstance(frame, Frame):
        assert OLD.tag(data[:-TAG_BYTES]) == data[-TAG_BYTES:]
        CODEC.decode(frame.body)
    CODEC.decode(data)
    splitter = FrameSplitter(limit=2_000)
    for one in splitter.feed(data) + splitter.feed(data):
        open_(one, KEYS, limit=MAX_STREAM_FRAME_BYTES)
    assert splitter.buffered_bytes <= 2_000


# --- The hash -------------------------------------------------------------------------------------------
def test_blake2b_matches_rfc_7693_appendix_a_and_the_keyed_reference_vector() -> None:
    assert hashlib.blake2b(b"abc").hexdigest().startswith("ba80a53f981c4d0d6a2797b69f12f6e94c212f14685ac4b7")
    keyed = hashlib.blake2b(b"", key=bytes(range(64))).hexdigest()
    assert keyed.startswith("10ebb67700b1868efb4417987acf4690ae9d972fb7a590c2f02871799aaa4786")


def test_blake2b_matches_rfc_7693_appendix_e_for_all_sizes() -> None:
    def sequence(length: int, seed: int) -> bytes:
        a, b, out = 0xDEAD4BAD * seed & 0xFFFFFFFF, 1, bytearray()
        for _ in range(length):
            a, b = b, (a + b) & 0xFFFFFFFF
            out.append(b >> 24)
        return bytes(out)

    whole = hashlib.blake2b(digest_size=32)
    for size in (20, 32, 48, 64):
        for length in (0, 3, 128, 129, 255, 1024):
            data, key = sequence(length, length), sequence(size, size)
            whole.update(hashlib.blake2b(data, digest_size=size).digest())
            whole.update(hashlib.blake2b(data, digest_size=size, key=key).digest())
    assert whole.hexdigest() == "c23a7800d98123bd10f506c61e29da5603d763b8bbad2e737f5e765a7bccd475"


# --- Layout ---------------------------------------------------------------------------------------------
def test_layout_of_version_1_is_stable() -> None:
    """Nodes of all later versions must be able to read these bytes."""
    frame = seal(Kind.LEASE, b"body", KEYS, "p1")
    assert frame.hex() == (
        "4757" "01" "20" "00000004" + OLD.id.hex() + "02" "7031" "626f6479"
        + OLD.tag(frame[:-TAG_BYTES]).hex()
    )  # fmt: skip
    assert OLD.id.hex() == "62f30d31" and frame[-TAG_BYTES:].hex() == "6d69a6f4de6de84fadf199084d181a64"
    assert open_(frame, KEYS) == Frame(Kind.LEASE, "p1", b"body", 1, OLD.id)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 255), st.binary(max_size=1_000), NAMES)
def test_sealed_frames_can_be_opened(kind: int, body: bytes, name: str) -> None:
    frame = seal(kind, body, KEYS, name)
    assert open_(frame, KEYS) == Frame(kind, name, body, 1, OLD.id)


def test_changed_or_truncated_frames_are_refused() -> None:
    frame = seal(Kind.GOSSIP, b"some body", KEYS, "p1")
    for bit in range(8 * len(frame)):
        changed = bytearray(frame)
        changed[bit // 8] ^= 1 << bit % 8
        assert isinstance(open_(bytes(changed), KEYS), Refused), f"bit {bit}"
    for length in range(len(frame)):
        assert isinstance(open_(frame[:length], KEYS), Refused), f"{length} bytes"
    refused = open_(frame + b"x", KEYS)
    assert isinstance(refused, Refused) and refused.why is RefusalReason.LONG


@pytest.mark.parametrize("name", ["", "a" * 64, "two words", "schön", "nul\0"])
def test_invalid_sender_names_are_neither_sealed_nor_opened(name: str) -> None:
    with pytest.raises(ValueError, match="sender: found"):
        seal(Kind.LEASE, b"", KEYS, name)
    raw = name.encode()
    head = seal(Kind.LEASE, b"", KEYS, "p")[: HEADER_BYTES - 1] + bytes([len(raw)]) + raw
    assert isinstance(open_(head + OLD.tag(head), KEYS), Refused)


def test_size_limit_applies_to_sealing_and_opening() -> None:
    room = MAX_DATAGRAM_BYTES - len(seal(1, b"", KEYS, "p1"))
    most = seal(1, bytes(room), KEYS, "p1")
    assert len(most) == MAX_DATAGRAM_BYTES and isinstance(open_(most, KEYS), Frame)
    with pytest.raises(ValueError, match="frame: found 1201 bytes, allowed are 1200"):
        seal(1, bytes(room + 1), KEYS, "p1")
    longer = seal(1, bytes(room + 1), KEYS, "p1", limit=MAX_STREAM_FRAME_BYTES)
    refused = open_(longer, KEYS)
    assert isinstance(refused, Refused) and refused.why is RefusalReason.LONG
    assert isinstance(open_(longer, KEYS, limit=MAX_STREAM_FRAME_BYTES), Frame)


# --- Keys and versions ----------------------------------------------------------------------------------
def test_key_rotation_in_three_steps_loses_no_frame() -> None:
    steps = (Keys(OLD), Keys(OLD, NEW), Keys(NEW, OLD), Keys(NEW))
    for before, after in pairwise(steps):
        for sender, receiver in ((before, after), (after, before), (before, before), (after, after)):
            assert isinstance(open_(seal(1, b"", sender, "p1"), receiver), Frame)
    for stranger, why in ((Keys(OTHER), RefusalReason.KEY), (Keys(NEW), RefusalReason.KEY)):
        refused = open_(seal(1, b"", KEYS, "p1"), stranger)
        assert isinstance(refused, Refused) and refused.why is why


def test_key_with_a_known_id_but_another_secret_is_refused() -> None:
    thief = Key(bytes(32))
    object.__setattr__(thief, "id", OLD.id)
    refused = open_(seal(1, b"", Keys(thief), "p1"), KEYS)
    assert isinstance(refused, Refused) and refused.why is RefusalReason.TAG_BYTES


@pytest.mark.parametrize("size", [0, 15, 65])
def test_error_for_a_key_of_invalid_size_names_it(size: int) -> None:
    with pytest.raises(ValueError, match=f"key: found {size} bytes, allowed are 16 to 64"):
        Key(bytes(size))


def test_secrets_are_not_shown() -> None:
    assert "01" * 4 not in repr(KEYS) and "x01" not in repr(KEYS)


def test_unknown_version_is_refused_and_the_refusal_is_read_by_every_version() -> None:
    refused = open_(seal(1, b"", KEYS, "p1", version=2), KEYS)
    assert refused == Refused(RefusalReason.VERSION, "found version 2, known are 1", (1,))
    answer = refusal(KEYS, "p1")
    for versions in ((1,), (1, 2), (7, 8)):
        frame = open_(answer, KEYS, versions=versions)
        assert isinstance(frame, Frame) and (frame.kind, frame.body) == (Kind.REFUSAL, b"\x01")
    assert isinstance(open_(seal(1, b"", KEYS, "p1"), KEYS, versions=(2,)), Frame)  # kind 1: a refusal
    assert isinstance(open_(seal(2, b"", KEYS, "p1"), KEYS, versions=(2,)), Refused)


# --- Bodies ---------------------------------------------------------------------------------------------
class Later(Body, frozen=True, tag="grant"):
    """A grant of a later version, with an additional field."""

    round: int
    for_boot: int
    life: int
    term: int
    mood: list[dict[str, int]] = msgspec.field(default_factory=list)


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trip(message: Message) -> None:
    frame = open_(sealed_message(message), KEYS)
    assert isinstance(frame, Frame) and CODEC.decode(frame.body) == Envelope(1, 2, message)


def test_unknown_fields_are_skipped_and_unknown_messages_rejected() -> None:
    later: BodyCodec[Later] = BodyCodec(Later)
    grants: BodyCodec[Grant] = BodyCodec(Grant)
    assert grants.decode(later.encode(Later(3, 9, 8, 7, [{"a": 1}]))) == Grant(3, 9, 8, 7)
    news = {"t": "lease", "fleet": 1, "boot": 2, "said": {"t": "news"}}
    assert CODEC.decode(msgspec.msgpack.encode(news)) is None


@pytest.mark.parametrize(
    "wrong",
    [{"term": -1}, {"term": 1 << 63}, {"round": "3"}, {"lives": []}, {"lives": [1] * 8},
     {"lives": [1, 2, -3]}, {"lease_us": None}],
)  # fmt: skip
def test_fields_out_of_bounds_are_rejected(wrong: dict[str, Any]) -> None:
    ask = msgspec.to_builtins(MESSAGES[0]) | wrong
    assert CODEC.decode(msgspec.msgpack.encode({"t": "lease", "fleet": 1, "boot": 2, "said": ask})) is None


def test_deeply_nested_or_huge_bodies_are_rejected() -> None:
    start = b"\x84\xa1t\xa5lease\xa5fleet\x01\xa4boot\x02\xa1x"
    assert CODEC.decode(start + b"\x91" * 1_000_000 + b"\x01") is None
    assert CODEC.decode(start + b"\xdd\xff\xff\xff\xff") is None


# --- Streams --------------------------------------------------------------------------------------------
@settings(max_examples=60, deadline=None)
@given(st.lists(st.binary(max_size=300), max_size=6), st.lists(st.integers(1, 200), max_size=30))
def test_stream_is_split_into_frames_for_any_chunk_sizes(bodies: list[bytes], sizes: list[int]) -> None:
    frames = [seal(Kind.PLAN, body, KEYS, "p1") for body in bodies]
    rest, splitter, found = b"".join(frames), FrameSplitter(), []
    for size in [*sizes, len(rest)]:
        found += splitter.feed(rest[:size])
        rest = rest[size:]
    assert found == frames and splitter.buffered_bytes == 0 and splitter.error is None


def test_splitter_buffers_one_frame_and_stops_at_invalid_bytes() -> None:
    frame = seal(Kind.PLAN, bytes(500), KEYS, "p1", limit=MAX_STREAM_FRAME_BYTES)
    splitter = FrameSplitter(limit=600)
    assert splitter.feed(frame * 3 + frame[:-1]) == [frame] * 3 and splitter.buffered_bytes == len(frame) - 1
    assert splitter.feed(frame[-1:]) == [frame] and splitter.buffered_bytes == 0
    assert splitter.feed(frame + b"GX" + frame + bytes(HEADER_BYTES)) == [frame]
    assert splitter.error is not None and splitter.error.why is RefusalReason.MAGIC
    assert splitter.feed(frame) == [] and splitter.buffered_bytes == 0
    greedy = FrameSplitter(limit=600)
    greedy.feed(seal(Kind.PLAN, bytes(1_000), KEYS, "p1")[:HEADER_BYTES])
    assert greedy.error is not None and greedy.error.why is RefusalReason.LONG  # by the header alone


# --- Fuzzing --------------------------------------------------------------------------------------------
@pytest.mark.parametrize("path", CORPUS, ids=lambda p: p.name)
def test_the_corpus(path: Path) -> None:
    fuzz(path.read_bytes())


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_random_bytes_and_mutated_frames(data: st.DataObject) -> None:
    base = data.draw(
        st.sampled_from([b"", *(sealed_message(message) for message in MESSAGES), refusal(KEYS, "p1")])
    )
    changed = bytearray(base + data.draw(st.binary(max_size=60)))
    for place, value in data.draw(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=4)):
        if place < len(changed):
            changed[place] = value
    fuzz(bytes(changed[data.draw(st.integers(0, 3)) :]))
