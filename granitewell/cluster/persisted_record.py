"""The record that a node keeps for its next process: its own identity and the nodes it knew.

The file has one line of JSON and a line with its checksum. This module does no I/O. A damaged file or one of
another version is refused as a whole, with a reason for the log. Numbers and names have the same bounds as on
the wire, so a file from an unknown source can do no more harm than a message.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from zlib import crc32

from granitewell.cluster.size_estimate import MAX_NAMES, KnownNode
from granitewell.cluster.types import parse_address
from granitewell.protocols.peers.frames import MAX_NAME_BYTES
from granitewell.protocols.peers.gossip import MAX_GEN, MAX_INC, is_printable

VERSION = 1
MAX_BYTES = 4 * 1024 * 1024
MAX_ADDRESSES = 64  # of members, used as additional seeds
ABSENCE_STEP_US = 60_000_000  # an absence is written again when it has grown by this
_MAX_BIRTH = (1 << 63) - 1
_MAX_SEQ = 1 << 61
_MAX_US = 1 << 60


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Identity of a process.

    Attributes:
        gen: Generation of its last assertion; 0 if it has made none.
        birth: Its birth id.
        inc: Incarnation of its last assertion.
        seq: Greater than every sequence and request number that it used.
    """

    gen: int
    birth: int
    inc: int
    seq: int


@dataclass(frozen=True, slots=True)
class PersistedRecord:
    """Content of the file.

    Attributes:
        name: Member name of the node.
        identity: Its process.
        known: Other nodes that it knew.
        addresses: Addresses of members that were up.
    """

    name: str
    identity: ProcessIdentity
    known: tuple[KnownNode, ...]
    addresses: tuple[str, ...]


def encode(record: PersistedRecord) -> bytes:
    """Encode a record as the content of the file."""
    identity = record.identity
    document = {
        "v": VERSION, "name": record.name,
        "gen": identity.gen, "birth": identity.birth, "inc": identity.inc, "seq": identity.seq,
        "known": [[k.name, k.absent_us] for k in record.known[:MAX_NAMES]],
        "addresses": list(record.addresses[:MAX_ADDRESSES]),
    }  # fmt: skip
    body = json.dumps(document, separators=(",", ":")).encode()
    return b"%s\n%08x\n" % (body, crc32(body))


def significant_content(record: PersistedRecord) -> object:
    """Return the part of a record whose change is worth a write.

    Two records with the same part differ only in times and in the reserved sequence number, of which half is
    still unused.
    """
    identity = record.identity
    known = tuple((k.name, k.absent_us < 0, k.absent_us // ABSENCE_STEP_US) for k in record.known)
    return identity.gen, identity.birth, identity.inc, known, record.addresses


def decode(data: bytes) -> PersistedRecord:
    """Decode the content of the file.

    Raises:
        ValueError: It is damaged, out of bounds or of another version; the message is meant for the log.
    """
    body, _, rest = data.partition(b"\n")
    if rest != b"%08x\n" % crc32(body):
        raise ValueError("cut off, or not written by this program")
    try:
        document = json.loads(body)
    except RecursionError:
        raise ValueError("the JSON is nested too deeply") from None
    if not isinstance(document, dict) or document.get("v") != VERSION:
        found = document.get("v") if isinstance(document, dict) else None
        raise ValueError(f"of version {str(found)[:20]}, and this program reads {VERSION}")
    bounds = {"gen": MAX_GEN, "birth": _MAX_BIRTH, "inc": MAX_INC, "seq": _MAX_SEQ}
    numbers = {key: _parse_integer(document, key, maximum) for key, maximum in bounds.items()}
    known = [_parse_known_node(x) for x in _parse_list(document, "known", MAX_NAMES)]
    addresses = [_parse_address(x) for x in _parse_list(document, "addresses", MAX_ADDRESSES)]
    name = document.get("name")
    if not _is_name(name):
        raise ValueError("name: found no name")
    return PersistedRecord(str(name), ProcessIdentity(**numbers), tuple(known), tuple(addresses))


def _parse_integer(document: dict[str, object], key: str, maximum: int) -> int:
    value = document.get(key)
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{key}: found no whole number from 0 to {maximum}")
    return value


def _parse_list(document: dict[str, object], key: str, maximum: int) -> list[object]:
    value = document.get(key)
    if not isinstance(value, list) or len(value) > maximum:
        raise ValueError(f"{key}: found no list of at most {maximum}")
    return value


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 1 <= len(value) <= MAX_NAME_BYTES and is_printable(value)


def _parse_known_node(value: object) -> KnownNode:
    if not isinstance(value, list) or len(value) != 2 or not _is_name(value[0]) or type(value[1]) is not int:
        raise ValueError("known: found no name with a time")
    if not -1 <= value[1] <= _MAX_US:
        raise ValueError("known: found a time out of its bounds")
    return KnownNode(value[0], value[1])


def _parse_address(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("addresses: found no text")
    parse_address(value)
    return value
