"""Thrift structs and their binary form: one way in and out for all that nodes say to each other. Pure."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from granitewell.domain.errors import MalformedFrameError
from granitewell.rpc.structure import check_struct

_PROTOCOL = TBinaryProtocolFactory(strict_decode=False)


def load_idl(path: Path) -> Any:
    """The types of an IDL file."""
    return thriftpy2.load(str(path), f"granitewell_{path.stem}_thrift")


def encode(message: Any) -> bytes:
    """The binary form of a message."""
    return bytes(serialize(message, _PROTOCOL))


def decode(kind: Any, data: bytes, check: Callable[[bytes], None] = check_struct) -> Any:
    """A message of a kind from its binary form; raises MalformedFrameError.

    Args:
        check: Raises it for bytes that the library must not see, as it believes their counts.
    """
    check(data)
    try:
        return deserialize(kind(), data, _PROTOCOL)
    except Exception as error:  # the library raises whatever the bytes lead it to
        raise MalformedFrameError(f"not a {kind.__name__}: {error!r}") from error
