"""Membership messages: their encoding, what is rejected, and what fits into a datagram."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.protocols.peers import gossip
from granitewell.protocols.peers.frames import MAX_DATAGRAM_BYTES, Frame, Key, Keys, Kind, open_, seal
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
    free_bytes,
    is_valid,
    pack,
)

KEYS = Keys(Key(b"a key for virtual time alone"))
ABOUT = About("forwarder", "10.0.0.1:7946", "a", (1,), b"\x00pay")
ALIVE = Assertion("node-1", 1, 77, 3, 0, about=ABOUT)
_WORD = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=16)
_BIRTH, _COUNT = st.integers(1, (1 << 63) - 1), st.integers(0, 1 << 62)
_VERSIONS = st.lists(st.integers(0, 255), min_size=1, max_size=8).map(tuple)
abouts = st.builds(About, _WORD, _WORD, _WORD, _VERSIONS, st.binary(max_size=128))
assertions = st.builds(
    lambda name, gen, birth, inc, state, age, by, about: Assertion(
        name, gen, birth, inc, state, age, by, about if state == 0 else None
    ),
    st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=63),
    st.integers(1, gossip.MAX_GEN), _BIRTH, st.integers(0, gossip.MAX_INC), st.integers(0, 3),
    st.integers(0, 1 << 32), _WORD, abouts,
)  # fmt: skip
messages: st.SearchStrategy[Message] = st.one_of(
    st.builds(Ping, _COUNT), st.builds(Ack, _COUNT), st.builds(Nack, _COUNT), st.builds(Rumour),
    st.builds(Relay, _COUNT, _WORD, _BIRTH, _WORD), st.builds(Hello, _COUNT, _WORD),
    st.builds(Welcome, _COUNT, _COUNT, st.binary(min_size=256, max_size=256)),
    st.builds(Push, _COUNT, _COUNT, st.integers(0, (1 << 32) - 1), st.booleans()),
    st.builds(Page, _COUNT, st.booleans()),
)  # fmt: skip
envelopes = st.builds(Envelope, _BIRTH, _COUNT, _COUNT, messages)


@given(envelopes, st.lists(assertions, max_size=30), _WORD)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_envelope_round_trip_fits_the_announced_size(
    envelope: Envelope, some: list[Assertion], sender: str
) -> None:
    left, fit = free_bytes(encode_envelope(envelope), sender), []
    for assertion in some:
        if len(pack(assertion)) <= left:
            fit.append(assertion)
            left -= len(pack(assertion))
    body = encode_envelope(envelope, [pack(assertion) for assertion in fit])
    assert CODEC.decode(body) == msgspec.structs.replace(envelope, assertions=fit)
    assert len(seal(Kind.GOSSIP, body, KEYS, sender)) <= MAX_DATAGRAM_BYTES
    assert all(map(is_valid, fit))


def test_wire_format_of_version_1() -> None:
    """A change of these bytes requires a new version of the wire format."""
    frame = seal(Kind.GOSSIP, encode_envelope(Envelope(5, 6, 7, Ping(8)), [pack(ALIVE)]), KEYS, "node-1")
    assert frame.hex() == (
        "4757011000000054d771f5b0066e6f64652d3186a174a167a16205a16f06a17307a16d82a174a470696e67a66e756d626572"
        "08a1639198a66e6f64652d31014d030000a095a9666f72776172646572ad31302e302e302e313a37393436a1619101c40400"
        "706179e6bb4bdee0feb65e11aee7185f9cc79f"
    )
    opened = open_(frame, KEYS)
    assert isinstance(opened, Frame) and opened.kind == Kind.GOSSIP


def _body(**fields: object) -> bytes:
    whole = {"t": "g", "b": 5, "o": 6, "s": 7, "m": {"t": "ping", "number": 8}, "c": []}
    return msgspec.msgpack.encode(whole | fields)


def test_fields_of_later_versions_are_skipped() -> None:
    longer = [*msgspec.to_builtins(ALIVE), "more"]
    longer[7] = ["forwarder", "10.0.0.1:7946", "a", [1], b"\x00pay", "more"]
    body = _body(x=[1, 2], m={"t": "ping", "number": 8, "later": True}, c=[longer])
    assert CODEC.decode(body) == Envelope(5, 6, 7, Ping(8), [ALIVE])


@pytest.mark.parametrize(
    "fields",
    [
        {"b": 0}, {"b": 1 << 63}, {"o": -1}, {"s": 1 << 63}, {"m": {"t": "pong", "number": 8}},
        {"m": {"t": "ping"}}, {"t": "lease"},
        {"m": {"t": "welcome", "number": 1, "token": 1, "digests": b"short"}},
        {"c": [["n", 0, 5, 0, 0]]}, {"c": [["n", 1, 5, (1 << 40) + 1, 1]]}, {"c": [["n", 1, 5, 0, 4]]},
        {"c": [["", 1, 5, 0, 1]]}, {"c": [["n" * 64, 1, 5, 0, 1]]}, {"c": [["n", 1, 5]]},
        {"c": [["n", 1, 5, 0, 0, 0, "", ["r", "a", "z", [], b""]]]},
        {"c": [["n", 1, 5, 0, 0, 0, "", ["r", "a", "z", [1], b"x" * 129]]]},
    ],
)  # fmt: skip
def test_fields_out_of_bounds_are_rejected(fields: dict[str, object]) -> None:
    assert CODEC.decode(_body()) is not None
    assert CODEC.decode(_body(**fields)) is None


@pytest.mark.parametrize(
    "assertion",
    [
        Assertion("a b", 1, 5, 0, 1), Assertion("n\n", 1, 5, 0, 1), Assertion("n", 1, 5, 0, 1, 0, "b\x00"),
        Assertion("é", 1, 5, 0, 1), Assertion("n", 1, 5, 0, 0), Assertion("n", 1, 5, 0, 2, about=ABOUT),
        Assertion("n", 1, 5, 0, 0, about=About("r", "a\n", "", (1,))),
    ],
)  # fmt: skip
def test_unprintable_text_makes_an_assertion_invalid(assertion: Assertion) -> None:
    assert not is_valid(assertion)


@given(st.binary(max_size=300), st.integers(0, 200), st.integers(0, 255))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_garbage_raises_nothing(garbage: bytes, at: int, other: int) -> None:
    CODEC.decode(garbage)
    body = bytearray(encode_envelope(Envelope(5, 6, 7, Ping(8)), [pack(ALIVE)] * 2))
    body[at % len(body)] = other
    read = CODEC.decode(bytes(body))
    assert read is None or isinstance(read, Envelope)
    assert CODEC.decode(bytes(body[: at % len(body)])) is None
