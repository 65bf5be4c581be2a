"""The endpoints as the director sees them: which process hosts each, where it stands, what discovery hears.

It owns orders to the hosting processes and the news of endpoints for discovery. It must never know what an
endpoint does with a request, or decide when something happens to it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from granitewell.lab.day import Day, EndpointDay
from granitewell.lab.emulator import types as t
from granitewell.lab.loopback.children import Child
from granitewell.lab.loopback.plan import stands_at

Hear = Callable[[t.Changed], None]


class Fleet:
    """All endpoints of the day. hear(changed) is what discovery learns."""

    def __init__(self, day: Day, hear: Hear) -> None:
        self._day, self._hear = day, hear
        self._specs = {e.id: e for e in day.endpoints}
        self._hosts: dict[str, Child] = {}
        self._bound: dict[str, dict[str, tuple[str, int]]] = {}
        self._up = {e.id for e in day.endpoints if e.started_us <= 0}
        self._draining: set[str] = set()
        self._fallen: set[str] = set()
        self._started_us = dict.fromkeys(self._specs, 0)

    def bound(self, host: Child, addresses: dict[str, Any], hosted: list[EndpointDay]) -> None:
        """A process stands, with these endpoints at these addresses."""
        for endpoint in hosted:
            self._hosts[endpoint.id] = host
        for name, doors in addresses.items():
            self._bound[name] = {node: (a[0], a[1]) for node, a in doors.items()}

    def address(self, endpoint: str, node: str) -> tuple[str, int]:
        """Where this node finds this endpoint."""
        return self._bound[stands_at(self._day, self._specs[endpoint]).id][node]

    # --- Orders -------------------------------------------------------------------------------------------
    def start(self, name: str, now_us: int) -> None:
        """A process starts there, cold; one that is there stays, and one that fell is gone for good."""
        if name not in self._up and name not in self._fallen:
            self._up.add(name)
            self._draining.discard(name)
            self._started_us[name] = now_us
            self._hosts[name].tell(do="start", id=name)
            self._say(name, "ready")

    def drain(self, name: str) -> None:
        """Its process finishes what it holds."""
        if name in self._up and name not in self._draining:
            self._draining.add(name)
            self._hosts[name].tell(do="drain", id=name)
            self._say(name, "draining")

    def end(self, name: str, how: str) -> None:
        """Its process is gone: `stop` or `vanish`."""
        if name in self._up:
            self._up.discard(name)
            self._hosts[name].tell(do=how, id=name)
            self._say(name, "gone" if how == "stop" else "vanished")

    def fell(self, name: str) -> None:
        """It has been pushed over."""
        self._up.discard(name)
        self._fallen.add(name)
        self._say(name, "gone")

    def pause(self, name: str, on: bool) -> None:
        """Its process stands still, or goes on."""
        self._hosts[name].tell(do="pause" if on else "resume", id=name)

    def fall(self, name: str, condition: t.Condition, on: bool) -> None:
        """A condition begins or ends there."""
        self._hosts[name].tell(do="fall", id=name, condition=asdict(condition), on=on)

    def _say(self, name: str, how: str) -> None:
        spec = self._specs[name]
        state = how if how in ("ready", "draining") else "gone"
        line = t.Line(name, spec.zone, spec.kind, spec.cell, state, self._started_us[name])
        self._hear(t.Changed(line, how))
