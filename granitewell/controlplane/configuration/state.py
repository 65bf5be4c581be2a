"""One version of the configuration, with the data needed to validate the next change.

States are immutable: a change produces a new state that shares the unchanged parts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.checks import (
    CompleteConfiguration,
    ConfigurationPatch,
    CurrentItems,
    Item,
    UnknownItems,
    encode_value,
    read_complete,
    read_limits,
    read_patch,
)
from granitewell.domain.configuration import Configuration, Limits, Route, Service
from granitewell.domain.errors import InvalidConfigurationError


class MatchKey(NamedTuple):
    """Key by which requests are matched to routes.

    Attributes:
        host: Host name in lower case.
        prefix: Path prefix.
    """

    host: str
    prefix: str


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """A configuration, the JSON of its parts as the operator sent them, and an index of the routes.

    Attributes:
        configuration: The configuration as the planes read it.
        route_documents: JSON of the routes by name, in order.
        service_documents: JSON of the services by name, in order.
        limits_document: JSON of the limits; None if they were never sent.
        other: Unknown top-level fields, as JSON.
        matches: Names of the routes by match key.
    """

    configuration: Configuration
    route_documents: Mapping[str, bytes] = field(default_factory=dict)
    service_documents: Mapping[str, bytes] = field(default_factory=dict)
    limits_document: bytes | None = None
    other: Mapping[str, bytes] = field(default_factory=dict)
    matches: Mapping[MatchKey, str] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The version; 0 if there is no configuration yet."""
        return self.configuration.version

    def current_routes(self) -> CurrentItems[Route]:
        """Return the routes, to reuse those that are sent unchanged."""
        return CurrentItems(self.configuration.routes, self.route_documents)

    def current_services(self) -> CurrentItems[Service]:
        """Return the services, to reuse those that are sent unchanged."""
        return CurrentItems(self.configuration.services, self.service_documents)

    def size(self) -> int:
        """Return the size of all parts as JSON, in bytes; nearly that of the complete document."""
        parts = (self.route_documents, self.service_documents, self.other)
        size = sum(sum(map(len, part.values())) for part in parts)
        return size + len(self.limits_document or b"")

    def document(self) -> bytes:
        """Return the complete configuration as JSON."""
        parts = [
            b'"version":%d' % self.version,
            b'"routes":[' + b",".join(self.route_documents.values()) + b"]",
            b'"services":[' + b",".join(self.service_documents.values()) + b"]",
        ]
        if self.limits_document is not None:
            parts.append(b'"limits":' + self.limits_document)
        for name, value in self.other.items():
            parts.append(orjson.dumps(name) + b":" + value)
        return b"{" + b",".join(parts) + b"}"


EMPTY = ConfigurationState(Configuration(version=0, routes={}, services={}, limits=Limits()))
"""State before the first configuration."""


def changed(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Return the state after a change; raises InvalidConfigurationError."""
    if change.operation is Operation.PUT:
        return complete_state(state, change.body)
    patch = read_patch(change.body, state.version, state.current_routes(), state.current_services())
    return _patched(state, patch)


def complete_state(state: ConfigurationState, document: bytes) -> ConfigurationState:
    """Return the state for a complete document.

    Items that are unchanged from `state` are not parsed again.

    Raises:
        InvalidConfigurationError: The document is not a valid configuration.
    """
    return _complete(read_complete(document, state.version, state.current_routes(), state.current_services()))


def difference(before: ConfigurationState, after: ConfigurationState) -> bytes | None:
    """Return the body of a PATCH that turns one state into another.

    None if limits or unknown fields differ, because a patch can only add to these.
    """
    if before.limits_document != after.limits_document or before.other != after.other:
        return None
    routes, gone_routes = _difference(before.route_documents, after.route_documents)
    services, gone_services = _difference(before.service_documents, after.service_documents)
    upsert = b'{"routes":[%b],"services":[%b]}' % (routes, services)
    remove = orjson.dumps({"routes": gone_routes, "services": gone_services})
    return b'{"version":%d,"upsert":%b,"remove":%b}' % (after.version, upsert, remove)


def _difference(before: Mapping[str, bytes], after: Mapping[str, bytes]) -> tuple[bytes, list[str]]:
    upserted = [document for name, document in after.items() if before.get(name) != document]
    removed = [name for name in before if name not in after]
    return b",".join(upserted), removed


def _complete(complete: CompleteConfiguration) -> ConfigurationState:
    services = _values(complete.services)
    for item in complete.routes:
        _check_services(item, services)
    matches: dict[MatchKey, str] = {}
    _add_matches(matches, complete.routes)
    return ConfigurationState(
        configuration=Configuration(
            version=complete.version,
            routes=_values(complete.routes),
            services=services,
            limits=read_limits(complete.limits),
        ),
        route_documents=_documents(complete.routes),
        service_documents=_documents(complete.services),
        limits_document=None if complete.limits is None else encode_value(complete.limits, "limits"),
        other=complete.other,
        matches=matches,
    )


def _patched(state: ConfigurationState, patch: ConfigurationPatch) -> ConfigurationState:
    """Return the state after a patch: removals first, then additions and replacements.

    Items that the patch does not name are not validated again.
    """
    before = state.configuration
    services = _merged(before.services, patch.removed_services, _values(patch.services))
    routes = _merged(before.routes, patch.removed_routes, _values(patch.routes))
    for item in patch.routes:
        _check_services(item, services)
    _check_removed_services(before.services.keys() - services.keys(), routes)
    limits, limits_document = _patched_limits(state, patch.limits)
    return ConfigurationState(
        configuration=Configuration(patch.version, routes, services, limits),
        route_documents=_merged(state.route_documents, patch.removed_routes, _documents(patch.routes)),
        service_documents=_merged(
            state.service_documents, patch.removed_services, _documents(patch.services)
        ),
        limits_document=limits_document,
        other=_patched_other(state.other, patch),
        matches=_patched_matches(state, patch),
    )


def _values(items: Iterable[Item[Any]]) -> dict[str, Any]:
    return {item.value.name: item.value for item in items}


def _documents(items: Iterable[Item[Any]]) -> dict[str, bytes]:
    return {item.value.name: item.document for item in items}


def _merged(
    old: Mapping[str, Any], removed: frozenset[str], upserted: Mapping[str, Any]
) -> Mapping[str, Any]:
    if not removed and not upserted:
        return old
    merged = dict(old)
    for name in removed:
        merged.pop(name, None)
    merged.update(upserted)
    return merged


def _check_services(item: Item[Route], services: Mapping[str, Service]) -> None:
    """Check that every service that a route names is known."""
    route = item.value
    if route.service is not None and route.service not in services:
        raise InvalidConfigurationError(f"{item.path}.service", f"no service is named {route.service!r}")
    for index, weighted in enumerate(route.weighted_services):
        if weighted.service not in services:
            path = f"{item.path}.weighted-services[{index}].service"
            raise InvalidConfigurationError(path, f"no service is named {weighted.service!r}")


def _check_removed_services(removed: set[str], routes: Mapping[str, Route]) -> None:
    """Check that no remaining route names a removed service."""
    if not removed:
        return
    for route in routes.values():
        for name in _named_services(route):
            if name in removed:
                raise InvalidConfigurationError("remove.services", f"route {route.name!r} names {name!r}")


def _named_services(route: Route) -> list[str]:
    names = [weighted.service for weighted in route.weighted_services]
    if route.service is not None:
        names.append(route.service)
    return names


def _match_key(route: Route) -> MatchKey:
    return MatchKey(route.host.lower(), route.prefix)


def _add_matches(matches: dict[MatchKey, str], items: Iterable[Item[Route]]) -> None:
    for item in items:
        name = item.value.name
        key = _match_key(item.value)
        other = matches.setdefault(key, name)
        if other != name:
            raise InvalidConfigurationError(
                f"{item.path}.prefix", f"route {other!r} has the same host and prefix"
            )


def _patched_matches(state: ConfigurationState, patch: ConfigurationPatch) -> Mapping[MatchKey, str]:
    """Return the new index of routes.

    All removed entries are deleted before any is added, so that routes may swap their match keys.
    """
    if not patch.routes and not patch.removed_routes:
        return state.matches
    matches = dict(state.matches)
    gone = patch.removed_routes.union(item.value.name for item in patch.routes)
    for name in gone:
        route = state.configuration.routes.get(name)
        if route is not None:
            del matches[_match_key(route)]
    _add_matches(matches, patch.routes)
    return matches


def _patched_limits(state: ConfigurationState, altered: Mapping[str, Any]) -> tuple[Limits, bytes | None]:
    if not altered:
        return state.configuration.limits, state.limits_document
    before = {} if state.limits_document is None else orjson.loads(state.limits_document)
    document = {**before, **altered}
    return read_limits(document), encode_value(document, "limits")


def _patched_other(other: Mapping[str, bytes], patch: ConfigurationPatch) -> Mapping[str, bytes]:
    if not patch.other and not patch.unknown_items:
        return other
    merged = {**other, **patch.other}
    for kind, items in patch.unknown_items.items():
        merged[kind] = _patched_unknown(merged.get(kind), items, kind)
    return merged


def _patched_unknown(document: bytes | None, items: UnknownItems, kind: str) -> bytes:
    """Return the list of items of an unknown kind, altered by name like the known kinds."""
    before = [] if document is None else orjson.loads(document)
    if not isinstance(before, list):
        raise InvalidConfigurationError(f"upsert.{kind}", "not a list in the current configuration")
    merged = _merged(_by_name(before), items.remove, _by_name(items.upsert))
    return encode_value(list(merged.values()), f"upsert.{kind}")


def _by_name(items: Iterable[Any]) -> dict[str, Any]:
    return {item["name"]: item for item in items if isinstance(item, dict) and "name" in item}
