"""Encode messages between replicas as frames, and decode frames.

A frame is a version, the number of the message's type, a checksum of the rest, and a thrift struct of
consensus.thrift. Fields that a newer sender added are skipped. A frame of another version or of an unknown
type, a damaged frame, and one with a missing or invalid field raise MalformedFrameError.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any
from zlib import crc32

from granitewell.coordination.consensus import messages
from granitewell.coordination.consensus.encoding import (
    IDL,
    decode_entries,
    decode_member,
    decode_membership,
    decode_struct,
    encode_entries,
    encode_member,
    encode_membership,
)
from granitewell.coordination.consensus.messages import Message
from granitewell.domain.errors import MalformedFrameError
from granitewell.rpc.serialization import encode as encode_struct

VERSION = 1
_HEAD = struct.Struct("!BBI")
MAX_IDENTIFIER = 128
"""Maximum length of a replica id, in characters."""


@dataclass(frozen=True, slots=True)
class _FieldCodec:
    """Encoder and decoder of a field for which thrift has no plain type."""

    pack: Callable[[Any], bytes]
    unpack: Callable[[bytes], Any]


_FIELD_CODECS = {
    "entries": _FieldCodec(encode_entries, decode_entries),
    "membership": _FieldCodec(encode_membership, decode_membership),
    "member": _FieldCodec(encode_member, decode_member),
}
_TYPES = {"str": str, "int": int, "bool": bool, "bytes": bytes}


@dataclass(frozen=True, slots=True)
class _Field:
    name: str
    kind: Any
    field_codec: _FieldCodec | None


@dataclass(frozen=True, slots=True)
class _Kind:
    number: int
    message: type[Message]
    struct: Any
    fields: tuple[_Field, ...]


def _field(name: str, kind: str) -> _Field:
    field_codec = _FIELD_CODECS.get(name)
    return _Field(name, bytes if field_codec else _TYPES[kind], field_codec)


def _kind(number: int, message: type[Message]) -> _Kind:
    described = tuple(_field(field.name, str(field.type)) for field in fields(message))
    return _Kind(number, message, getattr(IDL, message.__name__), described)


_NUMBERED: dict[int, type[Message]] = {
    1: messages.PreVote,
    2: messages.PreVoteReply,
    3: messages.Vote,
    4: messages.VoteReply,
    5: messages.Heartbeat,
    6: messages.HeartbeatReply,
    7: messages.Append,
    8: messages.AppendReply,
    9: messages.SnapshotChunk,
    10: messages.SnapshotReply,
    11: messages.TimeoutNow,
    12: messages.Join,
    13: messages.Removed,
    14: messages.Leave,
    15: messages.LeaveReply,
}
_BY_NUMBER = {number: _kind(number, message) for number, message in _NUMBERED.items()}
_BY_MESSAGE = {kind.message: kind for kind in _BY_NUMBER.values()}


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    kind = _BY_MESSAGE[type(message)]
    body = kind.struct()
    for field in kind.fields:
        value = getattr(message, field.name)
        setattr(body, field.name, field.field_codec.pack(value) if field.field_codec else value)
    payload = encode_struct(body)
    return _HEAD.pack(VERSION, kind.number, crc32(payload)) + payload


def decode(frame: bytes) -> Message:
    """Return the message of a frame.

    Raises:
        MalformedFrameError: The frame is not a message that this version knows.
    """
    if len(frame) < _HEAD.size:
        raise MalformedFrameError("no head")
    version, number, checksum = _HEAD.unpack_from(frame)
    if version != VERSION:
        raise MalformedFrameError(f"consensus version {version}, known: {VERSION}")
    kind = _BY_NUMBER.get(number)
    if kind is None:
        raise MalformedFrameError(f"no message of kind {number}")
    payload = frame[_HEAD.size :]
    if crc32(payload) != checksum:
        raise MalformedFrameError("checksum")
    body = decode_struct(kind.struct, payload)
    message = kind.message(*(_value(body, field) for field in kind.fields))
    _check(message)
    return message


def _value(body: Any, field: _Field) -> Any:
    value: Any = getattr(body, field.name)
    if field.kind is bytes and isinstance(value, str):
        value = value.encode()
    if not isinstance(value, field.kind):
        raise MalformedFrameError(f"field {field.name}")
    if field.kind is int and value < 0:
        raise MalformedFrameError(f"field {field.name} is below 0")
    return field.field_codec.unpack(value) if field.field_codec else value


def _check(message: Message) -> None:
    if not message.sender or len(message.sender) > MAX_IDENTIFIER or len(message.receiver) > MAX_IDENTIFIER:
        raise MalformedFrameError("no proper replica ids")
    if isinstance(message, messages.Append):
        _check_entries(message)
    if isinstance(message, messages.SnapshotChunk) and message.offset + len(message.data) > message.total:
        raise MalformedFrameError("a chunk ends after its snapshot")


def _check_entries(message: messages.Append) -> None:
    index = message.previous_index
    term = message.previous_term
    for entry in message.entries:
        index += 1
        if entry.index != index or not term <= entry.term <= message.term:
            raise MalformedFrameError("entries out of order")
        term = entry.term
