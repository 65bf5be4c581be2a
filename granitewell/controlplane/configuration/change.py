"""A change as an operator asks for it, and its form in the replicated log."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import Enum

from granitewell.controlplane.configuration.errors import UnknownChangeError, UnreadableChangeError

FORMAT = 1
HEAD = struct.Struct("!BBq")  # format, operation, base version
MAX_VERSION = 2**63 - 1  # versions travel as signed 64-bit numbers


class Operation(Enum):
    """How a change is made: a whole configuration, or an alteration of the current one."""

    PUT = "put"
    PATCH = "patch"


_CODES = {Operation.PUT: 1, Operation.PATCH: 2}
_OPERATIONS = {code: operation for operation, code in _CODES.items()}


@dataclass(frozen=True, slots=True)
class Change:
    """One change; two are the same if all three fields are.

    Attributes:
        base_version: The version that it builds on (If-Match).
        body: The bytes as they were sent.
    """

    operation: Operation
    base_version: int
    body: bytes

    def encode(self) -> bytes:
        """The form in the log, and in what edges are sent."""
        return HEAD.pack(FORMAT, _CODES[self.operation], self.base_version) + self.body

    @classmethod
    def decode(cls, data: bytes) -> Change:
        """A change from its form in the log; raises UnreadableChangeError."""
        if len(data) < HEAD.size:
            raise UnreadableChangeError(f"{len(data)} bytes are too few")
        version, code, base_version = HEAD.unpack_from(data)
        if version != FORMAT:
            raise UnknownChangeError(f"format {version} is not known")
        operation = _OPERATIONS.get(code)
        if operation is None:
            raise UnknownChangeError(f"operation {code} is not known")
        if base_version < 0:
            raise UnreadableChangeError(f"base version {base_version} is below 0")
        return cls(operation, base_version, bytes(data[HEAD.size :]))

    def digest(self) -> bytes:
        """Of operation and body. Together with the base version it tells this change from all others."""
        code = _CODES[self.operation]
        return hashlib.sha256(bytes((code,)) + self.body).digest()
