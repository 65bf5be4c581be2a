"""Who the replicas of a disk are.

A replica is a random id on its disk. Only where the whole system starts for the first time, a machine whose
address is among the seeds starts as a voter of the first members; the ids of these are derived from their
addresses, so that all agree on them without a word. The first members are kept on the disk: a start that is
interrupted goes on with the same.
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

PATIENCE_S = 10.0
"""How long a disk that refuses the first identity is tried again."""
_RETRY_S = 0.1

FIRST_INDEX = 1
"""Of the snapshot that names the first members.

A replica that joins stands at 0: it lacks that snapshot, so it can't take the entries after it without having
got it.
"""


@dataclass(frozen=True)
class NodeIdentity:
    """One per disk, shared by all groups.

    Attributes:
        first_members: Addresses of the first voters, empty where this disk is none of them.
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
    """An id that nobody has ever had."""
    return secrets.token_hex(_ID_CHARACTERS // 2)


def first_replica_id(address: str) -> str:
    """The id of a first member."""
    return sha256(f"first member {address}".encode()).hexdigest()[:_ID_CHARACTERS]


def load_identity(
    data_dir: Path, node_name: str, address: str, bootstrap: bool, seeds: Sequence[str]
) -> NodeIdentity:
    """The identity on a disk, made and synced where there is none.

    Raises OSError where the disk goes on refusing it.
    """
    deadline = time.monotonic() + PATIENCE_S
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
    """The first identity of a disk.

    What a start that was interrupted has left whole under the new name is taken; an identity that is damaged
    makes this disk another's, and no first member.
    """
    empty = not (data_dir / IDENTITY_NAME).exists()
    stored = _read(data_dir / NEW_NAME) if empty else None
    if stored is None:
        first = tuple(seeds) if bootstrap and empty and address in seeds else ()
        stored = _Stored(first_replica_id(address) if first else fresh_replica_id(), first)
    _write(data_dir, stored)
    return stored


def _read(path: Path) -> _Stored | None:
    """What is stored, or None where there is nothing that can be used."""
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
    os.rename(new_path, data_dir / IDENTITY_NAME)
    _sync_folder(data_dir)
    with suppress(OSError):
        _sync_folder(data_dir.parent)


def _write_all(handle: int, data: bytes) -> None:
    """A disk that gets full takes a part first."""
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
    """What a group's replica starts from on an empty disk."""
    voters = tuple(Member(first_replica_id(address), "", address) for address in identity.first_members)
    return StoredState(identity.replica_id, HardState(), first_snapshot(voters), ())


def first_snapshot(voters: tuple[Member, ...]) -> Snapshot:
    """The first members, and an empty state machine."""
    return Snapshot(FIRST_INDEX, 0, Membership(voters), b"")


def joining_state(replica_id: str) -> StoredState:
    """What a replica that is to be taken in starts from."""
    return StoredState(replica_id, HardState(), Snapshot(), ())
