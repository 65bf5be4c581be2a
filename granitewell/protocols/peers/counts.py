"""Bodies of messages in which nodes report their use of shared counters.

Times are microseconds since the start of the sender's process, on its own clock; no message carries a reading
of a clock that another node has.

A `Word` holds whole slices of time, the oldest requested one first, so that a node that loses one can
continue from where it was. Slots stand for keys. The assignment of slots has a version that grows with each
change, and a `Word` says up to which version it has reported the assignment.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count, Time

MAX_KEY = 96  # bytes
MAX_SLOTS, MAX_SLICES = 256, 512  # in one message
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY)]


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """Assignment of a slot to a key.

    Attributes:
        number: Number of the slot.
        key: The key.
        born: First slice in which the key has the slot.
        ended: Slice in which that ended; -1 if it has not.
        version: Version of the assignment in which this changed.
    """

    number: Number
    key: Key
    born: Number
    ended: Annotated[int, msgspec.Meta(ge=-1, le=(1 << 62))]
    version: Number


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """Use in one slice of time.

    Attributes:
        index: Index of the slice.
        used: Alternating slot numbers and counts.
    """

    index: Number
    used: Annotated[list[Count], msgspec.Meta(max_length=2 * MAX_SLOTS)]


class Ask(
    Body,
    frozen=True,
    tag="a",
    rename={"number": "n", "of": "w", "but": "x", "birth": "b", "slices": "s", "slots": "v"},
):
    """Requests the receiver's use, or what it holds of another node.

    Attributes:
        number: Request number.
        of: The other node; "" for the receiver itself.
        but: Birth id of a process of the other node that is not requested.
        birth: Birth id of the process of which the requester has complete slices below `slices` and the slots
            up to version `slots`; 0 if it has nothing.
        slices: Index of the first slice that it lacks.
        slots: Version of the slot assignment that it has.
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
    """Answers an Ask.

    Attributes:
        number: Number of the Ask.
        life: Generation of the process whose use this is.
        birth: Its birth id.
        up_us: Time that the process had run when its use was known: now, or for another node (`of`) between
            ago_least_us and ago_most_us before this was written.
        width_us: Length of a slice.
        first: Oldest slice that is reported.
        upto: Index below which the reported slices are complete.
        of: The other node; "" for the sender itself.
        ago_least_us: Least age of the report of another node.
        ago_most_us: Greatest age of the report of another node.
        since: Version of the slot assignment after which changes are reported.
        slots: Version up to which they are reported.
        open: Whether the incomplete slice `upto` is reported too.
        new: Slots changed after version `since`.
        slices: Slices from `first` to `upto`; those without use are left out.
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
