"""What the reconciler gives out for the shell to do, and counts of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.controlplane.placement.orders import Order, OrderResult, OrderTicket


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask a server for its report."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send an order."""

    address: str
    order: Order
    ticket: OrderTicket


Step = Poll | Send


@dataclass(slots=True)
class PlacementCounters:
    """What was done since the start, for the status page."""

    loads_from_store: int = 0
    loads_warm: int = 0
    adapter_loads: int = 0
    unloads: int = 0
    polls: int = 0
    plans: int = 0
    results: dict[OrderResult, int] = field(default_factory=dict)
