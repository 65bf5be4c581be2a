"""What all parts of a planner share: its settings, its disk, its promise, the present time and what it says.

It owns the sealing and opening of letters. It must never decide anything.
"""

from __future__ import annotations

from random import Random

from granitewell.leases.persistence import Desk, Then
from granitewell.leases.record import Record
from granitewell.leases.types import Settings
from granitewell.leases.voter import Promise, Who
from granitewell.protocols.peers.frames import Kind, Refused, Why, open_, refusal, seal
from granitewell.protocols.peers.leases import LETTERS, Letter, Said
from granitewell.state_machine import Heard, Line, Road, Say

REFUSALS_US = 1_000_000  # at most one answer to an unknown version in so long


class Seat:
    """A planner's process.

    Attributes:
        out: The effects of the event at hand.
        now_us: When that is.
        promise: The last one given.
    """

    __slots__ = ("_address", "_refusal_us", "began_us", "boot", "desk", "me", "now_us", "others", "out",
                 "promise", "refused", "rng", "settings", "votes")  # fmt: skip

    def __init__(self, settings: Settings, rng: Random, now_us: int, desk: Desk) -> None:
        self.settings, self.rng, self.desk = settings, rng, desk
        self.now_us = self.began_us = self._refusal_us = now_us
        self.boot = 1 + int(rng.random() * (1 << 53))
        self.me = settings.names.index(settings.name)
        self.others = tuple(n for n in settings.names if n != settings.name)
        self.out: list[object] = []
        self.promise = Promise(None, now_us)
        self.votes = False  # whether its disk has a vote for certain
        self.refused = 0  # frames that did not verify
        self._address = dict(settings.planners)

    @property
    def record(self) -> Record:
        """As it is in memory, which the disk may lag behind."""
        return self.desk.record

    @property
    def who(self) -> Who:
        """This process."""
        return self.settings.name, self.boot

    def life_of(self, name: str) -> int:
        """The newest disk that we know of a planner."""
        return self.record.lives[self.settings.names.index(name)]

    def lives_said(self, record: Record) -> list[int]:
        """What we tell others of disks.

        Of our own only once it has a vote: before, it is no more than a claim, and an oath is the one way to
        make it.
        """
        return [*record.lives[: self.me], record.life if self.votes else 0, *record.lives[self.me + 1 :]]

    def some(self, length_us: int) -> int:
        """A random part of that."""
        return int(self.rng.random() * length_us)

    def write(self, record: Record, then: Then | None) -> None:
        """Take a new record; `then` follows once the disk has it."""
        self.out.append(self.desk.write(record, then))

    def write_then(self, record: Record, then: Then) -> Then | None:
        """The same, where nothing has to be written if the disk has it already: `then` may be done at once.

        Where just this is being written, nothing is to do: whoever asked will ask again.
        """
        if record == self.record and self.desk.settled:
            return then
        if record != self.record or not self.desk.waiting:
            self.write(record, then)
        return None

    def say(self, name: str, said: Said) -> None:
        """To another planner."""
        self.send(self._address[name], said, Road.DATAGRAM)

    def say_all(self, said: Said, road: Road = Road.DATAGRAM) -> None:
        """To all others."""
        for name in self.others:
            self.send(self._address[name], said, road)

    def say_here(self, said: Said, address: str = "") -> None:
        """To whoever else goes by our name, at our own address unless another is given."""
        self.send(address or self._address[self.settings.name], said, Road.STREAM)

    def send(self, address: str, said: Said, road: Road) -> None:
        """To an address."""
        letter = LETTERS.write(Letter(self.settings.fleet, self.boot, said))
        self.out.append(Say(address, seal(Kind.LEASE, letter, self.settings.keys, self.settings.name), road))

    def open(self, heard: Heard) -> tuple[str, int, Said] | None:
        """Name and boot of who has said what, if it is for us and from one of our planners."""
        frame = open_(heard.data, self.settings.keys)
        if isinstance(frame, Refused):
            self._unread(heard, frame)
            return None
        if frame.kind != Kind.LEASE or frame.sender not in self._address:
            return None
        letter = LETTERS.read(frame.body)
        if letter is None:
            return None
        if letter.fleet != self.settings.fleet:
            self.out.append(Line("fleet", f"{frame.sender} has another list of planners, or another epoch"))
            return None
        return frame.sender, letter.boot, letter.said

    def _unread(self, heard: Heard, refused: Refused) -> None:
        self.refused += 1
        if refused.why is Why.VERSION and self.now_us >= self._refusal_us:
            self._refusal_us = self.now_us + REFUSALS_US
            self.out.append(Say(heard.sender, refusal(self.settings.keys, self.settings.name), heard.road))
            self.out.append(Line("version", f"{heard.sender}: {refused.text}"))
