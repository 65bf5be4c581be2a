"""Validation of thrift structs in binary form before the library decodes them. No I/O.

The library trusts counts and lengths, so a false count could make it exhaust the memory. Here every count is
checked against the remaining bytes, and the nesting against a limit.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from granitewell.domain.errors import MalformedFrameError

MAX_DEPTH = 8
_LENGTH = struct.Struct("!i")
_FIELD_HEADER_BYTES = 3  # one byte for the type, two for the field id
_LIST_HEADER_BYTES = 5  # one byte for the type, four for the count
_MAP_HEADER_BYTES = 6


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
_MIN_SIZES = {
    FieldType.STRING: 4,
    FieldType.STRUCT: 1,
    FieldType.MAP: _MAP_HEADER_BYTES,
    FieldType.SET: _LIST_HEADER_BYTES,
    FieldType.LIST: _LIST_HEADER_BYTES,
}


def check_struct(data: bytes) -> None:
    """Raise MalformedFrameError unless the bytes begin with a complete struct."""
    try:
        _skip_struct(data, 0, 0)
    except (IndexError, struct.error) as error:
        raise MalformedFrameError("a struct is cut short") from error


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    """Return the offset after a struct."""
    if depth > MAX_DEPTH:
        raise MalformedFrameError("structs are nested too deeply")
    while True:
        field_type = data[offset]
        if field_type == FieldType.STOP:
            return offset + 1
        offset = _skip_value(data, offset + _FIELD_HEADER_BYTES, field_type, depth)


def _skip_value(data: bytes, offset: int, field_type: int, depth: int) -> int:
    """Return the offset after a value of a type."""
    size = _SIZES.get(field_type)  # type: ignore[call-overload]
    if size is not None:
        return _check_within(data, offset + int(size))
    if field_type == FieldType.STRING:
        return _check_within(data, offset + 4 + _read_count(data, offset))
    if field_type == FieldType.STRUCT:
        return _skip_struct(data, offset, depth + 1)
    if field_type in (FieldType.LIST, FieldType.SET):
        return _skip_items(
            data, offset + _LIST_HEADER_BYTES, _read_count(data, offset + 1), (data[offset],), depth
        )
    if field_type == FieldType.MAP:
        return _skip_items(
            data,
            offset + _MAP_HEADER_BYTES,
            _read_count(data, offset + 2),
            (data[offset], data[offset + 1]),
            depth,
        )
    raise MalformedFrameError(f"no type {field_type}")


def _skip_items(data: bytes, offset: int, count: int, field_types: tuple[int, ...], depth: int) -> int:
    """Return the offset after the items of a list, a set or a map."""
    if depth > MAX_DEPTH:
        raise MalformedFrameError("lists are nested too deeply")
    min_item_size = sum(
        _SIZES.get(field_type) or _MIN_SIZES.get(field_type, 1)  # type: ignore[call-overload]
        for field_type in field_types
    )
    _check_within(data, offset + count * min_item_size)
    for _ in range(count):
        for field_type in field_types:
            offset = _skip_value(data, offset, field_type, depth + 1)
    return offset


def _read_count(data: bytes, offset: int) -> int:
    count = int(_LENGTH.unpack_from(data, offset)[0])
    if count < 0:
        raise MalformedFrameError("a negative length")
    return count


def _check_within(data: bytes, offset: int) -> int:
    if offset > len(data):
        raise MalformedFrameError("a value is cut short")
    return offset
