"""The state machine that a group replicates, and how committed entries are applied to it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from granitewell.coordination.consensus.proposals import Proposals
from granitewell.coordination.consensus.types import Entry, EntryKind, Snapshot
from granitewell.domain.errors import GranitewellError, UnknownFormatError


class StateMachine(Protocol):
    """What a group replicates. It must be deterministic, and starts empty."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply a committed entry; the result is returned to the proposer if it is on this node."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, data: bytes) -> None:
        """Replace the state."""


class StateMachineHaltedError(GranitewellError):
    """The state machine cannot go on; its replica must take no further part.

    Attributes:
        error: What the state machine raised.
    """

    def __init__(self, reason: str, error: Exception) -> None:
        super().__init__(f"{reason}: {error}")
        self.reason = reason
        self.error = error


class AppliedState:
    """The state machine of one replica, and how far it has applied the log.

    Args:
        machine: The state machine.
        proposals: Pending proposals of this node, which get the results.
    """

    def __init__(self, machine: StateMachine, proposals: Proposals) -> None:
        self._machine = machine
        self._proposals = proposals
        self._empty = b""
        self.index = 0

    def remember_empty(self) -> None:
        """Remember the state before the first entry, for replicas that start again."""
        self._empty = self._machine.snapshot()

    def reset(self) -> None:
        """Go back to the state before the first entry."""
        self._machine.restore(self._empty)
        self.index = 0

    def snapshot(self) -> bytes:
        """Return the complete state."""
        return self._machine.snapshot()

    def restore(self, snapshot: Snapshot) -> None:
        """Load a snapshot.

        Raises:
            StateMachineHaltedError: It cannot be loaded, and entries must not be applied to an older state.
        """
        try:
            self._machine.restore(snapshot.data or self._empty)
        except Exception as error:
            raise StateMachineHaltedError(f"its snapshot {snapshot.index} is refused", error) from error
        self.index = snapshot.index
        self._proposals.lose(self.index)

    def apply(self, entries: Iterable[Entry]) -> None:
        """Apply committed entries, and answer their proposals.

        Raises:
            StateMachineHaltedError: An entry needs a newer version. Other replicas may have applied it.
        """
        for entry in entries:
            self._apply_entry(entry)
            self.index = entry.index

    def _apply_entry(self, entry: Entry) -> None:
        result: object = None
        failure: Exception | None = None
        if entry.kind is EntryKind.DATA:
            try:
                result = self._machine.apply(entry.index, entry.data)
            except UnknownFormatError as error:
                raise StateMachineHaltedError(f"its entry {entry.index} is not known", error) from error
            except Exception as error:  # noqa: BLE001  the same on all replicas, and the proposer's concern
                failure = error
        self._proposals.applied(entry, result, failure)
