"""Invalid configurations and the field that the error names, and unusual configurations that are valid."""

from __future__ import annotations

import tracemalloc
from typing import Any

import orjson
import pytest

from granitewell.controlplane.configuration.store import Change, ConfigurationStore, Operation, Outcome
from tests.controlplane.test_configuration_examples import (
    Json,
    engine,
    outcomes,
    patch,
    patch_change,
    put_change,
    route,
    service,
    split_route,
    store_of,
    whole,
)

ENGINE_WITH_A_WRONG_MODEL = engine() | {"models": [{"name": "m1"}, {"name": "m2", "weights-mb": "many"}]}

INVALID_WHOLES: list[tuple[str, Any]] = [
    ("body", [1]),
    ("body", None),
    ("version", {name: value for name, value in whole(1).items() if name != "version"}),
    ("version", whole(0)),
    ("version", whole(-3)),
    ("version", whole(True)),
    ("version", whole("7")),
    ("version", whole(7.0)),
    ("version", whole(None)),
    ("version", whole(2**63)),
    ("routes", {"version": 1, "services": []}),
    ("services", {"version": 1, "routes": []}),
    ("routes", whole(1, routes={"a": route("a")})),
    ("routes", whole(1, routes=None)),
    ("services", whole(1, services="one")),
    ("routes[1]", whole(1, route("a")) | {"routes": [route("a"), "b"]}),
    ("routes[0].name", whole(1, route("a") | {"name": 5})),
    ("routes[0].host", whole(1, route("a", host=None))),
    ("routes[0].prefix", whole(1, route("a", prefix=["/a/"]))),
    ("routes[0].kind", whole(1, route("a", kind="sometimes"))),
    ("routes[0].priority", whole(1, route("a", priority=1.5))),
    ("routes[0].priority", whole(1, route("a", priority="1"))),
    ("routes[0].max-attempts", whole(1, route("a", max_attempts=True))),
    ("routes[0].sticky", whole(1, route("a", sticky=1))),
    ("routes[0].timeout-ms", whole(1, route("a", timeout_ms="500"))),
    ("routes[1].timeout-ms", whole(1, route("a"), route("b", timeout_ms=0))),
    ("routes[1].timeout-ms", whole(1, route("a"), route("b", timeout_ms=-1))),
    ("routes[0].timeout-ms", whole(1, {n: v for n, v in route("a").items() if n != "timeout-ms"})),
    ("routes[0].service", whole(1, {n: v for n, v in route("a").items() if n != "service"})),
    ("routes[0].service", whole(1, route("a", service=["one"]))),
    ("routes[1].service", whole(1, route("a"), route("b", service="three"))),
    ("routes[1].name", whole(1, route("a"), route("a", prefix="/other/"))),
    ("routes[2].prefix", whole(1, route("a"), route("b"), route("c", prefix="/a/"))),
    ("routes[1].prefix", whole(1, route("a"), route("b", prefix="/a/", host="SHOP.example"))),
    ("routes[0].weighted-services", whole(1, split_route("a", ("one", 0), ("two", 0.0)))),
    ("routes[0].weighted-services", whole(1, route("a", weighted_services="one"))),
    (
        "routes[0].weighted-services[1]",
        whole(1, route("a", weighted_services=[{"service": "one", "weight": 1}, 5])),
    ),
    ("routes[0].weighted-services[1].weight", whole(1, split_route("a", ("one", 9), ("two", -1)))),
    ("routes[0].weighted-services[0].weight", whole(1, route("a", weighted_services=[{"service": "one"}]))),
    ("routes[0].weighted-services[1].service", whole(1, split_route("a", ("one", 1), ("three", 1)))),
    ("services[1].name", whole(1, services=[service("one"), service("one")])),
    ("services[0].max-connections", whole(1, services=[service("one", max_connections="9")])),
    ("services[0].engine", whole(1, services=[service("one", engine=5)])),
    ("services[0].engine.slots", whole(1, services=[service("one", engine=engine() | {"slots": None})])),
    (
        "services[0].engine.models[1].weights-mb",
        whole(1, services=[service("one", engine=ENGINE_WITH_A_WRONG_MODEL)]),
    ),
    ("limits", whole(1, limits=[])),
    ("limits.max-body-bytes", whole(1, limits={"max-body-bytes": "1"})),
]


@pytest.mark.parametrize(("field", "document"), INVALID_WHOLES)
def test_an_invalid_whole_names_its_field(field: str, document: Any) -> None:
    store = ConfigurationStore()
    result = store.check(put_change(0, document))
    assert result is not None and result.outcome is Outcome.INVALID
    assert result.error is not None and result.error.field == field
    assert store.apply(1, put_change(0, document).encode()).outcome is Outcome.INVALID
    assert store.configuration is None


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b'{"version":1',
        b"\xff\xfe{}",
        b"null",
        b'{"version":NaN}',
        orjson.dumps(whole(1))[:-1],
        orjson.dumps(whole(1)) + b"}",
        b'{"version":1,"routes":[],"services":[],"deep":' + b"[" * 300 + b"]" * 300 + b"}",
        b'{"version":1,"routes":[],"services":[],"deep":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
@pytest.mark.parametrize("operation", list(Operation))
def test_an_unreadable_body_is_invalid(body: bytes, operation: Operation) -> None:
    store = ConfigurationStore()
    assert store.apply(1, Change(operation, 0, body).encode()).outcome is Outcome.INVALID
    assert store.version == 0


def test_a_body_cut_anywhere_is_invalid() -> None:
    body = orjson.dumps(whole(3, route("a")))
    for length in range(len(body)):
        result = ConfigurationStore().check(Change(Operation.PUT, 0, body[:length]))
        assert result is not None and result.outcome is Outcome.INVALID


def test_nan_is_not_a_weight() -> None:
    body = orjson.dumps(whole(1, split_route("a", ("one", 7)))).replace(b'"weight":7', b'"weight":NaN')
    result = ConfigurationStore().check(Change(Operation.PUT, 0, body))
    assert result is not None and result.outcome is Outcome.INVALID


INVALID_PATCHES: list[tuple[str, Any]] = [
    ("version", patch(5)),
    ("version", patch(4)),
    ("version", {"upsert": {"routes": [route("c")]}}),
    ("routes", patch(9, routes=[route("c")])),
    ("upsert", patch(9, upsert=[])),
    ("remove", patch(9, remove="a")),
    ("upsert.routes", patch(9, {"routes": {"c": route("c")}})),
    ("upsert.routes[0]", patch(9, {"routes": ["c"]})),
    ("upsert.routes[0].timeout-ms", patch(9, {"routes": [route("a", timeout_ms=0)]})),
    ("upsert.routes[1].timeout-ms", patch(9, {"routes": [route("c"), route("d", timeout_ms=0)]})),
    ("upsert.routes[1].name", patch(9, {"routes": [route("c"), route("c")]})),
    ("upsert.routes[0].service", patch(9, {"routes": [route("c", service="three")]})),
    ("upsert.routes[0].service", patch(9, {"routes": [route("a", service="two")]}, {"services": ["two"]})),
    ("upsert.routes[0].prefix", patch(9, {"routes": [route("c", prefix="/a/")]})),
    ("upsert.routes[0].prefix", patch(9, {"routes": [route("c", prefix="/a/", host="Shop.Example")]})),
    ("upsert.routes[0].prefix", patch(9, {"routes": [route("a", prefix="/b/")]})),
    ("upsert.routes[1].prefix", patch(9, {"routes": [route("c", prefix="/x/"), route("d", prefix="/x/")]})),
    ("upsert.routes[0].weighted-services", patch(9, {"routes": [split_route("a", ("one", 0))]})),
    ("upsert.services[0].tls", patch(9, {"services": [service("three", tls="no")]})),
    ("remove.routes", patch(9, remove={"routes": "a"})),
    ("remove.routes[1]", patch(9, remove={"routes": ["a", 5]})),
    ("remove.services", patch(9, remove={"services": ["two"]})),
    ("limits.idle-timeout-ms", patch(9, limits={"idle-timeout-ms": "1"})),
    ("limits.idle-timeout-ms", patch(9, {"limits": {"idle-timeout-ms": []}})),
    ("upsert.pools[0].name", patch(9, {"pools": [{}]})),
]


@pytest.mark.parametrize(("field", "document"), INVALID_PATCHES)
def test_an_invalid_patch_names_its_field_and_changes_nothing(field: str, document: Any) -> None:
    store = store_of(put_change(0, whole(5)))
    before = store.document()
    result = store.apply(2, patch_change(5, document).encode())
    assert result.outcome is Outcome.INVALID and result.version == 5
    assert result.error is not None and result.error.field == field
    assert store.document() == before


def test_a_service_of_a_split_route_must_stay() -> None:
    store = store_of(put_change(0, whole(5, split_route("s", ("one", 1), ("two", 1)))))
    assert outcomes(store, patch_change(5, patch(9, remove={"services": ["two"]}))) == [Outcome.INVALID]
    unsplit = patch(9, {"routes": [route("s")]}, {"services": ["two"]})
    assert outcomes(store, patch_change(5, unsplit)) == [Outcome.ACCEPTED]


def test_a_version_must_rise_for_a_whole_too() -> None:
    store = store_of(put_change(0, whole(5)))
    same, lower = put_change(5, whole(5, owner="x")), put_change(5, whole(4))
    assert outcomes(store, same, lower) == [Outcome.INVALID, Outcome.INVALID]
    assert outcomes(store, put_change(5, whole(6))) == [Outcome.ACCEPTED]


VALID_WHOLES: list[Json] = [
    whole(2**63 - 1),
    {"version": 1, "routes": [], "services": []},
    whole(1, limits=None),
    whole(1, route("a", timeout_ms=0.001, target_ms=0, priority=0, max_attempts=0, prefix="") | {"name": ""}),
    whole(1, route("a"), route("b", prefix="/a/", host="other.example"), route("c", prefix="/a/c/")),
    whole(1, route("a", service=None, weighted_services=[{"service": "one", "weight": 0.5}])),
    whole(1, route("a", weighted_services=[])),
    whole(1, route("a", weighted_services=None)),
    whole(1, split_route("a", ("one", 0), ("two", 3), ("two", 2))),
    whole(1, route("a", max_attempts=2.0)),
    whole(
        1,
        {"name": "a", "host": "h", "prefix": "/", "kind": "streaming", "timeout-ms": 1, "service": "one"},
    ),
    whole(1, services=[{"name": "one"}, {"name": "two", "engine": None}, service("three", engine={})]),
    whole(1, services=[service("one"), service("two")], limits={}),
    whole(1, routes=[], labels={"a": 1}),
]


@pytest.mark.parametrize("document", VALID_WHOLES)
def test_unusual_configurations_are_accepted(document: Json) -> None:
    store = store_of(put_change(0, document))
    sent = {name: value for name, value in document.items() if value is not None}
    assert orjson.loads(store.document()) == sent


VALID_PATCHES: list[Json] = [
    patch(9),
    patch(9, {}, {}),
    patch(9, {"routes": None}, {"routes": None, "services": None}),
    patch(9, remove={"routes": ["not-there"], "services": ["not-there", "not-there"]}),
    patch(9, {"routes": [route("c", prefix="/a/")]}, {"routes": ["a"]}),
    patch(9, {"routes": [route("a", prefix="/b/"), route("b", prefix="/a/")]}),
    patch(9, {"routes": [route("b", service="one")]}, {"services": ["two"]}),
    patch(9, remove={"routes": ["b"], "services": ["two"]}),
    patch(9, {"services": [service("three")], "routes": [route("c", service="three")]}),
    patch(9, {"routes": [route("a", prefix="/new/")]}, {"routes": ["a"]}),
    patch(9, {"services": [service("two", tls=True)]}, {"services": ["two"]}),
]


@pytest.mark.parametrize("document", VALID_PATCHES)
def test_unusual_patches_are_accepted(document: Json) -> None:
    store = store_of(put_change(0, whole(5)), patch_change(5, document))
    assert store.version == 9


def test_a_patch_replaces_by_name_in_place_and_adds_at_the_end() -> None:
    store = store_of(
        put_change(0, whole(5)),
        patch_change(5, patch(9, {"routes": [route("c"), route("a", priority=7)]}, {"routes": ["b"]})),
    )
    assert orjson.loads(store.document())["routes"] == [route("a", priority=7), route("c")]
    assert store.configuration is not None and list(store.configuration.routes) == ["a", "c"]


def test_a_prefix_is_free_again_once_its_route_is_removed() -> None:
    store = store_of(put_change(0, whole(5)), patch_change(5, patch(6, remove={"routes": ["a"]})))
    again = patch_change(6, patch(7, {"routes": [route("z", prefix="/a/")]}))
    assert outcomes(store, again) == [Outcome.ACCEPTED]
    clash = patch_change(7, patch(8, {"routes": [route("y", prefix="/a/")]}))
    assert outcomes(store, clash) == [Outcome.INVALID]


def test_limits_stay_or_are_altered_one_by_one() -> None:
    store = store_of(put_change(0, whole(5)), patch_change(5, patch(6, {"routes": [route("c")]})))
    assert store.configuration is not None and store.configuration.limits.max_header_bytes == 1000
    assert outcomes(store, patch_change(6, patch(7, limits={"max-header-bytes": 5}))) == [Outcome.ACCEPTED]
    assert outcomes(store, patch_change(7, patch(8, {"limits": {"idle-timeout-ms": 9}}))) == [
        Outcome.ACCEPTED
    ]
    assert orjson.loads(store.document())["limits"] == {
        "max-header-bytes": 5,
        "max-body-bytes": 2000,
        "idle-timeout-ms": 9,
    }
    assert store.configuration.limits.idle_timeout_ms == 9


def test_unknown_fields_and_kinds_of_items_are_kept() -> None:
    store = store_of(
        put_change(0, whole(5, pools=[{"name": "p", "x": 1}, {"name": "q"}], owner="me")),
        patch_change(
            5, patch(6, {"pools": [{"name": "p", "x": 2}], "sets": [{"name": "s"}]}, {"pools": ["q"]})
        ),
        patch_change(6, patch(7, owner="you", tag=5)),
    )
    document = orjson.loads(store.document())
    assert document["pools"] == [{"name": "p", "x": 2}] and document["sets"] == [{"name": "s"}]
    assert (document["owner"], document["tag"]) == ("you", 5)


def test_a_configuration_takes_little_memory() -> None:
    """A route takes about 1 KB, not the 4 KB of a result of orjson that is kept without a copy."""
    body = put_change(0, whole(5, *(route(f"r{number}") for number in range(1_000))))
    tracemalloc.start()
    store = store_of(body)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert store.version == 5 and held < 1_000 * 2_500


def test_a_changed_item_is_read_again_and_an_unchanged_one_is_shared() -> None:
    store = store_of(put_change(0, whole(5)))
    assert store.configuration is not None
    before = store.configuration.routes
    changed = put_change(5, whole(6, route("a"), route("b", service="two", timeout_ms=9)))
    assert outcomes(store, changed) == [Outcome.ACCEPTED]
    after = store.configuration.routes
    assert after["a"] is before["a"]
    assert after["b"].timeout_ms == 9
    assert store.configuration.version == 6
