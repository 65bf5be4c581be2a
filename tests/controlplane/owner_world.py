"""Simulation of control nodes that send orders to servers, with real replicas, ownership and placement.

On top of the simulated group (tests/coordination/world.py) each process runs the real `ShardOwnership` and
`PlacementController` on a loop of its own. The servers (owner_servers.py), the wire to them (owner_wire.py),
the platform's list and the edges are simulated; `OrderChecker` (owner_order_checker.py) checks all orders.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any, cast

from granitewell.controlplane.ownership.owner import Claimant, ShardOwnership, TakeoverRules
from granitewell.controlplane.ownership.processes import ANNOUNCEMENT_INTERVAL_S, KnownProcesses
from granitewell.controlplane.ownership.record import NO_OWNER, OwnerClaimed, OwnerRecord
from granitewell.controlplane.placement.controller import PlacementController
from granitewell.controlplane.placement.observation import ListedServer
from granitewell.coordination.consensus.ready import Ready
from granitewell.coordination.consensus.storage import state_records
from granitewell.coordination.consensus.types import EntryKind, StoredState
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from granitewell.domain.servers import ModelDemand, ModelRef, ServerState
from tests.controlplane.owner_order_checker import CONTACT_S, LEASE_S, FaultLog, FaultSpan, OrderChecker
from tests.controlplane.owner_servers import (
    ADAPTER_COUNT,
    BUSY,
    EDGES,
    ENGINE,
    MODELS,
    SERVER_COUNT,
    SERVICE,
    EngineServer,
)
from tests.controlplane.owner_wire import NETWORK_S, SimulatedClient, Wire
from tests.controlplane.process_loop import ProcessLoop
from tests.coordination.invariants import ViolationError
from tests.coordination.world import SETTINGS, Machine, Process, World

LEASE_POLL_S = 0.1  # between checks whether a node leads the shard's group
LIST_S = 0.5
LIST_LAG_S = 0.8
EDGE_REPORT_S = 1.0
URGENT_REPORT_S = 0.15  # between reports because a request has begun to wait


class LeasedReplica:
    """`LeasedGroup` of a simulated replica."""

    def __init__(self, process: OwnerProcess) -> None:
        self._process = process

    @property
    def term(self) -> int:
        """Term of the replica."""
        return self._process.replica.term

    def holds_lease(self) -> bool:
        """Return whether the replica leads, holds the lease, and has applied all committed entries."""
        process = self._process
        replica = process.replica
        return replica.holds_lease(process.now) and process.applied_index >= replica.commit_index

    def seconds_since_contact(self, address: str) -> float:
        """Return the seconds since the last message of a member."""
        return self._process.replica.seconds_since_contact(address, self._process.now)

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Commit a claim."""
        process = self._process
        position = process.replica.propose(data, process.now)
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        process.claims[position.index] = (position.term, future)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise ProposalLostError(f"no outcome in {timeout_s} s") from error


class OwnerProcess(Process):
    """A control process: a replica of the shard's group, ownership and placement."""

    def __init__(self, world: OwnerWorld, machine: Machine, state: StoredState, fresh: bool) -> None:
        self.owner_world = world
        self.record = OwnerRecord()
        self.claims: dict[int, tuple[int, asyncio.Future[object]]] = {}
        self.reported: set[str] = set()
        self.controller: PlacementController | None = None
        self.incarnation = f"{world.rng.getrandbits(64):016x}"
        self.group = LeasedReplica(self)
        super().__init__(world, machine, state, fresh)
        self.processes = KnownProcesses(lambda: self.now)
        self.loop = ProcessLoop(self)  # type: ignore[abstract]
        self.ownership = ShardOwnership(
            self.group,
            Claimant(machine.name, machine.address, self.incarnation),
            self.processes,
            TakeoverRules(LEASE_S, CONTACT_S, world.fencing),
            lambda: self.now,
        )
        self.loop.create_task(self._run_shard())
        self.loop.create_task(self._announce_incarnation())

    # The replicated record

    def _apply(self, ready: Ready) -> None:
        super()._apply(ready)
        owners = self.owner_world.owners
        if ready.restore is not None:
            self.record.owner = owners.get(ready.restore.index, NO_OWNER)
            self._lose_claims(ready.restore.index)
        for entry in ready.committed:
            result: object = None
            if entry.kind is EntryKind.DATA:
                result = self.record.apply(entry.index, entry.data)
            if owners.setdefault(entry.index, self.record.owner) != self.record.owner:
                raise ViolationError(f"two owners at {entry.index}")
            term, future = self.claims.pop(entry.index, (0, None))
            if future is None or future.done():
                continue
            if term == entry.term:
                future.set_result(result)
            else:
                future.set_exception(ProposalLostError("another leader's entry took its place"))

    def _lose_claims(self, up_to: int) -> None:
        for index in [index for index in self.claims if index <= up_to]:
            _, future = self.claims.pop(index)
            if not future.done():
                future.set_exception(ProposalLostError("its outcome is not known here"))

    # The shard's owner, as in granitewell.nodes

    async def _run_shard(self) -> None:
        while True:
            if not self.group.holds_lease():
                await asyncio.sleep(LEASE_POLL_S)
                continue
            try:
                await self.ownership.claim()
            except (NotLeaderError, ProposalLostError):
                await asyncio.sleep(LEASE_POLL_S)
                continue
            await self._own()

    async def _own(self) -> None:
        world = self.owner_world
        controller = PlacementController(
            SERVICE, self.ownership, cast(Any, None), Random(world.rng.random()), clock=lambda: self.now,
            client=SimulatedClient(self),
        )  # fmt: skip
        controller.set_engine(ENGINE, 1.0)
        controller.set_servers(world.listed())
        self.reported = set()
        self.controller = controller
        running = asyncio.create_task(controller.run())
        listed_at = self.now
        try:
            while self.ownership.owns():
                await asyncio.sleep(LEASE_POLL_S)
                if self.now - listed_at >= LIST_S:
                    listed_at = self.now
                    controller.set_servers(world.listed())
        finally:
            self.controller = None
            running.cancel()

    async def _announce_incarnation(self) -> None:
        await asyncio.sleep(0.3)
        while True:
            self.owner_world.announce_incarnation(self)
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    def add_demand(self, demands: list[ModelDemand], edge: str) -> None:
        """Handle the report of an edge."""
        if self.controller is not None:
            self.reported.add(edge)
            self.controller.add_demand(demands, edge)


class OwnerMachine(Machine):
    """A machine of the core."""

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.process is not None or self.gone:
            return
        state = self.disk.state()
        fresh = state is None
        if state is None:
            state = self._first_state()
            self.disk.synced = state_records(state)
        assert isinstance(self.world, OwnerWorld)
        self.process = OwnerProcess(self.world, self, state, fresh)
        self.world.all_processes.append(self.process)
        self.process.run(lambda: None)


def _nothing(_process: OwnerProcess) -> None:
    pass


class OwnerWorld(World):
    """Three control machines, servers, edges and the platform.

    Attributes:
        fencing: Whether servers check fencing tokens.
    """

    def __init__(self, seed: int, fencing: bool) -> None:
        super().__init__(seed, settings=replace(SETTINGS, compact_entries=12))
        self.fencing = fencing
        self.faults = FaultLog()
        self.order_checker = OrderChecker(self)
        self.wire = Wire(self)
        self.owners: dict[int, OwnerClaimed] = {}
        self.all_processes: list[OwnerProcess] = []
        self.freeze_before_send = 0.0
        self.on_order_sent: Callable[[OwnerProcess], None] = _nothing  # hook for faults at such a moment
        self.on_connecting: Callable[[OwnerProcess], None] = _nothing
        self._lists: deque[tuple[float, list[ListedServer]]] = deque(maxlen=16)
        self._events.clear()
        self.machines = [
            OwnerMachine(self, f"core-{number}", address, self.seeds, first=True)
            for number, address in enumerate(self.seeds)
        ]
        made = [EngineServer(self, number) for number in range(SERVER_COUNT)]
        self.servers = {server.address: server for server in made}
        for number, server in enumerate(made):
            server.hold(*(f"m{(2 * number + k) % 6}" for k in range(2)))
        for machine in self.machines:
            self.after(self.rng.uniform(0, 0.3), machine.start)
        for number, edge in enumerate(EDGES):
            self.after(number * 0.31, partial(self._report_demand, edge))
        self.after(1.0, self._report_urgent)
        self._read_list()

    def owner_processes(self) -> list[OwnerProcess]:
        """Return all running processes, suspended or not."""
        return [cast(OwnerProcess, machine.process) for machine in self.machines if machine.process]

    def abandon(self) -> None:
        """End the simulation."""
        for process in self.all_processes:
            process.loop.abandon()

    # The platform

    def _read_list(self) -> None:
        entries = [
            ListedServer(s.id, s.address, "za", ServerState.READY, 64, -1, s.models())
            for s in self.servers.values()
            if s.up
        ]
        self._lists.append((self.now, entries))
        self.after(0.25, self._read_list)

    def listed(self) -> list[ListedServer]:
        """Return the platform's list with its usual lag."""
        seen = self._lists[0][1]
        for at, entries in self._lists:
            if at <= self.now - LIST_LAG_S:
                seen = entries
        return seen

    # Edges

    def _report_demand(self, edge: str) -> None:
        """Send the periodic report of an edge."""
        busy = [ModelDemand(SERVICE, ModelRef(name), 5, 0, 2) for name in BUSY]
        self._send_demand(edge, [*busy, self._waiting()])
        self.after(EDGE_REPORT_S, partial(self._report_demand, edge))

    def _report_urgent(self) -> None:
        """Send a report of an edge where a request waits."""
        edge = self.rng.choice(EDGES)
        busy = [ModelDemand(SERVICE, ModelRef(name), 1, 0, 2) for name in BUSY]
        self._send_demand(edge, [*busy, self._waiting()])
        self.after(URGENT_REPORT_S, self._report_urgent)

    def _waiting(self) -> ModelDemand:
        ref = ModelRef(f"m{self.rng.randrange(len(BUSY), len(MODELS))}")
        if self.rng.random() < 0.5:
            ref = ModelRef(self.rng.choice(BUSY), f"a{self.rng.randint(1, ADAPTER_COUNT)}")
        return ModelDemand(SERVICE, ref, 1, 1, 0)

    def _send_demand(self, edge: str, demands: list[ModelDemand]) -> None:
        for process in self.owner_processes():
            process.run(partial(process.add_demand, demands, edge))

    # Between nodes

    def announce_incarnation(self, sender: OwnerProcess) -> None:
        """Announce a process to the other control nodes, subject to the links."""
        address, incarnation = sender.machine.address, sender.incarnation
        for process in self.owner_processes():
            link = self.links.get((address, process.machine.address), self.default_link)
            if process is sender or link.cut or self.rng.random() < link.loss:
                continue
            told = partial(process.processes.announce, address, incarnation)
            self.after(NETWORK_S, partial(process.run, told))

    # Suspension between the lease check and the send

    async def maybe_freeze_before_send(self, process: OwnerProcess) -> None:
        """Suspend a process at random between its last check of the lease and the send."""
        if self.rng.random() >= self.freeze_before_send or process.frozen:
            return
        process.frozen = True
        span = self.faults.core(self.now)
        self.after(self.rng.uniform(0.1, 4.0), partial(self.thaw, process, span))
        await asyncio.sleep(0)

    def thaw(self, process: Process, span: FaultSpan) -> None:
        """Resume a suspended process."""
        span.until = self.now
        self.faults.record_recovery(process.machine.name, self.now)
        if process.alive and process.frozen:
            process.thaw()
