"""Output of a replica: one batch of work for the process part, and the contract for doing it.

All safety depends on the order in which the work is done:

1. `restore`, then `committed`, are passed to the state machine in order. They never wait for the local disk.
2. `records` are handed to the disk after those of all earlier batches.
3. `messages` may be sent at once.
4. `synced_messages` are sent only after the disk has synced this batch and all earlier ones. Then
   `Replica.persisted(batch)` is called. A batch that fails is retried; until it succeeds nothing is reported
   about it except `Replica.disk_failed()`.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.coordination.consensus.messages import Message
from granitewell.coordination.consensus.types import Entry, Record, Snapshot


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and its destination address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Ready:
    """One batch of work.

    Attributes:
        batch: Number of the batch that synced_messages wait for; `records` may be empty.
        records: Records to write.
        messages: Messages to send at once.
        synced_messages: Messages to send after the batch is synced.
        restore: Snapshot to load into the state machine, if any.
        committed: Entries to apply.
    """

    batch: int
    records: tuple[Record, ...]
    messages: tuple[Outgoing, ...]
    synced_messages: tuple[Outgoing, ...]
    restore: Snapshot | None
    committed: tuple[Entry, ...]
