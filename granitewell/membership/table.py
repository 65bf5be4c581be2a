"""All that is known of members: one record a name, merged from claims.

Who is up, who is dead, and a digest of each part of it.

It owns the records and their bounds. It must never say anything, ask for time, or know which name is its
own. What is merged is the maximum of the claims that were heard (states.merged), so their order and number do
not matter; the newest that a member says of itself is kept beside it, by the same rule.
"""

from __future__ import annotations

from binascii import crc32
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from granitewell.membership.states import DOWN, UP, Standing, State, overrides
from granitewell.membership.types import Member, Parameters
from granitewell.protocols.peers.gossip import DIGEST_BYTES, TABLE_PARTITIONS, About, Assertion
from granitewell.protocols.peers.limits import ReplayWindow, TokenBucket

_US_PER_S = 1_000_000


class NameSet:
    """Names in no order that matters: added, removed and drawn at one cost whatever their number."""

    __slots__ = ("_index", "names")

    def __init__(self) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def set_present(self, name: str, present: bool) -> None:
        """Have it there, or not."""
        index = self._index.get(name, -1)
        if present and index < 0:
            self._index[name] = len(self.names)
            self.names.append(name)
        elif not present and index >= 0:
            last = self.names.pop()
            if last != name:
                self.names[index], self._index[last] = last, index
            del self._index[name]

    def sample(self, rng: Random, count: int, excluded: tuple[str, ...] = ()) -> list[str]:
        """Up to so many different ones at random; fewer now and then where there are few."""
        found: list[str] = []
        tries = 4 * (count + len(excluded)) if self.names else 0
        while tries and len(found) < count:
            tries -= 1
            name = self.names[int(rng.random() * len(self.names))]
            if name not in found and name not in excluded:
                found.append(name)
        return found


@dataclass(slots=True)
class Record:
    """A name.

    Attributes:
        about: The newest that its life says of itself, at the incarnation about_inc; None where it has not
            been heard.
        by: Who was the first to suspect it or call it dead.
        window, bucket: Of letters heard from this life.
    """

    name: str
    partition: int  # of the table
    standing: Standing
    by: str = ""
    about: About | None = None
    about_inc: int = -1
    down_since_us: int = 0  # since when it is dead or has left
    digest: int = 0
    up_digest: int = 0  # of the process alone, 0 for one that is not up
    member: Member | None = None
    replay_window: ReplayWindow | None = None
    rate_limit: TokenBucket | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """What a claim has changed.

    Attributes:
        before, now: As it is shown; None where it is not known well enough.
    """

    record: Record
    before: Member | None
    now: Member | None
    standing_changed: bool  # its standing has changed, not only what it says of itself


class Table:
    """refused: claims of new names that found no room."""

    __slots__ = (
        "_parameters",
        "_down",
        "_partitions",
        "dead",
        "digests",
        "records",
        "refused",
        "up",
        "up_digest",
    )

    def __init__(self, parameters: Parameters) -> None:
        self._parameters = parameters
        self.records: dict[str, Record] = {}
        self.up, self.dead = NameSet(), NameSet()  # dead: whom it is known how to reach
        self.digests = [0] * TABLE_PARTITIONS
        self.up_digest = 0  # of all that are up: two members that see the same have the same
        self.refused = 0
        self._partitions: list[dict[str, Record]] = [{} for _ in range(TABLE_PARTITIONS)]
        self._down: dict[str, None] = {}  # dead and left, longest known first

    def member(self, name: str) -> Member | None:
        """As it is shown, up or gone."""
        record = self.records.get(name)
        return record.member if record is not None else None

    # --- Merging ----------------------------------------------------------------------------------------
    def merge(self, assertion: Assertion, now_us: int) -> Change | None:
        """Take a claim in; None where it says nothing new."""
        new = Standing(assertion.gen, assertion.birth, assertion.inc, State(assertion.state))
        record = self.records.get(assertion.name)
        if record is None:
            if not self._make_room(new, assertion):
                return None
            partition = crc32(assertion.name.encode()) % TABLE_PARTITIONS
            record = self.records[assertion.name] = self._partitions[partition][assertion.name] = Record(
                assertion.name, partition, new
            )
            record.standing = Standing(0, 0, 0, State.ALIVE)
        elif record.standing.state in DOWN and new.state in UP and overrides(new, record.standing):
            if self._check_full():
                return None
        standing_changed, about_changed = (
            overrides(new, record.standing),
            self._about_is_newer(record, assertion),
        )
        if not (standing_changed or about_changed):
            self._keep_earliest_date(record, new, assertion, now_us)
            return None
        before = record.member
        if standing_changed:
            self._set_standing(record, new, assertion, now_us)
        if about_changed:
            record.about, record.about_inc = assertion.about, assertion.inc
        self._refresh(record)
        return Change(record, before, record.member, standing_changed)

    def _about_is_newer(self, record: Record, assertion: Assertion) -> bool:
        """Whether what it says of itself is newer than what we have.

        Two different things at one incarnation are said by nobody honest; then the greater counts, so that
        all agree.
        """
        if assertion.about is None or (assertion.gen, assertion.birth) < record.standing[:2]:
            return False
        if record.about is None or (assertion.gen, assertion.birth) > record.standing[:2]:
            return True
        return (assertion.inc, assertion.about) > (record.about_inc, record.about)

    def _set_standing(self, record: Record, new: Standing, assertion: Assertion, now_us: int) -> None:
        if new[:2] != record.standing[:2]:
            record.about, record.about_inc = None, -1
            record.replay_window = record.rate_limit = None
        record.standing, record.by = new, assertion.by
        if new.state in DOWN:
            record.down_since_us = now_us - assertion.age_s * _US_PER_S
            self._down[record.name] = None
        else:
            self._down.pop(record.name, None)

    def _keep_earliest_date(self, record: Record, new: Standing, assertion: Assertion, now_us: int) -> None:
        """The same death, dated earlier: the earliest date counts, else it would never be forgotten."""
        if new == record.standing and new.state in DOWN:
            record.down_since_us = min(record.down_since_us, now_us - assertion.age_s * _US_PER_S)

    def _refresh(self, record: Record) -> None:
        standing, about = record.standing, record.about
        record.member = Member(record.name, *standing, about) if about is not None else None
        shown = record.member is not None
        self.up.set_present(record.name, shown and standing.state in UP)
        self.dead.set_present(record.name, shown and standing.state is State.DEAD)
        self.digests[record.partition] ^= record.digest
        record.digest = digest(record)
        self.digests[record.partition] ^= record.digest
        self._set_up_digest(record, up_digest(record) if record.name in self.up else 0)

    def _set_up_digest(self, record: Record, digest: int) -> None:
        self.up_digest ^= record.up_digest ^ digest
        record.up_digest = digest

    # --- Bounds -----------------------------------------------------------------------------------------
    def _make_room(self, new: Standing, assertion: Assertion) -> bool:
        if new.state in DOWN:
            if assertion.age_s * _US_PER_S >= self._parameters.forget_us:
                return False
            if len(self._down) >= self._parameters.most:
                self._remove(next(iter(self._down)))
            return True
        return not self._check_full()

    def _check_full(self) -> bool:
        full = len(self.records) - len(self._down) >= self._parameters.most
        self.refused += full
        return full

    def _remove(self, name: str) -> None:
        record = self.records.pop(name)
        self._down.pop(name, None)
        del self._partitions[record.partition][name]
        self.digests[record.partition] ^= record.digest
        self._set_up_digest(record, 0)
        self.up.set_present(name, False)
        self.dead.set_present(name, False)

    def expire(self, now_us: int) -> None:
        """The dead and those who have left, when their time is over."""
        before = now_us - self._parameters.forget_us
        for name in [n for n in self._down if self.records[n].down_since_us <= before]:
            self._remove(name)
        for name in list(self._down)[: max(len(self._down) - self._parameters.most, 0)]:
            self._remove(name)

    # --- Telling ----------------------------------------------------------------------------------------
    def digest_bytes(self) -> bytes:
        """Of all parts."""
        return b"".join(d.to_bytes(DIGEST_BYTES, "big") for d in self.digests)

    def differing_partitions(self, digests: bytes) -> int:
        """The parts in which another's table is not like ours, a bit each."""
        theirs = (
            int.from_bytes(digests[k * DIGEST_BYTES : (k + 1) * DIGEST_BYTES], "big")
            for k in range(TABLE_PARTITIONS)
        )
        return sum(1 << k for k, d in enumerate(theirs) if d != self.digests[k])

    def assertions(self, partitions: int, now_us: int) -> Iterator[Assertion]:
        """All that is known of the names in these parts."""
        for k in range(TABLE_PARTITIONS):
            if partitions >> k & 1:
                for record in self._partitions[k].values():
                    yield from assertions_for(record, now_us)


def digest(record: Record) -> int:
    """Of what two tables have to agree on."""
    down = record.standing.state in DOWN
    text = f"{record.name} {record.standing[:3]} {int(record.standing.state)}"
    if not down:
        text += f" {record.about_inc} {record.about!r}"
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def up_digest(record: Record) -> int:
    """Of the process that goes by the name; suspects count as the living do."""
    text = f"{record.name} {record.standing[:2]}"
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big")


def assertions_for(record: Record, now_us: int) -> list[Assertion]:
    """The claims that give this record to whoever has none of it."""
    standing = record.standing
    found = []
    if record.about is not None and standing.state in UP:
        gen, birth = standing[:2]
        alive = Assertion(record.name, gen, birth, record.about_inc, State.ALIVE, about=record.about)
        found.append(alive)
    if standing.state is not State.ALIVE:
        found.append(not_alive_assertion(record, now_us))
    return found


def not_alive_assertion(record: Record, now_us: int) -> Assertion:
    """The claim that it is not alive."""
    standing = record.standing
    down = standing.state in DOWN
    age = max(now_us - record.down_since_us, 0) // _US_PER_S if down else 0
    return Assertion(record.name, *standing, age_s=age, by=record.by)
