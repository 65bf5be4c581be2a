"""Bodies of the letters in which rights are asked for, lent and given back.

It owns their fields and bounds. It must never know what follows from them. Amounts are thousandths a second;
no letter carries a time.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count

MAX_KEY = 96  # bytes of a key
MAX_LOANS = 64  # in one letter
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY)]


class Want(Body, frozen=True, tag="w", rename={"number": "n", "amount": "a", "birth": "b", "again": "g"}):
    """Lend me so much more; and for as long again the loans `again` of your process `birth`."""

    number: Number
    key: Key
    amount: Count = 0
    birth: Number = 0
    again: Annotated[list[Number], msgspec.Meta(max_length=MAX_LOANS)] = msgspec.field(default_factory=list)


class Lend(Body, frozen=True, tag="l", rename={"number": "n", "birth": "b", "loans": "o"}):
    """The answer: pairs of a loan's number and its amount."""

    number: Number
    key: Key
    birth: Number
    loans: Annotated[list[Count], msgspec.Meta(max_length=2 * MAX_LOANS + 2)] = msgspec.field(
        default_factory=list
    )


class Back(Body, frozen=True, tag="b", rename={"birth": "b", "loans": "o"}):
    """These are used no more."""

    key: Key
    birth: Number
    loans: Annotated[list[Number], msgspec.Meta(max_length=MAX_LOANS)]


CODEC: BodyCodec[Want | Lend | Back] = BodyCodec(Want, Lend, Back)
