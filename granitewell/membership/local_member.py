"""State that all parts of the local member share: identity, time, effects, sending and receiving.

Incoming messages pass the rate limits, authentication, the check of the receiver and replay protection here,
before any part looks at their content.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitewell.membership.dissemination import DisseminationQueue
from granitewell.membership.health import Health
from granitewell.membership.states import State
from granitewell.membership.table import Record, Table, not_alive_assertion
from granitewell.membership.types import Config, Member
from granitewell.protocols.peers import gossip
from granitewell.protocols.peers.frames import (
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_FRAME_BYTES,
    VERSIONS,
    Frame,
    Kind,
    RefusalReason,
    Refused,
    open_,
    refusal,
    seal,
)
from granitewell.protocols.peers.gossip import CODEC, Envelope, Hello, Message, pack
from granitewell.protocols.peers.limits import ReplayWindow, TokenBucket
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, Transport

MAX_LINES_PER_S = 1  # log lines per topic, and refusals


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message that passed all checks.

    Attributes:
        sender: Member name of the sender.
        address: Address for an answer.
        transport: Transport by which it came.
        envelope: The decoded message.
        known: Whether the sender is the process that the table has for its name.
    """

    sender: str
    address: str
    transport: Transport
    envelope: Envelope
    known: bool


class LocalMember:
    """The local member.

    Attributes:
        drop_counts: Dropped messages and assertions, by reason.
        message_counts: Messages by direction ("heard" or "said") and kind.
    """

    __slots__ = (
        "_line_limits",
        "_last_number",
        "_unverified_limit",
        "_refusal_limit",
        "_seq",
        "_unknown_limit",
        "_total_limit",
        "birth",
        "config",
        "drop_counts",
        "parameters",
        "continues_previous",
        "health",
        "message_counts",
        "now_us",
        "effects",
        "rng",
        "dissemination",
        "table",
    )

    def __init__(self, config: Config, rng: Random) -> None:
        self.config, self.parameters, self.rng = config, config.parameters, rng
        previous = config.previous
        self.continues_previous = previous is not None and previous.handed_over
        self.birth = 1 + (int(rng.random() * (1 << 31)) << 31 | int(rng.random() * (1 << 31)))
        if previous is not None and previous.handed_over:
            self.birth = previous.birth
        self.now_us = 0
        self.effects: list[object] = []
        self.table = Table(config.parameters)
        self.dissemination = DisseminationQueue(config.parameters.spread, 2 * config.parameters.most)
        self.health = Health(config.parameters.lifeguard)
        self.drop_counts: dict[str, int] = {}
        self.message_counts: dict[tuple[str, str], int] = {}
        # A continued process must not reuse a number: others would drop its messages as replays.
        self._seq = self._last_number = previous.seq if previous is not None and previous.handed_over else 0
        self.start(0)

    def start(self, now_us: int) -> None:
        """Initialise the rate limits once the time is known."""
        self.now_us = now_us
        parameters = self.parameters
        self._unverified_limit, self._total_limit = (
            TokenBucket(parameters.raw, now_us),
            TokenBucket(parameters.in_all, now_us),
        )
        self._unknown_limit = TokenBucket(max(parameters.in_all // 4, 1), now_us)
        self._refusal_limit = TokenBucket(MAX_LINES_PER_S, now_us)
        self._line_limits: dict[str, TokenBucket] = {}

    # --- Helpers ----------------------------------------------------------------------------------------
    @property
    def member_count(self) -> int:
        """Members that are up, including the local one."""
        return len(self.table.up)

    @property
    def seq(self) -> int:
        """A number greater than every sequence and request number used so far."""
        return max(self._seq, self._last_number) + 1

    def count_drop(self, reason: str) -> None:
        """Count a dropped message or assertion."""
        self.drop_counts[reason] = self.drop_counts.get(reason, 0) + 1

    def log(self, topic: str, text: str) -> None:
        """Write a log line, unless there were too many of its topic."""
        bucket = self._line_limits.get(topic)
        if bucket is None:
            bucket = self._line_limits[topic] = TokenBucket(MAX_LINES_PER_S, self.now_us)
        if bucket.take(self.now_us):
            self.effects.append(LogLine(f"membership-{topic}", text))

    def next_number(self) -> int:
        """Return a new request number, greater than all before."""
        self._last_number += 1
        return self._last_number

    def random_below(self, limit: int) -> int:
        """Return a random whole number from 0 up to, and without, the limit."""
        return int(self.rng.random() * limit)

    def random_members(self, count: int, *excluded: str) -> list[Member]:
        """Return up to `count` random other members that are not excluded."""
        table = self.table
        names = table.up.sample(self.rng, count, (self.config.name, *excluded))
        return [member for member in map(table.member, names) if member is not None]

    # --- Sending ----------------------------------------------------------------------------------------
    def send_to(self, member: Member, message: Message, transport: Transport = Transport.DATAGRAM) -> None:
        """Send a message to a member, with piggybacked assertions."""
        self.send(member.about.address, member.birth, message, member.name, transport)

    def send(
        self,
        address: str,
        to: int,
        message: Message,
        name: str = "",
        transport: Transport = Transport.DATAGRAM,
    ) -> None:
        """Send a message to a process at an address.

        If the receiver is not alive in our table, that assertion goes first, so that it can refute it
        (Lifeguard's buddy system). The rest of the room is for assertions from the queue.
        """
        envelope = self._envelope(to, message)
        body = gossip.encode_envelope(envelope)
        room = gossip.free_bytes(body, self.config.name)
        assertions = [] if to == 0 else self._suspicion_of(name, to)
        room -= sum(map(len, assertions))
        if to and len(self.dissemination):
            assertions += self.dissemination.take(room, self.member_count, name if assertions else "")
        self._seal(
            address, gossip.encode_envelope(envelope, assertions) if assertions else body, transport, name
        )

    def send_page(self, address: str, to: int, message: Message, assertions: list[bytes]) -> None:
        """Send a message with these assertions on a stream."""
        self._seal(
            address, gossip.encode_envelope(self._envelope(to, message), assertions), Transport.STREAM, ""
        )

    def _envelope(self, to: int, message: Message) -> Envelope:
        self._seq += 1
        self._count_message("said", message)
        return Envelope(self.birth, to, self._seq, message)

    def _count_message(self, direction: str, message: Message) -> None:
        key = direction, type(message).__name__.lower()
        self.message_counts[key] = self.message_counts.get(key, 0) + 1

    def _suspicion_of(self, name: str, to: int) -> list[bytes]:
        record = self.table.records.get(name)
        if record is None or record.standing.birth != to or record.standing.state is State.ALIVE:
            return []
        if record.standing.state is State.SUSPECT and not self.parameters.lifeguard:
            return []
        return [pack(not_alive_assertion(record, self.now_us))]

    def _seal(self, address: str, body: bytes, transport: Transport, name: str) -> None:
        limit = MAX_DATAGRAM_BYTES if transport is Transport.DATAGRAM else MAX_STREAM_FRAME_BYTES
        member = self.table.member(name)
        version = common_version(member.about.versions if member is not None else VERSIONS)
        config = self.config
        frame = seal(Kind.GOSSIP, body, config.keys, config.name, limit=limit, version=version)
        self.effects.append(SendMessage(address, frame, transport))

    # --- Receiving --------------------------------------------------------------------------------------
    def receive(self, incoming: MessageReceived) -> ReceivedMessage | None:
        """Return the message if it passes all checks; otherwise count the drop and return None."""
        outcome = self._verify(incoming)
        if isinstance(outcome, ReceivedMessage):
            self._count_message("heard", outcome.envelope.message)
            return outcome
        self.count_drop(outcome)
        return None

    def _verify(self, incoming: MessageReceived) -> ReceivedMessage | str:
        """Return the message, or the reason for dropping it."""
        if not self._unverified_limit.take(self.now_us):
            return "raw"
        limit = MAX_DATAGRAM_BYTES if incoming.transport is Transport.DATAGRAM else MAX_STREAM_FRAME_BYTES
        frame = open_(incoming.data, self.config.keys, limit=limit)
        if isinstance(frame, Refused):
            self._report_refused(incoming, frame)
            return frame.why.value
        if frame.kind != Kind.GOSSIP:
            self._report_other_kind(incoming, frame)
            return "kind"
        envelope = CODEC.decode(frame.body)
        if envelope is None:
            return "malformed"
        if envelope.birth == self.birth:
            return "own"
        if envelope.to != self.birth and not (envelope.to == 0 and isinstance(envelope.message, Hello)):
            return "misaddressed"
        return self._admit(incoming, frame.sender, envelope)

    def _admit(self, incoming: MessageReceived, sender: str, envelope: Envelope) -> ReceivedMessage | str:
        record = self.table.records.get(sender)
        if record is not None and record.standing.birth != envelope.birth:
            record = None
        if not (self._sender_limit(record) if record is not None else self._unknown_limit).take(self.now_us):
            return "sender"
        if not self._total_limit.take(self.now_us):
            return "in_all"
        if record is None:
            return ReceivedMessage(sender, incoming.sender, incoming.transport, envelope, False)
        if record.replay_window is None:
            record.replay_window = ReplayWindow()
        if not record.replay_window.accept(envelope.seq):
            return "replayed"
        address = record.about.address if record.about is not None else incoming.sender
        return ReceivedMessage(sender, address, incoming.transport, envelope, True)

    def _sender_limit(self, record: Record) -> TokenBucket:
        if record.rate_limit is None:
            record.rate_limit = TokenBucket(self.parameters.per_sender, self.now_us)
        return record.rate_limit

    def _report_refused(self, incoming: MessageReceived, refused: Refused) -> None:
        self.log("refused", f"{incoming.sender}: {refused.text}")
        if refused.why is RefusalReason.VERSION and self._refusal_limit.take(self.now_us):
            self.effects.append(
                SendMessage(incoming.sender, refusal(self.config.keys, self.config.name), incoming.transport)
            )

    def _report_other_kind(self, incoming: MessageReceived, frame: Frame) -> None:
        if frame.kind == Kind.REFUSAL:
            versions = ", ".join(map(str, frame.body[: gossip.MAX_VERSIONS]))
            self.log("version", f"{incoming.sender} reads only versions {versions} of the wire protocol")


def common_version(their_versions: tuple[int, ...]) -> int:
    """Return the highest wire version that both read; ours if there is none, which they refuse."""
    return max((v for v in their_versions if v in VERSIONS), default=VERSIONS[-1])
