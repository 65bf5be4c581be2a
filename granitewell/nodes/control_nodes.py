"""Selection of the control node that an edge or a gateway polls."""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.controlplane.publication.publisher import members_digest
from granitewell.coordination.rendezvous import rank

MAX_SEEDS = 32
"""Maximum number of addresses from settings and announcements, beside those that the control plane names."""


class ControlNodes:
    """The control node that this process polls.

    Once the control plane names control nodes, these are preferred to seeds that it does not name, which have
    no replicas. The process does not know which control nodes are in its own zone, so it selects by
    rendezvous hashing, and moves to the next node after a failure.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: list[str] = []
        self._seeds: list[str] = []
        self._order: list[str] = []
        self._at = 0

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Set the control nodes named by the settings."""
        self._seeds = list(addresses)
        self._update_order()

    def set_known(self, addresses: Sequence[str]) -> None:
        """Set the control nodes named by the control plane."""
        self._known = list(addresses)
        self._update_order()

    def add_seed(self, address: str) -> None:
        """Add a control node that has announced itself."""
        if address not in self._seeds:
            self._seeds.append(address)
            del self._seeds[:-MAX_SEEDS]
            self._update_order()

    @property
    def known(self) -> list[str]:
        """Return the control nodes named by the control plane."""
        return self._known

    def _update_order(self) -> None:
        current = self._order[self._at % len(self._order)] if self._order else None
        known = rank(self._name, self._known)
        rest = rank(self._name, [seed for seed in self._seeds if seed not in self._known])
        self._order = known + rest
        stays = current in (self._known or self._order)
        self._at = self._order.index(current) if stays and current is not None else 0

    @property
    def digest(self) -> int:
        """Digest of the control nodes named by the control plane."""
        return members_digest(self._known)

    @property
    def current(self) -> str | None:
        """Return the control node to poll."""
        return self._order[self._at % len(self._order)] if self._order else None

    def failed(self) -> None:
        """Record that the current control node did not reply."""
        self._at += 1
