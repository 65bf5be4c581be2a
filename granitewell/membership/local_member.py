"""What all parts of a member share: who it is, the time, what comes out, how letters are sealed and opened.

It owns what a letter costs before anybody looks at it: the limits, the tags, whom it is for, whether it was
heard before. It must never know what a letter asks for.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitewell.membership.dissemination import Spread
from granitewell.membership.health import Health
from granitewell.membership.states import State
from granitewell.membership.table import Record, Table, bare
from granitewell.membership.types import Config, Member
from granitewell.protocols.peers import gossip
from granitewell.protocols.peers.frames import (
    MAX_DATAGRAM,
    MAX_STREAM,
    VERSIONS,
    Frame,
    Kind,
    Refused,
    Why,
    open_,
    refusal,
    seal,
)
from granitewell.protocols.peers.gossip import LETTERS, Hello, Letter, Said, packed
from granitewell.protocols.peers.limits import Bucket, Window
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, Transport

LOUD = 1  # lines and refusals a second, of each sort


@dataclass(frozen=True, slots=True)
class Opened:
    """A letter that has passed.

    Attributes:
        address: Where to answer.
        known: The sender is the life of that name that we know.
    """

    sender: str
    address: str
    transport: Transport
    letter: Letter
    known: bool


class Seat:
    """counts: of what was dropped, by reason."""

    __slots__ = ("_loud", "_number", "_raw", "_refusals", "_seq", "_strangers", "_total", "birth", "config",
                 "counts", "figures", "goes_on", "health", "letters", "now_us", "out", "rng", "spread",
                 "table")  # fmt: skip

    def __init__(self, config: Config, rng: Random) -> None:
        self.config, self.figures, self.rng = config, config.figures, rng
        former = config.former
        self.goes_on = former is not None and former.goes_on
        self.birth = 1 + (int(rng.random() * (1 << 31)) << 31 | int(rng.random() * (1 << 31)))
        if former is not None and former.goes_on:
            self.birth = former.birth
        self.now_us = 0
        self.out: list[object] = []
        self.table = Table(config.figures)
        self.spread = Spread(config.figures.spread, 2 * config.figures.most)
        self.health = Health(config.figures.lifeguard)
        self.counts: dict[str, int] = {}
        self.letters: dict[tuple[str, str], int] = {}  # heard and said, by kind
        # a life that goes on never uses a number again: others would take its letters for old ones
        self._seq = self._number = former.seq if former is not None and former.goes_on else 0
        self.begin(0)

    def begin(self, now_us: int) -> None:
        """The time is known for the first time."""
        self.now_us = now_us
        figures = self.figures
        self._raw, self._total = Bucket(figures.raw, now_us), Bucket(figures.in_all, now_us)
        self._strangers = Bucket(max(figures.in_all // 4, 1), now_us)
        self._refusals = Bucket(LOUD, now_us)
        self._loud: dict[str, Bucket] = {}

    # --- Small things -----------------------------------------------------------------------------------
    @property
    def members(self) -> int:
        """Up, ourselves included."""
        return len(self.table.up)

    @property
    def seq(self) -> int:
        """Above every number used so far, of letters and of questions."""
        return max(self._seq, self._number) + 1

    def count(self, reason: str) -> None:
        """Something was dropped."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def line(self, topic: str, text: str) -> None:
        """A log line, if there were not too many of that topic."""
        bucket = self._loud.get(topic)
        if bucket is None:
            bucket = self._loud[topic] = Bucket(LOUD, self.now_us)
        if bucket.take(self.now_us):
            self.out.append(LogLine(f"membership-{topic}", text))

    def number(self) -> int:
        """For a question: higher each time."""
        self._number += 1
        return self._number

    def some(self, length_us: int) -> int:
        """A random part of that time."""
        return int(self.rng.random() * length_us)

    def draw(self, count: int, *but: str) -> list[Member]:
        """Up to so many other members at random."""
        table = self.table
        names = table.up.draw(self.rng, count, (self.config.name, *but))
        return [member for member in map(table.member, names) if member is not None]

    # --- Out --------------------------------------------------------------------------------------------
    def tell(self, member: Member, said: Said, transport: Transport = Transport.DATAGRAM) -> None:
        """A letter to a member, with what there is to pass on."""
        self.send(member.about.address, member.birth, said, member.name, transport)

    def send(
        self, address: str, to: int, said: Said, name: str = "", transport: Transport = Transport.DATAGRAM
    ) -> None:
        """A letter to a process at an address.

        What we hold against whoever gets it goes first, so that it can refute it (Lifeguard's buddy system);
        the rest of the room is for other news.
        """
        letter = self._letter(to, said)
        body = gossip.write(letter)
        room = gossip.room(body, self.config.name)
        claims = [] if to == 0 else self._against(name, to)
        room -= sum(map(len, claims))
        if to and len(self.spread):
            claims += self.spread.pick(room, self.members, name if claims else "")
        self._seal(address, gossip.write(letter, claims) if claims else body, transport, name)

    def send_page(self, address: str, to: int, said: Said, claims: list[bytes]) -> None:
        """A letter on a stream with these claims."""
        self._seal(address, gossip.write(self._letter(to, said), claims), Transport.STREAM, "")

    def _letter(self, to: int, said: Said) -> Letter:
        self._seq += 1
        self._letter_of("said", said)
        return Letter(self.birth, to, self._seq, said)

    def _letter_of(self, way: str, said: Said) -> None:
        key = way, type(said).__name__.lower()
        self.letters[key] = self.letters.get(key, 0) + 1

    def _against(self, name: str, to: int) -> list[bytes]:
        record = self.table.records.get(name)
        if record is None or record.standing.birth != to or record.standing.state is State.ALIVE:
            return []
        if record.standing.state is State.SUSPECT and not self.figures.lifeguard:
            return []
        return [packed(bare(record, self.now_us))]

    def _seal(self, address: str, body: bytes, transport: Transport, name: str) -> None:
        limit = MAX_DATAGRAM if transport is Transport.DATAGRAM else MAX_STREAM
        member = self.table.member(name)
        version = version_for(member.about.versions if member is not None else VERSIONS)
        config = self.config
        frame = seal(Kind.GOSSIP, body, config.keys, config.name, limit=limit, version=version)
        self.out.append(SendMessage(address, frame, transport))

    # --- In ---------------------------------------------------------------------------------------------
    def open(self, heard: MessageReceived) -> Opened | None:
        """The letter, if it verifies, is for us, is new and not too much; nothing else has changed."""
        found = self._opened(heard)
        if isinstance(found, Opened):
            self._letter_of("heard", found.letter.said)
            return found
        self.count(found)
        return None

    def _opened(self, heard: MessageReceived) -> Opened | str:
        """The letter, or the reason why it is dropped."""
        if not self._raw.take(self.now_us):
            return "raw"
        limit = MAX_DATAGRAM if heard.transport is Transport.DATAGRAM else MAX_STREAM
        frame = open_(heard.data, self.config.keys, limit=limit)
        if isinstance(frame, Refused):
            self._unread(heard, frame)
            return frame.why.value
        if frame.kind != Kind.GOSSIP:
            self._other(heard, frame)
            return "kind"
        letter = LETTERS.read(frame.body)
        if letter is None:
            return "malformed"
        if letter.birth == self.birth:
            return "own"
        if letter.to != self.birth and not (letter.to == 0 and isinstance(letter.said, Hello)):
            return "misaddressed"
        return self._passed(heard, frame.sender, letter)

    def _passed(self, heard: MessageReceived, sender: str, letter: Letter) -> Opened | str:
        record = self.table.records.get(sender)
        if record is not None and record.standing.birth != letter.birth:
            record = None
        if not (self._bucket(record) if record is not None else self._strangers).take(self.now_us):
            return "sender"
        if not self._total.take(self.now_us):
            return "in_all"
        if record is None:
            return Opened(sender, heard.sender, heard.transport, letter, False)
        if record.window is None:
            record.window = Window()
        if not record.window.fresh(letter.seq):
            return "replayed"
        address = record.about.address if record.about is not None else heard.sender
        return Opened(sender, address, heard.transport, letter, True)

    def _bucket(self, record: Record) -> Bucket:
        if record.bucket is None:
            record.bucket = Bucket(self.figures.per_sender, self.now_us)
        return record.bucket

    def _unread(self, heard: MessageReceived, refused: Refused) -> None:
        self.line("refused", f"{heard.sender}: {refused.text}")
        if refused.why is Why.VERSION and self._refusals.take(self.now_us):
            self.out.append(
                SendMessage(heard.sender, refusal(self.config.keys, self.config.name), heard.transport)
            )

    def _other(self, heard: MessageReceived, frame: Frame) -> None:
        if frame.kind == Kind.REFUSAL:
            versions = ", ".join(map(str, frame.body[: gossip.MAX_VERSIONS]))
            self.line("version", f"{heard.sender} reads versions {versions} of the wire alone")


def version_for(theirs: tuple[int, ...]) -> int:
    """The highest version of the wire that both read; ours where there is none, which they refuse."""
    return max((v for v in theirs if v in VERSIONS), default=VERSIONS[-1])
