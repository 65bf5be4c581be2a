"""Nodes without replicas find the control nodes that know, whatever those that know nothing announce."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from granitewell.controlplane.ownership.processes import ANNOUNCEMENT_INTERVAL_S
from granitewell.controlplane.publication.publisher import EDGE_TTL_S
from granitewell.coordination.rendezvous import rank
from granitewell.nodes.control_gateway import LONG_POLL_HOLD_S
from tests.coordination import virtual_loop
from tests.coordination.cluster import until
from tests.nodes.control_world import CoreMachine, GatewayMachine, World, rpc_address, virtual_clocks

CATCH_UP_S = 4.0
"""After this time since its start a new machine no longer counts as lost (`catch-up-s`)."""

CONTACT_S = 3.0
"""After this time in contact an edge is expected to be up to date (`contact-ms`)."""

COUNTS_EXPIRE_S = EDGE_TTL_S + 2 * ANNOUNCEMENT_INTERVAL_S
"""After this time counts of edges are those of edges that run, as all control nodes report them."""

GATEWAYS_DOWN_S = 0.5
SEEDS_READ_S = 3.0
MAX_POLLS_PER_S = 10.0
"""A gateway polls at most each 0.2 s, or has a poll held; twice that."""

NEW_CORE = 4
GATEWAY_NUMBERS = (1, 2, 3)


def play(scenario: Callable[[World], Coroutine[Any, Any, None]], seed: int) -> None:
    """Run a scenario on virtual time, in a world of its own."""

    async def main() -> None:
        world = World(seed)
        try:
            await scenario(world)
        finally:
            await world.stop()

    with virtual_clocks():
        virtual_loop.run(main())


def name_that_asks(number: int, first: str) -> str:
    """Return a name with which a gateway polls another gateway first and one address before all others."""
    own = f"10.0.1.{number}"
    gateways = [rpc_address(f"10.0.1.{other}") for other in GATEWAY_NUMBERS if other != number]
    cores = [rpc_address(f"10.0.0.{core}") for core in (1, 2, 3)]
    for attempt in range(100_000):
        name = f"{own}-{attempt}"
        order = rank(name, [*gateways, *cores, first])
        if order[0] in gateways and order[1] == first:
            return name
    raise AssertionError("no such name")


def poll_only(gateway: GatewayMachine, address: str) -> None:
    """Let a gateway's next poll go to one node."""
    while gateway.gateway.nodes.current != address:
        gateway.gateway.nodes.failed()


async def begin(
    world: World, gateway_name: Callable[[int], str]
) -> tuple[list[CoreMachine], list[GatewayMachine]]:
    """Start three control nodes and three gateways, acknowledge a change, and make the gateways the seeds."""
    cores = [world.add_core(number, first=True) for number in (1, 2, 3)]
    gateways = [world.add_gateway(number, gateway_name(number)) for number in GATEWAY_NUMBERS]
    for machine in (*cores, *gateways):
        machine.set_seeds([core.host for core in cores])
        await machine.start()
    await world.change(5, 0, within_s=10)
    for machine in (*cores, *gateways):
        machine.set_seeds([gateway.host for gateway in gateways])
    await asyncio.sleep(SEEDS_READ_S)
    return cores, gateways


async def replace_a_core(
    world: World, cores: list[CoreMachine], gateways: list[GatewayMachine]
) -> CoreMachine:
    """Lose one control node for good, and start an empty one whose seeds are the gateways."""
    await cores[2].kill()
    world.remove(cores[2])
    new = world.add_core(NEW_CORE)
    new.set_seeds([gateway.host for gateway in gateways])
    await new.start()
    return new


async def restart(gateways: list[GatewayMachine]) -> None:
    """Kill gateways, and start them again after a moment."""
    for gateway in gateways:
        await gateway.kill()
    await asyncio.sleep(GATEWAYS_DOWN_S)
    for gateway in gateways:
        await gateway.start()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("chosen_names", [True, False])
def test_a_new_control_node_joins_through_gateways_that_have_just_started(
    seed: int, chosen_names: bool
) -> None:
    """Gateways took the new node for one that knows, and confirmed it to each other: it never joined."""

    async def scenario(world: World) -> None:
        new_address = rpc_address(f"10.0.0.{NEW_CORE}")
        name = name_that_asks if chosen_names else lambda number, _: f"gateway-{number}-{seed}"
        cores, gateways = await begin(world, lambda number: name(number, new_address))
        started_at = asyncio.get_running_loop().time()
        new = await replace_a_core(world, cores, gateways)
        await restart(gateways)
        left_s = started_at + CATCH_UP_S - asyncio.get_running_loop().time()
        await until(lambda: new.is_voter, left_s)
        for gateway in gateways:
            lived_s = CATCH_UP_S - GATEWAYS_DOWN_S
            assert gateway.polls < MAX_POLLS_PER_S * lived_s
            assert gateway.gateway.current() in [core.address for core in (*cores[:2], new)]

    play(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_what_was_acknowledged_outlives_a_lost_disk_after_a_replacement(seed: int) -> None:
    """As the new node had never joined, the next lost disk ended the group, and nothing could be read."""

    async def scenario(world: World) -> None:
        new_address = rpc_address(f"10.0.0.{NEW_CORE}")
        cores, gateways = await begin(world, lambda number: name_that_asks(number, new_address))
        new = await replace_a_core(world, cores, gateways)
        await restart(gateways)
        await asyncio.sleep(CATCH_UP_S)
        await world.change(7, 5, within_s=5)
        await cores[0].kill()
        cores[0].wipe()
        await asyncio.sleep(SEEDS_READ_S)
        cores[0].set_seeds([gateway.host for gateway in gateways])
        await cores[0].start()
        await until(lambda: world.leader() is not None, CONTACT_S)
        leader = world.leader()
        assert leader is not None and leader.store.version == 7
        await until(lambda: cores[0].is_voter, CATCH_UP_S)
        assert new.is_voter

    play(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_gateways_leave_a_control_node_that_is_cut_off_from_the_others(seed: int) -> None:
    """It named the members, so gateways stayed with it, and it dropped each join that they passed on."""

    async def scenario(world: World) -> None:
        cores, gateways = await begin(world, lambda number: f"gateway-{number}")
        cut_off, *others = cores
        for gateway in gateways:
            poll_only(gateway, cut_off.address)
        await asyncio.sleep(2 * LONG_POLL_HOLD_S)
        assert all(gateway.gateway.current() == cut_off.address for gateway in gateways)
        world.cut |= {(cut_off.host, other.host) for other in others}
        world.cut |= {(other.host, cut_off.host) for other in others}
        await asyncio.sleep(CONTACT_S)
        assert all(gateway.gateway.current() in [other.address for other in others] for gateway in gateways)
        new = world.add_core(NEW_CORE)
        new.set_seeds([gateway.host for gateway in gateways])
        await new.start()
        await until(lambda: new.is_voter, CATCH_UP_S)

    play(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_a_control_node_without_a_vote_knows_how_many_edges_there_are(seed: int) -> None:
    """It was told nothing by the others, so an edge that polled it opened all edges' connections."""

    async def scenario(world: World) -> None:
        cores, gateways = await begin(world, lambda number: f"gateway-{number}")
        spare = world.add_core(NEW_CORE)
        spare.set_seeds([gateway.host for gateway in gateways])
        await spare.start()
        edges = [world.add_edge(number) for number in range(1, 5)]
        for edge in edges:
            edge.set_seeds([core.host for core in cores])
            await edge.start()
        await asyncio.sleep(CONTACT_S)
        edges[0].watch.nodes.add_seed(spare.address)
        while edges[0].watch.nodes.current != spare.address:
            edges[0].watch.nodes.failed()
        await asyncio.sleep(COUNTS_EXPIRE_S)
        assert edges[0].watch.nodes.current == spare.address and not spare.is_voter
        assert [edge.plane.edges for edge in edges] == [len(edges)] * len(edges)

    play(scenario, seed)
