"""Selection of the control node that an edge or a gateway polls."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from granitewell.controlplane.publication.publisher import members_digest
from granitewell.coordination.rendezvous import rank

MAX_SEEDS = 32
"""Maximum number of addresses that are only heard of, beside the settings' and those that a replica names."""


class ControlNodes:
    """The control node that this process polls.

    Only a control node with replicas knows the members of the control plane. The nodes that it names (the
    known ones) are preferred. Announcements and referrals from nodes without replicas add addresses to try
    after those, and confirm nothing: two nodes without replicas that refer to each other's list must not keep
    it alive.

    The process does not know which control nodes are in its own zone, so it selects by rendezvous hashing,
    and moves to the next node after a failure. Each address is tried before one is tried again.

    Args:
        name: Name of this machine.
        own_address: Internal address of this process, which is never polled; "" if it serves no polls.
    """

    def __init__(self, name: str, own_address: str = "") -> None:
        self._name = name
        self._own_address = own_address
        self._known: list[str] = []
        self._digest = members_digest([])
        self._seeds: list[str] = []
        self._heard: dict[str, None] = {}  # the least recently heard of first
        self._order: list[str] = []
        self._at = 0

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Set the control nodes named by the settings."""
        self._seeds = self._others(addresses)
        self._update_order()

    def set_known(self, addresses: Sequence[str]) -> None:
        """Set the control nodes, as named by one that has replicas; poll one of them next."""
        self._digest = members_digest(addresses)
        self._known = self._others(addresses)
        self._update_order()
        if self.current not in self._known:
            self._at = 0

    def add_seed(self, address: str) -> None:
        """Add a control node that has announced itself."""
        self._hear([address])

    def follow_referral(self, addresses: Sequence[str]) -> bool:
        """Move on from a node without replicas, which has named others.

        The next node is one of those if this process had not heard of it, otherwise the next in order.

        Returns:
            Whether the referral has named a node of which this process had not heard.
        """
        before = set(self._order)
        self._hear(addresses)
        new = set(addresses).difference(before)
        first = next((at for at, address in enumerate(self._order) if address in new), None)
        if first is None:
            self.failed()
            return False
        self._at = first
        return True

    @property
    def known(self) -> list[str]:
        """Return the control nodes named by one that has replicas, except this process."""
        return self._known

    @property
    def digest(self) -> int:
        """Digest of the list of control nodes named by one that has replicas."""
        return self._digest

    @property
    def current(self) -> str | None:
        """Return the control node to poll."""
        return self._order[self._at % len(self._order)] if self._order else None

    def failed(self) -> None:
        """Record that the current control node did not reply, or does not know the control plane."""
        self._at += 1

    def _others(self, addresses: Iterable[str]) -> list[str]:
        return [address for address in addresses if address != self._own_address]

    def _hear(self, addresses: Iterable[str]) -> None:
        for address in self._others(addresses):
            self._heard.pop(address, None)
            self._heard[address] = None
        while len(self._heard) > MAX_SEEDS:
            del self._heard[next(iter(self._heard))]
        self._update_order()

    def _update_order(self) -> None:
        """Rank all addresses; the current one stays."""
        current = self.current
        known = rank(self._name, self._known)
        rest = rank(self._name, {*self._heard, *self._seeds}.difference(known))
        self._order = known + rest
        self._at = self._order.index(current) if current in self._order else 0
