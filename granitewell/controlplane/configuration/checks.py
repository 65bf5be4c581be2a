"""Parse and validate the body of a change; InvalidConfigurationError names the invalid field.

This module checks the body by itself. Checks against the rest of the configuration (known services, hosts and
prefixes) are in `state`.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import orjson
from mashumaro.exceptions import InvalidFieldValue, MissingField

from granitewell.controlplane.configuration.change import MAX_VERSION
from granitewell.domain.configuration import (
    Limits,
    Route,
    Service,
    StrictFields,
    WrongItemError,
    WrongTypeError,
)
from granitewell.domain.errors import InvalidConfigurationError

COMPLETE_FIELDS = frozenset({"version", "routes", "services", "limits"})
PATCH_FIELDS = frozenset({"version", "upsert", "remove", "limits"})
MAX_SHOWN_CHARS = 60  # of an invalid value, in an error message

Named = TypeVar("Named", Route, Service)


@dataclass(frozen=True, slots=True)
class Item(Generic[Named]):
    """A route or service: parsed, as JSON, and its position in the body."""

    value: Named
    document: bytes
    group: str
    index: int

    @property
    def path(self) -> str:
        """Return the path of a field in the body, for messages."""
        return f"{self.group}[{self.index}]"


@dataclass(frozen=True, slots=True)
class CurrentItems(Generic[Named]):
    """Items of the current configuration by name; an item that is sent unchanged is not parsed again."""

    values: Mapping[str, Named]
    documents: Mapping[str, bytes]

    def same(self, document: Mapping[str, Any], encoded: bytes) -> Named | None:
        """Return the item that was parsed from the same JSON, if there is one."""
        name = document.get("name")
        if type(name) is str and self.documents.get(name) == encoded:
            return self.values[name]
        return None


@dataclass(frozen=True, slots=True)
class CompleteConfiguration:
    """The body of a PUT.

    Attributes:
        other: Unknown top-level fields, as JSON.
    """

    version: int
    routes: tuple[Item[Route], ...]
    services: tuple[Item[Service], ...]
    limits: Mapping[str, Any] | None
    other: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class UnknownItems:
    """Named items of an unknown kind, to be added or replaced, and names to be removed."""

    upsert: tuple[Mapping[str, Any], ...] = ()
    remove: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """The body of a PATCH.

    Attributes:
        limits: Limits to change.
        other: Unknown top-level fields, as JSON.
        unknown_items: Items of unknown kinds, by the name of the kind.
    """

    version: int
    routes: tuple[Item[Route], ...]
    services: tuple[Item[Service], ...]
    removed_routes: frozenset[str]
    removed_services: frozenset[str]
    limits: Mapping[str, Any]
    other: Mapping[str, bytes]
    unknown_items: Mapping[str, UnknownItems]


def read_complete(
    body: bytes,
    current_version: int,
    current_routes: CurrentItems[Route],
    current_services: CurrentItems[Service],
) -> CompleteConfiguration:
    """Parse the body of a PUT; raises InvalidConfigurationError."""
    document = _read_object(body)
    version = _read_version(document, current_version)
    routes = _read_items(Route, _required(document, "routes"), "routes", current_routes)
    services = _read_items(Service, _required(document, "services"), "services", current_services)
    limits = document.get("limits")
    return CompleteConfiguration(
        version=version,
        routes=routes,
        services=services,
        limits=None if limits is None else _as_object(limits, "limits"),
        other=_encode_others(document, COMPLETE_FIELDS),
    )


def read_patch(
    body: bytes,
    current_version: int,
    current_routes: CurrentItems[Route],
    current_services: CurrentItems[Service],
) -> ConfigurationPatch:
    """Parse the body of a PATCH; raises InvalidConfigurationError."""
    document = _read_object(body)
    version = _read_version(document, current_version)
    for misplaced in ("routes", "services"):
        if misplaced in document:
            raise InvalidConfigurationError(misplaced, "a PATCH has this under upsert or remove")
    upsert = _optional_object(document, "upsert")
    remove = _optional_object(document, "remove")
    limits = _optional_object(document, "limits") | _optional_object(upsert, "limits", "upsert.")
    return ConfigurationPatch(
        version=version,
        routes=_read_items(Route, _optional(upsert, "routes"), "upsert.routes", current_routes),
        services=_read_items(Service, _optional(upsert, "services"), "upsert.services", current_services),
        removed_routes=_read_names(remove, "routes"),
        removed_services=_read_names(remove, "services"),
        limits=limits,
        other=_encode_others(document, PATCH_FIELDS),
        unknown_items=_read_unknown_items(upsert, remove),
    )


def read_limits(document: Mapping[str, Any] | None) -> Limits:
    """Return limits with their defaults; raises InvalidConfigurationError."""
    if document is None:
        return Limits()
    try:
        return Limits.from_dict(document)
    except (ValueError, LookupError) as error:
        raise _wrong_field(error, Limits, "limits") from error


def encode_value(value: Any, path: str) -> bytes:
    """Return the JSON of a value; raises InvalidConfigurationError if it is nested too deeply."""
    try:
        encoded = orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise InvalidConfigurationError(path, f"can't be kept: {error}") from error
    return memoryview(encoded).tobytes()  # a copy: each bytes object of orjson occupies 4 KB


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfigurationError("body", f"not JSON: {error}") from error
    return _as_object(document, "body")


def _read_version(document: Mapping[str, Any], current_version: int) -> int:
    version = _required(document, "version")
    if type(version) is not int:
        raise InvalidConfigurationError("version", f"not a whole number: {_shown(version)}")
    if version <= current_version:
        raise InvalidConfigurationError("version", f"{version} is not above {current_version}")
    if version > MAX_VERSION:
        raise InvalidConfigurationError("version", f"{version} is above {MAX_VERSION}")
    return version


def _required(document: Mapping[str, Any], name: str) -> Any:
    if name not in document:
        raise InvalidConfigurationError(name, "missing")
    return document[name]


def _optional(document: Mapping[str, Any], name: str) -> Any:
    value = document.get(name)
    return [] if value is None else value


def _as_object(value: Any, path: str) -> dict[str, Any]:
    if type(value) is not dict:
        raise InvalidConfigurationError(path, f"not an object: {_shown(value)}")
    return value


def _as_list(value: Any, path: str) -> list[Any]:
    if type(value) is not list:
        raise InvalidConfigurationError(path, f"not a list: {_shown(value)}")
    return value


def _optional_object(document: Mapping[str, Any], name: str, parent: str = "") -> dict[str, Any]:
    value = document.get(name)
    return {} if value is None else _as_object(value, parent + name)


def _read_items(
    kind: type[Named], value: Any, group: str, current: CurrentItems[Named]
) -> tuple[Item[Named], ...]:
    items = []
    names = set()
    for index, document in enumerate(_as_list(value, group)):
        item = _read_item(kind, document, group, index, current)
        name = item.value.name
        if name in names:
            raise InvalidConfigurationError(f"{item.path}.name", f"{_shown(name)} is there already")
        names.add(name)
        items.append(item)
    return tuple(items)


def _read_item(
    kind: type[Named], document: Any, group: str, index: int, current: CurrentItems[Named]
) -> Item[Named]:
    path = f"{group}[{index}]"
    encoded = encode_value(_as_object(document, path), path)
    value = current.same(document, encoded)
    if value is None:
        value = _read_new(kind, document, path)
    return Item(value, encoded, group, index)


def _read_new(kind: type[Named], document: Mapping[str, Any], path: str) -> Named:
    try:
        value = kind.from_dict(document)
    except (ValueError, LookupError) as error:
        raise _wrong_field(error, kind, path) from error
    if isinstance(value, Route):
        _check_route(value, path)
    return value


def _check_route(route: Route, path: str) -> None:
    if route.timeout_ms <= 0:
        raise InvalidConfigurationError(f"{path}.timeout-ms", f"{route.timeout_ms:g} is not above 0")
    if route.weighted_services:
        _check_weights(route, path)
    elif route.service is None:
        raise InvalidConfigurationError(f"{path}.service", "missing")


def _check_weights(route: Route, path: str) -> None:
    weights = [weighted.weight for weighted in route.weighted_services]
    for index, weight in enumerate(weights):
        if not weight >= 0:  # also rejects NaN
            raise InvalidConfigurationError(
                f"{path}.weighted-services[{index}].weight", f"{weight:g} is below 0"
            )
    total = sum(weights)
    if not 0 < total < math.inf:
        raise InvalidConfigurationError(f"{path}.weighted-services", f"the weights add up to {total:g}")


def _read_names(remove: Mapping[str, Any], kind: str) -> frozenset[str]:
    names = _as_list(_optional(remove, kind), f"remove.{kind}")
    for index, name in enumerate(names):
        if type(name) is not str:
            raise InvalidConfigurationError(f"remove.{kind}[{index}]", f"not a name: {_shown(name)}")
    return frozenset(names)


def _encode_others(document: Mapping[str, Any], known: frozenset[str]) -> dict[str, bytes]:
    return {name: encode_value(value, name) for name, value in document.items() if name not in known}


def _read_unknown_items(upsert: Mapping[str, Any], remove: Mapping[str, Any]) -> dict[str, UnknownItems]:
    kinds = [kind for kind in upsert if kind not in COMPLETE_FIELDS]
    kinds += [kind for kind in remove if kind not in COMPLETE_FIELDS and kind not in upsert]
    return {kind: _read_unknown_kind(upsert, remove, kind) for kind in kinds}


def _read_unknown_kind(upsert: Mapping[str, Any], remove: Mapping[str, Any], kind: str) -> UnknownItems:
    items = _as_list(_optional(upsert, kind), f"upsert.{kind}")
    for index, item in enumerate(items):
        path = f"upsert.{kind}[{index}]"
        if type(_as_object(item, path).get("name")) is not str:
            raise InvalidConfigurationError(f"{path}.name", "missing or not a string")
    return UnknownItems(tuple(items), _read_names(remove, kind))


def _wrong_field(error: BaseException, kind: type[StrictFields], path: str) -> InvalidConfigurationError:
    """Convert mashumaro's error to one that names the field's path on the wire."""
    if isinstance(error, MissingField):
        return InvalidConfigurationError(f"{path}.{_wire_name(kind, error.field_name)}", "missing")
    if not isinstance(error, InvalidFieldValue):
        return InvalidConfigurationError(path, f"can't be read: {error}")
    path = f"{path}.{_wire_name(kind, error.field_name)}"
    cause = error.__cause__ or error.__context__
    if isinstance(cause, WrongItemError):
        path = f"{path}[{cause.index}]"
        cause = cause.__cause__
    if isinstance(cause, MissingField | InvalidFieldValue):
        return _wrong_field(cause, cause.holder_class, path)
    reason = str(cause) if isinstance(cause, WrongTypeError) else "not of its type"
    return InvalidConfigurationError(path, f"{reason}: {_shown(error.field_value)}")


def _wire_name(kind: type[Any], name: str) -> str:
    for field in dataclasses.fields(kind):
        if field.name == name:
            return str(field.metadata.get("alias") or name)
    return name


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
