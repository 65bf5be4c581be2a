"""The `[cluster]` table of the operator file, and the reading of the key file that it names.

Defaults come from `ClusterSettings`. Messages never contain key material.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta

from granitewell.cluster.types import (
    ALLOWED_ADDRESS,
    ALLOWED_KEYS,
    ALLOWED_NAME,
    MAX_KEYS_FILE,
    MAX_SEEDS,
    MAX_STREAMS,
    MAX_UNHEARD_S,
    MIN_STREAMS,
    MIN_UNHEARD_S,
    ClusterSettings,
    is_valid_name,
    is_valid_role,
    is_valid_zone,
    parse_address,
    parse_keys,
)
from granitewell.files import read_regular_file
from granitewell.operator.problem import Problem, format_value
from granitewell.operator.table import Table
from granitewell.protocols.peers.frames import Keys
from granitewell.protocols.peers.gossip import MAX_ROLE_BYTES, MAX_ZONE_BYTES

DEFAULTS = ClusterSettings()
GROUP_AND_OTHERS_MODE = stat.S_IRWXG | stat.S_IRWXO  # the mode bits of everybody but the owner

Seed = Annotated[str, Meta(max_length=64, extra={"allowed": ALLOWED_ADDRESS})]


class ClusterTable(Table, frozen=True, kw_only=True):
    """How this node and the others of the fleet know each other (docs/operate/cluster.md).

    Without `name` it knows nobody, and nothing is bound or said.
    """

    name: Annotated[str, Meta(
        max_length=63, description="The member's name, the same after a restart, unlike any other's.",
        extra={"restart": True, "allowed": f"{ALLOWED_NAME}, or empty"},
    )] = DEFAULTS.name  # fmt: skip
    bind: Annotated[str, Meta(
        max_length=64, description="Where other nodes' datagrams and streams come in.",
        extra={"restart": True, "allowed": f"{ALLOWED_ADDRESS}, or empty"},
    )] = DEFAULTS.bind  # fmt: skip
    advertise: Annotated[str, Meta(
        max_length=64, description="Where others reach `bind`, if that is not the same (address "
        "translation); empty: `bind`.",
        extra={"restart": True, "allowed": f"{ALLOWED_ADDRESS}, or empty"},
    )] = DEFAULTS.advertise  # fmt: skip
    seeds: Annotated[tuple[Seed, ...], Meta(
        max_length=MAX_SEEDS, description="Addresses that are asked who is there, the node's own may be "
        "among them. Two or three that are rarely down at a time are enough.",
    )] = DEFAULTS.seeds  # fmt: skip
    keys: Annotated[str, Meta(
        max_length=4096, description="The file with the fleet's keys, which nobody but its owner may read: a "
        "key a line, 16 to 64 bytes in hex; the first seals, a second opens too. Read again at SIGHUP.",
        extra={"allowed": "the path of a file, or empty"},
    )] = ""  # fmt: skip
    role: Annotated[str, Meta(
        max_length=MAX_ROLE_BYTES, description="Nodes of one role share budgets.",
        extra={"restart": True, "allowed": f"1 to {MAX_ROLE_BYTES} bytes of printable ASCII without blanks"},
    )] = DEFAULTS.role  # fmt: skip
    zone: Annotated[str, Meta(
        max_length=MAX_ZONE_BYTES, description="Shown to operators.",
        extra={"restart": True,
               "allowed": f"at most {MAX_ZONE_BYTES} bytes of printable ASCII without blanks"},
    )] = DEFAULTS.zone  # fmt: skip
    folder: Annotated[str, Meta(
        max_length=4096, description="A folder on a disk that lasts, of this node alone, for its life's "
        "number and the members last known. Empty: one in `TMPDIR`, which outlives an upgrade.",
        extra={"restart": True, "allowed": "the path of a folder, or empty"},
    )] = DEFAULTS.folder  # fmt: skip
    streams: Annotated[int, Meta(
        ge=MIN_STREAMS, le=MAX_STREAMS, description="Connections to other nodes at a time, and as many "
        "from them. Clients and endpoints have that many descriptors fewer.", extra={"restart": True},
    )] = DEFAULTS.streams  # fmt: skip
    unheard_s: Annotated[float, Meta(
        ge=MIN_UNHEARD_S, le=MAX_UNHEARD_S, description="A node that is silent and has not left counts in "
        "all budgets for so long: it may only be cut off, and go on serving.",
    )] = DEFAULTS.unheard_s  # fmt: skip

    def settings(self) -> ClusterSettings:
        """Return these settings in the node's own type, with the keys that the key file holds now."""
        keys, keys_error = None, ""
        if self.name:
            try:
                keys = read_keys(self.keys)
            except ValueError as error:
                keys_error = str(error)
        return ClusterSettings(
            self.name,
            self.bind,
            self.advertise,
            self.seeds,
            keys,
            keys_error,
            self.role,
            self.zone,
            self.folder,
            self.streams,
            self.unheard_s,
        )

    def check(self) -> Iterator[Problem]:
        """Names, addresses, role and zone are words of their kind.

        With `name` there are `bind` and `keys`, and the keys can be read, by their owner alone.
        """
        if not self.name:
            if self != type(self)():
                yield Problem(("name",), "nothing", "this node is in no fleet", note=True)
            return
        if not is_valid_name(self.name):
            yield Problem(("name",), format_value(self.name), ALLOWED_NAME)
        for field, text in (("bind", self.bind), ("advertise", self.advertise or self.bind)):
            if (keys_error := _invalid_address(text)) and not (field == "advertise" and not self.advertise):
                yield Problem((field,), keys_error, ALLOWED_ADDRESS)
        for k, seed in enumerate(self.seeds):
            if keys_error := _invalid_address(seed):
                yield Problem(("seeds", k), keys_error, ALLOWED_ADDRESS)
        if not is_valid_role(self.role):
            yield Problem(
                ("role",), format_value(self.role), f"1 to {MAX_ROLE_BYTES} bytes of printable ASCII"
            )
        if not is_valid_zone(self.zone):
            yield Problem(
                ("zone",), format_value(self.zone), f"at most {MAX_ZONE_BYTES} bytes of printable ASCII"
            )
        try:
            read_keys(self.keys)
        except ValueError as error:
            found, _, allowed = str(error).partition(", allowed: ")
            yield Problem(("keys",), found.removeprefix("found "), allowed or ALLOWED_KEYS)


def _invalid_address(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        return format_value(text) if text else "nothing"
    return ""


def read_keys(path: str) -> Keys:
    """Read the keys from a file.

    Raises:
        ValueError: The file is missing or can't be read, others may use it, it belongs to another user, or it
            does not hold one or two keys. The message shows no key.
    """
    if not path:
        raise ValueError(f"found nothing, allowed: {ALLOWED_KEYS}")
    try:
        info = os.stat(path)
        if stat.S_ISREG(info.st_mode) and info.st_mode & GROUP_AND_OTHERS_MODE:
            raise ValueError(f"found a file that others may use (mode {info.st_mode & 0o777:03o}), "
                             f"allowed: mode 600 or 400")  # fmt: skip
        if info.st_uid not in (os.geteuid(), 0):
            raise ValueError("found a file of another user, allowed: one of the node's own user")
        raw = read_regular_file(path, MAX_KEYS_FILE)
    except OSError as error:
        found = f"found nothing that can be read ({error.strerror})"
        raise ValueError(f"{found}, allowed: {ALLOWED_KEYS}") from None
    return parse_keys(raw)
