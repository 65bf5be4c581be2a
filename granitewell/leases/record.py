"""What a planner keeps on its disk, as one value that is written completely.

This module owns the format. The value is JSON with a version: an older program refuses a newer value rather
than lose what it does not know.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

KEY = "lease"
VERSION = 1
MAX_RECORD_BYTES = 2_000
BLANK, FOUNDED, RECOVERED = "blank", "founded", "oath"
_NUMBERS = ("epoch", "fleet", "life", "term", "lease_us")
_STORED_NAMES = {"incarnation": "life", "incarnations": "lives", "vote_status": "sworn"}
"""Names of fields on the disk that differ from the names of attributes."""
_FIELD_NAMES = {stored: name for name, stored in _STORED_NAMES.items()}


class MalformedRecordError(ValueError):
    """A record cannot be read.

    It is safe to continue with an empty disk in its place, but not with an older record.
    """


@dataclass(frozen=True, slots=True)
class Record:
    """What a planner must remember.

    Attributes:
        epoch: Epoch of the settings.
        fleet: Digest of the planners' names and the epoch.
        incarnation: Number of this disk; higher than that of any earlier disk of this name.
        vote_status: How the disk got its vote: not yet ("blank"), as a founder ("founded"), or by recovery
            ("oath").
        term: Highest term voted in or adopted.
        voted: Name and boot id of the planner voted for in that term; None if no vote may be given in it.
        lease_us: Longest lease that may have been promised with that vote, in microseconds.
        incarnations: Incarnations of all planners, by name.
    """

    epoch: int
    fleet: int
    incarnation: int
    vote_status: str
    term: int
    voted: tuple[str, int] | None
    lease_us: int
    incarnations: tuple[int, ...]

    def write(self) -> bytes:
        """Return the value to store."""
        fields = {_STORED_NAMES.get(name, name): value for name, value in asdict(self).items()}
        return json.dumps({"v": VERSION, **fields}, separators=(",", ":")).encode()


def read(data: bytes, planners: int) -> Record:
    """Parse a stored value; raises MalformedRecordError."""
    if len(data) > MAX_RECORD_BYTES:
        raise MalformedRecordError(f"lease record: found {len(data)} bytes, allowed are {MAX_RECORD_BYTES}")
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
    voted, incarnations = fields["voted"], fields["lives"]
    if voted is not None and [type(x) for x in voted] != [str, int]:
        raise MalformedRecordError(f"lease record: voted: found {voted!r}, allowed are null or [name, boot]")
    if (
        type(incarnations) is not list
        or len(incarnations) != planners
        or not all(map(_natural, incarnations))
    ):
        raise MalformedRecordError(
            f"lease record: lives: found {incarnations!r}, allowed are {planners} numbers"
        )
    for name in _NUMBERS:
        if not _natural(fields[name]):
            raise MalformedRecordError(
                f"lease record: {name}: found {fields[name]!r}, allowed is a number from 0"
            )
    if fields["sworn"] not in (BLANK, FOUNDED, RECOVERED):
        raise MalformedRecordError(f"lease record: sworn: found {fields['sworn']!r}")
    pair = None if voted is None else (voted[0], voted[1])
    numbers = {_FIELD_NAMES.get(name, name): fields[name] for name in _NUMBERS}
    return Record(vote_status=fields["sworn"], voted=pair, incarnations=tuple(incarnations), **numbers)


def _natural(value: object) -> bool:
    return type(value) is int and 0 <= value < 1 << 63
