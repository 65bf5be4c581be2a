"""History of accepted changes, by which a change that is sent again is recognized.

Accepted changes form a chain: each is based on the version that the previous one produced. The base version
of a change therefore tells which accepted change it can be, if any, and the rest of its identity (operation
and body) tells whether it is that one. Beyond MAX_ACCEPTED_CHANGES the oldest changes are dropped. For a
change based on a version older than the history, it is unknown whether it was accepted.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from granitewell.controlplane.configuration.change import Change
from granitewell.controlplane.configuration.errors import UnreadableSnapshotError

MAX_ACCEPTED_CHANGES = 10_000  # weeks at some hundred changes a day; 400 KB of a snapshot

RECORD = struct.Struct("!32sq")  # digest, version
UNKNOWN_DIGEST = bytes(32)  # of a first record that only tells the version of the last dropped change
LEGACY_FULL_RECORDS = 10_000  # maximum in snapshots of older versions, which have no UNKNOWN_DIGEST


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change.

    Attributes:
        digest: Digest of its operation and body.
        version: Version that it produced.
    """

    digest: bytes
    version: int


class ChangeHistory:
    """The newest accepted changes, by the version that each is based on."""

    def __init__(self) -> None:
        self._accepted: dict[int, AcceptedChange] = {}
        self._forgotten_version = 0

    @property
    def version(self) -> int:
        """Version that the last change produced."""
        return (
            self._accepted[next(reversed(self._accepted))].version
            if self._accepted
            else self._forgotten_version
        )

    def add(self, change: Change, version: int) -> None:
        """Record an accepted change."""
        self._append(AcceptedChange(change.digest(), version))

    def version_of(self, change: Change) -> int | None:
        """Return the version that a change produced, or None if it is not in the history."""
        accepted = self._accepted.get(change.base_version)
        return accepted.version if accepted is not None and accepted.digest == change.digest() else None

    def reaches(self, base_version: int) -> bool:
        """Return whether the history has all accepted changes based on this version or a later one."""
        return base_version >= self._forgotten_version

    def records(self) -> list[bytes]:
        """Return the records of a snapshot."""
        accepted = [RECORD.pack(change.digest, change.version) for change in self._accepted.values()]
        if not self._forgotten_version:
            return accepted
        return [RECORD.pack(UNKNOWN_DIGEST, self._forgotten_version), *accepted]

    @classmethod
    def read(cls, data: bytes) -> ChangeHistory:
        """Return the history in the records of a snapshot; raises UnreadableSnapshotError."""
        changes = [AcceptedChange(*fields) for fields in RECORD.iter_unpack(data)]
        history = cls()
        if changes and (changes[0].digest == UNKNOWN_DIGEST or len(changes) >= LEGACY_FULL_RECORDS):
            history._forgotten_version = changes.pop(0).version
        _check_rising([history._forgotten_version, *(change.version for change in changes)])
        for change in changes:
            history._append(change)
        return history

    def _append(self, change: AcceptedChange) -> None:
        self._accepted[self.version] = change
        while len(self._accepted) > MAX_ACCEPTED_CHANGES:
            oldest = next(iter(self._accepted))
            self._forgotten_version = self._accepted.pop(oldest).version


def _check_rising(versions: Iterable[int]) -> None:
    if any(later <= earlier for earlier, later in pairwise(versions)):
        raise UnreadableSnapshotError("versions of changes don't rise")
