"""Small configurations shared by the tests of this package, and tests that they are valid."""

from __future__ import annotations

from typing import Any

import orjson

from granitewell.controlplane.configuration.store import (
    Change,
    ChangeResult,
    ConfigurationStore,
    Operation,
    Outcome,
)
from granitewell.domain.configuration import Limits, RouteKind, WeightedService

Json = dict[str, Any]


def route(name: str, **fields: Any) -> Json:
    """Return a route of service `one`; keyword names have underscores in place of the wire's dashes."""
    base: Json = {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout-ms": 500,
        "target-ms": 100,
        "priority": 3,
        "service": "one",
        "max-attempts": 2,
        "sticky": False,
        "resumable": False,
    }
    return base | {field.replace("_", "-"): value for field, value in fields.items()}


def split_route(name: str, *shares: tuple[str, float]) -> Json:
    """Return a route with several weighted services."""
    document = route(name)
    del document["service"]
    document["weighted-services"] = [{"service": service, "weight": weight} for service, weight in shares]
    return document


def service(name: str, **fields: Any) -> Json:
    """Return a service."""
    base: Json = {"name": name, "health-path": "/health", "max-connections": 20, "protocol": "h1"}
    return base | {field.replace("_", "-"): value for field, value in fields.items()}


def engine() -> Json:
    """Return the engine of a service that runs models."""
    return {
        "slots": 96,
        "kv-capacity": 122651,
        "stride": 2,
        "models": [
            {"name": "m1", "weights-mb": 16100.000000000002, "load-time-s": 0.95, "adapters": 3},
            {"name": "m2", "weights-mb": 34300.0, "load-time-s": 2, "adapters": 0, "adapter-mb": 40},
        ],
        "weights-mb": 83000.0,
        "max-adapters": 8,
        "loads-per-s": 4.2,
    }


def whole(version: Any, *listed: Json, **fields: Any) -> Json:
    """Return a complete configuration with services `one` and `two`."""
    base: Json = {
        "version": version,
        "routes": list(listed) or [route("a"), route("b", service="two")],
        "services": [service("one", engine=engine()), service("two")],
        "limits": {"max-header-bytes": 1000, "max-body-bytes": 2000},
    }
    return base | fields


def patch(version: Any, upsert: Any = None, remove: Any = None, **fields: Any) -> Json:
    """Return the body of a PATCH."""
    parts = {"version": version, "upsert": upsert, "remove": remove}
    return {name: value for name, value in parts.items() if value is not None} | fields


def put_change(base_version: int, document: Any) -> Change:
    """Return a PUT change."""
    return Change(Operation.PUT, base_version, orjson.dumps(document))


def patch_change(base_version: int, document: Any) -> Change:
    """Return a PATCH change."""
    return Change(Operation.PATCH, base_version, orjson.dumps(document))


def applied(store: ConfigurationStore, *changes: Change) -> list[ChangeResult]:
    """Check and apply changes one after the other; the check must agree with the result of applying."""
    results = []
    for change in changes:
        told = store.check(change)
        result = store.apply(0, change.encode())
        if told is None:
            assert result.outcome is Outcome.ACCEPTED
        else:
            assert (told.outcome, told.version) == (result.outcome, result.version)
        results.append(result)
    return results


def outcomes(store: ConfigurationStore, *changes: Change) -> list[Outcome]:
    """Return the outcomes of changes."""
    return [result.outcome for result in applied(store, *changes)]


def store_of(*changes: Change) -> ConfigurationStore:
    """Return a store that has accepted these changes."""
    store = ConfigurationStore()
    assert set(outcomes(store, *changes)) <= {Outcome.ACCEPTED}
    return store


def test_a_whole_configuration_is_read_into_types() -> None:
    plain = route("a", kind="streaming", timeout_ms=1.5)
    split = split_route("s", ("one", 9), ("two", 1))
    store = store_of(put_change(0, whole(7, plain, split)))
    configuration = store.configuration
    assert configuration is not None and configuration.version == 7
    assert configuration.routes["a"].kind is RouteKind.STREAMING
    assert configuration.routes["a"].timeout_ms == 1.5
    assert configuration.routes["a"].services == (WeightedService("one", 1.0),)
    assert configuration.routes["s"].services == (WeightedService("one", 9.0), WeightedService("two", 1.0))
    models = configuration.services["one"].engine
    assert models is not None and [model.name for model in models.models] == ["m1", "m2"]
    assert configuration.services["two"].engine is None
    assert configuration.limits == Limits(max_header_bytes=1000, max_body_bytes=2000)


def test_the_document_is_what_was_sent() -> None:
    sent = whole(7, route("a", note={"x": [1, 2.5, None]}), route("b"), owner="team ü", more=[])
    assert orjson.loads(store_of(put_change(0, sent)).document()) == sent
