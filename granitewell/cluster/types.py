"""Settings of a node in a fleet, and the formats of addresses and of the key file.

This module does no I/O. Times are whole microseconds, or seconds in settings that a person writes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from ipaddress import ip_address

from granitewell.protocols.peers.frames import MAX_NAME_BYTES, MAX_SECRET_BYTES, MIN_SECRET_BYTES, Key, Keys
from granitewell.protocols.peers.gossip import MAX_ROLE_BYTES, MAX_ZONE_BYTES, is_printable

MAX_SEEDS = 64
MAX_KEYS_FILE = 4_096  # bytes
MIN_STREAMS, MAX_STREAMS = 2, 256  # in each direction
MIN_UNHEARD_S, MAX_UNHEARD_S = 60.0, 30 * 86_400.0
DEFAULT_ROLE = "forwarder"
ALLOWED_NAME = f"1 to {MAX_NAME_BYTES} of a-z, 0-9, - and ., a letter or figure first"
ALLOWED_ADDRESS = "HOST:PORT, HOST an address in figures, PORT from 1 to 65535"
ALLOWED_KEYS = (
    f"a file with one or two lines, each a key of {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes in hex"
)
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Settings of a node in a fleet; without a name it is in none, and nothing for it is imported or bound.

    Attributes:
        name: Member name, given by the operators.
        bind: Address for datagrams and streams of other nodes.
        advertise: Address at which others reach it; bind if empty.
        seeds: Addresses of nodes to join by.
        keys: Shared keys; None if the file cannot be read now.
        keys_error: Why the keys cannot be read.
        role: Role announced to other members.
        zone: Zone announced to other members.
        folder: Folder that outlives the process; "" for none.
        streams: Most streams to other nodes, and as many from them.
        unheard_s: Time without contact after which a node that has not left is no longer counted.
    """

    name: str = ""
    bind: str = ""
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    keys: Keys | None = field(default=None, repr=False)
    keys_error: str = ""
    role: str = DEFAULT_ROLE
    zone: str = ""
    folder: str = ""
    streams: int = 32
    unheard_s: float = 3_600.0

    @property
    def address(self) -> str:
        """Address at which other members reach this node."""
        return self.advertise or self.bind


def is_valid_name(name: str) -> bool:
    """Whether a member may have this name, which is also used in file names."""
    return _NAME.match(name) is not None


def is_valid_label(text: str, most: int) -> bool:
    """Whether a text may be a role or zone of at most this many bytes."""
    return len(text) <= most and is_printable(text)


def is_valid_role(role: str) -> bool:
    """Whether a member may have this role."""
    return bool(role) and is_valid_label(role, MAX_ROLE_BYTES)


def is_valid_zone(zone: str) -> bool:
    """Whether a member may have this zone; it may be empty."""
    return is_valid_label(zone, MAX_ZONE_BYTES)


def parse_address(text: str) -> tuple[str, int]:
    """Parse an address into host and port.

    Host names are not allowed: resolving one would block the node's event loop.

    Raises:
        ValueError: It is not an IP address with a port.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not re.fullmatch("[0-9]{1,5}", port) or not 1 <= int(port) <= 65535:
        raise ValueError(f"found {text[:80]!r}, allowed: {ALLOWED_ADDRESS}")
    inner = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        known = ip_address(inner)
    except ValueError:
        known = None
    if known is None or (known.version == 6) is not (inner != host) or "%" in inner:
        raise ValueError(f"found {text[:80]!r}, allowed: {ALLOWED_ADDRESS}")
    return inner, int(port)


def format_address(host: str, port: int) -> str:
    """Format host and port as an address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_keys(raw: bytes) -> Keys:
    """Parse a key file: one hexadecimal key per line.

    The first key seals messages; a second one is only accepted for opening them. Empty lines and lines that
    begin with # are ignored.

    Raises:
        ValueError: The message says what was found but never shows a key.
    """
    try:
        lines = [x.strip() for x in raw.decode("ascii").splitlines()]
    except UnicodeDecodeError as error:
        found = f"found a byte at {error.start} that is not ASCII"
        raise ValueError(f"{found}, allowed: {ALLOWED_KEYS}") from None
    key_lines = [x for x in lines if x and not x.startswith("#")]
    if not 1 <= len(key_lines) <= 2:
        raise ValueError(f"found {len(key_lines)} keys, allowed: {ALLOWED_KEYS}")
    keys = []
    for k, line in enumerate(key_lines):
        if not re.fullmatch("(?:[0-9a-fA-F]{2})+", line):
            raise ValueError(f"found a key (number {k + 1}) that is not hex, allowed: {ALLOWED_KEYS}")
        size = len(line) // 2
        if not MIN_SECRET_BYTES <= size <= MAX_SECRET_BYTES:
            raise ValueError(f"found a key (number {k + 1}) of {size} bytes, allowed: {ALLOWED_KEYS}")
        keys.append(Key(bytes.fromhex(line)))
    if len(keys) == 2 and keys[0].id == keys[1].id:
        raise ValueError("found one key twice, allowed are two different ones")
    return Keys(*keys)
