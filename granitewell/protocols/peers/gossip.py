"""Bodies of membership messages: who is alive, as members tell each other.

It owns their fields, bounds and how claims are packed into what room a message has left. It must never know
which claim wins, nor who is asked. Ages are lengths in seconds; no message carries a reading of a clock.

`number` ties an answer to its question: whoever asks draws it from a counter of its own process. `birth` is
the random number of a process; `to` is the birth of the process that a letter is for, and 0 in `Hello` alone,
which is said before it is known.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, cast

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count
from granitewell.protocols.peers.frames import HEADER_BYTES, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, TAG_BYTES

MAX_INC = 1 << 40  # an incarnation above it is not believed: nobody changes so often
MAX_GEN = 1 << 32
MAX_ROLE_BYTES, MAX_ADDRESS_BYTES, MAX_ZONE_BYTES, MAX_PAYLOAD_BYTES, MAX_VERSIONS = 16, 64, 32, 128, 8
TABLE_PARTITIONS = 32  # parts of a table that are compared by a digest each
DIGEST_BYTES = 8  # bytes of one
MAX_PAGE_BYTES = 32_768  # bytes of claims in one letter on a stream

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
    """What a member says of itself.

    Attributes:
        versions: Of the wire, that it reads.
        payload: The subject's own.
    """

    role: Role
    address: Address
    zone: Zone
    versions: Versions
    payload: Payload = b""


class Assertion(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member: the process `birth`, which is the gen-th life of that name, is in that state
    at that incarnation. age_s: of dead and left, since when. by: who suspects it or calls it dead. about:
    with alive alone, from the member itself. Fields are sent by place: later versions add at the end.
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
    """Are you there?

    Attributes:
        seen: A digest of those whom the asker has as up, 0 where it does not say.
    """

    number: Count
    seen: Count = 0


class Ack(Body, frozen=True, tag="ack"):
    """Yes; or, from a helper: it is.

    Attributes:
        seen: As in a ping.
    """

    number: Count
    seen: Count = 0


class Nack(Body, frozen=True, tag="nack"):
    """From a helper: I am here, and have not heard from it yet."""

    number: Count


class Relay(Body, frozen=True, tag="relay"):
    """Ping that process for me."""

    number: Count
    name: Name
    birth: Birth
    address: Address


class Rumour(Body, frozen=True, tag="rumour"):
    """Nothing but the claims that come with it."""


class Hello(Body, frozen=True, tag="hello"):
    """Let us compare tables; answer to that address.

    Nothing of it is believed, since it may be an old one.
    """

    number: Count
    address: Address


class Welcome(Body, frozen=True, tag="welcome"):
    """The answer.

    Attributes:
        token: Shows, when it comes back, that it is not an old hello that was answered.
    """

    number: Count
    token: Count
    digests: Digests


class Push(Body, frozen=True, tag="push"):
    """Claims of the asker's, from the parts that differ.

    Attributes:
        want: The parts of which it wants the other's, after the last letter of them (more False); 0: it needs
            nothing more.
    """

    number: Count
    token: Count
    want: Mask = 0
    more: bool = False


class Page(Body, frozen=True, tag="page"):
    """Claims of the one asked.

    Attributes:
        more: Further letters of them follow.
    """

    number: Count
    more: bool = False


Message = Ping | Ack | Nack | Relay | Rumour | Hello | Welcome | Push | Page
_WIRE_NAMES = {"birth": "b", "to": "o", "seq": "s", "message": "m", "assertions": "c"}


class Envelope(Body, frozen=True, tag="g", rename=_WIRE_NAMES):
    """What is sealed.

    Attributes:
        birth: Of the sender's process.
        to: Of the receiver's.
        seq: Higher in each letter of a process, so that none is heard twice.
    """

    birth: Birth
    to: ReceiverBirth
    seq: Count
    message: Message
    assertions: list[Assertion] = msgspec.field(default_factory=list)


CODEC: BodyCodec[Envelope] = BodyCodec(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def is_printable(text: str) -> bool:
    """Whether it is printable ASCII without spaces, as names, addresses, roles and zones have to be."""
    return text.isascii() and text.isprintable() and " " not in text


def is_valid(assertion: Assertion) -> bool:
    """What the bounds don't say.

    To be asked before a claim changes anything; most claims that are heard change nothing, so the codec does
    not ask it of each.
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
    """A claim as it stands in a letter."""
    return _ENCODER.encode(assertion)


def encode_envelope(envelope: Envelope, assertions: Sequence[bytes] = ()) -> bytes:
    """The body of a letter that carries these packed claims, and none of its own."""
    if assertions:
        encoded = cast("list[Assertion]", [msgspec.Raw(one) for one in assertions])
        envelope = msgspec.structs.replace(envelope, assertions=encoded)
    return CODEC.encode(envelope)


def free_bytes(body: bytes, sender: str) -> int:
    """Bytes that a datagram has left for packed claims beside this body, which carries none."""
    return (
        MAX_DATAGRAM_BYTES - HEADER_BYTES - len(sender) - TAG_BYTES - len(body) - 5
    )  # the key, and the length of the list
