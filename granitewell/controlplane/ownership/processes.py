"""Processes of other control nodes, as they announce themselves. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

ANNOUNCED_EVERY_S = 1.0  # by each process, to all others; no disk has a part in it
PROCESS_UNRESPONSIVE_AFTER_S = 1.3  # longer than between two announcements, and than what a loss can hide


@dataclass(frozen=True, slots=True)
class _Heard:
    incarnation: str
    at: float


class KnownProcesses:
    """The last announcement from each internal address."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since = clock()
        self._heard: dict[str, _Heard] = {}

    def announce(self, address: str, incarnation: str) -> None:
        """Record the announcement of a process."""
        self._heard[address] = _Heard(incarnation, self._clock())

    def incarnation_at(self, address: str) -> str | None:
        """Return the incarnation announced last from an address, None if there was none."""
        heard = self._heard.get(address)
        return heard.incarnation if heard is not None else None

    def is_unresponsive(self, address: str) -> bool:
        """Return whether an address has sent no announcement for longer than a running process would."""
        heard = self._heard.get(address)
        heard_at = heard.at if heard is not None else self._since
        return self._clock() - heard_at >= PROCESS_UNRESPONSIVE_AFTER_S
