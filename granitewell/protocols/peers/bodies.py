"""Bodies of frames: msgpack of tagged structs, by field name.

It owns how a struct becomes a body and back. It must never know a message: each subject's module lists its
own (`Bodies`). Fields that are not known are skipped, and fields with a default may be missing, so that two
versions of a message understand each other; a tag that is not known, a missing field or a value out of its
bounds gives None, and nothing is raised on bytes from outside.
"""

from __future__ import annotations

from typing import Annotated, Any, Generic, TypeVar, Union

import msgspec

Time = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # microseconds
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]


class Body(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """A message's body. Subclasses give `tag` and, for what is sent often, short names by `rename`."""


T = TypeVar("T", bound=Body)


class BodyCodec(Generic[T]):
    """The messages of one kind of frame. Annotate it with their union: `X: Bodies[A | B] = Bodies(A, B)`."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self, *types: type[Body]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Union[types])

    def encode(self, message: T) -> bytes:
        """The body of a message."""
        return self._encoder.encode(message)

    def decode(self, body: bytes) -> T | None:
        """The message, or None where it is not one of ours or not as it has to be."""
        try:
            message: T = self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, ValueError):
            return None
        return message
