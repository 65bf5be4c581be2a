"""Servers, models and demand, shared by both planes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum

MAX_VERSION = 2**53 - 1  # of a model's weights; a larger number is invalid


class ServerState(IntEnum):
    """State of a server in the platform's list."""

    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that a server has loaded.

    Attributes:
        name: Name of the model.
        adapters: Its adapters that are loaded too.
        version: Version of its weights; 0 if unknown.
    """

    name: str
    adapters: frozenset[str] = frozenset()
    version: int = 0

    def without_adapter(self, adapter: str) -> LoadedModel:
        """Return the model without one of its adapters."""
        return replace(self, adapters=self.adapters - {adapter})

    def with_adapter(self, adapter: str) -> LoadedModel:
        """Return the model with one more adapter."""
        return replace(self, adapters=self.adapters | {adapter})

    @classmethod
    def parse(cls, entry: Mapping[str, object]) -> LoadedModel:
        """Parse an entry of a report or of the platform's list; raises KeyError and TypeError.

        An invalid version counts as unknown, because the model is loaded all the same.
        """
        name = entry["name"]
        adapters = entry.get("adapters") or ()
        if not isinstance(name, str) or not isinstance(adapters, list | tuple):
            raise TypeError("a model's name or adapters are of another type")
        return cls(name, frozenset(str(adapter) for adapter in adapters), parse_version(entry.get("version")))


def parse_version(value: object) -> int:
    """Return a version of weights, or 0 if it is invalid."""
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 17:
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return value if 0 < value <= MAX_VERSION else 0


@dataclass(frozen=True, slots=True)
class Server:
    """One server.

    Attributes:
        id: Id of the instance.
        service: Name of its service.
        address: `host:port`.
        zone: Zone of its machine.
        slots: Concurrent requests.
        state: State in the platform's list.
        remaining_ms: Remaining lifetime when it was listed, in milliseconds; -1 if unlimited.
        models: Models by name for which requests may be sent.
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
    """A model, or one of its adapters ("" for the model alone)."""

    model: str
    adapter: str = ""

    @classmethod
    def parse(cls, header: str) -> ModelRef:
        """Parse the request header: `model` or `model/adapter`."""
        model, _, adapter = header.partition("/")
        return cls(model, adapter)


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand that one edge has seen for a model since its last report.

    Attributes:
        service: Name of the service.
        ref: The model.
        requests: Number of requests that arrived.
        waiting: Number of requests in the queue because no server has the model.
        in_flight: Number of requests in flight.
        priority: Priority of the most urgent waiting request; 0 is the most urgent.
    """

    service: str
    ref: ModelRef
    requests: int
    waiting: int
    in_flight: int
    priority: int = 5
