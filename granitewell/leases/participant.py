"""What all parts of a planner share: settings, record, promise, current time, and outgoing messages.

This module owns the sealing and opening of messages. It makes no decisions.
"""

from __future__ import annotations

from random import Random

from granitewell.leases.persistence import Continuation, Persistence
from granitewell.leases.record import Record
from granitewell.leases.types import Settings
from granitewell.leases.voter import ProcessIdentity, Promise
from granitewell.protocols.peers.frames import Kind, RefusalReason, Refused, open_, refusal, seal
from granitewell.protocols.peers.leases import CODEC, Envelope, Message
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, Transport

MIN_REFUSAL_INTERVAL_US = 1_000_000  # minimum time between two answers to messages of an unknown version


class Participant:
    """A planner's process.

    Attributes:
        started_us: Time of the start of the process, in microseconds.
        boot: Boot id: a random number that identifies this process.
        own_index: Index of this planner in the list of planners.
        effects: Effects of the current event.
        now_us: Time of the current event, in microseconds.
        promise: The promise given last.
        votes: Whether the disk certainly has a vote.
        rejected_frames: How many frames failed verification.
    """

    __slots__ = (
        "_address",
        "_next_refusal_us",
        "started_us",
        "boot",
        "own_index",
        "now_us",
        "others",
        "effects",
        "persistence",
        "promise",
        "rejected_frames",
        "rng",
        "settings",
        "votes",
    )

    def __init__(self, settings: Settings, rng: Random, now_us: int, persistence: Persistence) -> None:
        self.settings, self.rng, self.persistence = settings, rng, persistence
        self.now_us = self.started_us = self._next_refusal_us = now_us
        self.boot = 1 + int(rng.random() * (1 << 53))
        self.own_index = settings.names.index(settings.name)
        self.others = tuple(n for n in settings.names if n != settings.name)
        self.effects: list[object] = []
        self.promise = Promise(None, now_us)
        self.votes = False
        self.rejected_frames = 0
        self._address = dict(settings.planners)

    @property
    def record(self) -> Record:
        """The record in memory, which the disk may lag behind."""
        return self.persistence.record

    @property
    def identity(self) -> ProcessIdentity:
        """Name and boot id of this process."""
        return self.settings.name, self.boot

    def incarnation_of(self, name: str) -> int:
        """Return the newest known incarnation of a planner."""
        return self.record.incarnations[self.settings.names.index(name)]

    def incarnations_announced(self, record: Record) -> list[int]:
        """Return the incarnations that this planner announces.

        Its own is included only once its disk has a vote; before that it is only a claim, which voter
        recovery alone makes.
        """
        return [
            *record.incarnations[: self.own_index],
            record.incarnation if self.votes else 0,
            *record.incarnations[self.own_index + 1 :],
        ]

    def random_part(self, length_us: int) -> int:
        """Return a random part of a duration, in microseconds."""
        return int(self.rng.random() * length_us)

    def write(self, record: Record, then: Continuation | None) -> None:
        """Replace the record; `then` follows once the disk has it."""
        self.effects.append(self.persistence.write(record, then))

    def write_then(self, record: Record, then: Continuation) -> Continuation | None:
        """Replace the record unless the disk has it already, in which case `then` follows at once.

        If this very record is being written, nothing is done: the other planner will ask again.
        """
        if record == self.record and self.persistence.is_idle:
            return then
        if record != self.record or not self.persistence.waiting:
            self.write(record, then)
        return None

    def send_to(self, name: str, body: Message) -> None:
        """Send a message to another planner."""
        self.send(self._address[name], body, Transport.DATAGRAM)

    def broadcast(self, body: Message, transport: Transport = Transport.DATAGRAM) -> None:
        """Send a message to all other planners."""
        for name in self.others:
            self.send(self._address[name], body, transport)

    def announce(self, body: Message, address: str = "") -> None:
        """Announce this process at its own address, or at another one."""
        self.send(address or self._address[self.settings.name], body, Transport.STREAM)

    def send(self, address: str, body: Message, transport: Transport) -> None:
        """Send a message to an address."""
        message = CODEC.encode(Envelope(self.settings.fleet, self.boot, body))
        self.effects.append(
            SendMessage(address, seal(Kind.LEASE, message, self.settings.keys, self.settings.name), transport)
        )

    def open(self, heard: MessageReceived) -> tuple[str, int, Message] | None:
        """Return the name and boot id of a message's sender, if it is a planner of this fleet."""
        frame = open_(heard.data, self.settings.keys)
        if isinstance(frame, Refused):
            self._reject(heard, frame)
            return None
        if frame.kind != Kind.LEASE or frame.sender not in self._address:
            return None
        message = CODEC.decode(frame.body)
        if message is None:
            return None
        if message.fleet != self.settings.fleet:
            self.effects.append(
                LogLine("fleet", f"{frame.sender} has another list of planners, or another epoch")
            )
            return None
        return frame.sender, message.boot, message.said

    def _reject(self, heard: MessageReceived, refused: Refused) -> None:
        self.rejected_frames += 1
        if refused.why is RefusalReason.VERSION and self.now_us >= self._next_refusal_us:
            self._next_refusal_us = self.now_us + MIN_REFUSAL_INTERVAL_US
            self.effects.append(
                SendMessage(heard.sender, refusal(self.settings.keys, self.settings.name), heard.transport)
            )
            self.effects.append(LogLine("version", f"{heard.sender}: {refused.text}"))
