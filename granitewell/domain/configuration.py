"""The operator's configuration, typed. Field names on the wire are aliases here and nowhere else.

The store keeps what the operator sent (plain JSON, unknown fields included); these types are what the planes
read from it. Each field is read strictly: a number in quotes, or true for a 1, is not of its type.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig

from granitewell.domain.errors import GranitewellError


class WrongTypeError(GranitewellError):
    """A value is not of its field's type."""


class WrongItemError(GranitewellError):
    """An item of a list can't be read; the cause says why."""

    def __init__(self, index: int) -> None:
        super().__init__(f"item {index}")
        self.index = index


def _text(value: Any) -> str:
    if type(value) is not str:
        raise WrongTypeError("not a string")
    return value


def _truth(value: Any) -> bool:
    if type(value) is not bool:
        raise WrongTypeError("not true or false")
    return value


def _number(value: Any) -> float:
    kind = type(value)
    if kind is not float and kind is not int:
        raise WrongTypeError("not a number")
    return float(value)


def _integer(value: Any) -> int:
    kind = type(value)
    if kind is int:
        return int(value)
    if kind is float and value.is_integer():
        return int(value)
    raise WrongTypeError("not a whole number")


def _list_of(kind: type[DataClassDictMixin]) -> Callable[[Any], tuple[Any, ...]]:
    """Reads a list of objects; null is an empty list. Raises WrongItemError, which names the index."""

    def read(value: Any) -> tuple[Any, ...]:
        if value is None:
            return ()
        if type(value) is not list:
            raise WrongTypeError("not a list")
        items = []
        for index, item in enumerate(value):
            items.append(_item(kind, index, item))
        return tuple(items)

    return read


def _item(kind: type[DataClassDictMixin], index: int, value: Any) -> DataClassDictMixin:
    try:
        if type(value) is not dict:
            raise WrongTypeError("not an object")
        return kind.from_dict(value)
    except (ValueError, LookupError, GranitewellError) as error:  # mashumaro's errors are of the first two
        raise WrongItemError(index) from error


class StrictFields(DataClassDictMixin):
    """A dataclass that is read from JSON without turning one type into another."""

    class Config(BaseConfig):
        """What mashumaro reads each plain type with."""

        serialization_strategy = {
            str: {"deserialize": _text},
            bool: {"deserialize": _truth},
            int: {"deserialize": _integer},
            float: {"deserialize": _number},
        }


class RouteKind(Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService(StrictFields):
    """One of several services of a route and its share."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(StrictFields):
    """One route. Times in milliseconds; prefix begins and ends with a slash."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float = field(metadata=field_options(alias="timeout-ms"))
    target_ms: float = field(default=0.0, metadata=field_options(alias="target-ms"))
    priority: int = 5
    service: str | None = None
    weighted_services: tuple[WeightedService, ...] = field(
        default=(),
        metadata=field_options(alias="weighted-services", deserialize=_list_of(WeightedService)),
    )
    max_attempts: int = field(default=1, metadata=field_options(alias="max-attempts"))
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = field(default=0.0, metadata=field_options(alias="gap_aim_ms"))

    @property
    def services(self) -> tuple[WeightedService, ...]:
        """All services that this route may reach, weighted."""
        if self.weighted_services:
            return self.weighted_services
        return (WeightedService(self.service or "", 1.0),)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (self.kind is RouteKind.STREAMING and self.resumable)


@dataclass(frozen=True)
class Model(StrictFields):
    """A model of an engine.

    Attributes:
        weights_mb: Its weights.
        adapters: How many it has, named a1, a2 and so on.
    """

    name: str
    weights_mb: float = field(default=0.0, metadata=field_options(alias="weights-mb"))
    load_time_s: float = field(default=1.0, metadata=field_options(alias="load-time-s"))
    adapters: int = 0
    adapter_mb: float = field(default=0.0, metadata=field_options(alias="adapter-mb"))


@dataclass(frozen=True)
class Engine(StrictFields):
    """What the servers of a service that runs models have.

    Attributes:
        weights_mb: A server's memory for weights and adapters together.
        loads_per_s: From the weight store, over all servers.
    """

    slots: int = 1
    models: tuple[Model, ...] = field(default=(), metadata=field_options(deserialize=_list_of(Model)))
    weights_mb: float = field(default=0.0, metadata=field_options(alias="weights-mb"))
    max_adapters: int = field(default=0, metadata=field_options(alias="max-adapters"))
    loads_per_s: float = field(default=1.0, metadata=field_options(alias="loads-per-s"))
    kv_capacity: int = field(default=0, metadata=field_options(alias="kv-capacity"))
    stride: int = 1


@dataclass(frozen=True)
class Service(StrictFields):
    """A service that requests are sent to.

    Attributes:
        engine: None where it runs no models.
    """

    name: str
    health_path: str = field(default="/healthz", metadata=field_options(alias="health-path"))
    max_connections: int = field(default=100, metadata=field_options(alias="max-connections"))
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


@dataclass(frozen=True)
class Limits(StrictFields):
    """Bounds on what a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = field(default=16_384, metadata=field_options(alias="max-header-bytes"))
    max_body_bytes: int = field(default=4_194_304, metadata=field_options(alias="max-body-bytes"))
    header_timeout_ms: float = field(default=3_000, metadata=field_options(alias="header-timeout-ms"))
    idle_timeout_ms: float = field(default=15_000, metadata=field_options(alias="idle-timeout-ms"))


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, as the planes read it."""

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
