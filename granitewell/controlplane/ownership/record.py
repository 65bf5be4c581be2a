"""The replicated record of a shard's owners. Pure.

The fencing token of an owner is the term of the group in which it was elected, so tokens rise. The holder
is the node's name. The claim is in the log before the first order, so that every later owner knows whom it
follows.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from granitewell.domain.errors import GranitewellError


class MalformedClaimError(GranitewellError):
    """An entry of the log that is no claim."""


@dataclass(frozen=True, slots=True)
class OwnerClaimed:
    """A node has become the owner of the shard in a term.

    Attributes:
        address: Its internal address (`ip:port`).
        incarnation: Of its process, a random id.
    """

    holder: str
    term: int
    address: str = ""
    incarnation: str = ""

    def encode(self) -> bytes:
        """For the log."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> OwnerClaimed:
        """From the log; raises MalformedClaimError."""
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


NOBODY = OwnerClaimed("", 0)


class OwnerRecord:
    """The state machine of a shard's group: its owner, and the one before."""

    def __init__(self) -> None:
        self.owner = NOBODY

    def apply(self, index: int, data: bytes) -> OwnerClaimed:
        """A claim is committed; the owner that it follows."""
        previous, self.owner = self.owner, OwnerClaimed.decode(data)
        return previous

    def snapshot(self) -> bytes:
        """The state, for `restore`."""
        return self.owner.encode()

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot."""
        self.owner = OwnerClaimed.decode(data)
