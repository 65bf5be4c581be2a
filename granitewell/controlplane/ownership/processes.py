"""Processes of other control nodes, known by their announcements. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

ANNOUNCEMENT_INTERVAL_S = 1.0  # of each process, to all others; independent of its disk
PROCESS_UNRESPONSIVE_AFTER_S = 1.3  # above the announcement interval plus the delay of a lost packet


@dataclass(frozen=True, slots=True)
class _Announcement:
    incarnation: str
    at: float


class KnownProcesses:
    """Last announcement received from each internal address."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since = clock()
        self._announcements: dict[str, _Announcement] = {}

    def announce(self, address: str, incarnation: str) -> None:
        """Record the announcement of a process."""
        self._announcements[address] = _Announcement(incarnation, self._clock())

    def incarnation_at(self, address: str) -> str | None:
        """Return the last incarnation announced from an address, None if there was none."""
        announcement = self._announcements.get(address)
        return announcement.incarnation if announcement is not None else None

    def is_unresponsive(self, address: str) -> bool:
        """Return whether the announcements from an address have stopped."""
        announcement = self._announcements.get(address)
        announced_at = announcement.at if announcement is not None else self._since
        return self._clock() - announced_at >= PROCESS_UNRESPONSIVE_AFTER_S

    def responsive_addresses(self) -> list[str]:
        """Return the addresses whose announcements have not stopped."""
        return [address for address in self._announcements if not self.is_unresponsive(address)]
