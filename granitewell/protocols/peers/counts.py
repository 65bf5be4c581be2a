"""Bodies of the letters in which nodes tell each other what they have used.

It owns their fields and bounds. It must never know what follows from them. Times are lengths on the sender's
own clock, in microseconds since its process began; no letter carries a reading of a clock that another has.

A word holds whole slices of time, the oldest that were asked for first, so that whoever loses one goes on
from where it was. `slots` stand for keys; what a slot is comes with a version, higher for each change, and a
word says up to which version it has told of them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count, Time

MAX_KEY = 96  # bytes of a key
MAX_SLOTS, MAX_SLICES = 256, 512  # in one letter
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY)]


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A key has a place of its own from one slice on, and until another, -1 for still."""

    number: Number
    key: Key
    born: Number
    ended: Annotated[int, msgspec.Meta(ge=-1, le=(1 << 62))]
    version: Number


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """What was used in one slice of time: pairs of slot and count."""

    index: Number
    used: Annotated[list[Count], msgspec.Meta(max_length=2 * MAX_SLOTS)]


class Ask(
    Body,
    frozen=True,
    tag="a",
    rename={"number": "n", "of": "w", "but": "x", "birth": "b", "slices": "s", "slots": "v"},
):
    """Tell what you have used; or what you hold of another node, `of`, other than of its process `but`.

    Attributes:
        birth: Of the process whose slices are known whole below `slices`, and its slots up to the version
            `slots`; 0 where nothing is known.
    """

    number: Number
    of: Annotated[str, msgspec.Meta(max_length=63)] = ""
    but: Number = 0
    birth: Number = 0
    slices: Number = 0
    slots: Number = 0


class Word(
    Body, frozen=True, tag="w",
    rename={"number": "n", "life": "l", "birth": "b", "up_us": "u", "since": "f", "slots": "v",
            "upto": "e", "new": "k", "slices": "s", "open": "o",
            "of": "w", "ago_least_us": "x", "ago_most_us": "y"},
):  # fmt: skip
    """The answer.

    Attributes:
        up_us: How long the process had run when its use was known, which is now, or, of another node (`of`),
            between ago_least_us and ago_most_us before this was written.
        new: Slots that have changed since the version `since`, `slots` the one up to which they are told.
        slices: Of `first` (the oldest that is told of) up to `upto`, which is not whole yet if `open`; one
            without use is left out.
    """

    number: Number
    life: Number
    birth: Number
    up_us: Time
    width_us: Time
    first: Number
    upto: Number
    of: Annotated[str, msgspec.Meta(max_length=63)] = ""
    ago_least_us: Time = 0
    ago_most_us: Time = 0
    since: Number = 0
    slots: Number = 0
    open: bool = False
    new: Annotated[list[Slot], msgspec.Meta(max_length=MAX_SLOTS)] = msgspec.field(default_factory=list)
    slices: Annotated[list[Slice], msgspec.Meta(max_length=MAX_SLICES)] = msgspec.field(default_factory=list)


CODEC: BodyCodec[Ask | Word] = BodyCodec(Ask, Word)
