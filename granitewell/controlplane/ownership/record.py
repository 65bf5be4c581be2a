"""The replicated record of a shard's owners. No I/O.

The fencing token of an owner is the term in which it was elected, so tokens only rise. The holder is the
node's name. A claim is committed before the first order, so that every later owner knows its predecessor.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from granitewell.domain.errors import GranitewellError


class MalformedClaimError(GranitewellError):
    """An entry of the log is not a claim."""


@dataclass(frozen=True, slots=True)
class OwnerClaimed:
    """A node has become the owner of the shard in a term. The field names are part of the stored format.

    Attributes:
        holder: Name of the node.
        term: Term of its leadership.
        address: Its internal address (`ip:port`).
        incarnation: Random id of its process.
    """

    holder: str
    term: int
    address: str = ""
    incarnation: str = ""

    def encode(self) -> bytes:
        """Return the encoding used in the log."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> OwnerClaimed:
        """Decode a claim; raises MalformedClaimError."""
        try:
            document = json.loads(data)
            return cls(
                str(document["holder"]),
                int(document["term"]),
                str(document.get("address", "")),
                str(document.get("incarnation", "")),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise MalformedClaimError(repr(error)) from error


NO_OWNER = OwnerClaimed("", 0)


class OwnerRecord:
    """State machine of a shard's group: the current owner."""

    def __init__(self) -> None:
        self.owner = NO_OWNER

    def apply(self, _index: int, data: bytes) -> OwnerClaimed:
        """Apply a committed claim; return the owner before it."""
        previous, self.owner = self.owner, OwnerClaimed.decode(data)
        return previous

    def snapshot(self) -> bytes:
        """Return the state, encoded for `restore`."""
        return self.owner.encode()

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        self.owner = OwnerClaimed.decode(data)
