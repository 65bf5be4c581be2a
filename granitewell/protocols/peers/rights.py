"""Bodies of messages that request, lend and return shares of a quota.

Amounts are thousandths of a request per second; no message carries a time.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Count

MAX_KEY = 96  # bytes
MAX_LOANS = 64  # in one message
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY)]


class Want(Body, frozen=True, tag="w", rename={"number": "n", "amount": "a", "birth": "b", "again": "g"}):
    """Requests a loan, and the renewal of earlier ones.

    Attributes:
        number: Request number.
        key: Key of the quota.
        amount: Amount to lend in addition.
        birth: Process of the lender that made the loans in `again`.
        again: Numbers of loans to renew.
    """

    number: Number
    key: Key
    amount: Count = 0
    birth: Number = 0
    again: Annotated[list[Number], msgspec.Meta(max_length=MAX_LOANS)] = msgspec.field(default_factory=list)


class Lend(Body, frozen=True, tag="l", rename={"number": "n", "birth": "b", "loans": "o"}):
    """Answer to Want.

    Attributes:
        number: Number of the Want.
        key: Key of the quota.
        birth: Process of the lender.
        loans: Alternating loan numbers and amounts.
    """

    number: Number
    key: Key
    birth: Number
    loans: Annotated[list[Count], msgspec.Meta(max_length=2 * MAX_LOANS + 2)] = msgspec.field(
        default_factory=list
    )


class Back(Body, frozen=True, tag="b", rename={"birth": "b", "loans": "o"}):
    """Returns loans that are no longer used."""

    key: Key
    birth: Number
    loans: Annotated[list[Number], msgspec.Meta(max_length=MAX_LOANS)]


CODEC: BodyCodec[Want | Lend | Back] = BodyCodec(Want, Lend, Back)
