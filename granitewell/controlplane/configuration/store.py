"""The configuration as a replicated state machine: compare-and-set by version.

A change is identified by its operation, its base version, and the bytes of its body. If it is based on the
current version, it is ACCEPTED or INVALID. If it is based on another version, it is REPEATED if the history
(a part of the snapshot) contains the same change, even if later ones have followed; FORGOTTEN if the history
does not reach back far enough to tell; otherwise STALE. STALE, INVALID and REPEATED are final, because
versions only increase. The exception is a change based by mistake on a version that does not exist yet: it is
STALE now and might be valid later. The state machine is deterministic: it reads no clock and nothing else
that differs between replicas.
"""

from __future__ import annotations

import struct
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.errors import UnreadableSnapshotError
from granitewell.controlplane.configuration.history import RECORD, ChangeHistory
from granitewell.controlplane.configuration.state import (
    EMPTY,
    ConfigurationState,
    changed,
    complete_state,
    difference,
)
from granitewell.domain.configuration import Configuration
from granitewell.domain.errors import InvalidConfigurationError

__all__ = ["Change", "ChangeResult", "ConfigurationDelta", "ConfigurationStore", "Operation", "Outcome"]

SNAPSHOT_FORMAT = 1
SNAPSHOT_HEADER = struct.Struct("!BIII")  # format, checksum, document length, history records
MAX_DOCUMENT_BYTES = 24 * 1024 * 1024  # must fit into a snapshot and a reply, also if it has grown by patches
MAX_PATCHES = 128  # kept for edges that lag; one further behind gets the complete configuration


class Outcome(Enum):
    """Outcome of a change."""

    ACCEPTED = "taken"
    REPEATED = "repeated"
    STALE = "stale"
    INVALID = "invalid"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Outcome of a change.

    Attributes:
        outcome: Kind of outcome.
        version: The version that it produced if ACCEPTED or REPEATED, otherwise the current one.
        current_version: Current version after the change.
        error: The reason if INVALID.
    """

    outcome: Outcome
    version: int
    current_version: int
    error: InvalidConfigurationError | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Update to a version: one complete configuration (JSON), or encoded patches (Change) in order.

    Attributes:
        version: The version.
        is_complete: Whether `documents` is one complete configuration.
        documents: The configuration, or the patches.
    """

    version: int
    is_complete: bool
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Digest of a valid change on the current state, and the state that it produces."""

    digest: bytes
    after: ConfigurationState


@dataclass(frozen=True, slots=True)
class _Patch:
    """A patch that leads from one version to the next.

    Attributes:
        data: The patch as edges receive it.
    """

    base_version: int
    version: int
    data: bytes


class ConfigurationStore:
    """One replica of the configuration.

    Args:
        on_change: Called after each change of the version.
    """

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self._state = EMPTY
        self._history = ChangeHistory()
        self._patches: deque[_Patch] = deque(maxlen=MAX_PATCHES)
        self._document: bytes | None = None
        self._document_size = 0
        self._checked: _Candidate | None = None  # result of the last successful check on the current state
        self._on_change = on_change

    @property
    def configuration(self) -> Configuration | None:
        """Current configuration, None before the first."""
        return self._state.configuration if self._state.version else None

    @property
    def version(self) -> int:
        """Current version, 0 before the first."""
        return self._state.version

    def document(self) -> bytes:
        """Return the current configuration as JSON; an empty one before the first."""
        if self._document is None:
            self._document = self._state.document()
        return self._document

    def check(self, change: Change) -> ChangeResult | None:
        """Return the outcome that a change would have now, None if it would be accepted."""
        evaluation = self._evaluate(change)
        if isinstance(evaluation, ChangeResult):
            return evaluation
        self._checked = evaluation
        return None

    def apply(self, _index: int, data: bytes) -> ChangeResult:
        """Apply a committed entry of the log; raises UnreadableChangeError."""
        change = Change.decode(data)
        evaluation = self._evaluate(change)
        if isinstance(evaluation, ChangeResult):
            return evaluation
        self._commit(change, evaluation, data)
        return self._result(Outcome.ACCEPTED)

    def changes_since(self, version: int) -> ConfigurationDelta:
        """Return the update from a version to the current one.

        It consists of patches if they are still stored, otherwise of the complete configuration.
        """
        if version >= self.version:
            return ConfigurationDelta(self.version, False, ())
        patches = [patch for patch in self._patches if patch.version > version]
        if patches and patches[0].base_version == version:
            return ConfigurationDelta(self.version, False, tuple(patch.data for patch in patches))
        return ConfigurationDelta(self.version, True, (self.document(),))

    def snapshot(self) -> bytes:
        """Return the state and the history, encoded for `restore`."""
        document = self.document() if self.version else b""
        records = self._history.records()
        rest = document + b"".join(records)
        return SNAPSHOT_HEADER.pack(SNAPSHOT_FORMAT, zlib.crc32(rest), len(document), len(records)) + rest

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot.

        Raises:
            UnreadableSnapshotError: The snapshot cannot be read; the state stays as it was.
        """
        if len(data) < SNAPSHOT_HEADER.size:
            raise UnreadableSnapshotError(f"{len(data)} bytes are too few")
        version, checksum, length, count = SNAPSHOT_HEADER.unpack_from(data)
        if version != SNAPSHOT_FORMAT:
            raise UnreadableSnapshotError(f"format {version} is not known")
        rest = data[SNAPSHOT_HEADER.size :]
        if len(rest) != length + count * RECORD.size or zlib.crc32(rest) != checksum:
            raise UnreadableSnapshotError("damaged")
        state = _restored_state(bytes(rest[:length]))
        history = ChangeHistory.read(rest[length:])
        if history.version != state.version:
            raise UnreadableSnapshotError(
                f"changes lead to {history.version}, the configuration is {state.version}"
            )
        self._history = history
        self._patches.clear()
        self._set_state(state)

    def _evaluate(self, change: Change) -> ChangeResult | _Candidate:
        if change.base_version != self.version:
            return self._evaluate_on_another_version(change)
        digest = change.digest()
        if self._checked is not None and self._checked.digest == digest:
            return self._checked
        try:
            return _Candidate(digest, _bounded(changed(self._state, change)))
        except InvalidConfigurationError as error:
            return self._result(Outcome.INVALID, error)

    def _evaluate_on_another_version(self, change: Change) -> ChangeResult:
        version = self._history.version_of(change)
        if version is not None:
            return ChangeResult(Outcome.REPEATED, version, self.version)
        if self._history.reaches(change.base_version):
            return self._result(Outcome.STALE)
        return self._result(Outcome.FORGOTTEN)

    def _result(self, outcome: Outcome, error: InvalidConfigurationError | None = None) -> ChangeResult:
        return ChangeResult(outcome, self.version, self.version, error)

    def _commit(self, change: Change, candidate: _Candidate, data: bytes) -> None:
        before, after = self._state, candidate.after
        self._history.add(change, after.version)
        patch = bytes(data) if change.operation is Operation.PATCH else _as_patch(before, after)
        if patch is None:
            self._patches.clear()
        else:
            self._patches.append(_Patch(before.version, after.version, patch))
        self._set_state(after)

    def _drop_long_patches(self) -> None:
        """Drop the oldest patches while all together are not shorter than the complete configuration."""
        size = sum(len(patch.data) for patch in self._patches)
        while self._patches and size >= self._document_size:
            size -= len(self._patches.popleft().data)

    def _set_state(self, state: ConfigurationState) -> None:
        self._state = state
        self._document = None
        self._document_size = state.size()
        self._checked = None
        self._drop_long_patches()
        if self._on_change is not None:
            self._on_change()


def _bounded(state: ConfigurationState) -> ConfigurationState:
    """Return the state; raises InvalidConfigurationError if it is too large to be stored."""
    if state.size() > MAX_DOCUMENT_BYTES:
        raise InvalidConfigurationError(
            "body", f"the whole configuration would be above {MAX_DOCUMENT_BYTES} bytes"
        )
    return state


def _as_patch(before: ConfigurationState, after: ConfigurationState) -> bytes | None:
    """Return a new configuration as an encoded patch of the previous one, or None if that is impossible."""
    body = difference(before, after)
    return None if body is None else Change(Operation.PATCH, before.version, body).encode()


def _restored_state(document: bytes) -> ConfigurationState:
    if not document:
        return EMPTY
    try:
        return complete_state(EMPTY, document)
    except InvalidConfigurationError as error:
        raise UnreadableSnapshotError(f"contains no valid configuration: {error}") from error
