"""Discovery in a run on sockets: the model, and an agent for each node that holds what it has been told.

It owns when the model is woken and what its lines look like to each node. It must never decide what is
told, or who hears of it when: `lab.model.discovery` does.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from granitewell.lab.day import Day
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.discovery import Discovery
from granitewell.lab.loopback.agent import Agent
from granitewell.lab.loopback.clock import Agenda

Address = Callable[[str, str], tuple[str, int]]  # endpoint, node
Told = Callable[[str, str, str], None]  # node, endpoint, state


class DiscoveryHost:
    """Discovery and its agents. told(node, endpoint, state) hears what a node has been told."""

    def __init__(self, day: Day, agenda: Agenda, address: Address, told: Told) -> None:
        self._day, self._agenda, self._address, self._told = day, agenda, address, told
        self.agents: dict[str, Agent] = {}
        self._model = Discovery(day)
        self._wake_us = -1
        self._unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000  # Unix less monotonic time

    def open(self, node: str, host: str) -> Agent:
        """An agent for this node, at a free port of this address. It has the list as of now."""
        agent = Agent(self._agenda, host, self._renderer(node), lambda e, state: self._told(node, e, state))
        self.agents[node] = agent
        self.take(t.NodeBegins(node))
        return agent

    def close(self) -> None:
        """Nobody listens any more."""
        for agent in self.agents.values():
            agent.close()

    def take(self, event: t.DiscoveryEvent) -> None:
        """Something has happened that discovery hears of."""
        for tell in self._model.handle(self._agenda.clock.now(), event):
            self.agents[tell.node].take(tell)
        wake = self._model.wake_us
        if wake >= 0 and (self._wake_us < 0 or wake < self._wake_us):
            self._wake_us = wake
            self._agenda.at(wake, self._wake, wake)

    def _wake(self, due_us: int) -> None:
        if due_us == self._wake_us:
            self._wake_us = -1
            self.take(t.Tick())

    def _renderer(self, node: str) -> Callable[[t.Line], dict[str, Any]]:
        """Discovery's form of a line, for one node."""

        def render(line: t.Line) -> dict[str, Any]:
            zero_us = self._agenda.clock.zero_ns // 1000 + self._unix_us
            return {
                "id": line.id, "host_port": "%s:%d" % self._address(line.id, node),
                "locality": self._day.zones[line.zone], "flavor": self._day.kinds[line.kind].name,
                "cell": line.cell, "phase": line.state, "size": 1.0,
                "up_since_ms": (zero_us + line.started_us) // 1000 if line.started_us > 0 else 0,
            }  # fmt: skip

        return render

    # --- What the day does to it --------------------------------------------------------------------------
    def hush(self, on: bool) -> None:
        """Discovery, and with it each agent, says nothing, or speaks again."""
        self._model.silent(self._agenda.clock.now(), on)
        for agent in self.agents.values():
            agent.silent(on)
        self.take(t.Tick())

    def delay(self, extra_us: int) -> None:
        """It is so much later than usual."""
        self._model.late(self._agenda.clock.now(), extra_us)
        self.take(t.Tick())

    def move(self) -> None:
        """It is somewhere else from now on; nodes learn where by a reload or a new start."""
        for agent in self.agents.values():
            agent.move()
        self._model.moved(self._agenda.clock.now())
        self.take(t.Tick())
