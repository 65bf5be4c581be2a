"""The terms between pure protocol machines (membership, leases, planning, limits) and the shells that run
them.

It owns the events and effects that all of them share, so that one virtual network and one socket shell can
run any of them, several at once, in one node. It must never hold behaviour or know a subject. Times are whole
microseconds on the node's own monotonic clock, which starts anywhere and may run a little fast or slow;
nothing may depend on two nodes' clocks agreeing.

A machine is an object with `handle(now_us, event) -> list of effects` and `wake_us` (when it wants
`TimerFired`; -1 for never). Besides these it has events and effects of its own, which the shell that joins
subjects passes on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Transport(Enum):
    """How a message goes."""

    DATAGRAM = "datagram"  # may be lost, doubled, reordered; 1,200 bytes at most
    STREAM = "stream"  # in order while a connection stands; what was under way when it breaks may be lost


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has come. sender is what the road tells of it (an address or a name), proved by nothing."""

    sender: str
    data: bytes
    transport: Transport = Transport.DATAGRAM


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of wake_us has come, or has passed: a process that was stopped hears of it late."""


@dataclass(frozen=True, slots=True)
class Stored:
    """What Store with this token asked for is on the disk, and stays whatever happens.

    Ok False: the disk has refused, and nothing may be believed of it.
    """

    token: int
    ok: bool = True


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message.

    Attributes:
        to: A member's address as the membership or the operator file gives it.
    """

    to: str
    data: bytes
    transport: Transport = Transport.DATAGRAM


@dataclass(frozen=True, slots=True)
class Store:
    """Write data under a key, whole or not at all; Stored comes once it is durable.

    Later writes of a key replace earlier ones, in the order of asking.
    """

    key: str
    data: bytes
    token: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; topic limits how often such a line is written."""

    topic: str
    text: str


class StateMachine(Protocol):
    """What a shell runs."""

    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted; -1 for never."""

    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; the effects, in order."""
