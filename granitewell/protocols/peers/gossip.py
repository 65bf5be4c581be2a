"""Bodies of membership messages.

This module defines their fields and bounds and the packing of assertions into the free bytes of a message.
Ages are durations in seconds; no message carries a clock reading.

`number` ties an answer to its request; the requester draws it from a counter of its process. `birth` is the
random id of a process. `to` is the birth id of the receiving process; it is 0 only in `Hello`, which is sent
before that id is known.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, cast

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count
from granitewell.protocols.peers.frames import HEADER_BYTES, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, TAG_BYTES

MAX_INC = 1 << 40  # higher incarnations are rejected: no process changes that often
MAX_GEN = 1 << 32
MAX_ROLE_BYTES, MAX_ADDRESS_BYTES, MAX_ZONE_BYTES, MAX_PAYLOAD_BYTES, MAX_VERSIONS = 16, 64, 32, 128, 8
TABLE_PARTITIONS = 32  # partitions of a table, each compared by its digest
DIGEST_BYTES = 8
MAX_PAGE_BYTES = 32_768  # of assertions in one message on a stream

Birth = Annotated[int, msgspec.Meta(ge=1, le=(1 << 63) - 1)]
ReceiverBirth = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Inc = Annotated[int, msgspec.Meta(ge=0, le=MAX_INC)]
Gen = Annotated[int, msgspec.Meta(ge=1, le=MAX_GEN)]
Age = Annotated[int, msgspec.Meta(ge=0, le=1 << 32)]
State = Annotated[int, msgspec.Meta(ge=0, le=3)]  # alive, suspect, dead, left
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Reporter = Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]
Address = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ADDRESS_BYTES)]
Role = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ROLE_BYTES)]
Zone = Annotated[str, msgspec.Meta(max_length=MAX_ZONE_BYTES)]
Payload = Annotated[bytes, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)]
Version = Annotated[int, msgspec.Meta(ge=0, le=255)]
Versions = Annotated[tuple[Version, ...], msgspec.Meta(min_length=1, max_length=MAX_VERSIONS)]
Digests = Annotated[
    bytes,
    msgspec.Meta(min_length=TABLE_PARTITIONS * DIGEST_BYTES, max_length=TABLE_PARTITIONS * DIGEST_BYTES),
]
Mask = Annotated[int, msgspec.Meta(ge=0, le=(1 << TABLE_PARTITIONS) - 1)]


class About(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member's description of itself.

    Attributes:
        role: Its role.
        address: Address at which others reach it.
        zone: Its zone.
        versions: Wire versions that it reads.
        payload: Bytes of the application.
    """

    role: Role
    address: Address
    zone: Zone
    versions: Versions
    payload: Payload = b""


class Assertion(msgspec.Struct, frozen=True, array_like=True):
    """Asserts the state of a process at an incarnation.

    Fields are encoded by position; later versions add fields at the end.

    Attributes:
        name: Member name.
        gen: Generation of the process under that name.
        birth: Its birth id.
        inc: Its incarnation.
        state: Its state.
        age_s: Time since it died or left.
        by: Member that suspects it or declared it dead.
        about: Its own description; only with state alive.
    """

    name: Name
    gen: Gen
    birth: Birth
    inc: Inc
    state: State
    age_s: Age = 0
    by: Reporter = ""
    about: About | None = None


class Ping(Body, frozen=True, tag="ping"):
    """Requests an Ack.

    Attributes:
        number: Request number.
        seen: Digest of the processes that are up for the sender; 0 if not given.
    """

    number: Count
    seen: Count = 0


class Ack(Body, frozen=True, tag="ack"):
    """Answers a Ping; from a helper, tells that the target of a Relay has answered.

    Attributes:
        number: Number of the Ping or Relay.
        seen: Digest as in Ping.
    """

    number: Count
    seen: Count = 0


class Nack(Body, frozen=True, tag="nack"):
    """Sent by a helper: the target of a Relay has not answered yet."""

    number: Count


class Relay(Body, frozen=True, tag="relay"):
    """Asks a helper to ping a process (ping-req in SWIM)."""

    number: Count
    name: Name
    birth: Birth
    address: Address


class Rumour(Body, frozen=True, tag="rumour"):
    """Carries nothing but the assertions in its envelope."""


class Hello(Body, frozen=True, tag="hello"):
    """Starts a table comparison; the answer goes to the given address.

    Nothing in it is trusted, since it may be a replay.
    """

    number: Count
    address: Address


class Welcome(Body, frozen=True, tag="welcome"):
    """Answers a Hello.

    Attributes:
        number: Number of the Hello.
        token: Returned in Push, which shows that the Hello was not a replay.
        digests: Digests of all table partitions.
    """

    number: Count
    token: Count
    digests: Digests


class Push(Body, frozen=True, tag="push"):
    """Carries the initiator's assertions of the partitions that differ.

    Attributes:
        number: Number of the Hello.
        token: Token of the Welcome.
        want: In the last message, bit mask of the partitions whose assertions it requests; otherwise 0.
        more: Whether further messages follow.
    """

    number: Count
    token: Count
    want: Mask = 0
    more: bool = False


class Page(Body, frozen=True, tag="page"):
    """Carries the responder's assertions.

    Attributes:
        number: Number of the Hello.
        more: Whether further messages follow.
    """

    number: Count
    more: bool = False


Message = Ping | Ack | Nack | Relay | Rumour | Hello | Welcome | Push | Page
_WIRE_NAMES = {"birth": "b", "to": "o", "seq": "s", "message": "m", "assertions": "c"}


class Envelope(Body, frozen=True, tag="g", rename=_WIRE_NAMES):
    """The body of a gossip frame.

    Attributes:
        birth: Birth id of the sending process.
        to: Birth id of the receiving process.
        seq: Sequence number, greater in each message of a process; protects against replays.
        message: The message.
        assertions: Piggybacked assertions.
    """

    birth: Birth
    to: ReceiverBirth
    seq: Count
    message: Message
    assertions: list[Assertion] = msgspec.field(default_factory=list)


CODEC: BodyCodec[Envelope] = BodyCodec(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def is_printable(text: str) -> bool:
    """Whether it is printable ASCII without spaces, as names, addresses, roles and zones must be."""
    return text.isascii() and text.isprintable() and " " not in text


def is_valid(assertion: Assertion) -> bool:
    """Whether an assertion is valid beyond the bounds that the codec checks.

    Called only for assertions that would change something. Most received ones do not, so the codec does not
    check this for each.
    """
    about = assertion.about
    if not (is_printable(assertion.name) and is_printable(assertion.by)) or (about is None) != (
        assertion.state != 0
    ):
        return False
    return about is None or (
        is_printable(about.role) and is_printable(about.address) and is_printable(about.zone)
    )


def pack(assertion: Assertion) -> bytes:
    """Encode an assertion as it is embedded in an envelope."""
    return _ENCODER.encode(assertion)


def encode_envelope(envelope: Envelope, assertions: Sequence[bytes] = ()) -> bytes:
    """Encode an envelope with these packed assertions in place of its own."""
    if assertions:
        encoded = cast("list[Assertion]", [msgspec.Raw(one) for one in assertions])
        envelope = msgspec.structs.replace(envelope, assertions=encoded)
    return CODEC.encode(envelope)


def free_bytes(body: bytes, sender: str) -> int:
    """Return the bytes left in a datagram for packed assertions, for a body without any."""
    return (
        MAX_DATAGRAM_BYTES - HEADER_BYTES - len(sender) - TAG_BYTES - len(body) - 5
    )  # the key and the length of the list
