"""Bodies of lease messages between planners.

This module owns their fields and bounds. Times are durations in microseconds; no message contains a reading
of a clock.

`incarnation` is the number of a disk: it is higher for each disk that a name has had. `incarnations` lists
what the sender knows of them, a number for each planner in the order of their names, 0 if unknown. `for_boot`
is the boot id of the process that is answered, `round` the number under which that process asked.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Body, BodyCodec, Name, Time

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_WIRE_NAMES = {"incarnation": "life", "incarnations": "lives"}
"""Names of fields on the wire where they differ from those here."""

Incarnations = Annotated[list[Number], msgspec.Meta(min_length=3, max_length=7)]


class Probe(Body, frozen=True, tag="probe", rename=_WIRE_NAMES):
    """Asks whether the receiver would vote for the sender in a term; changes no state."""

    round: Number
    term: Number
    incarnations: Incarnations
    lease_us: Time


class Would(Body, frozen=True, tag="would", rename=_WIRE_NAMES):
    """Answer to a Probe.

    Attributes:
        term: Highest term that the sender has voted in or adopted.
        why: Reason of a refusal; "" for yes.
    """

    round: Number
    for_boot: Number
    incarnation: Number
    term: Number
    why: str = ""


class Ask(Body, frozen=True, tag="ask", rename=_WIRE_NAMES):
    """Requests a vote in a term and a lease that begins with the request, or its extension.

    Attributes:
        round: Number of the round.
        term: The term.
        incarnations: Known incarnations of all planners.
        lease_us: Length of the lease, in microseconds.
        leads: Whether the sender holds the lease now.
    """

    round: Number
    term: Number
    incarnations: Incarnations
    lease_us: Time
    leads: bool = False


class Grant(Body, frozen=True, tag="grant", rename=_WIRE_NAMES):
    """Grants an Ask; the vote is on disk."""

    round: Number
    for_boot: Number
    incarnation: Number
    term: Number


class No(Body, frozen=True, tag="no", rename=_WIRE_NAMES):
    """Refuses an Ask.

    Attributes:
        term: Highest term that the sender has voted in or adopted.
        why: Reason of the refusal.
    """

    round: Number
    for_boot: Number
    incarnation: Number
    term: Number
    why: str
    incarnations: Incarnations


class Release(Body, frozen=True, tag="release", rename=_WIRE_NAMES):
    """Announces that the sender no longer leads in this term, so that promises made to it are void.

    Attributes:
        next: The planner that should lead next.
    """

    term: Number
    next: Name | None = None


class Oath(Body, frozen=True, tag="oath", rename=_WIRE_NAMES):
    """Announces a new disk.

    The receiver should ignore what an earlier disk has said, and report what it knows.
    """

    incarnation: Number


class Sworn(Body, frozen=True, tag="sworn", rename=_WIRE_NAMES):
    """Answer to an Oath.

    Attributes:
        asked: Incarnation that the Oath was for; `incarnations` shows whether it was recorded.
        sworn: How the sender got its vote: "blank" (it has none), "founded" (as a founder) or "oath" (by
            recovery).
    """

    asked: Number
    incarnation: Number
    sworn: str
    term: Number
    incarnations: Incarnations


class Here(Body, frozen=True, tag="here", rename=_WIRE_NAMES):
    """Sent to the sender's own address: any other process that receives it uses the same name.

    Attributes:
        up_us: How long this process has been running, in microseconds.
        heard: Boot id that this answers, 0 if it answers none.
    """

    up_us: Time
    heard: Number = 0


Message = Probe | Would | Ask | Grant | No | Release | Oath | Sworn | Here


class Envelope(Body, frozen=True, tag="lease", rename=_WIRE_NAMES):
    """The sealed message.

    Attributes:
        fleet: Digest of the planners' names and the epoch, so that planners with different operator files
            never count each other.
        boot: Random number of the sender's process.
    """

    fleet: Number
    boot: Number
    said: Message


CODEC: BodyCodec[Envelope] = BodyCodec(Envelope)
