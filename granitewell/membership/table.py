"""The member table: one record per name, merged from assertions, with indexes and digests.

A record holds the maximum of all assertions received for its name (states.merged), so their order and number
do not matter. The newest description that a member gave of itself is kept beside it by the same rule. The
table is bounded, sends nothing and does not know which name is the local one.
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
    """An unordered set of names; adding, removing and sampling take constant time."""

    __slots__ = ("_index", "names")

    def __init__(self) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def set_present(self, name: str, present: bool) -> None:
        """Add or remove a name."""
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
        """Return up to `count` distinct random names that are not excluded.

        The number of tries is bounded, so a small set may give fewer than it could.
        """
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
    """What is known of a name.

    Attributes:
        by: Member that first suspected it or declared it dead.
        about: Newest description of itself by the current process, made at incarnation about_inc; None if
            not received.
        digest: Digest of the record, part of the digest of its partition.
        up_digest: Digest of the process; 0 if it is not up.
        member: The record as shown to users; None while there is no description.
        replay_window: Sequence numbers received from the current process.
        rate_limit: Limit on messages from the current process.
    """

    name: str
    partition: int  # of the table
    standing: Standing
    by: str = ""
    about: About | None = None
    about_inc: int = -1
    down_since_us: int = 0  # when it died or left
    digest: int = 0
    up_digest: int = 0
    member: Member | None = None
    replay_window: ReplayWindow | None = None
    rate_limit: TokenBucket | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """The change made by an assertion.

    Attributes:
        record: The changed record.
        before: Member as shown before; None if it had no description.
        now: Member as shown now.
        standing_changed: The standing changed, not only the description.
    """

    record: Record
    before: Member | None
    now: Member | None
    standing_changed: bool


class Table:
    """All records, indexed by partition and by state.

    Attributes:
        records: By name.
        up: Names of alive and suspect members.
        dead: Names of dead members whose description, and so address, is known.
        digests: Digest of each partition.
        up_digest: Digest of all processes that are up; equal on members that see the same ones.
        refused: Assertions that were not accepted because the table was full.
    """

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
        self.up, self.dead = NameSet(), NameSet()
        self.digests = [0] * TABLE_PARTITIONS
        self.up_digest = 0
        self.refused = 0
        self._partitions: list[dict[str, Record]] = [{} for _ in range(TABLE_PARTITIONS)]
        self._down: dict[str, None] = {}  # dead and left, in the order of going down

    def member(self, name: str) -> Member | None:
        """Return a member, up or down; None if it is unknown or has no description."""
        record = self.records.get(name)
        return record.member if record is not None else None

    # --- Merging ----------------------------------------------------------------------------------------
    def merge(self, assertion: Assertion, now_us: int) -> Change | None:
        """Merge an assertion; return None if it changes nothing."""
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
        """Whether its description is newer than the one in the record.

        A correct process never gives two descriptions at one incarnation. If it happens, the greater one
        wins, so that all members agree.
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
        """Keep the earliest date of the same death; otherwise gossip could delay its expiry for ever."""
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
        """Drop dead and left members whose time is over, and the oldest beyond the bound."""
        before = now_us - self._parameters.forget_us
        for name in [n for n in self._down if self.records[n].down_since_us <= before]:
            self._remove(name)
        for name in list(self._down)[: max(len(self._down) - self._parameters.most, 0)]:
            self._remove(name)

    # --- Comparing --------------------------------------------------------------------------------------
    def digest_bytes(self) -> bytes:
        """Return the digests of all partitions."""
        return b"".join(d.to_bytes(DIGEST_BYTES, "big") for d in self.digests)

    def differing_partitions(self, digests: bytes) -> int:
        """Return a bit mask of the partitions in which another table differs from this one."""
        theirs = (
            int.from_bytes(digests[k * DIGEST_BYTES : (k + 1) * DIGEST_BYTES], "big")
            for k in range(TABLE_PARTITIONS)
        )
        return sum(1 << k for k, d in enumerate(theirs) if d != self.digests[k])

    def assertions(self, partitions: int, now_us: int) -> Iterator[Assertion]:
        """Yield the assertions for all names in these partitions."""
        for k in range(TABLE_PARTITIONS):
            if partitions >> k & 1:
                for record in self._partitions[k].values():
                    yield from assertions_for(record, now_us)


def digest(record: Record) -> int:
    """Return the digest of what two tables must agree on in a record.

    Members compare these digests, and the text includes the `repr` of `About`: its class and field names are
    part of the wire format.
    """
    down = record.standing.state in DOWN
    text = f"{record.name} {record.standing[:3]} {int(record.standing.state)}"
    if not down:
        text += f" {record.about_inc} {record.about!r}"
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def up_digest(record: Record) -> int:
    """Return the digest of the process behind a name; the same for alive and suspect members."""
    text = f"{record.name} {record.standing[:2]}"
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big")


def assertions_for(record: Record, now_us: int) -> list[Assertion]:
    """Return the assertions from which another table can build this record."""
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
    """Return the assertion that a member is suspect, dead or left."""
    standing = record.standing
    down = standing.state in DOWN
    age = max(now_us - record.down_since_us, 0) // _US_PER_S if down else 0
    return Assertion(record.name, *standing, age_s=age, by=record.by)
