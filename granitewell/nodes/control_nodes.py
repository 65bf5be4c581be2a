"""Which control node an edge asks."""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.controlplane.publication.publisher import members_digest
from granitewell.coordination.rendezvous import rank


class ControlNodes:
    """Which control node this edge asks.

    Those of its own zone can't be told apart, so by rendezvous, and the next one after a failure.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known: list[str] = []
        self._seeds: list[str] = []
        self._order: list[str] = []
        self._at = 0

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """From the settings."""
        self._seeds = list(addresses)
        self._arrange()

    def set_known(self, addresses: Sequence[str]) -> None:
        """As the control plane tells."""
        self._known = list(addresses)
        self._arrange()

    def _arrange(self) -> None:
        current = self._order[self._at % len(self._order)] if self._order else None
        known = rank(self._name, self._known)
        rest = rank(self._name, [seed for seed in self._seeds if seed not in self._known])
        self._order = known + rest
        self._at = self._order.index(current) if current in self._order else 0

    @property
    def digest(self) -> int:
        """Of the nodes that the control plane has told of."""
        return members_digest(self._known)

    @property
    def current(self) -> str | None:
        """The one to ask."""
        return self._order[self._at % len(self._order)] if self._order else None

    def failed(self) -> None:
        """The current one did not answer."""
        self._at += 1
