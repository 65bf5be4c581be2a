"""Bodies of lease messages: what planners say to each other about who leads.

It owns their fields and bounds. It must never know what follows from them. Times are lengths in microseconds;
no message carries a reading of a clock.

`life` is the number of a disk: it is higher for each disk that a name has had. `lives` lists what the sender
knows of them, a number for each planner in the order of their names, 0 where it knows none. `for_boot` is the
boot of the process that is answered, `round` the number under which that one asked.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from granitewell.protocols.peers.bodies import Bodies, Body, Name, Time

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Lives = Annotated[list[Number], msgspec.Meta(min_length=3, max_length=7)]


class Probe(Body, frozen=True, tag="probe"):
    """Would you vote for me in this term? Changes nothing."""

    round: Number
    term: Number
    lives: Lives
    lease_us: Time


class Would(Body, frozen=True, tag="would"):
    """The answer.

    Attributes:
        term: The highest that the sender has voted in or adopted.
        why: Empty for yes.
    """

    round: Number
    for_boot: Number
    life: Number
    term: Number
    why: str = ""


class Ask(Body, frozen=True, tag="ask"):
    """Vote for me in this term, and let me lead for lease_us from when I asked.

    Or, voted already, let me go on.

    Attributes:
        leads: The sender holds the lease now.
    """

    round: Number
    term: Number
    lives: Lives
    lease_us: Time
    leads: bool = False


class Grant(Body, frozen=True, tag="grant"):
    """Yes; it is on the disk."""

    round: Number
    for_boot: Number
    life: Number
    term: Number


class No(Body, frozen=True, tag="no"):
    """No, and why.

    Attributes:
        term: The highest that the sender has voted in or adopted.
    """

    round: Number
    for_boot: Number
    life: Number
    term: Number
    why: str
    lives: Lives


class Release(Body, frozen=True, tag="release"):
    """I neither lead in this term any more nor will again: what you have promised me in it is over.

    Attributes:
        next: Whom I would like to follow me.
    """

    term: Number
    next: Name | None = None


class Oath(Body, frozen=True, tag="oath"):
    """I have a new disk, of this life: count nothing that an earlier one has said, and tell me what you
    know.
    """

    life: Number


class Sworn(Body, frozen=True, tag="sworn"):
    """asked: the life that the oath was for; whether it was taken shows in lives.

    Attributes:
        sworn: How the sender came to its vote: "blank" (it has none yet), "founded" (with its first disk) or
            "oath".
    """

    asked: Number
    life: Number
    sworn: str
    term: Number
    lives: Lives


class Here(Body, frozen=True, tag="here"):
    """To the sender's own address: whoever else hears it goes by the same name.

    Attributes:
        up_us: How long this process has been up.
        heard: The boot that this answers, 0 where it answers none.
    """

    up_us: Time
    heard: Number = 0


Said = Probe | Would | Ask | Grant | No | Release | Oath | Sworn | Here


class Letter(Body, frozen=True, tag="lease"):
    """What is sealed.

    Attributes:
        fleet: A digest of the planners' names and the epoch, so that planners with different operator files
            never count each other.
        boot: A random number of the sender's process.
    """

    fleet: Number
    boot: Number
    said: Said


LETTERS: Bodies[Letter] = Bodies(Letter)
