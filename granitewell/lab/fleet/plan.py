"""Where every node of a fleet stands: what it binds, what it is told to advertise, and what is between.

It owns the address scheme and its JSON. It must never start anything. A node binds 127.B.0.k, as `lab/socks`
has it; it advertises 127.B.254.k, where the switch stands; its twin and its other address lie in 127.B.253.k
and are advertised at 127.B.252.k.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

PORT = 7_946  # of nodes to each other; a range of addresses is a run's own, so that none is guessed
SPARE = 100  # added to a node's place for its second address


@dataclass(frozen=True, slots=True)
class Door:
    """A place at which a process of a node can stand.

    Attributes:
        id: The node's name, or the name and `+` for its second place.
    """

    id: str
    bind: str
    at: str  # that the switch has, and the node advertises


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What the switch is told."""

    doors: tuple[Door, ...]
    keys: tuple[str, ...]  # hex: those that any node of the run may seal with
    seed: int
    link: dict[str, float]

    def save(self, path: Path) -> None:
        """Write it."""
        path.write_text(json.dumps(asdict(self)))


def load(path: Path) -> FleetPlan:
    """As saved."""
    words: dict[str, Any] = json.loads(path.read_text())
    doors = tuple(Door(**d) for d in words.pop("doors"))
    return FleetPlan(doors=doors, keys=tuple(words.pop("keys")), **words)


def doors(names: tuple[str, ...], base: int) -> tuple[Door, ...]:
    """Both places of each node."""
    firsts = [
        Door(n, f"127.{base}.0.{k + 1}:{PORT}", f"127.{base}.254.{k + 1}:{PORT}") for k, n in enumerate(names)
    ]
    seconds = [
        Door(f"{n}+", f"127.{base}.253.{k + 1}:{PORT}", f"127.{base}.252.{k + 1}:{PORT}")
        for k, n in enumerate(names)
    ]
    return (*firsts, *seconds)
