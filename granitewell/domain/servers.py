"""Servers as both planes know them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class ServerState(IntEnum):
    """What the platform's list says of a server."""

    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that a server holds, loaded and ready.

    Attributes:
        adapters: Of it, loaded too.
    """

    name: str
    adapters: frozenset[str] = frozenset()

    @classmethod
    def parse(cls, entry: Mapping[str, object]) -> LoadedModel:
        """From an entry of a report or of the platform's list; raises KeyError or TypeError."""
        name = entry["name"]
        adapters = entry.get("adapters") or ()
        if not isinstance(name, str) or not isinstance(adapters, list | tuple):
            raise TypeError("a model's name or adapters are of another type")
        return cls(name, frozenset(str(adapter) for adapter in adapters))


@dataclass(frozen=True, slots=True)
class Server:
    """One server.

    Attributes:
        address: `host:port`.
        slots: Requests at once.
        remaining_ms: Time left when this was listed, -1 for no end in sight.
        models: By name, what requests may be sent for.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState
    remaining_ms: int = -1
    models: Mapping[str, LoadedModel] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ModelRef:
    """A model, or an adapter of it ("" for the model alone)."""

    model: str
    adapter: str = ""

    @classmethod
    def parse(cls, header: str) -> ModelRef:
        """From the request header: `model` or `model/adapter`."""
        model, _, adapter = header.partition("/")
        return cls(model, adapter)


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What one edge saw of a model since its last report.

    Attributes:
        requests: Arrived.
        waiting: Held now because no server has it.
        in_flight: Being run now.
        priority: Of the most urgent waiting request, 0 first.
    """

    service: str
    ref: ModelRef
    requests: int
    waiting: int
    in_flight: int
    priority: int = 5
