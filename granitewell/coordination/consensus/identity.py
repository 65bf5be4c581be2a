"""Identity of the replicas on a disk.

A replica is a random id on its disk. Only when the whole system starts for the first time, a machine whose
address is among the seeds starts as one of the first voters. The ids of the first voters are derived from
their addresses, so that all of them agree without communicating. The first members are stored on disk, so
that an interrupted start continues with the same ones.
"""

from __future__ import annotations

import json
import os
import secrets
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass
from hashlib import sha256
from pathlib import Path
from zlib import crc32

from granitewell.coordination.consensus.types import (
    HardState,
    Member,
    Membership,
    Snapshot,
    StoredState,
)

IDENTITY_NAME = "identity.json"
NEW_NAME = f"{IDENTITY_NAME}.new"
_ID_CHARACTERS = 16

FIRST_WRITE_TIMEOUT_S = 10.0
"""How long the first write of an identity is retried on a disk that refuses it, in seconds."""
_RETRY_S = 0.1

FIRST_INDEX = 1
"""Index of the snapshot that contains the first members.

A replica that joins starts at index 0. It lacks that snapshot, so it cannot append the entries after it
without receiving it first.
"""


@dataclass(frozen=True)
class NodeIdentity:
    """Identity of a disk, shared by all groups on it.

    Attributes:
        node_name: Name of the machine.
        address: Internal address, `ip:port`.
        replica_id: Id of this disk's replicas.
        first_members: Addresses of the first voters; empty if this disk is not one of them.
    """

    node_name: str
    address: str
    replica_id: str
    first_members: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Stored:
    replica_id: str
    first_members: tuple[str, ...]


def fresh_replica_id() -> str:
    """Return a new random id."""
    return secrets.token_hex(_ID_CHARACTERS // 2)


def first_replica_id(address: str) -> str:
    """Return the id of a first voter, derived from its address."""
    return sha256(f"first member {address}".encode()).hexdigest()[:_ID_CHARACTERS]


def load_identity(
    data_dir: Path, node_name: str, address: str, bootstrap: bool, seeds: Sequence[str]
) -> NodeIdentity:
    """Return the identity stored on a disk; create and sync it if there is none.

    Raises:
        OSError: The disk keeps refusing the identity.
    """
    deadline = time.monotonic() + FIRST_WRITE_TIMEOUT_S
    while True:
        try:
            stored = _read(data_dir / IDENTITY_NAME) or _make(data_dir, address, bootstrap, seeds)
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(_RETRY_S)
        else:
            return NodeIdentity(node_name, address, stored.replica_id, stored.first_members)


def _make(data_dir: Path, address: str, bootstrap: bool, seeds: Sequence[str]) -> _Stored:
    """Create the first identity of a disk.

    If an interrupted start has left a complete identity under the temporary name, that one is used. If the
    stored identity is corrupt, the disk gets a new id and is not one of the first members.
    """
    empty = not (data_dir / IDENTITY_NAME).exists()
    stored = _read(data_dir / NEW_NAME) if empty else None
    if stored is None:
        first = tuple(seeds) if bootstrap and empty and address in seeds else ()
        stored = _Stored(first_replica_id(address) if first else fresh_replica_id(), first)
    _write(data_dir, stored)
    return stored


def _read(path: Path) -> _Stored | None:
    """Return the stored identity, or None if there is none that can be used."""
    try:
        document = json.loads(path.read_bytes())
        body = document["identity"]
        if document["checksum"] != _checksum(body):
            return None
        return _Stored(str(body["replica_id"]), tuple(map(str, body["first_members"])))
    except (FileNotFoundError, ValueError, KeyError, TypeError):
        return None


def _checksum(body: object) -> int:
    return crc32(json.dumps(body, sort_keys=True).encode())


def _write(data_dir: Path, stored: _Stored) -> None:
    data_dir.mkdir(parents=True, exist_ok=True)
    body = asdict(stored)
    body["first_members"] = list(stored.first_members)
    text = json.dumps({"identity": body, "checksum": _checksum(body)}).encode()
    new_path = data_dir / NEW_NAME
    handle = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        _write_all(handle, text)
        os.fsync(handle)
    finally:
        os.close(handle)
    new_path.rename(data_dir / IDENTITY_NAME)
    _sync_folder(data_dir)
    with suppress(OSError):
        _sync_folder(data_dir.parent)


def _write_all(handle: int, data: bytes) -> None:
    """Write all bytes; a disk that fills up may accept only some of them at first."""
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]


def _sync_folder(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def first_state(identity: NodeIdentity) -> StoredState:
    """Return the initial state of a group's replica on an empty disk."""
    voters = tuple(Member(first_replica_id(address), "", address) for address in identity.first_members)
    return StoredState(identity.replica_id, HardState(), first_snapshot(voters), ())


def first_snapshot(voters: tuple[Member, ...]) -> Snapshot:
    """Return the snapshot that contains the first members and an empty state machine."""
    return Snapshot(FIRST_INDEX, 0, Membership(voters), b"")


def joining_state(replica_id: str) -> StoredState:
    """Return the initial state of a replica that joins an existing group."""
    return StoredState(replica_id, HardState(), Snapshot(), ())
