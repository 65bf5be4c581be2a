"""Checks every order to a simulated server against the operators' rules."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.domain.servers import ModelRef
from tests.controlplane.owner_servers import EDGES, ENGINE, SIZES, EngineServer
from tests.coordination.invariants import ViolationError

if TYPE_CHECKING:
    from tests.controlplane.owner_world import OwnerProcess, OwnerWorld

LEASE_S = 3.0
CONTACT_S = 3.0
RESUME_GRACE_S = 0.3
LOAD_RATE_WINDOW_S = 5.0
LOAD_RATE_TOLERANCE = 1.1


@dataclass
class FaultSpan:
    """Time span of a fault; `until` is infinite while it lasts."""

    since: float
    until: float = float("inf")


class FaultLog:
    """Faults by machine, from which follows which machines count as in contact."""

    def __init__(self) -> None:
        self._core: list[FaultSpan] = []
        self._machines: dict[str, list[FaultSpan]] = {}
        self._recoveries: dict[str, list[float]] = {}

    def core(self, at: float) -> FaultSpan:
        """Record the start of a fault that makes the core unstable, and so affects all machines."""
        span = FaultSpan(at)
        self._core.append(span)
        return span

    def machine(self, name: str, at: float) -> FaultSpan:
        """Record the start of a fault of one machine that leaves the core stable."""
        span = FaultSpan(at)
        self._machines.setdefault(name, []).append(span)
        return span

    def record_recovery(self, name: str, at: float) -> None:
        """Record that a machine was resumed, or that one of its links has healed."""
        self._recoveries.setdefault(name, []).append(at)

    def in_contact(self, name: str, at: float) -> bool:
        """Return whether a machine and the core have been free of faults for CONTACT_S."""
        spans = (*self._core, *self._machines.get(name, ()))
        return not any(span.since <= at <= span.until + CONTACT_S for span in spans)

    def is_recovering(self, name: str, at: float) -> bool:
        """Return whether an order that arrives now is exempt, because its machine has just recovered."""
        return any(0 <= at - healed <= RESUME_GRACE_S for healed in self._recoveries.get(name, ()))


@dataclass(frozen=True)
class Arrival:
    """An order that reached a server."""

    at: float
    machine: str
    fencing_token: int


class OrderChecker:
    """Checks orders when they are sent, arrive and are accepted, and counts them."""

    def __init__(self, world: OwnerWorld) -> None:
        self._world = world
        self._arrivals: dict[str, list[Arrival]] = {}
        self._holders: dict[int, str] = {}
        self._sent: dict[str, int] = {}
        self._loads: deque[float] = deque()
        self.orders = 0
        self.taken = 0
        self.owner_changes = 0
        self.unloads = 0

    def sent(self, process: OwnerProcess, order: Order, fencing_token: int) -> None:
        """Check an order that is sent."""
        machine = process.machine.name
        if not process.group.holds_lease():
            raise ViolationError(f"{machine} orders under the fence {fencing_token} without its lease")
        if fencing_token < self._sent.get(machine, 0):
            raise ViolationError(
                f"{machine} orders under the fence {fencing_token}, after {self._sent[machine]}"
            )
        self._sent[machine] = fencing_token
        if order.operation is Operation.UNLOAD and process.reported != set(EDGES):
            raise ViolationError(
                f"{machine} unloads {order.ref} and has heard {sorted(process.reported)} only"
            )
        self._world.on_order_sent(process)

    def arrived(self, server: str, machine: str, document: Mapping[str, Any], instance: str | None) -> None:
        """Check an order that arrives at a server, accepted or not."""
        at = self._world.now
        if instance is None or "if-revision" not in document:
            raise ViolationError(f"an order of {machine} without an instance or a revision: {document}")
        fencing_token = int(document["fence-token"])
        if self._holders.setdefault(fencing_token, machine) != machine:
            raise ViolationError(
                f"{machine} and {self._holders[fencing_token]} order under one fence {fencing_token}"
            )
        self.orders += 1
        faults = self._world.faults
        if faults.is_recovering(machine, at):
            return
        if self._world.fencing and not faults.in_contact(machine, at):
            return
        before = self._arrivals.setdefault(server, [])
        self._check_owner_change(server, before, Arrival(at, machine, fencing_token))
        before.append(Arrival(at, machine, fencing_token))

    def _check_owner_change(self, server: str, before: list[Arrival], now: Arrival) -> None:
        others = [arrival for arrival in before if arrival.machine != now.machine]
        self.owner_changes += bool(others) and before[-1].machine != now.machine
        if others and now.at - others[-1].at < LEASE_S:
            raise ViolationError(f"{server} is ordered by {others[-1]}, then {now}")
        if (
            not self._world.fencing
            and before
            and now.fencing_token < max(arrival.fencing_token for arrival in before)
        ):
            raise ViolationError(f"{server} gets the fence {now.fencing_token} after a higher one")

    def took(self, server: EngineServer, order: Mapping[str, Any], ref: ModelRef) -> None:
        """Check an order that a server accepts."""
        self.taken += 1
        if order["operation"] == Operation.UNLOAD.value:
            self.unloads += 1
            return
        mb, adapters = server.usage()
        mb += SIZES[ref.model].adapter_mb if ref.adapter else SIZES[ref.model].weights_mb
        adapters += bool(ref.adapter)
        if mb > ENGINE.weights_mb or adapters > ENGINE.max_adapters:
            raise ViolationError(f"{server.address} loads {ref} beyond its memory")

    def loaded_from_store(self) -> None:
        """Check the rate of loads from the weight store, at the start of one."""
        at = self._world.now
        self._loads.append(at)
        while self._loads[0] < at - LOAD_RATE_WINDOW_S:
            self._loads.popleft()
        if len(self._loads) > ENGINE.loads_per_s * LOAD_RATE_WINDOW_S * LOAD_RATE_TOLERANCE + 3:
            raise ViolationError(f"{len(self._loads)} loads within {LOAD_RATE_WINDOW_S} s")
