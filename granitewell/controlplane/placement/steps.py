"""Output of the reconciler, to be carried out by the controller, and its counters."""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.controlplane.placement.orders import Order, OrderResult, OrderTicket


@dataclass(frozen=True, slots=True)
class Poll:
    """Poll a server for its report."""

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
    """Counters since the start, for the status page."""

    loads_from_store: int = 0
    loads_warm: int = 0
    adapter_loads: int = 0
    unloads: int = 0
    confirmations: int = 0
    polls: int = 0
    plans: int = 0
    results: dict[OrderResult, int] = field(default_factory=dict)
