"""The exception tree of the system: every failure that crosses a module's border has a type here or below."""

from __future__ import annotations


class GranitewellError(Exception):
    """The root of all errors that this system raises on purpose."""


class InvalidField(GranitewellError):
    """Input from outside that can't be taken.

    Attributes:
        field: A path such as `routes[3].timeout-ms`.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidSettings(InvalidField):
    """The settings file of this process can't be used."""


class InvalidConfiguration(InvalidField):
    """An operator's configuration can't be taken."""


class NotLeader(GranitewellError):
    """Another replica leads this group; leader_address is its control address where it is known."""

    def __init__(self, leader_address: str | None = None) -> None:
        super().__init__(f"not the leader; leader: {leader_address or 'unknown'}")
        self.leader_address = leader_address


class ProposalLost(GranitewellError):
    """A proposal got no outcome: it may be committed or not."""


class UnknownFormat(GranitewellError):
    """Bytes of a format that this program does not know, and a newer one may."""


class RpcError(GranitewellError):
    """A call to another node has failed."""


class RpcTimeout(RpcError):
    """No reply in time."""


class PeerUnreachable(RpcError):
    """No connection to the node."""


class BadFrame(RpcError):
    """A peer sent bytes that are no frame of a version that is known here."""
