"""Bodies of frames: tagged structs in msgpack, with fields by name.

Each protocol module lists its own messages in a `BodyCodec`. Unknown fields are skipped and fields with a
default may be missing, so that two versions of a message are compatible. Decoding gives None for an unknown
tag, a missing field or a value out of bounds, and raises nothing on bytes from outside.
"""

from __future__ import annotations

from typing import Annotated, Any, Generic, TypeVar, Union

import msgspec

Time = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # microseconds
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]


class Body(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """Base of all bodies. Subclasses set `tag` and, for frequent messages, short field names by `rename`."""


T = TypeVar("T", bound=Body)


class BodyCodec(Generic[T]):
    """Codec for the bodies of one kind of frame; annotate as `X: BodyCodec[A | B] = BodyCodec(A, B)`."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self, *types: type[Body]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Union[types])

    def encode(self, message: T) -> bytes:
        """Encode a message."""
        return self._encoder.encode(message)

    def decode(self, body: bytes) -> T | None:
        """Decode a message; None if it is unknown or invalid."""
        try:
            message: T = self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, ValueError):
            return None
        return message
