"""A change requested by an operator, and its encoding in the replicated log."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import Enum

from granitewell.controlplane.configuration.errors import UnknownChangeError, UnreadableChangeError

FORMAT = 1
HEADER = struct.Struct("!BBq")  # format, operation, base version
MAX_VERSION = 2**63 - 1  # encoded as a signed 64-bit integer


class Operation(Enum):
    """Whether a change replaces the configuration or alters parts of it."""

    PUT = "put"
    PATCH = "patch"


_CODES = {Operation.PUT: 1, Operation.PATCH: 2}
_OPERATIONS = {code: operation for operation, code in _CODES.items()}


@dataclass(frozen=True, slots=True)
class Change:
    """One change; changes with equal fields are the same change.

    Attributes:
        operation: Replace or alter.
        base_version: Version that the change is based on (If-Match).
        body: The body as it was sent.
    """

    operation: Operation
    base_version: int
    body: bytes

    def encode(self) -> bytes:
        """Return the encoding used in the log and in updates to edges."""
        return HEADER.pack(FORMAT, _CODES[self.operation], self.base_version) + self.body

    @classmethod
    def decode(cls, data: bytes) -> Change:
        """Decode a change.

        Raises:
            UnknownChangeError: A newer version of the program has written it.
            UnreadableChangeError: The bytes cannot be read.
        """
        if len(data) < HEADER.size:
            raise UnreadableChangeError(f"{len(data)} bytes are too few")
        version, code, base_version = HEADER.unpack_from(data)
        if version != FORMAT:
            raise UnknownChangeError(f"format {version} is not known")
        operation = _OPERATIONS.get(code)
        if operation is None:
            raise UnknownChangeError(f"operation {code} is not known")
        if base_version < 0:
            raise UnreadableChangeError(f"base version {base_version} is below 0")
        return cls(operation, base_version, bytes(data[HEADER.size :]))

    def digest(self) -> bytes:
        """Return a digest of operation and body.

        Together with the base version it distinguishes this change from all others.
        """
        code = _CODES[self.operation]
        return hashlib.sha256(bytes((code,)) + self.body).digest()
