"""Binary forms of members, entries and memberships, the same on the wire and on the disk.

Lists are written as counted, length-prefixed parts: thrift's own lists cost whatever their count claims,
before one element is read.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from granitewell.coordination.consensus.terms import Entry, EntryKind, Member, Membership
from granitewell.model.errors import BadFrame
from granitewell.rpc.serialization import decode, load_idl

IDL: Any = load_idl(Path(__file__).with_name("consensus.thrift"))
_LENGTH = struct.Struct("!I")
_ENTRY = struct.Struct("!QQBI")
_FIELD = struct.Struct("!Bh")
_KINDS = {int(kind): kind for kind in EntryKind}

_STOP = 0
_BOOL = 2
_STRING = 11
_FIXED_SIZES = {_BOOL: 1, 8: 4, 10: 8}  # bool, i32, i64: the only types in the IDL besides strings


def decode_struct(kind: Any, data: bytes) -> Any:
    """A thrift struct of the IDL; raises BadFrame."""
    return decode(kind, data, check_flat)


def check_flat(data: bytes) -> None:
    """Raises BadFrame unless the bytes are one struct of plain fields. The library trusts lengths and
    nesting: eight bytes that claim a long list would take all memory."""
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
                    raise BadFrame(f"a field of type {kind}")
                (size,) = _LENGTH.unpack_from(data, at)
                size += _LENGTH.size
            at += size
            if at >= end:
                raise BadFrame("a field ends after the message")
    except (IndexError, struct.error) as error:
        raise BadFrame("cut short") from error
    if at != end - 1:
        raise BadFrame("bytes after the end")


def pack_list(parts: Iterable[bytes]) -> bytes:
    """Several byte strings as one."""
    pieces: list[bytes] = []
    for part in parts:
        pieces.append(_LENGTH.pack(len(part)))
        pieces.append(part)
    return b"".join(pieces)


def unpack_list(data: bytes) -> list[bytes]:
    """The byte strings that were packed as one; raises BadFrame."""
    parts: list[bytes] = []
    at = 0
    while at < len(data):
        at, length = _length_at(data, at)
        if at + length > len(data):
            raise BadFrame("a part ends after the list")
        parts.append(data[at : at + length])
        at += length
    return parts


def _length_at(data: bytes, at: int) -> tuple[int, int]:
    try:
        (length,) = _LENGTH.unpack_from(data, at)
    except struct.error as error:
        raise BadFrame("cut short") from error
    return at + _LENGTH.size, int(length)


def pack_member(member: Member) -> bytes:
    """A member's binary form."""
    return pack_list((member.replica_id.encode(), member.node_name.encode(), member.address.encode()))


def unpack_member(data: bytes) -> Member:
    """A member; raises BadFrame."""
    parts = unpack_list(data)
    if len(parts) < 3:
        raise BadFrame(f"a member of {len(parts)} parts")
    try:
        replica_id, node_name, address = (part.decode() for part in parts[:3])
    except UnicodeDecodeError as error:
        raise BadFrame("a member's text is not UTF-8") from error
    return Member(replica_id, node_name, address)


def pack_membership(membership: Membership) -> bytes:
    """A membership's binary form."""
    voters = pack_list(pack_member(member) for member in membership.voters)
    removed = pack_list(replica_id.encode() for replica_id in membership.removed)
    return pack_list((voters, removed))


def unpack_membership(data: bytes) -> Membership:
    """A membership; raises BadFrame."""
    parts = unpack_list(data)
    if len(parts) < 2:
        raise BadFrame(f"a membership of {len(parts)} parts")
    voters = tuple(unpack_member(part) for part in unpack_list(parts[0]))
    try:
        removed = tuple(part.decode() for part in unpack_list(parts[1]))
    except UnicodeDecodeError as error:
        raise BadFrame("an id is not UTF-8") from error
    return Membership(voters, removed)


def pack_entry(entry: Entry) -> bytes:
    """An entry's binary form, which says its own length."""
    return _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.data)) + entry.data


def pack_entries(entries: Iterable[Entry]) -> bytes:
    """Entries one after the other."""
    return b"".join(pack_entry(entry) for entry in entries)


def unpack_entries(data: bytes) -> tuple[Entry, ...]:
    """Entries that were packed one after the other; raises BadFrame."""
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
        raise BadFrame("an entry is cut short") from error
    start = at + _ENTRY.size
    if start + length > len(data):
        raise BadFrame("an entry ends after the message")
    if kind not in _KINDS:
        raise BadFrame(f"an entry of kind {kind}")
    entry = Entry(index, term, _KINDS[kind], data[start : start + length])
    if entry.kind in (EntryKind.ADD_VOTER, EntryKind.REMOVE_VOTER):
        unpack_member(entry.data)
    return entry, start + length
