"""The processes of other control nodes, as they make themselves known. Pure."""

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
    """What was heard last from each internal address."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since = clock()
        self._heard: dict[str, _Heard] = {}

    def announce(self, address: str, incarnation: str) -> None:
        """A process has made itself known."""
        self._heard[address] = _Heard(incarnation, self._clock())

    def incarnation_at(self, address: str) -> str | None:
        """Of the process heard last; None where none was."""
        heard = self._heard.get(address)
        return heard.incarnation if heard is not None else None

    def is_unresponsive(self, address: str) -> bool:
        """Whether none has been heard for longer than one that runs would be silent."""
        heard = self._heard.get(address)
        heard_at = heard.at if heard is not None else self._since
        return self._clock() - heard_at >= PROCESS_UNRESPONSIVE_AFTER_S
