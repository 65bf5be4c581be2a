"""What a replica wants done: one batch of work for its shell, and the contract of doing it.

The order is the shell's duty, and all safety rests on it:

1. `restore`, then `committed`, go to the state machine in order. They never wait for the local disk.
2. `records` are handed to the disk, after those of all earlier batches.
3. `messages` may leave at once.
4. `synced_messages` leave only once the disk has this batch, and with it all earlier ones, synced; then the
   shell calls `Replica.persisted(batch)`. A batch that fails is tried again; nothing is said of it meanwhile,
   but `Replica.disk_failed()`.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.types import Entry, Record, Snapshot


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the address that it goes to."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Ready:
    """One batch of work.

    Attributes:
        batch: What synced_messages wait for; records may be empty.
    """

    batch: int
    records: tuple[Record, ...]
    messages: tuple[Outgoing, ...]
    synced_messages: tuple[Outgoing, ...]
    restore: Snapshot | None
    committed: tuple[Entry, ...]
