"""The exception tree of the system: every failure that crosses a module's border has a type here or below."""

from __future__ import annotations


class GranitewellError(Exception):
    """The root of all errors that this system raises on purpose."""


class InvalidFieldError(GranitewellError):
    """Input from outside that can't be taken.

    Attributes:
        field: A path such as `routes[3].timeout-ms`.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidSettingsError(InvalidFieldError):
    """The settings file of this process can't be used."""


class InvalidConfigurationError(InvalidFieldError):
    """An operator's configuration can't be taken."""


class NotLeaderError(GranitewellError):
    """Another replica leads this group; leader_address is its control address where it is known."""

    def __init__(self, leader_address: str | None = None) -> None:
        super().__init__(f"not the leader; leader: {leader_address or 'unknown'}")
        self.leader_address = leader_address


class ProposalLostError(GranitewellError):
    """A proposal got no outcome: it may be committed or not."""


class UnknownFormatError(GranitewellError):
    """Bytes of a format that this program does not know, and a newer one may."""


class RpcError(GranitewellError):
    """A call to another node has failed."""


class RpcTimeoutError(RpcError):
    """No reply in time."""


class PeerUnreachableError(RpcError):
    """No connection to the node."""


class MalformedFrameError(RpcError):
    """A peer sent bytes that are no frame of a version that is known here."""
