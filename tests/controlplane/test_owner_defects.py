"""Planted defects of ownership and orders, each detected by simulations of three control machines."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import pytest

from granitewell.controlplane.ownership import owner, processes
from granitewell.controlplane.ownership.owner import ShardOwnership, TakeoverRules
from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.ownership.record import OwnerClaimed
from granitewell.controlplane.placement import orders, reconciler
from granitewell.controlplane.placement.limits import LoadBucket
from granitewell.controlplane.placement.orders import Order, OrderResult, OrderTicket
from granitewell.coordination.consensus.types import Role
from tests.controlplane import owner_order_checker
from tests.controlplane.owner_wire import SimulatedClient, Wire
from tests.controlplane.owner_world import OwnerProcess, OwnerWorld
from tests.controlplane.test_owner_search import (
    CORE_STABLE_FAULTS,
    FAULT_INTERVAL_S,
    FAULTS,
    MAX_STALL_S,
    Fault,
    play,
    transfer_leadership,
)
from tests.coordination.faults import heal_disk
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Process

MAX_SEEDS = 60


def no_wait(patch: pytest.MonkeyPatch) -> None:
    """After another machine's claim, orders are sent at once."""
    patch.setattr(TakeoverRules, "wait_s", property(lambda self: 0.0))


def short_wait(patch: pytest.MonkeyPatch) -> None:
    """The wait does not include the delivery time of an order."""
    patch.setattr(TakeoverRules, "wait_s", property(lambda self: self.lease_s + 0.1))


def fault_always_replaces_wait(patch: pytest.MonkeyPatch) -> None:
    """After an unresponsive owner there is no wait, even if servers don't check fencing tokens."""
    patch.setattr(TakeoverRules, "fault_replaces_wait", property(lambda self: True))


def stalled_disk_counts_as_crash(patch: pytest.MonkeyPatch) -> None:
    """An owner whose replica waits for its disk counts as lost, although its process still runs."""
    patch.setattr(KnownProcesses, "is_unresponsive", lambda self, address: True)


def unresponsive_too_soon(patch: pytest.MonkeyPatch) -> None:
    """An owner that is only paused for a short time counts as lost."""
    patch.setattr(owner, "UNRESPONSIVE_AFTER_S", 0.7)
    patch.setattr(processes, "PROCESS_UNRESPONSIVE_AFTER_S", 0.7)


def contact_too_short(patch: pytest.MonkeyPatch) -> None:
    """Machines count as in contact sooner after a fault than the wait lasts that it replaces."""
    patch.setattr(owner_order_checker, "CONTACT_S", 1.0)


def wait_lost_on_own_claim(patch: pytest.MonkeyPatch) -> None:
    """After a claim of this machine there is no wait, even if that claim had to wait."""
    real = ShardOwnership._start_wait

    def start_wait(self: ShardOwnership, previous: OwnerClaimed) -> None:
        real(self, previous)
        if previous.address == self._claimant.address:
            self._orders_allowed_at = self._clock()

    patch.setattr(ShardOwnership, "_start_wait", start_wait)


def fencing_token_reused(patch: pytest.MonkeyPatch) -> None:
    """The fencing token does not increase with each owner."""
    patch.setattr(ShardOwnership, "fencing_token", property(lambda self: (self._claimed_term + 1) // 2))


def lease_not_checked_before_send(patch: pytest.MonkeyPatch) -> None:
    """An order is sent without checking that this machine still owns the shard."""
    real = SimulatedClient.send

    async def send(
        self: SimulatedClient, address: str, order: Order, ticket: OrderTicket, _may: Callable[[], bool]
    ) -> OrderResult:
        return await real(self, address, order, ticket, lambda: True)

    patch.setattr(SimulatedClient, "send", send)


def order_without_revision(patch: pytest.MonkeyPatch) -> None:
    """Orders are sent without a revision."""
    real = orders.encode_order

    def encode(order: Order, ticket: OrderTicket) -> bytes:
        fields = json.loads(real(order, ticket))
        del fields["if-revision"]
        return json.dumps(fields).encode()

    patch.setattr(orders, "encode_order", encode)


def no_reset(patch: pytest.MonkeyPatch) -> None:
    """An unanswered order stays in the network."""
    real = Wire.__init__

    def init(self: Wire, world: OwnerWorld) -> None:
        real(self, world)
        self.resets = False

    patch.setattr(Wire, "__init__", init)


def unloads_before_edges_report(patch: pytest.MonkeyPatch) -> None:
    """A new owner unloads before edges have reported their demand."""
    patch.setattr(reconciler, "FIRST_UNLOAD_DELAY_S", 0.0)


def full_bucket(patch: pytest.MonkeyPatch) -> None:
    """A new owner starts with a full token bucket, whose capacity is too large."""
    real = LoadBucket.__init__

    def init(self: LoadBucket, now: float) -> None:
        real(self, now)
        self._tokens = 12.0

    patch.setattr(LoadBucket, "__init__", init)
    patch.setattr("granitewell.controlplane.placement.limits.STORE_BURST_LOADS", 12.0)


@dataclass(frozen=True)
class Defect:
    """A defect, the faults that reveal it, and the text of the violation.

    `seed` is known to reveal it soon; if it no longer does, others are tried.
    """

    plant: Callable[[pytest.MonkeyPatch], None]
    fencing: bool
    faults: Sequence[Fault]
    shows: str
    fault_interval_s: float = FAULT_INTERVAL_S
    seed: int = 0


# Scenarios that random faults produce too rarely


def lease_expires_during_wait(world: OwnerWorld) -> None:
    """Leadership moves; soon after, the new leader pauses for slightly longer than its lease."""
    transfer_leadership(world)
    world.after(1.0, partial(pause_leader, world, 0.51))


def paused_owner(world: OwnerWorld) -> None:
    """The owner pauses until another node leads, then resumes."""
    pause_leader(world, MAX_STALL_S)


def owner_restarted(world: OwnerWorld) -> None:
    """The owner is killed, and restarts at once."""
    for process in world.owner_processes():
        if process.ownership.owns():
            span = world.faults.core(world.now)
            span.until = world.now + 0.05
            process.machine.stop(power=False)
            world.after(0.05, process.machine.start)


def owner_with_stalled_disk(world: OwnerWorld) -> None:
    """The owner's disk stalls; leadership moves while its process still announces itself."""
    for process in world.owner_processes():
        if process.ownership.owns():
            machine = process.machine
            span = world.faults.machine(machine.name, world.now)
            machine.disk.delay_s = 3.0
            world.after(0.2, partial(transfer_leadership, world))
            world.after(3.5, partial(heal_disk, machine))
            world.after(3.5, partial(setattr, span, "until", world.now + 3.5))


def pause_leader(world: OwnerWorld, for_s: float) -> None:
    """Pause the leader."""
    for process in world.processes():
        if process.replica.role is Role.LEADER:
            process.frozen = True
            world.after(for_s, partial(thaw, process))


def thaw(process: Process) -> None:
    """Resume a process."""
    if process.alive:
        process.thaw()


def owner_cut_from_servers(world: OwnerWorld) -> None:
    """The owner is cut off from the servers; then leadership moves; much later the links heal."""
    owners = [process.machine for process in world.owner_processes() if process.ownership.owns()]
    ends = [(machine.address, server) for machine in owners for server in world.servers]
    for pair in ends:
        world.wire.link(*pair).cut = True

    def heal() -> None:
        for pair in ends:
            world.wire.heal(pair)
        for machine in owners:
            world.faults.record_recovery(machine.name, world.now)

    world.after(0.7, partial(transfer_leadership, world))
    world.after(5.5, heal)


def leadership_moves_after_a_late_order(world: OwnerWorld) -> None:
    """Links to servers are slow; leadership moves and the links recover as soon as an order was sent."""
    links = list(world.wire.links.values())
    for link in links:
        link.slow_s = 0.6

    def move(process: OwnerProcess) -> None:
        world.on_order_sent = lambda process: None
        world.after(0.005, end)

    def end() -> None:
        transfer_leadership(world)
        for link in links:
            link.slow_s = 0.0

    world.on_order_sent = move


def stalled_while_connecting(world: OwnerWorld) -> None:
    """The owner pauses while it opens a connection, for longer than its lease."""

    def stop(process: OwnerProcess) -> None:
        world.on_connecting = lambda process: None
        process.frozen = True
        world.after(0.65, partial(thaw, process))

    world.on_connecting = stop


DEFECTS = (
    Defect(no_wait, True, CORE_STABLE_FAULTS, "is ordered by"),
    Defect(no_wait, False, FAULTS, "is ordered by"),
    Defect(short_wait, False, (leadership_moves_after_a_late_order,), "is ordered by", 6.0, 1),
    Defect(fault_always_replaces_wait, False, FAULTS, "is ordered by", FAULT_INTERVAL_S, 1),
    Defect(unresponsive_too_soon, True, (paused_owner,), "is ordered by", 5.0, 1),
    Defect(stalled_disk_counts_as_crash, True, (owner_with_stalled_disk,), "is ordered by", 6.0),
    Defect(contact_too_short, True, (owner_restarted,), "is ordered by", 5.0, 1),
    Defect(wait_lost_on_own_claim, False, (lease_expires_during_wait,), "is ordered by", 6.0, 12),
    Defect(fencing_token_reused, True, CORE_STABLE_FAULTS, "under one fence"),
    Defect(lease_not_checked_before_send, True, (stalled_while_connecting,), "without its lease", 4.0),
    Defect(order_without_revision, True, CORE_STABLE_FAULTS, "without an instance or a revision"),
    Defect(no_reset, False, (owner_cut_from_servers,), "is ordered by|after a higher one", 8.0, 2),
    Defect(unloads_before_edges_report, True, FAULTS, "has heard"),
    Defect(full_bucket, True, FAULTS, "loads within"),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_defect_is_detected(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for seed in (defect.seed, *range(MAX_SEEDS)):
        try:
            play(seed, defect.fencing, defect.faults, defect.fault_interval_s)
        except ViolationError as violation:
            print(seed, violation)
            assert re.search(defect.shows, str(violation))
            return
    pytest.fail(f"{MAX_SEEDS} days without a violation")
