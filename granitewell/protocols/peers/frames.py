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
MAX_DATAGRAM = 1_200  # bytes of a whole frame: fits any path's MTU (RFC 9000, section 14, takes the same)
MAX_STREAM = 1 << 20
MAX_NAME = 63
TAG = 16
MIN_SECRET, MAX_SECRET = 16, 64  # bytes; BLAKE2b takes a key of up to 64

_HEAD = Struct(">2sBBI4sB")
_TAG_PERSON = b"granitewell peer"  # BLAKE2b's personalisation: the key serves no other purpose by accident
_KEY_PERSON = b"granitewell k-id"

HEAD = _HEAD.size
OVERHEAD = HEAD + MAX_NAME + TAG  # the most that a frame adds to its body


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


class Why(Enum):
    """Why bytes were refused."""

    SHORT = "short"  # fewer bytes than the frame says
    LONG = "long"  # more bytes than are allowed, or than the frame says
    MAGIC = "magic"
    VERSION = "version"
    NAME = "name"
    KEY = "key"
    TAG = "tag"


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

    why: Why
    text: str
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret of 16 to 64 bytes. Raises ValueError on any other length."""

    secret: bytes = field(repr=False)
    id: bytes = field(init=False)

    def __post_init__(self) -> None:
        size = len(self.secret)
        if not MIN_SECRET <= size <= MAX_SECRET:
            raise ValueError(f"key: found {size} bytes, allowed are {MIN_SECRET} to {MAX_SECRET}")
        object.__setattr__(self, "id", blake2b(self.secret, digest_size=4, person=_KEY_PERSON).digest())

    def tag(self, data: bytes) -> bytes:
        """Of everything before the tag."""
        return blake2b(data, digest_size=TAG, key=self.secret, person=_TAG_PERSON).digest()


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
    return data[3] if len(data) >= HEAD else 0


def seal(
    kind: int, body: bytes, keys: Keys, sender: str, *, limit: int = MAX_DATAGRAM, version: int = VERSIONS[-1]
) -> bytes:
    """A frame. Raises ValueError where the name or the size is not allowed: the sender's own mistake."""
    name = sender.encode("ascii", "replace")
    if not _named(name) or name.decode() != sender:
        raise ValueError(f"sender: found {sender!r}, allowed are 1 to {MAX_NAME} bytes of printable ASCII")
    size = HEAD + len(name) + len(body) + TAG
    if size > limit:
        raise ValueError(f"frame: found {size} bytes, allowed are {limit}")
    head = _HEAD.pack(MAGIC, version, kind, len(body), keys.current.id, len(name))
    data = head + name + body
    return data + keys.current.tag(data)


def open_(
    data: bytes, keys: Keys, *, limit: int = MAX_DATAGRAM, versions: Sequence[int] = VERSIONS
) -> Frame | Refused:
    """The frame that these bytes are, whole and alone, or why not. Never raises."""
    size = _size(data, limit, versions)
    if isinstance(size, Refused):
        return size
    if size != len(data):
        why = Why.SHORT if size > len(data) else Why.LONG
        return Refused(why, f"found {len(data)} bytes of a frame of {size}")
    _, version, kind, length, key_id, named = _HEAD.unpack_from(data)
    key = keys.by_id(key_id)
    if key is None:
        return Refused(Why.KEY, f"sealed with the key {key_id.hex()}, which is not ours")
    if not compare_digest(key.tag(data[:-TAG]), data[-TAG:]):
        return Refused(Why.TAG, "the tag does not fit")
    name = data[HEAD : HEAD + named]
    if not _named(name):
        return Refused(Why.NAME, f"the sender's name is {name!r}")
    return Frame(kind, name.decode("ascii"), data[HEAD + named : size - TAG], version, key_id)


def refusal(keys: Keys, sender: str, versions: Sequence[int] = VERSIONS) -> bytes:
    """The answer to a version that is not known: a frame of the first version that names ours, a byte
    each.
    """
    return seal(Kind.REFUSAL, bytes(versions), keys, sender, version=1)


class Splitter:
    """Cuts a stream into frames.

    It holds at most one frame that is not whole, `limit` bytes of it; after bytes that can't be a frame it
    takes nothing more, since where the next one starts can't be known: the stream is then to be closed.
    """

    __slots__ = ("_held", "_limit", "_refused", "_versions")

    def __init__(self, limit: int = MAX_STREAM, versions: Sequence[int] = VERSIONS) -> None:
        self._held = bytearray()
        self._limit, self._versions = limit, tuple(versions)
        self._refused: Refused | None = None

    @property
    def held(self) -> int:
        """Bytes kept until the rest comes."""
        return len(self._held)

    @property
    def broken(self) -> Refused | None:
        """Why the stream is to be closed, if it is."""
        return self._refused

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, each for open_. Look at `broken` afterwards."""
        frames: list[bytes] = []
        if self._refused is not None:
            return frames
        held, start = self._held, 0
        held += data
        while len(held) - start >= HEAD:
            size = _size(held[start : start + HEAD], self._limit, self._versions)
            if isinstance(size, Refused):
                self._refused = size
                held.clear()
                return frames
            if len(held) - start < size:
                break
            frames.append(bytes(held[start : start + size]))
            start += size
        del held[:start]
        return frames


def _size(data: bytes | bytearray, limit: int, versions: Sequence[int]) -> int | Refused:
    """Bytes of the whole frame by its head; a refusal has one in every version."""
    if data[:2] != MAGIC[: len(data)]:
        return Refused(Why.MAGIC, f"starts with {bytes(data[:2])!r}, not {MAGIC!r}")
    if len(data) > 2 and data[2] not in versions and bytes(data[2:4]) != _REFUSAL:
        known = ", ".join(map(str, versions))
        return Refused(Why.VERSION, f"found version {data[2]}, known are {known}", tuple(versions))
    if len(data) < HEAD:
        return Refused(Why.SHORT, f"found {len(data)} bytes, a head has {HEAD}")
    length: int
    named: int
    _, _, _, length, _, named = _HEAD.unpack_from(data)
    if not 1 <= named <= MAX_NAME:
        return Refused(Why.NAME, f"the sender's name has {named} bytes, allowed are 1 to {MAX_NAME}")
    size = HEAD + named + length + TAG
    if size > limit:
        return Refused(Why.LONG, f"a frame of {size} bytes, allowed are {limit}")
    return size


def _named(name: bytes) -> bool:
    return 1 <= len(name) <= MAX_NAME and all(0x21 <= c <= 0x7E for c in name)
