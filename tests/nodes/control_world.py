"""Control nodes, gateways and edges on virtual time, with kills, lost disks, cut links and changed seeds.

Replica groups with their log and codec, the handlers of control nodes, the publisher, the gateway and the
edge's watch are the real ones. Sockets, disks and time are simulated.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.store import ChangeResult, ConfigurationStore, Outcome
from granitewell.controlplane.ownership.owner import Claimant
from granitewell.controlplane.publication.publisher import EdgeCounter, Publisher
from granitewell.controlplane.publication.table import ServerTable
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import NodeIdentity, first_replica_id
from granitewell.domain.errors import (
    NotLeaderError,
    PeerUnreachableError,
    ProposalLostError,
    RpcError,
    RpcTimeoutError,
)
from granitewell.domain.settings import Settings
from granitewell.nodes import control_messages
from granitewell.nodes.control_gateway import ControlGateway
from granitewell.nodes.control_messages import ControlMessages
from granitewell.nodes.control_watch import ControlWatch
from granitewell.nodes.layout import CONFIGURATION_GROUP
from granitewell.rpc.messages import GroupMessage, encode
from granitewell.rpc.transport import Handler, Method
from tests.coordination.simulated_files import SimulatedFiles
from tests.coordination.virtual_loop import LoopExecutor

RPC_PORT = 7660
CONTROL_PORT = 8146
LATENCY_S = (0.0005, 0.003)
CONNECT_TIMEOUT_S = 0.4  # as rpc/transport.py
POLL_S = 0.01  # between two looks at a condition
CORES = 3


def rpc_address(host: str) -> str:
    """Return the internal address of a host."""
    return f"{host}:{RPC_PORT}"


@contextmanager
def virtual_clocks() -> Iterator[None]:
    """Let the handlers of control nodes read the virtual time of the running loop."""
    with pytest.MonkeyPatch.context() as patch:
        clock = SimpleNamespace(monotonic=lambda: asyncio.get_running_loop().time())
        patch.setattr(control_messages, "time", clock)
        yield


class Machine:
    """A host, with at most one process."""

    def __init__(self, world: World, host: str, name: str) -> None:
        self.world = world
        self.host = host
        self.name = name
        self.address = rpc_address(host)
        self.seeds: Sequence[str] = ()
        self.handlers: dict[int, Handler] = {}
        self.running = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def settings(self) -> Settings:
        """Return the settings of this machine."""
        fields = {
            "node-name": self.name,
            "ip": self.host,
            "zone": "z",
            "region": "r",
            "listen": {"control": f"{self.host}:{CONTROL_PORT}"},
            "internal-ports": [RPC_PORT, RPC_PORT + 15],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            "cloud": {"address": "10.0.9.9:80"},
        }
        return Settings.from_dict(fields)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in this machine's process."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        """Start the process."""
        self.running = True
        await self._start()

    async def kill(self) -> None:
        """End the process at once."""
        self.running = False
        self.handlers = {}
        for task in list(self._tasks):
            task.cancel()
        await self._killed()

    def set_seeds(self, hosts: Sequence[str]) -> None:
        """Change the seeds in the settings file; a running process takes them up."""
        self.seeds = tuple(hosts)
        if self.running:
            self._apply_seeds()

    async def _start(self) -> None:
        raise NotImplementedError

    async def _killed(self) -> None:
        """Clean up after the end of the process."""

    def _apply_seeds(self) -> None:
        raise NotImplementedError


class CoreMachine(Machine):
    """A machine with a disk, and a control node."""

    def __init__(self, world: World, host: str, name: str, *, first: bool) -> None:
        super().__init__(world, host, name)
        self._is_first = first
        self._replica_id = first_replica_id(self.address) if first else world.new_id()
        self.files = SimulatedFiles(world.rng)
        self.group: ReplicatedGroup

    def wipe(self) -> None:
        """Lose the disk, while the process is down."""
        assert not self.running
        self.files = SimulatedFiles(self.world.rng)
        self._is_first = False
        self._replica_id = self.world.new_id()

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self.peers = SimulatedPeers(self)
        self.store = ConfigurationStore()
        self._executor = LoopExecutor(loop)
        seeds = [rpc_address(seed) for seed in self.seeds]
        self.group = ReplicatedGroup(
            name=CONFIGURATION_GROUP,
            directory=Path("/data/configuration"),
            identity=NodeIdentity(self.name, self.address, self._replica_id),
            bootstrap=self._is_first,
            seeds=seeds,
            target_voters=CORES,
            machine=self.store,
            send=self._send_to_group,
            rng=self.world.rng,
            clock=loop.time,
            on_change=self._changed,
            executor=self._executor,
            files=self.files,
        )
        edges = EdgeCounter()
        tables: dict[int, ServerTable] = {}
        self.publisher = Publisher(
            self.store, tables, self.members, self.group.read_staleness_s, edges, loop.time
        )
        claimant = Claimant(self.name, self.address, self.world.new_id())
        groups = {CONFIGURATION_GROUP: self.group}
        messages = ControlMessages(
            claimant,
            self.peers,  # type: ignore[arg-type]
            groups,
            self.publisher,
            edges,
            {},
        )
        self.handlers = messages.handlers
        await self.group.start()
        self.spawn(messages.announce(self._announcement_targets, lambda: bool(self.members())))

    async def _killed(self) -> None:
        self._executor.dead = True
        await self.group.stop()
        self.files.restart(power=False)

    def _apply_seeds(self) -> None:
        self.group.set_seeds([rpc_address(seed) for seed in self.seeds])

    def members(self) -> list[str]:
        """Return the internal addresses of the members, as this node knows them."""
        return sorted({member.address for member in self.group.members})

    def _announcement_targets(self) -> list[str]:
        return sorted({*self.members(), *(rpc_address(seed) for seed in self.seeds)})

    def _send_to_group(self, address: str, group: str, payload: bytes) -> None:
        message = GroupMessage(group=group, sender_address=self.address, payload=payload)
        self.peers[address].send(Method.GROUP, encode(message))

    def _changed(self) -> None:
        if hasattr(self, "publisher"):
            self.publisher.changed()

    @property
    def is_voter(self) -> bool:
        """Whether this node runs and has a vote."""
        return self.running and self.group.is_voter


class GatewayMachine(Machine):
    """A machine without a disk, and a gateway."""

    polls = 0
    """Polls by this gateway since its start."""

    async def _start(self) -> None:
        self.polls = 0
        self.gateway = ControlGateway(self.settings(), asyncio.get_running_loop().time)
        self.gateway.peers = SimulatedPeers(self)  # type: ignore[assignment]
        self.handlers = self.gateway.handlers
        self.spawn(self.gateway.run())

    def _apply_seeds(self) -> None:
        self.gateway.apply_settings(self.settings())


class FakePlane:
    """Data plane that keeps the version of the configuration."""

    version = 0
    edges = 0

    def apply_configuration(self, configuration: Any) -> None:
        """Keep the version."""
        self.version = configuration.version

    def apply_servers(self, changed: Any, removed: Any) -> None:
        """Ignore servers."""

    def set_edges(self, alive: int, _max_edges: int) -> None:
        """Keep the number of edges."""
        self.edges = alive


class EdgeMachine(Machine):
    """A machine with an edge."""

    async def _start(self) -> None:
        self.plane = FakePlane()
        self.watch = ControlWatch(self.settings(), self.plane, asyncio.get_running_loop().time)  # type: ignore[arg-type]
        self.watch.peers = SimulatedPeers(self)  # type: ignore[assignment]
        self.spawn(self.watch.run())

    def _apply_seeds(self) -> None:
        self.watch.apply_settings(self.settings())


class SimulatedPeers:
    """RpcPeers of one process over the simulated network."""

    def __init__(self, sender: Machine) -> None:
        self._sender = sender

    def __getitem__(self, address: str) -> SimulatedPeer:
        """Return the client of a machine."""
        return SimulatedPeer(self._sender, address)


@dataclass(frozen=True)
class SimulatedPeer:
    """RpcClient of one machine over the simulated network."""

    sender: Machine
    address: str

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        """Make a call; raises RpcError as rpc/transport.py does."""
        if isinstance(self.sender, GatewayMachine):
            self.sender.polls += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, payload)
        except TimeoutError as error:
            raise RpcTimeoutError(self.address) from error

    async def _exchange(self, method: Method, payload: bytes) -> bytes:
        world = self.sender.world
        await world.latency()
        if not world.is_connected(self.sender.host, self.address):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnreachableError(self.address)
        target = world.machines.get(self.address)
        if target is None or not target.running:
            raise PeerUnreachableError(self.address)
        handler = target.handlers.get(method)
        if handler is None:
            raise RpcError(f"no method {method}")
        answering = target.spawn(_catch(handler(payload, self.sender.host)))
        try:
            reply = await answering
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            assert caller is not None
            if caller.cancelling():  # the caller has given up, or was killed
                answering.cancel()
                raise
            raise PeerUnreachableError(self.address) from None
        await world.latency()
        if not world.is_connected(self.address.partition(":")[0], rpc_address(self.sender.host)):
            await asyncio.get_running_loop().create_future()  # lost; the caller's timeout ends this
        if isinstance(reply, Exception):
            raise RpcError(f"{type(reply).__name__}: {reply}")
        return bytes(reply)

    def send(self, method: Method, payload: bytes) -> None:
        """Send a one-way message, which may be lost."""
        world = self.sender.world
        delay_s = world.rng.uniform(*LATENCY_S)
        asyncio.get_running_loop().call_later(delay_s, self._arrive, method, payload)

    def _arrive(self, method: Method, payload: bytes) -> None:
        world = self.sender.world
        target = world.machines.get(self.address)
        if target is None or not target.running or not world.is_connected(self.sender.host, self.address):
            return
        handler = target.handlers.get(method)
        if handler is not None:
            target.spawn(_catch(handler(payload, self.sender.host)))


async def _catch(work: Any) -> Any:
    """Return the result of a handler or its exception, as rpc/transport.py sends both."""
    try:
        return await work
    except Exception as error:
        return error


class World:
    """Machines and the network between them; deterministic by seed.

    Attributes:
        machines: Machines by internal address.
        cut: Pairs of hosts, sender first, between which nothing passes.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.machines: dict[str, Machine] = {}
        self.cut: set[tuple[str, str]] = set()

    def new_id(self) -> str:
        """Return a random id."""
        return f"{self.rng.getrandbits(64):016x}"

    def add_core(self, number: int, *, first: bool = False, name: str = "") -> CoreMachine:
        """Add a machine with a disk."""
        machine = CoreMachine(self, f"10.0.0.{number}", name or f"core-{number}", first=first)
        self.machines[machine.address] = machine
        return machine

    def add_gateway(self, number: int, name: str = "") -> GatewayMachine:
        """Add a machine with a gateway."""
        machine = GatewayMachine(self, f"10.0.1.{number}", name or f"gateway-{number}")
        self.machines[machine.address] = machine
        return machine

    def add_edge(self, number: int) -> EdgeMachine:
        """Add a machine with an edge."""
        machine = EdgeMachine(self, f"10.0.2.{number}", f"edge-{number}")
        self.machines[machine.address] = machine
        return machine

    def cores(self) -> list[CoreMachine]:
        """Return the machines with disks."""
        return [machine for machine in self.machines.values() if isinstance(machine, CoreMachine)]

    def gateways(self) -> list[GatewayMachine]:
        """Return the machines with gateways."""
        return [machine for machine in self.machines.values() if isinstance(machine, GatewayMachine)]

    def edges(self) -> list[EdgeMachine]:
        """Return the machines with edges."""
        return [machine for machine in self.machines.values() if isinstance(machine, EdgeMachine)]

    def remove(self, machine: Machine) -> None:
        """Take a machine away for good."""
        assert not machine.running
        del self.machines[machine.address]

    async def latency(self) -> None:
        """Wait as long as a message takes."""
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))

    def is_connected(self, sender_host: str, address: str) -> bool:
        """Return whether messages pass from a host to an address."""
        return (sender_host, address.partition(":")[0]) not in self.cut

    def leader(self) -> CoreMachine | None:
        """Return the holder of the lease."""
        return next((core for core in self.cores() if core.running and core.group.holds_lease()), None)

    async def change(self, version: int, base: int, within_s: float) -> None:
        """Have a configuration acknowledged; raises TimeoutError."""
        limits = {"idle-timeout-ms": 10_000 + version}
        body = json.dumps({"version": version, "routes": [], "services": [], "limits": limits}).encode()
        change = Change(Operation.PUT, base, body)
        async with asyncio.timeout(within_s):
            while not await self._propose(change):
                await asyncio.sleep(POLL_S)

    async def _propose(self, change: Change) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        try:
            result = await leader.group.propose(change.encode(), timeout_s=1.0)
        except (NotLeaderError, ProposalLostError):
            return False
        assert isinstance(result, ChangeResult), result
        return result.outcome in (Outcome.ACCEPTED, Outcome.REPEATED)

    async def stop(self) -> None:
        """End all processes."""
        for machine in self.machines.values():
            if machine.running:
                await machine.kill()
