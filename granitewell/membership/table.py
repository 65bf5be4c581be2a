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

from granitewell.membership.states import GONE, UP, Standing, State, overrides
from granitewell.membership.types import Figures, Member
from granitewell.protocols.peers.gossip import BUCKETS, DIGEST, About, Claim
from granitewell.protocols.peers.limits import Bucket, Window

_S = 1_000_000


class Roll:
    """Names in no order that matters: added, removed and drawn at one cost whatever their number."""

    __slots__ = ("_at", "names")

    def __init__(self) -> None:
        self.names: list[str] = []
        self._at: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._at

    def put(self, name: str, there: bool) -> None:
        """Have it there, or not."""
        at = self._at.get(name, -1)
        if there and at < 0:
            self._at[name] = len(self.names)
            self.names.append(name)
        elif not there and at >= 0:
            last = self.names.pop()
            if last != name:
                self.names[at], self._at[last] = last, at
            del self._at[name]

    def draw(self, rng: Random, count: int, but: tuple[str, ...] = ()) -> list[str]:
        """Up to so many different ones at random; fewer now and then where there are few."""
        found: list[str] = []
        tries = 4 * (count + len(but)) if self.names else 0
        while tries and len(found) < count:
            tries -= 1
            name = self.names[int(rng.random() * len(self.names))]
            if name not in found and name not in but:
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
    part: int  # of the table
    standing: Standing
    by: str = ""
    about: About | None = None
    about_inc: int = -1
    gone_us: int = 0  # since when it is dead or has left
    digest: int = 0
    up_digest: int = 0  # of the process alone, 0 for one that is not up
    member: Member | None = None
    window: Window | None = None
    bucket: Bucket | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """What a claim has changed.

    Attributes:
        before, now: As it is shown; None where it is not known well enough.
    """

    record: Record
    before: Member | None
    now: Member | None
    stands: bool  # its standing has changed, not only what it says of itself


class Table:
    """refused: claims of new names that found no room."""

    __slots__ = ("_figures", "_gone", "_parts", "dead", "digests", "records", "refused", "up", "up_digest")

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self.records: dict[str, Record] = {}
        self.up, self.dead = Roll(), Roll()  # dead: whom it is known how to reach
        self.digests = [0] * BUCKETS
        self.up_digest = 0  # of all that are up: two members that see the same have the same
        self.refused = 0
        self._parts: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]
        self._gone: dict[str, None] = {}  # dead and left, longest known first

    def member(self, name: str) -> Member | None:
        """As it is shown, up or gone."""
        record = self.records.get(name)
        return record.member if record is not None else None

    # --- Merging ----------------------------------------------------------------------------------------
    def merge(self, claim: Claim, now_us: int) -> Change | None:
        """Take a claim in; None where it says nothing new."""
        new = Standing(claim.gen, claim.birth, claim.inc, State(claim.state))
        record = self.records.get(claim.name)
        if record is None:
            if not self._room(new, claim):
                return None
            part = crc32(claim.name.encode()) % BUCKETS
            record = self.records[claim.name] = self._parts[part][claim.name] = Record(claim.name, part, new)
            record.standing = Standing(0, 0, 0, State.ALIVE)
        elif record.standing.state in GONE and new.state in UP and overrides(new, record.standing):
            if self._full():
                return None
        stands, says = overrides(new, record.standing), self._says(record, claim)
        if not (stands or says):
            self._older(record, new, claim, now_us)
            return None
        before = record.member
        if stands:
            self._stand(record, new, claim, now_us)
        if says:
            record.about, record.about_inc = claim.about, claim.inc
        self._show(record)
        return Change(record, before, record.member, stands)

    def _says(self, record: Record, claim: Claim) -> bool:
        """Whether what it says of itself is newer than what we have.

        Two different things at one incarnation are said by nobody honest; then the greater counts, so that
        all agree.
        """
        if claim.about is None or (claim.gen, claim.birth) < record.standing[:2]:
            return False
        if record.about is None or (claim.gen, claim.birth) > record.standing[:2]:
            return True
        return (claim.inc, claim.about) > (record.about_inc, record.about)

    def _stand(self, record: Record, new: Standing, claim: Claim, now_us: int) -> None:
        if new[:2] != record.standing[:2]:
            record.about, record.about_inc = None, -1
            record.window = record.bucket = None
        record.standing, record.by = new, claim.by
        if new.state in GONE:
            record.gone_us = now_us - claim.age_s * _S
            self._gone[record.name] = None
        else:
            self._gone.pop(record.name, None)

    def _older(self, record: Record, new: Standing, claim: Claim, now_us: int) -> None:
        """The same death, dated earlier: the earliest date counts, else it would never be forgotten."""
        if new == record.standing and new.state in GONE:
            record.gone_us = min(record.gone_us, now_us - claim.age_s * _S)

    def _show(self, record: Record) -> None:
        standing, about = record.standing, record.about
        record.member = Member(record.name, *standing, about) if about is not None else None
        shown = record.member is not None
        self.up.put(record.name, shown and standing.state in UP)
        self.dead.put(record.name, shown and standing.state is State.DEAD)
        self.digests[record.part] ^= record.digest
        record.digest = digest(record)
        self.digests[record.part] ^= record.digest
        self._up_is(record, up_digest(record) if record.name in self.up else 0)

    def _up_is(self, record: Record, digest: int) -> None:
        self.up_digest ^= record.up_digest ^ digest
        record.up_digest = digest

    # --- Bounds -----------------------------------------------------------------------------------------
    def _room(self, new: Standing, claim: Claim) -> bool:
        if new.state in GONE:
            if claim.age_s * _S >= self._figures.forget_us:
                return False
            if len(self._gone) >= self._figures.most:
                self._drop(next(iter(self._gone)))
            return True
        return not self._full()

    def _full(self) -> bool:
        full = len(self.records) - len(self._gone) >= self._figures.most
        self.refused += full
        return full

    def _drop(self, name: str) -> None:
        record = self.records.pop(name)
        self._gone.pop(name, None)
        del self._parts[record.part][name]
        self.digests[record.part] ^= record.digest
        self._up_is(record, 0)
        self.up.put(name, False)
        self.dead.put(name, False)

    def forget(self, now_us: int) -> None:
        """The dead and those who have left, when their time is over."""
        before = now_us - self._figures.forget_us
        for name in [n for n in self._gone if self.records[n].gone_us <= before]:
            self._drop(name)
        for name in list(self._gone)[: max(len(self._gone) - self._figures.most, 0)]:
            self._drop(name)

    # --- Telling ----------------------------------------------------------------------------------------
    def digest_bytes(self) -> bytes:
        """Of all parts."""
        return b"".join(d.to_bytes(DIGEST, "big") for d in self.digests)

    def differing(self, digests: bytes) -> int:
        """The parts in which another's table is not like ours, a bit each."""
        theirs = (int.from_bytes(digests[k * DIGEST : (k + 1) * DIGEST], "big") for k in range(BUCKETS))
        return sum(1 << k for k, d in enumerate(theirs) if d != self.digests[k])

    def claims(self, parts: int, now_us: int) -> Iterator[Claim]:
        """All that is known of the names in these parts."""
        for k in range(BUCKETS):
            if parts >> k & 1:
                for record in self._parts[k].values():
                    yield from said(record, now_us)


def digest(record: Record) -> int:
    """Of what two tables have to agree on."""
    gone = record.standing.state in GONE
    text = f"{record.name} {record.standing[:3]} {int(record.standing.state)}"
    if not gone:
        text += f" {record.about_inc} {record.about!r}"
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST).digest(), "big")


def up_digest(record: Record) -> int:
    """Of the process that goes by the name; suspects count as the living do."""
    text = f"{record.name} {record.standing[:2]}"
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big")


def said(record: Record, now_us: int) -> list[Claim]:
    """The claims that give this record to whoever has none of it."""
    standing = record.standing
    found = []
    if record.about is not None and standing.state in UP:
        gen, birth = standing[:2]
        alive = Claim(record.name, gen, birth, record.about_inc, State.ALIVE, about=record.about)
        found.append(alive)
    if standing.state is not State.ALIVE:
        found.append(bare(record, now_us))
    return found


def bare(record: Record, now_us: int) -> Claim:
    """The claim that it is not alive."""
    standing = record.standing
    gone = standing.state in GONE
    age = max(now_us - record.gone_us, 0) // _S if gone else 0
    return Claim(record.name, *standing, age_s=age, by=record.by)
