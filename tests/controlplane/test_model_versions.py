"""Versions of weights: which copies are outdated, and how they are replaced one after the other."""

from __future__ import annotations

from dataclasses import replace

import pytest

from granitewell.controlplane.placement.demand import DemandView, RefDemand
from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.controlplane.placement.planner import plan
from granitewell.controlplane.placement.versions import ModelVersions
from granitewell.controlplane.placement.views import ServerView
from granitewell.domain.servers import LoadedModel, ModelRef, Server
from granitewell.rpc.translation import server_from_message, server_to_message
from tests.controlplane.test_placement_fleet import Fleet, tiny_fleet
from tests.controlplane.test_placement_planner import ENGINE, SIZES, STORE, server

M = ModelRef("m0")
BUSY = RefDemand(3.0, 0.0, 2, 0, 0.0, 1)  # two copies are desired
OLD, NEW = LoadedModel("m0", version=1), LoadedModel("m0", version=2)


# Which copies are outdated


def versions_of(*seen: tuple[float, LoadedModel]) -> ModelVersions:
    made = ModelVersions()
    made.set_models(["m0"])
    for at, model in seen:
        made.seen(at, [model])
    return made


def test_a_copy_is_outdated_once_another_server_has_a_newer_version() -> None:
    assert not versions_of((1.0, OLD)).outdated({"m0": OLD}, {})
    newer = versions_of((1.0, OLD), (2.0, NEW))
    assert newer.outdated({"m0": OLD}, {}) == {"m0"}
    assert not newer.outdated({"m0": NEW}, {})


def test_a_version_that_goes_down_makes_nothing_newer() -> None:
    assert versions_of((1.0, NEW), (2.0, OLD)).outdated({"m0": OLD}, {}) == {"m0"}
    assert not versions_of((1.0, NEW), (2.0, OLD)).outdated({"m0": NEW}, {})


def test_a_copy_loaded_after_the_newer_version_was_seen_is_not_loaded_again() -> None:
    """A server that reports a version which no load brings must not make all others reload forever."""
    newer = versions_of((1.0, OLD), (2.0, NEW))
    assert newer.outdated({"m0": OLD}, {"m0": 1.9}) == {"m0"}
    assert not newer.outdated({"m0": OLD}, {"m0": 2.0})


def test_unknown_versions_and_models_are_never_outdated_and_take_no_memory() -> None:
    made = versions_of((1.0, LoadedModel("m0")), (1.0, LoadedModel("odd", version=7)), (2.0, NEW))
    assert not made.outdated({"m0": LoadedModel("m0"), "odd": LoadedModel("odd", version=1)}, {})
    made.set_models(["m1"])
    assert not made.outdated({"m0": OLD}, {})


def test_a_version_goes_to_the_edges_and_an_unknown_one_takes_no_bytes() -> None:
    fleet = tiny_fleet(("m0",))
    fleet.start()
    (entry,) = fleet.listed()

    whole = Server(
        entry.id, "llm", entry.address, entry.zone, 4, entry.state, -1, {"m0": NEW, "m1": LoadedModel("m1")}
    )
    message = server_to_message(whole)
    assert server_from_message(message) == whole
    assert [model.version for model in message.models] == [2, None]


# Planner


def copy(number: int, model: LoadedModel, *, outdated: bool = False, **more: bool) -> ServerView:
    return replace(server(number, model, **more), outdated=frozenset({"m0"} if outdated else ()))  # type: ignore[arg-type]


def planned(*servers: ServerView, demand: RefDemand = BUSY) -> list[Order]:
    return plan(servers, DemandView({"m0": demand}, {}, 0.0, 100.0), ENGINE, SIZES, STORE)


def test_a_further_copy_is_loaded_before_an_outdated_one_is_unloaded() -> None:
    older = [copy(2, OLD, outdated=True), copy(3, OLD, outdated=True)]
    (order,) = planned(copy(1, NEW), older[0], server(4))
    assert (order.server_id, order.operation, order.ref) == ("i-4", Operation.LOAD, M)
    assert planned(copy(1, NEW), *older, server(4)) == [Order("i-2", Operation.UNLOAD, M)]


def test_where_no_server_can_take_a_further_copy_an_outdated_one_is_unloaded_to_be_loaded_again() -> None:
    assert planned(copy(1, NEW), copy(2, OLD, outdated=True)) == [Order("i-2", Operation.UNLOAD, M, M)]


def test_no_second_copy_goes_while_one_comes_or_goes() -> None:
    current, older = copy(1, NEW), copy(2, OLD, outdated=True)
    loading = replace(server(3, loading=M), outdated=frozenset())
    unloading = replace(server(3, OLD, unloading=M), outdated=frozenset({"m0"}))
    assert planned(current, older, loading) == []
    assert planned(current, older, unloading) == []


def test_without_a_current_copy_a_further_one_is_loaded_first() -> None:
    older = [copy(1, OLD, outdated=True), copy(2, OLD, outdated=True)]
    (order,) = planned(*older, server(3))
    assert (order.server_id, order.operation, order.ref) == ("i-3", Operation.LOAD, M)


def test_a_copy_that_nobody_asks_for_stays() -> None:
    idle = RefDemand(0.0, 0.0, 0, 0, 0.0, 5)
    assert planned(copy(1, NEW), copy(2, OLD, outdated=True), demand=idle) == []


# Reconciler


def roll_out(servers: int, *, wrong_version: bool = False) -> tuple[Fleet, list[int]]:
    """Play a new version of the weights that the first server has; return the number of copies over time."""
    fleet = tiny_fleet(*[("m0", f"m{number + 1}") for number in range(servers)])
    for one in fleet.servers.values():
        one.versions["m0"] = 1
        one.hold(fleet.now)
    fleet.start()
    fleet.poisson(6.0, 40.0, lambda: fleet.ask(M, 5.0, 0.2, 1))
    fleet.run(3.0)
    first = next(iter(fleet.servers.values()))
    first.versions["m0"] = 9 if wrong_version else 2
    first.note(fleet.now)
    fleet.newest["m0"] = 1 if wrong_version else 2
    ready: list[int] = []

    def count() -> None:
        ready.append(sum("m0" in one.held for one in fleet.servers.values()))
        fleet.after(0.02, count)

    count()
    fleet.run(30.0)
    return fleet, ready


@pytest.mark.parametrize("servers", [2, 3, 5])
def test_all_copies_in_demand_get_the_new_version_and_one_is_always_ready(servers: int) -> None:
    fleet, ready = roll_out(servers)
    versions = {one.versions["m0"] for one in fleet.servers.values() if "m0" in one.held}
    assert versions == {2}
    assert min(ready) >= min(servers - 1, 2)  # two are desired
    assert not fleet.observed.given_up and not fleet.observed.over_limit


def test_a_server_with_a_wrong_version_costs_one_load_per_copy() -> None:
    fleet, _ = roll_out(3, wrong_version=True)
    unloads = [ref for _, _, ref in fleet.observed.unloads if ref == M]
    assert 1 <= len(unloads) <= 2
    assert not fleet.observed.given_up
