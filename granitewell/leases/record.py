"""What a planner keeps on its disk, as one value that is written whole.

It owns the form of the value. It must never decide what is in it. The value is JSON with a version: a reader
of an older version refuses a newer one rather than lose what it does not know.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

KEY = "lease"
VERSION = 1
MOST = 2_000  # bytes
BLANK, FOUNDED, OATH = "blank", "founded", "oath"
_NUMBERS = ("epoch", "fleet", "life", "term", "lease_us")


class MalformedRecordError(ValueError):
    """A record that can't be read: what is wrong with it, in words.

    To go on with an empty disk in its place is safe; to go on with an older record is not.
    """


@dataclass(frozen=True, slots=True)
class Record:
    """epoch, fleet: whose record it is (Settings).

    Attributes:
        life: This disk's number; higher than that of any disk that this name has had.
        sworn: How it came to its vote: not yet ("blank"), with its first disk ("founded"), or with a later
            one ("oath").
        term: The highest voted in or adopted.
        voted: The name and boot of whom in that term; None: for nobody, and nobody may be.
        lease_us: The longest lease that may have been promised with that vote.
        lives: Of all planners, by name.
    """

    epoch: int
    fleet: int
    life: int
    sworn: str
    term: int
    voted: tuple[str, int] | None
    lease_us: int
    lives: tuple[int, ...]

    def write(self) -> bytes:
        """The value."""
        return json.dumps({"v": VERSION, **asdict(self)}, separators=(",", ":")).encode()


def read(data: bytes, planners: int) -> Record:
    """The record that a value holds. Raises MalformedRecordError."""
    if len(data) > MOST:
        raise MalformedRecordError(f"lease record: found {len(data)} bytes, allowed are {MOST}")
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MalformedRecordError(f"lease record: not JSON: {error}") from None
    if not isinstance(fields, dict) or type(fields.get("v")) is not int:
        raise MalformedRecordError("lease record: found no version v")
    if fields["v"] > VERSION:
        raise MalformedRecordError(
            f"lease record: found version {fields['v']}, this node reads up to {VERSION}"
        )
    try:
        return _record(fields, planners)
    except (KeyError, TypeError) as error:
        raise MalformedRecordError(f"lease record: {type(error).__name__} at {error}") from None


def _record(fields: dict[str, Any], planners: int) -> Record:
    voted, lives = fields["voted"], fields["lives"]
    if voted is not None and [type(x) for x in voted] != [str, int]:
        raise MalformedRecordError(f"lease record: voted: found {voted!r}, allowed are null or [name, boot]")
    if type(lives) is not list or len(lives) != planners or not all(map(_natural, lives)):
        raise MalformedRecordError(f"lease record: lives: found {lives!r}, allowed are {planners} numbers")
    for name in _NUMBERS:
        if not _natural(fields[name]):
            raise MalformedRecordError(
                f"lease record: {name}: found {fields[name]!r}, allowed is a number from 0"
            )
    if fields["sworn"] not in (BLANK, FOUNDED, OATH):
        raise MalformedRecordError(f"lease record: sworn: found {fields['sworn']!r}")
    pair = None if voted is None else (voted[0], voted[1])
    numbers = {name: fields[name] for name in _NUMBERS}
    return Record(sworn=fields["sworn"], voted=pair, lives=tuple(lives), **numbers)


def _natural(value: object) -> bool:
    return type(value) is int and 0 <= value < 1 << 63
