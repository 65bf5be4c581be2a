"""Thrift structs in binary encoding, used for all messages between nodes. No I/O."""

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
    """Load the types of an IDL file."""
    return thriftpy2.load(str(path), f"granitewell_{path.stem}_thrift")


def encode(message: Any) -> bytes:
    """Encode a message."""
    return bytes(serialize(message, _PROTOCOL))


def decode(kind: Any, data: bytes, check: Callable[[bytes], None] = check_struct) -> Any:
    """Decode a message of a given type.

    Args:
        kind: Type of the message.
        data: Encoded message.
        check: Raises MalformedFrameError for bytes that the thrift library must not see, because it trusts
            their counts.

    Raises:
        MalformedFrameError: The bytes are not such a message.
    """
    check(data)
    try:
        return deserialize(kind(), data, _PROTOCOL)
    except Exception as error:  # the library raises arbitrary exceptions
        raise MalformedFrameError(f"not a {kind.__name__}: {error!r}") from error
