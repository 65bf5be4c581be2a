"""One value of each kind that is stored or sent, with the functions that encode and decode it.

The bytes in `data/` were written by the program as it stood on 2026-12-02 (7ee4f05), before its types and
fields were renamed. `python -m tests.recorded.samples NAME...` writes the file of a new kind; a file that
exists is never written again, because older versions of the program have written such bytes to disks.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from granitewell import durable_folder, handover
from granitewell.cluster import persisted_record
from granitewell.cluster.size_estimate import KnownNode
from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.store import ConfigurationStore
from granitewell.controlplane.ownership.record import OwnerClaimed, OwnerRecord
from granitewell.coordination import log_format
from granitewell.coordination.consensus import codec, encoding, messages, storage
from granitewell.coordination.consensus.types import (
    Entry,
    EntryKind,
    HardState,
    Identity,
    Member,
    Membership,
    Record,
    Snapshot,
    VoterChange,
)
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef, Server, ServerState
from granitewell.leases import record as lease_record
from granitewell.protocols.peers import counts, frames, gossip, leases, rights
from granitewell.rpc import messages as rpc
from granitewell.rpc import translation

DATA = Path(__file__).with_name("data")


@dataclass(frozen=True)
class Sample:
    """A value, and how it becomes bytes and comes back.

    Two values are equal if `==` or, for types that have no equality of their own, their `repr` says so.
    """

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


# Replica groups

ONE = Member("0123456789abcdef", "core-1", "10.0.0.1:7001")
TWO = Member("fedcba9876543210", "core-2", "10.0.0.2:7001")
THREE = Member("00112233aabbccdd", "", "10.0.0.3:7001")
STABLE = Membership((ONE, TWO, THREE), ("removed-1", "removed-2"))
JOINT = Membership((ONE, TWO), ("removed-1",), (ONE, TWO, THREE))
CHANGE = VoterChange((THREE,), (TWO,))
ENTRIES = (
    Entry(7, 2, EntryKind.NO_OPERATION),
    Entry(8, 2, EntryKind.DATA, b"a change \x00\xff"),
    Entry(9, 3, EntryKind.ADD_VOTER, encoding.encode_member(THREE)),
    Entry(10, 3, EntryKind.REMOVE_VOTER, encoding.encode_member(TWO)),
    Entry(11, 3, EntryKind.CHANGE_VOTERS, encoding.encode_change(CHANGE)),
    Entry(12, 3, EntryKind.END_CHANGE, encoding.encode_end(True)),
    Entry(13, 3, EntryKind.END_CHANGE, encoding.encode_end(False)),
)
RECORDS: tuple[Record, ...] = (
    Identity("0123456789abcdef"),
    HardState(3, "fedcba9876543210"),
    Snapshot(6, 2, JOINT, b"state \x00"),
    *ENTRIES,
)
FROM, TO = ONE.replica_id, TWO.replica_id
RAFT_MESSAGES: dict[str, messages.Message] = {
    "pre-vote": messages.PreVote(FROM, TO, 4, 13, 3),
    "pre-vote-reply": messages.PreVoteReply(FROM, TO, 4, True),
    "vote": messages.Vote(FROM, TO, 4, 13, 3, True),
    "vote-reply": messages.VoteReply(FROM, TO, 4, False),
    "heartbeat": messages.Heartbeat(FROM, TO, 4, 901, 12, True, 5_000_001, 13),
    "heartbeat-reply": messages.HeartbeatReply(FROM, TO, 4, 901, 5_000_002),
    "append": messages.Append(FROM, TO, 4, 6, 2, 5, ENTRIES),
    "append-reply": messages.AppendReply(FROM, TO, 4, True, 13),
    "snapshot-chunk": messages.SnapshotChunk(FROM, TO, 4, 6, 2, STABLE, 10, 30, b"chunk"),
    "snapshot-reply": messages.SnapshotReply(FROM, TO, 4, 6, 15),
    "hand-over": messages.TimeoutNow(FROM, TO, 4),
    "join": messages.Join(FROM, "", 4, THREE, True),
    "removed": messages.Removed(FROM, TO, 4),
    "leave": messages.Leave(FROM, TO, 4),
    "leave-reply": messages.LeaveReply(FROM, TO, 4, True),
}
OWNER = "configuration"
SALT = log_format.salt_of(log_format.fingerprint(OWNER), 0x12345678)


def log_file(payloads: tuple[bytes, ...]) -> bytes:
    """A durable log with these batches."""
    data = log_format.head(SALT)
    for payload in payloads:
        data += log_format.frame(SALT, len(data), payload)
    return data


def log_payloads(data: bytes) -> tuple[bytes, ...]:
    """The batches of a durable log."""
    return log_format.parse("log", data, log_format.fingerprint(OWNER)).payloads


# Configuration and shard ownership

ROUTE = {
    "name": "rides",
    "host": "API.example",
    "prefix": "/rides/",
    "kind": "streaming",
    "timeout-ms": 9000,
    "target-ms": 850,
    "priority": 2,
    "max-attempts": 3,
    "sticky": True,
    "resumable": True,
    "unknown-field": [1, None],
    "weighted-services": [{"service": "llm", "weight": 3}, {"service": "llm-next", "weight": 1.5}],
}
ENGINE = {
    "slots": 8,
    "weights-mb": 150000,
    "max-adapters": 6,
    "loads-per-s": 2.5,
    "kv-capacity": 100,
    "stride": 4,
    "models": [{"name": "m1", "weights-mb": 70000, "load-time-s": 0.5, "adapters": 3, "adapter-mb": 40}],
}
DOCUMENT = {
    "version": 5,
    "routes": [ROUTE],
    "services": [
        {"name": "llm", "engine": ENGINE},
        {"name": "llm-next", "health-path": "/up", "max-connections": 9},
    ],
    "limits": {"max-header-bytes": 8192, "idle-timeout-ms": 20000},
    "comment": "kept as it was sent",
}
PUT = Change(Operation.PUT, 0, msgspec.json.encode(DOCUMENT))
PATCH = Change(Operation.PATCH, 5, b'{"version":6,"remove":{},"upsert":{"limits":{"max-body-bytes":1000}}}')


def store_of(*changes: Change) -> ConfigurationStore:
    """A store that has applied changes."""
    store = ConfigurationStore()
    for index, change in enumerate(changes, 1):
        store.apply(index, change.encode())
    return store


def restored_store(data: bytes) -> ConfigurationStore:
    """A store that starts from a snapshot."""
    store = ConfigurationStore()
    store.restore(data)
    return store


def restored_record(data: bytes) -> OwnerRecord:
    """A record of owners that starts from a snapshot."""
    record = OwnerRecord()
    record.restore(data)
    return record


CLAIM = OwnerClaimed("core-2", 41, "10.0.0.2:7001", "9f8e7d6c5b4a3921")

# Internal messages

SERVER = Server(
    "i-77", "llm", "10.1.0.9:8080", "zone-b", 12, ServerState.DRAINING, 4500,
    {"m1": LoadedModel("m1", frozenset(("a1", "a2"))), "m2": LoadedModel("m2")},
)  # fmt: skip
DEMAND = ModelDemand("llm", ModelRef("m1", "a2"), 9, 4, 3, 1)
VERSION = rpc.TableVersion(shard=3, epoch=41, sequence=17)
TABLE = rpc.TableUpdate(
    version=VERSION,
    is_complete=True,
    changed=[translation.server_to_message(SERVER)],
    removed=["i-1", "i-2"],
    list_age_ms=350,
)
CONFIGURATION = rpc.ConfigurationUpdate(version=5, is_complete=False, documents=[PATCH.encode(), b"\x00\xff"])
RPC_MESSAGES: dict[str, Any] = {
    "held-model": rpc.LoadedModelMessage(name="m1", adapters=["a1"]),
    "server": translation.server_to_message(SERVER),
    "table-version": VERSION,
    "table-update": TABLE,
    "configuration-update": CONFIGURATION,
    "watch-request": rpc.WatchRequest(
        node="edge-4",
        zone="zone-b",
        edge=True,
        configuration_version=5,
        tables=[VERSION],
        hold_ms=900,
        members_digest=-77,
    ),
    "watch-reply": rpc.WatchReply(
        configuration=CONFIGURATION,
        tables=[TABLE],
        control_nodes=["10.0.0.1:7001"],
        members_digest=12,
        edges=8,
        max_edges=9,
    ),
    "watch-reply-referral": rpc.WatchReply(
        tables=[],
        control_nodes=["10.0.0.1:7001"],
        members_digest=12,
        edges=1,
        max_edges=1,
        is_referral=True,
    ),
    "watch-reply-partial-counts": rpc.WatchReply(
        tables=[], control_nodes=[], members_digest=12, edges=1, max_edges=1, edges_partial=True
    ),
    "demand": translation.demand_to_message(DEMAND),
    "demand-report": rpc.DemandReport(
        node="edge-4", zone="zone-b", demands=[translation.demand_to_message(DEMAND)], forwarded=True
    ),
    "group-message": rpc.GroupMessage(
        group="shard-3", sender_address="10.0.0.1:7001", payload=b"\x01\x02\xff"
    ),
    "edge-count": rpc.EdgeCount(
        node="core-1", edges=7, incarnation="9f8e7d6c5b4a3921", address="10.0.0.1:7001"
    ),
    "edge-count-before-joining": rpc.EdgeCount(
        node="core-4", edges=0, incarnation="9f8e7d6c5b4a3921", address="10.0.0.4:7001", has_members=False
    ),
}

# The present node's fleet

KEYS = frames.Keys(frames.Key(b"a secret of thirty-two bytes !!!"))
ABOUT = gossip.About("node", "10.2.0.1:9000", "zone-a", (1, 2), b"payload")
GOSSIP: dict[str, Any] = {
    "ping": gossip.Ping(1, 99),
    "ack": gossip.Ack(2, 98),
    "nack": gossip.Nack(3),
    "relay": gossip.Relay(4, "n2", 77, "10.2.0.2:9000"),
    "rumour": gossip.Rumour(),
    "hello": gossip.Hello(5, "10.2.0.1:9000"),
    "welcome": gossip.Welcome(
        6, 1234, bytes(range(256)) * (gossip.TABLE_PARTITIONS * gossip.DIGEST_BYTES // 256)
    ),
    "push": gossip.Push(7, 1234, 5, True),
    "page": gossip.Page(8, True),
}
CLAIMS = [
    gossip.Assertion("n1", 3, 555, 2, 0, 0, "", ABOUT),
    gossip.Assertion("n2", 1, 777, 9, 2, 30, "n1"),
]
LIVES = [4, 5, 6]
LEASES: dict[str, Any] = {
    "probe": leases.Probe(1, 9, LIVES, 3_000_000),
    "would": leases.Would(1, 22, 4, 9, "lease"),
    "ask": leases.Ask(2, 9, LIVES, 3_000_000, True),
    "grant": leases.Grant(2, 22, 4, 9),
    "no": leases.No(2, 22, 4, 9, "voted", LIVES),
    "release": leases.Release(9, "n2"),
    "oath": leases.Oath(5),
    "sworn": leases.Sworn(5, 4, "founded", 9, LIVES),
    "here": leases.Here(1_000_000, 22),
}
COUNTS: dict[str, Any] = {
    "ask": counts.Ask(1, "n2", 5, 77, 12, 3),
    "word": counts.Word(
        1,
        3,
        77,
        9_000_000,
        500_000,
        12,
        14,
        "n2",
        100,
        200,
        2,
        5,
        True,
        [counts.Slot(1, "tenant", 2, -1, 5)],
        [counts.Slice(12, [1, 40, 0, 2])],
    ),
}
RIGHTS: dict[str, Any] = {
    "want": rights.Want(1, "tenant", 500, 77, [3, 4]),
    "lend": rights.Lend(1, "tenant", 78, [9, 500]),
    "back": rights.Back("tenant", 78, [9]),
}
NOTE = persisted_record.PersistedRecord(
    "n1",
    persisted_record.ProcessIdentity(3, 555, 2, 1 << 30),
    (KnownNode("n2", -1), KnownNode("n3", 120_000_000)),
    ("10.2.0.2:9000",),
)
LEASE_RECORD = lease_record.Record(
    1, 4242, 4, lease_record.RECOVERED, 1 << 32, ("n2", 22), 3_000_000, (4, 5, 6)
)
BAN = (b"endpoint-\xff", True, handover.ClockReading(1_700_000_000_000_000, 42))


def opened(data: bytes) -> frames.Frame:
    """The frame of sealed bytes."""
    frame = frames.open_(data, KEYS)
    assert isinstance(frame, frames.Frame)
    return frame


def slot(data: bytes) -> bytes:
    """A members' file as the node writes it, with its number and check sum."""
    body = durable_folder._RECORD_HEADER.pack(9, len(data)) + data
    raw = durable_folder.CHECKSUM_HEADER.pack(durable_folder.MAGIC, crc32(body)) + body
    return raw.ljust(durable_folder.BLOCK_BYTES, b"\0")


def _letters(
    letters: Any, make: Callable[[Any], Any], messages: dict[str, Any], prefix: str
) -> dict[str, Sample]:
    return {
        f"{prefix}-{name}": Sample(make(said), letters.encode, letters.decode)
        for name, said in messages.items()
    }


def _samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {
        "raft-records": Sample(list(RECORDS), storage.encode_records, storage.decode_records),
        "raft-member": Sample(ONE, encoding.encode_member, encoding.decode_member),
        "raft-membership": Sample(STABLE, encoding.encode_membership, encoding.decode_membership),
        "raft-membership-joint": Sample(JOINT, encoding.encode_membership, encoding.decode_membership),
        "log-file": Sample((storage.encode_records(RECORDS), b"", b"batch"), log_file, log_payloads),
        "configuration-put": Sample(PUT, Change.encode, Change.decode),
        "configuration-patch": Sample(PATCH, Change.encode, Change.decode),
        "configuration-snapshot": Sample(store_of(PUT, PATCH), ConfigurationStore.snapshot, restored_store),
        "owner-claim": Sample(CLAIM, OwnerClaimed.encode, OwnerClaimed.decode),
        "fleet-note": Sample(NOTE, persisted_record.encode, persisted_record.decode),
        "fleet-slot": Sample(
            persisted_record.encode(NOTE),
            slot,
            lambda raw: durable_folder._decode_slot(raw, durable_folder.MAX_SLOT_BYTES)[1],
        ),
        "lease-record": Sample(
            LEASE_RECORD, lease_record.Record.write, lambda data: lease_record.read(data, 3)
        ),
        "ban-file": Sample(BAN, lambda ban: handover.encode_ban(*ban), handover.decode_ban),
        "sealed-frame": Sample(
            frames.Frame(frames.Kind.GOSSIP, "n1", b"body", 1, KEYS.current.id),
            lambda frame: frames.seal(frame.kind, frame.body, KEYS, frame.sender),
            opened,
        ),
        "refusal-frame": Sample(
            frames.Frame(frames.Kind.REFUSAL, "n1", bytes(frames.VERSIONS), 1, KEYS.current.id),
            lambda frame: frames.refusal(KEYS, frame.sender),
            opened,
        ),
    }
    for name, message in RAFT_MESSAGES.items():
        found[f"raft-message-{name}"] = Sample(message, codec.encode, codec.decode)
    for name, message in RPC_MESSAGES.items():
        kind = type(message)
        found[f"rpc-{name}"] = Sample(message, rpc.encode, lambda data, kind=kind: rpc.decode(kind, data))  # type: ignore[misc]
    found |= _letters(
        gossip.CODEC, lambda said: gossip.Envelope(555, 777, 31, said, list(CLAIMS)), GOSSIP, "gossip"
    )
    found |= _letters(leases.CODEC, lambda said: leases.Envelope(4242, 22, said), LEASES, "lease")
    found |= _letters(counts.CODEC, lambda said: said, COUNTS, "count")
    found |= _letters(rights.CODEC, lambda said: said, RIGHTS, "right")
    return found


SAMPLES = _samples()


def path_of(name: str) -> Path:
    """The file with the recorded bytes of a sample."""
    return DATA / f"{name}.bin"


def main(names: list[str]) -> None:
    """Write the files of samples that have none yet."""
    for name in names or list(SAMPLES):
        if not path_of(name).exists():
            sample = SAMPLES[name]
            path_of(name).write_bytes(sample.encode(sample.value))


if __name__ == "__main__":
    main(sys.argv[1:])
