"""Validation of thrift structs in binary form before the library decodes them. No I/O.

The library trusts counts and lengths: a list that claims to be long exhausts the memory before the bytes run
out. Here every count is checked against the remaining bytes, and nesting against a limit.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from granitewell.domain.errors import MalformedFrameError

MAX_DEPTH = 8
_LENGTH = struct.Struct("!i")
_FIELD_HEAD = 3  # a byte for the type, two for the field's id
_LIST_HEAD = 5  # a byte for the type, four for the count
_MAP_HEAD = 6


class FieldType(IntEnum):
    """Field types of the binary protocol."""

    STOP = 0
    BOOL = 2
    BYTE = 3
    DOUBLE = 4
    I16 = 6
    I32 = 8
    I64 = 10
    STRING = 11
    STRUCT = 12
    MAP = 13
    SET = 14
    LIST = 15


_SIZES = {
    FieldType.BOOL: 1,
    FieldType.BYTE: 1,
    FieldType.DOUBLE: 8,
    FieldType.I16: 2,
    FieldType.I32: 4,
    FieldType.I64: 8,
}
_LEAST = {FieldType.STRING: 4, FieldType.STRUCT: 1, FieldType.MAP: _MAP_HEAD, FieldType.SET: _LIST_HEAD,
          FieldType.LIST: _LIST_HEAD}  # fmt: skip


def check_struct(data: bytes) -> None:
    """Raise MalformedFrameError unless the bytes begin with a complete struct."""
    try:
        _after_struct(data, 0, 0)
    except (IndexError, struct.error) as error:
        raise MalformedFrameError("a struct is cut short") from error


def _after_struct(data: bytes, at: int, depth: int) -> int:
    """Return the offset after a struct."""
    if depth > MAX_DEPTH:
        raise MalformedFrameError("structs are nested too deeply")
    while True:
        kind = data[at]
        if kind == FieldType.STOP:
            return at + 1
        at = _after_value(data, at + _FIELD_HEAD, kind, depth)


def _after_value(data: bytes, at: int, kind: int, depth: int) -> int:
    """Return the offset after a value of a type."""
    size = _SIZES.get(kind)  # type: ignore[call-overload]
    if size is not None:
        return _within(data, at + int(size))
    if kind == FieldType.STRING:
        return _within(data, at + 4 + _count(data, at))
    if kind == FieldType.STRUCT:
        return _after_struct(data, at, depth + 1)
    if kind in (FieldType.LIST, FieldType.SET):
        return _after_items(data, at + _LIST_HEAD, _count(data, at + 1), (data[at],), depth)
    if kind == FieldType.MAP:
        return _after_items(data, at + _MAP_HEAD, _count(data, at + 2), (data[at], data[at + 1]), depth)
    raise MalformedFrameError(f"no type {kind}")


def _after_items(data: bytes, at: int, count: int, kinds: tuple[int, ...], depth: int) -> int:
    """Return the offset after the items of a list, a set or a map."""
    if depth > MAX_DEPTH:
        raise MalformedFrameError("lists are nested too deeply")
    least = sum(_SIZES.get(kind) or _LEAST.get(kind, 1) for kind in kinds)  # type: ignore[call-overload]
    _within(data, at + count * least)
    for _ in range(count):
        for kind in kinds:
            at = _after_value(data, at, kind, depth + 1)
    return at


def _count(data: bytes, at: int) -> int:
    count = int(_LENGTH.unpack_from(data, at)[0])
    if count < 0:
        raise MalformedFrameError("a negative length")
    return count


def _within(data: bytes, at: int) -> int:
    if at > len(data):
        raise MalformedFrameError("a value is cut short")
    return at
