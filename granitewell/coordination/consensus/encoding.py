"""Binary encodings of members, entries and memberships, used on the wire and on disk.

Lists are encoded as length-prefixed parts. Thrift's own lists allocate whatever their count claims before the
first element is read.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from granitewell.coordination.consensus.types import (
    MEMBERSHIP_KINDS,
    Entry,
    EntryKind,
    Member,
    Membership,
    VoterChange,
)
from granitewell.domain.errors import MalformedFrameError
from granitewell.rpc.serialization import decode, load_idl

IDL: Any = load_idl(Path(__file__).with_name("consensus.thrift"))
_LENGTH = struct.Struct("!I")
_ENTRY = struct.Struct("!QQBI")
_FIELD = struct.Struct("!Bh")
_KINDS = {int(kind): kind for kind in EntryKind}

CHANGE_VERSION = 1
"""Format version of the entries that begin and end a change of members."""

_STOP = 0
_BOOL = 2
_STRING = 11
_FIXED_SIZES = {_BOOL: 1, 8: 4, 10: 8}  # bool, i32, i64: the only types in the IDL besides strings


class NewerMembershipFormatError(MalformedFrameError):
    """A membership was written in a newer format.

    No part of it may be skipped, because it may change who has a vote.
    """


class UnknownEntryKindError(MalformedFrameError):
    """An entry has a kind that only a newer version knows."""


def decode_struct(kind: Any, data: bytes) -> Any:
    """Decode a thrift struct of the IDL.

    Raises:
        MalformedFrameError: The bytes are not such a struct.
    """
    return decode(kind, data, check_flat)


def check_flat(data: bytes) -> None:
    """Raise MalformedFrameError unless the bytes are exactly one struct of plain fields.

    The thrift library trusts lengths and nesting: eight bytes that claim a long list would exhaust the
    memory.
    """
    at = 0
    end = len(data)
    try:
        while True:
            kind = data[at]
            if kind == _STOP:
                break
            at += _FIELD.size
            size = _FIXED_SIZES.get(kind)
            if size is None:
                if kind != _STRING:
                    raise MalformedFrameError(f"a field of type {kind}")
                (size,) = _LENGTH.unpack_from(data, at)
                size += _LENGTH.size
            at += size
            if at >= end:
                raise MalformedFrameError("a field ends after the message")
    except (IndexError, struct.error) as error:
        raise MalformedFrameError("cut short") from error
    if at != end - 1:
        raise MalformedFrameError("bytes after the end")


def encode_list(parts: Iterable[bytes]) -> bytes:
    """Join byte strings, each with its length in front."""
    encoded: list[bytes] = []
    for part in parts:
        encoded.append(_LENGTH.pack(len(part)))
        encoded.append(part)
    return b"".join(encoded)


def decode_list(data: bytes) -> list[bytes]:
    """Split byte strings that `encode_list` has joined.

    Raises:
        MalformedFrameError: A part is cut short.
    """
    parts: list[bytes] = []
    at = 0
    while at < len(data):
        at, length = _length_at(data, at)
        if at + length > len(data):
            raise MalformedFrameError("a part ends after the list")
        parts.append(data[at : at + length])
        at += length
    return parts


def _length_at(data: bytes, at: int) -> tuple[int, int]:
    try:
        (length,) = _LENGTH.unpack_from(data, at)
    except struct.error as error:
        raise MalformedFrameError("cut short") from error
    return at + _LENGTH.size, int(length)


def encode_member(member: Member) -> bytes:
    """Encode a member."""
    return encode_list((member.replica_id.encode(), member.node_name.encode(), member.address.encode()))


def decode_member(data: bytes) -> Member:
    """Decode a member.

    Raises:
        MalformedFrameError: Parts are missing or are not UTF-8.
    """
    parts = decode_list(data)
    if len(parts) < 3:
        raise MalformedFrameError(f"a member of {len(parts)} parts")
    try:
        replica_id, node_name, address = (part.decode() for part in parts[:3])
    except UnicodeDecodeError as error:
        raise MalformedFrameError("a member's text is not UTF-8") from error
    return Member(replica_id, node_name, address)


def _encode_members(members: Iterable[Member]) -> bytes:
    return encode_list(encode_member(member) for member in members)


def _decode_members(data: bytes) -> tuple[Member, ...]:
    return tuple(decode_member(part) for part in decode_list(data))


def encode_change(change: VoterChange) -> bytes:
    """Encode the data of the entry that begins a change of members."""
    parts = encode_list((_encode_members(change.added), _encode_members(change.removed)))
    return bytes((CHANGE_VERSION,)) + parts


def decode_change(data: bytes) -> VoterChange:
    """Decode the data of the entry that begins a change of members.

    Raises:
        NewerMembershipFormatError: A newer version has written it.
        MalformedFrameError: The bytes cannot be read.
    """
    parts = decode_list(_unversioned(data))
    if len(parts) != 2:
        raise MalformedFrameError(f"a change of members of {len(parts)} parts")
    return VoterChange(_decode_members(parts[0]), _decode_members(parts[1]))


def encode_end(taken_over: bool) -> bytes:
    """Encode the data of the entry that ends a change of members.

    Args:
        taken_over: Whether the new voters take over; otherwise the change is rolled back.
    """
    return bytes((CHANGE_VERSION, taken_over))


def decode_end(data: bytes) -> bool:
    """Return whether a change ends with the new voters.

    Raises:
        NewerMembershipFormatError: A newer version has written it.
        MalformedFrameError: The bytes cannot be read.
    """
    rest = _unversioned(data)
    if rest not in (b"\0", b"\1"):
        raise MalformedFrameError("a change of members ends in no known way")
    return rest == b"\1"


def _unversioned(data: bytes) -> bytes:
    if not data:
        raise MalformedFrameError("a change of members without a version")
    if data[0] != CHANGE_VERSION:
        raise NewerMembershipFormatError(f"a change of members of version {data[0]}, known: {CHANGE_VERSION}")
    return data[1:]


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership. Outgoing voters are written only while members change."""
    removed = encode_list(replica_id.encode() for replica_id in membership.removed)
    parts = [_encode_members(membership.voters), removed]
    if membership.is_joint:
        parts.append(_encode_members(membership.outgoing_voters))
    return encode_list(parts)


def decode_membership(data: bytes) -> Membership:
    """Decode a membership.

    Raises:
        NewerMembershipFormatError: A newer version has written it.
        MalformedFrameError: The bytes cannot be read.
    """
    parts = decode_list(data)
    if len(parts) < 2:
        raise MalformedFrameError(f"a membership of {len(parts)} parts")
    if len(parts) > 3:
        raise NewerMembershipFormatError(f"a membership of {len(parts)} parts, known: 3")
    voters = _decode_members(parts[0])
    outgoing_voters = _decode_members(parts[2]) if len(parts) > 2 else ()
    try:
        removed = tuple(part.decode() for part in decode_list(parts[1]))
    except UnicodeDecodeError as error:
        raise MalformedFrameError("an id is not UTF-8") from error
    return Membership(voters, removed, outgoing_voters)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry, with its length."""
    return _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.data)) + entry.data


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Encode entries one after the other."""
    return b"".join(encode_entry(entry) for entry in entries)


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """Decode entries that were encoded one after the other.

    Raises:
        UnknownEntryKindError: An entry has a kind that only a newer version knows.
        MalformedFrameError: The bytes cannot be read.
    """
    entries: list[Entry] = []
    at = 0
    while at < len(data):
        entry, at = _entry_at(data, at)
        entries.append(entry)
    return tuple(entries)


def _entry_at(data: bytes, at: int) -> tuple[Entry, int]:
    try:
        index, term, kind, length = _ENTRY.unpack_from(data, at)
    except struct.error as error:
        raise MalformedFrameError("an entry is cut short") from error
    start = at + _ENTRY.size
    if start + length > len(data):
        raise MalformedFrameError("an entry ends after the message")
    if kind not in _KINDS:
        raise UnknownEntryKindError(f"an entry of kind {kind}")
    entry = Entry(index, term, _KINDS[kind], data[start : start + length])
    _check_change(entry)
    return entry, start + length


def _check_change(entry: Entry) -> None:
    """Raise MalformedFrameError if an entry that changes members cannot be decoded."""
    if entry.kind is EntryKind.CHANGE_VOTERS:
        decode_change(entry.data)
    elif entry.kind is EntryKind.END_CHANGE:
        decode_end(entry.data)
    elif entry.kind in MEMBERSHIP_KINDS:
        decode_member(entry.data)
