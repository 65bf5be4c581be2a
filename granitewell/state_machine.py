"""Events and effects shared by the pure state machines and the shells that run them.

One virtual network and one socket shell can run any of these machines, several at once in one node. Times are
whole microseconds on the node's own monotonic clock. That clock starts at any value and may run slightly fast
or slow, so nothing may depend on two nodes' clocks agreeing.

A state machine is an object with `handle(now_us, event) -> list of effects` and `wake_us`, the time at which
it wants `TimerFired`, -1 for never. Each machine also has events and effects of its own, which its shell
handles.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Transport(Enum):
    """How a message is transported."""

    DATAGRAM = "datagram"  # may be lost, duplicated or reordered; at most 1,200 bytes
    STREAM = "stream"  # ordered within a connection; messages in flight when it breaks may be lost


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received.

    Attributes:
        sender: Address or name given by the transport; not authenticated.
        data: The message.
        transport: Transport by which it came.
    """

    sender: str
    data: bytes
    transport: Transport = Transport.DATAGRAM


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of wake_us was reached. It comes late to a process that was stopped."""


@dataclass(frozen=True, slots=True)
class Stored:
    """The write requested by Store is durable.

    Attributes:
        token: Token of the Store.
        ok: False if the write failed; then the content of the disk is unknown.
    """

    token: int
    ok: bool = True


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message.

    Attributes:
        to: Address of the receiver, from the membership or the operator file.
        data: The message.
        transport: Transport to use.
    """

    to: str
    data: bytes
    transport: Transport = Transport.DATAGRAM


@dataclass(frozen=True, slots=True)
class Store:
    """Write data under a key atomically; Stored follows once it is durable.

    Writes of a key replace each other in the order of the requests.
    """

    key: str
    data: bytes
    token: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line; the rate of lines is limited by topic."""

    topic: str
    text: str


class StateMachine(Protocol):
    """A state machine run by a shell."""

    @property
    def wake_us(self) -> int:
        """Time at which TimerFired is wanted; -1 for never."""

    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event and return its effects, in order."""
