"""The file in which a node writes down what its next process has to know: its life, and who was there.

It owns the form of the file: one line of JSON and a check sum. It must never touch a disk. What is damaged or
of a newer version is told in one line and nothing of it is taken; numbers and names are bounded as on the
wire, so that a file from anywhere can do no more harm than a letter.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from zlib import crc32

from granitewell.cluster.size_estimate import MAX_NAMES, Known
from granitewell.cluster.types import address
from granitewell.protocols.peers.frames import MAX_NAME_BYTES
from granitewell.protocols.peers.gossip import MAX_GEN, MAX_INC, is_printable

VERSION = 1
MAX_BYTES = 4 * 1024 * 1024
MAX_ADDRESSES = 64  # of members, as further seeds
SILENT_STEP_US = 60_000_000  # by which a silence must have grown to be written down again
_MAX_BIRTH = (1 << 63) - 1
_MAX_SEQ = 1 << 61
_MAX_US = 1 << 60


@dataclass(frozen=True, slots=True)
class Life:
    """The last claim of a process, and a number above all that it has used; gen 0 for none yet."""

    gen: int
    birth: int
    inc: int
    seq: int


@dataclass(frozen=True, slots=True)
class Note:
    """All of it.

    Attributes:
        name: Whose.
        addresses: Of members that were up.
    """

    name: str
    life: Life
    known: tuple[Known, ...]
    addresses: tuple[str, ...]


def form(note: Note) -> bytes:
    """The file's bytes."""
    life = note.life
    top = {
        "v": VERSION, "name": note.name,
        "gen": life.gen, "birth": life.birth, "inc": life.inc, "seq": life.seq,
        "known": [[k.name, k.silent_us] for k in note.known[:MAX_NAMES]],
        "addresses": list(note.addresses[:MAX_ADDRESSES]),
    }  # fmt: skip
    line = json.dumps(top, separators=(",", ":")).encode()
    return b"%s\n%08x\n" % (line, crc32(line))


def gist(note: Note) -> object:
    """What of a note is worth another write.

    Two notes with the same gist differ by times alone, and by a number of which half is still to spare.
    """
    life = note.life
    known = tuple((k.name, k.silent_us < 0, k.silent_us // SILENT_STEP_US) for k in note.known)
    return life.gen, life.birth, life.inc, known, note.addresses


def read(raw: bytes) -> Note:
    """What the bytes say.

    ValueError, in words for the log: they are not a whole file of ours, or one of another version.
    """
    line, _, rest = raw.partition(b"\n")
    if rest != b"%08x\n" % crc32(line):
        raise ValueError("cut off, or not written by this program")
    try:
        top = json.loads(line)
    except RecursionError:
        raise ValueError("lists within lists without end") from None
    if not isinstance(top, dict) or top.get("v") != VERSION:
        found = top.get("v") if isinstance(top, dict) else None
        raise ValueError(f"of version {str(found)[:20]}, and this program reads {VERSION}")
    bounds = {"gen": MAX_GEN, "birth": _MAX_BIRTH, "inc": MAX_INC, "seq": _MAX_SEQ}
    figures = {key: _held(top, key, most) for key, most in bounds.items()}
    known = [_known(x) for x in _list(top, "known", MAX_NAMES)]
    addresses = [_address(x) for x in _list(top, "addresses", MAX_ADDRESSES)]
    name = top.get("name")
    if not _named(name):
        raise ValueError("name: found no name")
    return Note(str(name), Life(**figures), tuple(known), tuple(addresses))


def _held(top: dict[str, object], key: str, most: int) -> int:
    value = top.get(key)
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"{key}: found no whole number from 0 to {most}")
    return value


def _list(top: dict[str, object], key: str, most: int) -> list[object]:
    value = top.get(key)
    if not isinstance(value, list) or len(value) > most:
        raise ValueError(f"{key}: found no list of at most {most}")
    return value


def _named(value: object) -> bool:
    return isinstance(value, str) and 1 <= len(value) <= MAX_NAME_BYTES and is_printable(value)


def _known(value: object) -> Known:
    if not isinstance(value, list) or len(value) != 2 or not _named(value[0]) or type(value[1]) is not int:
        raise ValueError("known: found no name with a time")
    if not -1 <= value[1] <= _MAX_US:
        raise ValueError("known: found a time out of its bounds")
    return Known(value[0], value[1])


def _address(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("addresses: found no text")
    address(value)
    return value
