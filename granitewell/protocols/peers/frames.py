"""Frames of messages between nodes: version, kind, sender and body, authenticated with a shared key.

This module defines the layout, the tag and the size bounds. It does no I/O, reads no clock, does not
interpret bodies and raises nothing on bytes from outside. Bytes that do not verify give `Refused`. Replays
are detected by the protocol of each kind, not here.

    offset  bytes  field (numbers are big-endian)
    0       2      magic, "GW"
    2       1      version; what follows is laid out as here in version 1
    3       1      kind: protocol of the message; see Kind
    4       4      length of the body
    8       4      key id: which of the shared keys was used
    12      1      length of the sender's name, 1 to 63
    13      n      sender's name: printable ASCII without spaces
    13+n    ...    body
    end     16     tag: BLAKE2b, keyed, over all before it (RFC 7693, sections 2.9 and 3.3)

Magic and version keep their offsets in all versions: an unknown version is refused before anything else is
read. The answer to it (`refusal`) is a frame of version 1, which every node reads and does not answer.
Callers must limit how often they send a refusal, since name and tag of the refused frame are not verified.

Keys are rotated without interruption in three steps: every node accepts the new key too; every node seals
with the new key; the old key is removed. So there are at most two keys at a time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct

MAGIC = b"GW"
VERSIONS = (1,)  # that this node reads, ascending; it writes the last by default
MAX_DATAGRAM_BYTES = 1_200  # a whole frame; fits the MTU of any path, as in RFC 9000, section 14
MAX_STREAM_FRAME_BYTES = 1 << 20
MAX_NAME_BYTES = 63
TAG_BYTES = 16
MIN_SECRET_BYTES, MAX_SECRET_BYTES = 16, 64  # BLAKE2b takes keys of up to 64 bytes

_HEADER = Struct(">2sBBI4sB")
_TAG_PERSON = b"granitewell peer"  # BLAKE2b personalisation: separates this use of the key from others
_KEY_PERSON = b"granitewell k-id"

HEADER_BYTES = _HEADER.size
MAX_OVERHEAD_BYTES = HEADER_BYTES + MAX_NAME_BYTES + TAG_BYTES  # most bytes that a frame adds to its body


class Kind(IntEnum):
    """Protocol of a message. An unknown kind is no error: open_ returns it as a number."""

    REFUSAL = 1  # unknown version; the body lists the known ones
    GOSSIP = 16  # membership
    LEASE = 32  # lease votes and grants
    SUMMARY = 48  # observations of a forwarder
    PLAN = 49
    COUNT = 64  # use of shared counters
    RIGHT = 65  # loans of quota shares


_REFUSAL = bytes((1, Kind.REFUSAL))  # version and kind


class RefusalReason(Enum):
    """Reason for refusing bytes."""

    SHORT = "short"  # fewer bytes than the header says
    LONG = "long"  # more bytes than allowed, or than the header says
    MAGIC = "magic"
    VERSION = "version"
    NAME = "name"
    KEY = "key"
    TAG_BYTES = "tag"


@dataclass(frozen=True, slots=True)
class Frame:
    """A verified frame, sealed by a holder of the key.

    Attributes:
        kind: Protocol of the message.
        sender: Name given by the sender; any holder of the key can use any name.
        body: The encoded message.
        version: Version of the frame.
        key: Id of the key that sealed it.
    """

    kind: int
    sender: str
    body: bytes
    version: int
    key: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Bytes that are not a valid frame.

    Attributes:
        why: Reason.
        text: Reason in words, for the log.
        versions: Versions that this node reads, if that is the reason.
    """

    why: RefusalReason
    text: str
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret of 16 to 64 bytes. Raises ValueError for another length."""

    secret: bytes = field(repr=False)
    id: bytes = field(init=False)

    def __post_init__(self) -> None:
        size = len(self.secret)
        if not MIN_SECRET_BYTES <= size <= MAX_SECRET_BYTES:
            raise ValueError(f"key: found {size} bytes, allowed are {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}")
        object.__setattr__(self, "id", blake2b(self.secret, digest_size=4, person=_KEY_PERSON).digest())

    def tag(self, data: bytes) -> bytes:
        """Return the tag for all bytes before it."""
        return blake2b(data, digest_size=TAG_BYTES, key=self.secret, person=_TAG_PERSON).digest()


@dataclass(frozen=True, slots=True)
class Keys:
    """The key that seals and an optional second one for opening. Raises ValueError if their ids are equal."""

    current: Key
    other: Key | None = None

    def __post_init__(self) -> None:
        if self.other is not None and self.other.id == self.current.id:
            raise ValueError("keys: found two with the same id, allowed are two different ones")

    def by_id(self, key_id: bytes) -> Key | None:
        """Return the key with an id, if it is one of ours."""
        if key_id == self.current.id:
            return self.current
        return self.other if self.other is not None and key_id == self.other.id else None


def kind_of(data: bytes) -> int:
    """Return the unverified kind in a frame's header, for dispatching; 0 if the header is incomplete."""
    return data[3] if len(data) >= HEADER_BYTES else 0


def seal(
    kind: int,
    body: bytes,
    keys: Keys,
    sender: str,
    *,
    limit: int = MAX_DATAGRAM_BYTES,
    version: int = VERSIONS[-1],
) -> bytes:
    """Build a frame. Raises ValueError if the name or the size is not allowed."""
    name = sender.encode("ascii", "replace")
    if not _is_valid_name(name) or name.decode() != sender:
        raise ValueError(
            f"sender: found {sender!r}, allowed are 1 to {MAX_NAME_BYTES} bytes of printable ASCII"
        )
    size = HEADER_BYTES + len(name) + len(body) + TAG_BYTES
    if size > limit:
        raise ValueError(f"frame: found {size} bytes, allowed are {limit}")
    head = _HEADER.pack(MAGIC, version, kind, len(body), keys.current.id, len(name))
    data = head + name + body
    return data + keys.current.tag(data)


def open_(
    data: bytes, keys: Keys, *, limit: int = MAX_DATAGRAM_BYTES, versions: Sequence[int] = VERSIONS
) -> Frame | Refused:
    """Verify and parse bytes that should be exactly one frame. Never raises."""
    size = _frame_size(data, limit, versions)
    if isinstance(size, Refused):
        return size
    if size != len(data):
        why = RefusalReason.SHORT if size > len(data) else RefusalReason.LONG
        return Refused(why, f"found {len(data)} bytes of a frame of {size}")
    _, version, kind, length, key_id, name_bytes = _HEADER.unpack_from(data)
    key = keys.by_id(key_id)
    if key is None:
        return Refused(RefusalReason.KEY, f"sealed with the key {key_id.hex()}, which is not ours")
    if not compare_digest(key.tag(data[:-TAG_BYTES]), data[-TAG_BYTES:]):
        return Refused(RefusalReason.TAG_BYTES, "the tag does not fit")
    name = data[HEADER_BYTES : HEADER_BYTES + name_bytes]
    if not _is_valid_name(name):
        return Refused(RefusalReason.NAME, f"the sender's name is {name!r}")
    return Frame(
        kind, name.decode("ascii"), data[HEADER_BYTES + name_bytes : size - TAG_BYTES], version, key_id
    )


def refusal(keys: Keys, sender: str, versions: Sequence[int] = VERSIONS) -> bytes:
    """Build the answer to an unknown version: a frame of version 1 that lists ours, one byte each."""
    return seal(Kind.REFUSAL, bytes(versions), keys, sender, version=1)


class FrameSplitter:
    """Splits a stream into frames.

    It buffers at most one incomplete frame of up to `limit` bytes. After bytes that cannot be a frame it
    accepts nothing more, since the start of the next frame is unknown; the stream must then be closed.
    """

    __slots__ = ("_buffer", "_limit", "_refused", "_versions")

    def __init__(self, limit: int = MAX_STREAM_FRAME_BYTES, versions: Sequence[int] = VERSIONS) -> None:
        self._buffer = bytearray()
        self._limit, self._versions = limit, tuple(versions)
        self._refused: Refused | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of an incomplete frame."""
        return len(self._buffer)

    @property
    def error(self) -> Refused | None:
        """Why the stream must be closed; None if it need not."""
        return self._refused

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete now, each to be passed to open_; check `error` afterwards."""
        frames: list[bytes] = []
        if self._refused is not None:
            return frames
        buffered_bytes, start = self._buffer, 0
        buffered_bytes += data
        while len(buffered_bytes) - start >= HEADER_BYTES:
            size = _frame_size(buffered_bytes[start : start + HEADER_BYTES], self._limit, self._versions)
            if isinstance(size, Refused):
                self._refused = size
                buffered_bytes.clear()
                return frames
            if len(buffered_bytes) - start < size:
                break
            frames.append(bytes(buffered_bytes[start : start + size]))
            start += size
        del buffered_bytes[:start]
        return frames


def _frame_size(data: bytes | bytearray, limit: int, versions: Sequence[int]) -> int | Refused:
    """Return the size of a frame by its header; the header of a refusal is read in every version."""
    if data[:2] != MAGIC[: len(data)]:
        return Refused(RefusalReason.MAGIC, f"starts with {bytes(data[:2])!r}, not {MAGIC!r}")
    if len(data) > 2 and data[2] not in versions and bytes(data[2:4]) != _REFUSAL:
        known = ", ".join(map(str, versions))
        return Refused(RefusalReason.VERSION, f"found version {data[2]}, known are {known}", tuple(versions))
    if len(data) < HEADER_BYTES:
        return Refused(RefusalReason.SHORT, f"found {len(data)} bytes, a head has {HEADER_BYTES}")
    length: int
    name_bytes: int
    _, _, _, length, _, name_bytes = _HEADER.unpack_from(data)
    if not 1 <= name_bytes <= MAX_NAME_BYTES:
        return Refused(
            RefusalReason.NAME, f"the sender's name has {name_bytes} bytes, allowed are 1 to {MAX_NAME_BYTES}"
        )
    size = HEADER_BYTES + name_bytes + length + TAG_BYTES
    if size > limit:
        return Refused(RefusalReason.LONG, f"a frame of {size} bytes, allowed are {limit}")
    return size


def _is_valid_name(name: bytes) -> bool:
    return 1 <= len(name) <= MAX_NAME_BYTES and all(0x21 <= c <= 0x7E for c in name)
