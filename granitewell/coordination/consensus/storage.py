"""Records of a replica as bytes of its durable log, and the state that they add up to.

Records are replayed in order. An entry replaces all entries from its index on, a snapshot replaces those up
to its index, and the newest hard state is valid. The first record names the replica that owns the log.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from granitewell.coordination.consensus.encoding import (
    NewerMembershipFormatError,
    UnknownEntryKindError,
    decode_entries,
    decode_list,
    decode_membership,
    encode_entry,
    encode_list,
    encode_membership,
)
from granitewell.coordination.consensus.log import ReplicatedLog
from granitewell.coordination.consensus.types import (
    Entry,
    HardState,
    Identity,
    Record,
    Snapshot,
    StoredState,
)
from granitewell.coordination.log_format import DurableLogError
from granitewell.domain.errors import MalformedFrameError

_RECORD = struct.Struct("!BI")
_SNAPSHOT = struct.Struct("!QQ")
_TERM = struct.Struct("!Q")
_IDENTITY_KIND = 1
_HARD_STATE_KIND = 2
_ENTRY_KIND = 3
_SNAPSHOT_KIND = 4


class UnreadableRecordsError(DurableLogError):
    """The frames of a log are valid, but their records do not add up to a replica's state."""


class UnknownRecordError(UnreadableRecordsError):
    """A log contains a record that only a newer version knows. It is not corrupt."""


def encode_records(records: Iterable[Record]) -> bytes:
    """Encode records one after the other."""
    parts: list[bytes] = []
    for record in records:
        kind, payload = _encode(record)
        parts.append(_RECORD.pack(kind, len(payload)))
        parts.append(payload)
    return b"".join(parts)


def _encode(record: Record) -> tuple[int, bytes]:
    if isinstance(record, Entry):
        return _ENTRY_KIND, encode_entry(record)
    if isinstance(record, HardState):
        return _HARD_STATE_KIND, _TERM.pack(record.term) + record.vote.encode()
    if isinstance(record, Identity):
        return _IDENTITY_KIND, record.replica_id.encode()
    where = _SNAPSHOT.pack(record.index, record.term)
    return _SNAPSHOT_KIND, encode_list((where, encode_membership(record.membership), record.data))


def decode_records(payload: bytes) -> list[Record]:
    """Decode the records of a batch.

    Raises:
        UnknownRecordError: A record was written by a newer version.
        UnreadableRecordsError: The records cannot be read.
    """
    records: list[Record] = []
    at = 0
    try:
        while at < len(payload):
            kind, length = _RECORD.unpack_from(payload, at)
            at += _RECORD.size
            if at + length > len(payload):
                raise UnreadableRecordsError("a record ends after its batch")
            records.append(_decode(kind, payload[at : at + length]))
            at += length
    except (UnknownEntryKindError, NewerMembershipFormatError) as error:
        raise UnknownRecordError(str(error)) from error
    except (struct.error, UnicodeDecodeError, MalformedFrameError, ValueError) as error:
        raise UnreadableRecordsError(str(error)) from error
    return records


def _decode(kind: int, payload: bytes) -> Record:
    if kind == _ENTRY_KIND:
        (entry,) = decode_entries(payload)
        return entry
    if kind == _HARD_STATE_KIND:
        (term,) = _TERM.unpack_from(payload)
        return HardState(term, payload[_TERM.size :].decode())
    if kind == _IDENTITY_KIND:
        return Identity(payload.decode())
    if kind == _SNAPSHOT_KIND:
        where, membership, data = decode_list(payload)
        index, term = _SNAPSHOT.unpack(where)
        return Snapshot(index, term, decode_membership(membership), data)
    raise UnknownRecordError(f"a record of kind {kind}")


def state_records(state: StoredState) -> list[Record]:
    """Return the records with which a rewritten log starts."""
    return [Identity(state.replica_id), state.hard_state, state.snapshot, *state.entries]


def replay(records: Iterable[Record]) -> StoredState:
    """Return the state that records add up to.

    Raises:
        UnreadableRecordsError: The records do not add up to a state.
    """
    replica_id: str | None = None
    hard_state = HardState()
    log = ReplicatedLog(Snapshot())
    for record in records:
        if isinstance(record, Identity):
            replica_id = record.replica_id
        elif isinstance(record, HardState):
            hard_state = record
        elif isinstance(record, Snapshot):
            log.install(record)
        else:
            _replay_entry(log, record)
    if replica_id is None:
        raise UnreadableRecordsError("no identity")
    return StoredState(replica_id, hard_state, log.snapshot, tuple(log.entries))


def _replay_entry(log: ReplicatedLog, entry: Entry) -> None:
    if entry.index <= log.snapshot.index:
        return
    if entry.index > log.last_index + 1:
        raise UnreadableRecordsError(f"entry {entry.index} after {log.last_index}")
    if entry.index <= log.last_index:
        log.truncate(entry.index)
    log.append(entry)
