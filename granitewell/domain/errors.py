"""Errors shared by all packages; errors of one package are defined there."""

from __future__ import annotations


class GranitewellError(Exception):
    """Base of all errors defined by this system."""


class InvalidFieldError(GranitewellError):
    """Invalid input from outside.

    Attributes:
        field: Path of the field, such as `routes[3].timeout-ms`.
        reason: What is wrong with it.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidSettingsError(InvalidFieldError):
    """The settings file of this process is invalid."""


class InvalidConfigurationError(InvalidFieldError):
    """An operator's configuration is invalid."""


class NotLeaderError(GranitewellError):
    """Another replica leads this group.

    Attributes:
        leader_address: Address of the leader, if known.
    """

    def __init__(self, leader_address: str | None = None) -> None:
        super().__init__(f"not the leader; leader: {leader_address or 'unknown'}")
        self.leader_address = leader_address


class ProposalLostError(GranitewellError):
    """The outcome of a proposal is unknown: it may have been committed."""


class UnknownFormatError(GranitewellError):
    """Bytes have a format that only a newer version of the program knows."""


class RpcError(GranitewellError):
    """A call to another node failed."""


class RpcTimeoutError(RpcError):
    """A call got no reply in time."""


class PeerUnreachableError(RpcError):
    """There is no connection to the node."""


class MalformedFrameError(RpcError):
    """A peer sent bytes that are not a frame of a known version."""
