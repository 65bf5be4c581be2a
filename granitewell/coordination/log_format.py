"""Format of a durable log: a header and checksummed frames, and their interpretation when read.

The file consists of a header (magic, version, salt) and frames. A frame is one batch: a magic number, its
length, a checksum that also covers the salt and the frame's offset in the file, and the payload. A frame is
written only after all frames before it are synced, so that a power loss leaves at most the last frame missing
or torn. When read:

- a frame that is invalid and has no valid frame after it was never acknowledged: the file is truncated there;
- a frame that is invalid and has a valid frame after it is corruption: `CorruptLogError`;
- a file of another version is refused and left unchanged: `UnknownLogVersionError`;
- so is a file that belongs to another owner: `ForeignLogError`. The upper half of the salt identifies the
  owner; in version 1 the complete salt was random.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

from granitewell.domain.errors import GranitewellError

MAGIC = b"GWDL"
VERSION = 2
VERSION_WITHOUT_OWNER = 1
"""Like `VERSION`, but its salt does not identify the owner."""
_HEAD = struct.Struct("!4sHQI")  # magic, version, salt, checksum of the fields before it
_FRAME = struct.Struct("!4sIQI")  # magic, payload length, offset in the file, checksum
_FRAME_MAGIC = b"\xf7GWf"
HEAD_BYTES = _HEAD.size
_RANDOM_BITS = 32
_RANDOM_MASK = (1 << _RANDOM_BITS) - 1


class DurableLogError(GranitewellError):
    """A log on disk cannot be used."""


class CorruptLogError(DurableLogError):
    """A log is damaged before its end: something that was synced has changed."""

    def __init__(self, path: str, offset: int) -> None:
        super().__init__(f"{path} is damaged at byte {offset}")
        self.path = path
        self.offset = offset


class UnknownLogVersionError(DurableLogError):
    """A log was written by a newer version."""

    def __init__(self, path: str, version: int) -> None:
        super().__init__(f"{path} has version {version}, known: {VERSION_WITHOUT_OWNER} to {VERSION}")
        self.version = version


class ForeignLogError(DurableLogError):
    """A log is intact but belongs to another owner."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path} is the log of another owner")
        self.path = path


def fingerprint(owner: str) -> int:
    """Return the 32 bits that identify an owner in a file's header."""
    return crc32(owner.encode())


def salt_of(owner: int, random_bits: int) -> int:
    """Return the salt of an owner's file."""
    return owner << _RANDOM_BITS | random_bits & _RANDOM_MASK


def head(salt: int) -> bytes:
    """Return the header of a file."""
    bare = _HEAD.pack(MAGIC, VERSION, salt, 0)[:-4]
    return bare + struct.pack("!I", crc32(bare))


def frame(salt: int, offset: int, payload: bytes) -> bytes:
    """Return a batch as a frame at an offset of a file."""
    bare = _FRAME.pack(_FRAME_MAGIC, len(payload), offset, 0)[:-4]
    return bare + struct.pack("!I", _checksum(salt, bare, payload)) + payload


def _checksum(salt: int, bare: bytes, payload: bytes) -> int:
    return crc32(payload, crc32(bare, salt & 0xFFFFFFFF))


@dataclass(frozen=True, slots=True)
class Contents:
    """Contents of a file.

    Attributes:
        salt: Salt in the header.
        payloads: The batches.
        length: Length of the valid part, in bytes; the rest is to be truncated.
        last_offset: Offset of the last valid batch.
    """

    salt: int
    payloads: tuple[bytes, ...]
    length: int
    last_offset: int


def parse(path: str, data: bytes, owner: int) -> Contents:
    """Return the batches of an owner's file.

    Raises:
        CorruptLogError: The file is damaged.
        UnknownLogVersionError: A newer version has written it.
        ForeignLogError: It belongs to another owner.
    """
    salt = _parse_head(path, data, owner)
    payloads: list[bytes] = []
    offset = last_offset = _HEAD.size
    while offset < len(data):
        payload = _frame_at(salt, data, offset)
        if payload is None:
            if _valid_frame_after(salt, data, offset):
                raise CorruptLogError(path, offset)
            break
        payloads.append(payload)
        last_offset = offset
        offset += _FRAME.size + len(payload)
    return Contents(salt, tuple(payloads), offset, last_offset)


def _parse_head(path: str, data: bytes, owner: int) -> int:
    if len(data) < _HEAD.size:
        raise CorruptLogError(path, 0)
    magic, version, salt, checksum = _HEAD.unpack_from(data)
    if magic != MAGIC or crc32(data[: _HEAD.size - 4]) != checksum:
        raise CorruptLogError(path, 0)
    if version == VERSION and salt >> _RANDOM_BITS != owner:
        raise ForeignLogError(path)
    if version not in (VERSION, VERSION_WITHOUT_OWNER):
        raise UnknownLogVersionError(path, version)
    return int(salt)


def _frame_at(salt: int, data: bytes, offset: int) -> bytes | None:
    if offset + _FRAME.size > len(data):
        return None
    mark, length, stored_offset, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    if mark != _FRAME_MAGIC or stored_offset != offset or length > len(data) - start:
        return None
    payload = data[start : start + length]
    bare = data[offset : start - 4]
    return payload if _checksum(salt, bare, payload) == checksum else None


def _valid_frame_after(salt: int, data: bytes, offset: int) -> bool:
    at = data.find(_FRAME_MAGIC, offset + 1)
    while at != -1:
        if _frame_at(salt, data, at) is not None:
            return True
        at = data.find(_FRAME_MAGIC, at + 1)
    return False
