"""Frames of messages between nodes: who says it, in which version, sealed with a shared key.

It owns the layout, the tag and the bounds on size. It must never say what a body means, touch a socket, read
a clock or raise on bytes from outside. What does not verify gives `Refused` and nothing else, so that whoever
asks first changes nothing by it. Whether a frame that verifies has come before is for its subject to know.

    offset  bytes  field (numbers are big-endian)
    0       2      magic, "GW"
    2       1      version; what follows is laid out as here in version 1
    3       1      kind: whose message it is; see Kind
    4       4      length of the body
    8       4      key id: which of the shared keys seals it
    12      1      length of the sender's name, 1 to 63
    13      n      sender's name: printable ASCII without spaces
    13+n    ...    body
    end     16     tag: BLAKE2b, keyed, over all before it (RFC 7693, sections 2.9 and 3.3)

Magic and version stay where they are for ever: a version that is not known is refused before anything else is
looked at. The answer to it (`refusal`) is a frame of version 1, which every node reads whatever it knows, and
does not answer. How often a refusal is sent is for the caller to limit: such a frame's name and tag prove
nothing.

Keys are changed without a stop in three steps: every node opens with the new one too; every node seals with
the new one; the old one goes. That is two keys at once, and never more.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct

MAGIC = b"GW"
VERSIONS = (1,)  # that this node reads, ascending; it writes the last unless told otherwise
MAX_DATAGRAM_BYTES = (
    1_200  # bytes of a whole frame: fits any path's MTU (RFC 9000, section 14, takes the same)
)
MAX_STREAM_FRAME_BYTES = 1 << 20
MAX_NAME_BYTES = 63
TAG_BYTES = 16
MIN_SECRET_BYTES, MAX_SECRET_BYTES = 16, 64  # bytes; BLAKE2b takes a key of up to 64

_HEADER = Struct(">2sBBI4sB")
_TAG_PERSON = b"granitewell peer"  # BLAKE2b's personalisation: the key serves no other purpose by accident
_KEY_PERSON = b"granitewell k-id"

HEADER_BYTES = _HEADER.size
MAX_OVERHEAD_BYTES = HEADER_BYTES + MAX_NAME_BYTES + TAG_BYTES  # the most that a frame adds to its body


class Kind(IntEnum):
    """Whose message it is. A kind that is not known is skipped: open_ gives it as a number."""

    REFUSAL = 1  # a version was not known; the body names those that are
    GOSSIP = 16  # membership
    LEASE = 32  # terms, votes, leases
    SUMMARY = 48  # what a forwarder has seen
    PLAN = 49
    COUNT = 64  # what was used
    RIGHT = 65  # to use, and who has it


_REFUSAL = bytes((1, Kind.REFUSAL))  # version and kind


class RefusalReason(Enum):
    """Why bytes were refused."""

    SHORT = "short"  # fewer bytes than the frame says
    LONG = "long"  # more bytes than are allowed, or than the frame says
    MAGIC = "magic"
    VERSION = "version"
    NAME = "name"
    KEY = "key"
    TAG_BYTES = "tag"


@dataclass(frozen=True, slots=True)
class Frame:
    """What was sealed by a holder of the key.

    Attributes:
        sender: The name that it gives itself; any holder of the key can give any name.
        key: The id of the key that sealed it.
    """

    kind: int
    sender: str
    body: bytes
    version: int
    key: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Bytes that are no frame for us.

    Attributes:
        versions: Those that this node reads, where that is the reason.
    """

    why: RefusalReason
    text: str
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret of 16 to 64 bytes. Raises ValueError on any other length."""

    secret: bytes = field(repr=False)
    id: bytes = field(init=False)

    def __post_init__(self) -> None:
        size = len(self.secret)
        if not MIN_SECRET_BYTES <= size <= MAX_SECRET_BYTES:
            raise ValueError(f"key: found {size} bytes, allowed are {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}")
        object.__setattr__(self, "id", blake2b(self.secret, digest_size=4, person=_KEY_PERSON).digest())

    def tag(self, data: bytes) -> bytes:
        """Of everything before the tag."""
        return blake2b(data, digest_size=TAG_BYTES, key=self.secret, person=_TAG_PERSON).digest()


@dataclass(frozen=True, slots=True)
class Keys:
    """The key that seals, and one more that opens too. Raises ValueError where both have the same id."""

    current: Key
    other: Key | None = None

    def __post_init__(self) -> None:
        if self.other is not None and self.other.id == self.current.id:
            raise ValueError("keys: found two with the same id, allowed are two different ones")

    def by_id(self, key_id: bytes) -> Key | None:
        """The key with that id, if it is one of ours."""
        if key_id == self.current.id:
            return self.current
        return self.other if self.other is not None and key_id == self.other.id else None


def kind_of(data: bytes) -> int:
    """The kind that a frame's head names, proved by nothing: whose machine is to open it. 0 for no head."""
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
    """A frame. Raises ValueError where the name or the size is not allowed: the sender's own mistake."""
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
    """The frame that these bytes are, whole and alone, or why not. Never raises."""
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
    """The answer to a version that is not known: a frame of the first version that names ours, a byte
    each.
    """
    return seal(Kind.REFUSAL, bytes(versions), keys, sender, version=1)


class FrameSplitter:
    """Cuts a stream into frames.

    It holds at most one frame that is not whole, `limit` bytes of it; after bytes that can't be a frame it
    takes nothing more, since where the next one starts can't be known: the stream is then to be closed.
    """

    __slots__ = ("_buffer", "_limit", "_refused", "_versions")

    def __init__(self, limit: int = MAX_STREAM_FRAME_BYTES, versions: Sequence[int] = VERSIONS) -> None:
        self._buffer = bytearray()
        self._limit, self._versions = limit, tuple(versions)
        self._refused: Refused | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept until the rest comes."""
        return len(self._buffer)

    @property
    def error(self) -> Refused | None:
        """Why the stream is to be closed, if it is."""
        return self._refused

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, each for open_. Look at `broken` afterwards."""
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
    """Bytes of the whole frame by its head; a refusal has one in every version."""
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
