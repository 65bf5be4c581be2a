"""Types of the operator's configuration; aliases are the names of fields on the wire.

The store keeps the JSON that the operator sent, including unknown fields; the planes read these types from
it. Parsing is strict: a number in quotes, or true in place of 1, is an error.
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
    """A value does not have the type of its field."""


class WrongItemError(GranitewellError):
    """An item of a list is invalid; the cause says why."""

    def __init__(self, index: int) -> None:
        super().__init__(f"item {index}")
        self.index = index


def _string(value: Any) -> str:
    if type(value) is not str:
        raise WrongTypeError("not a string")
    return value


def _boolean(value: Any) -> bool:
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
    """Return a function that reads a list of objects; null is an empty list.

    The function raises WrongItemError with the index of an invalid item.
    """

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
    except (ValueError, LookupError, GranitewellError) as error:  # mashumaro raises the first two
        raise WrongItemError(index) from error


class StrictFields(DataClassDictMixin):
    """Base of dataclasses that are read from JSON without converting between types."""

    class Config(BaseConfig):
        """Strict parsers of the plain types, for mashumaro."""

        serialization_strategy = {  # noqa: RUF012  mashumaro declares it so
            str: {"deserialize": _string},
            bool: {"deserialize": _boolean},
            int: {"deserialize": _integer},
            float: {"deserialize": _number},
        }


class RouteKind(Enum):
    """How a request of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService(StrictFields):
    """One of several services of a route, and its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(StrictFields):
    """One route.

    Attributes:
        name: Name of the route.
        host: Host name that requests must have.
        prefix: Path prefix; begins and ends with a slash.
        kind: How its requests may be retried.
        timeout_ms: Time limit of a request, in milliseconds.
        target_ms: Latency target, in milliseconds; 0 for none.
        priority: 0 (most urgent) to 9.
        service: The service, if there is only one.
        weighted_services: Several services, with weights.
        max_attempts: How often a request may be sent to servers.
        sticky: Whether requests of a client prefer the same server.
        resumable: Whether a stream may be resumed at another server.
        gap_target_ms: Target time between two events of a stream, in milliseconds.
    """

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
        """All services of this route, with weights."""
        if self.weighted_services:
            return self.weighted_services
        return (WeightedService(self.service or "", 1.0),)

    @property
    def repeatable(self) -> bool:
        """Whether a request is idempotent, so that it may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (self.kind is RouteKind.STREAMING and self.resumable)


@dataclass(frozen=True)
class Model(StrictFields):
    """A model of an engine.

    Attributes:
        name: Name of the model.
        weights_mb: Size of its weights, in MB.
        load_time_s: Usual load time, in seconds.
        adapters: Number of its adapters, named a1, a2 and so on.
        adapter_mb: Size of an adapter, in MB.
    """

    name: str
    weights_mb: float = field(default=0.0, metadata=field_options(alias="weights-mb"))
    load_time_s: float = field(default=1.0, metadata=field_options(alias="load-time-s"))
    adapters: int = 0
    adapter_mb: float = field(default=0.0, metadata=field_options(alias="adapter-mb"))


@dataclass(frozen=True)
class Engine(StrictFields):
    """Properties of the servers of a service that runs models.

    Attributes:
        slots: Concurrent requests per server.
        models: The models.
        weights_mb: Memory of a server for weights and adapters together, in MB.
        max_adapters: Adapters that a server can load.
        loads_per_s: Rate limit of the weight store, over all servers.
        kv_capacity: Capacity of the KV cache, in tokens.
        stride: Tokens per decode step.
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
    """A service that requests are forwarded to.

    Attributes:
        engine: Properties of its servers; None if it runs no models.
    """

    name: str
    health_path: str = field(default="/healthz", metadata=field_options(alias="health-path"))
    max_connections: int = field(default=100, metadata=field_options(alias="max-connections"))
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


@dataclass(frozen=True)
class Limits(StrictFields):
    """Limits on the size of requests, and on how long a client may take or stay idle."""

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
