"""Conversion between the typed servers of the domain and their messages."""

from __future__ import annotations

from typing import Any

from granitewell.domain.servers import (
    LoadedModel,
    ModelDemand,
    ModelRef,
    Server,
    ServerState,
    parse_version,
)
from granitewell.rpc.messages import Demand, LoadedModelMessage, ServerMessage


def server_to_message(server: Server) -> Any:
    """Convert a server to its message."""
    return ServerMessage(
        id=server.id,
        service_name=server.service,
        address=server.address,
        zone=server.zone,
        slots=server.slots,
        state=int(server.state),
        remaining_ms=server.remaining_ms,
        models=[
            LoadedModelMessage(
                name=loaded.name, adapters=sorted(loaded.adapters), version=loaded.version or None
            )
            for loaded in server.models.values()
        ],
    )


def server_from_message(message: Any) -> Server:
    """Convert a message to a server."""
    loaded = [
        LoadedModel(entry.name, frozenset(entry.adapters or ()), parse_version(entry.version))
        for entry in message.models or ()
    ]
    return Server(
        id=message.id,
        service=message.service_name,
        address=message.address,
        zone=message.zone,
        slots=message.slots,
        state=ServerState(message.state),
        remaining_ms=message.remaining_ms,
        models={entry.name: entry for entry in loaded},
    )


def demand_to_message(demand: ModelDemand) -> Any:
    """Convert a demand to its message."""
    return Demand(
        service_name=demand.service,
        model=demand.ref.model,
        adapter=demand.ref.adapter,
        requests=demand.requests,
        waiting=demand.waiting,
        in_flight=demand.in_flight,
        priority=demand.priority,
    )


def demand_from_message(message: Any) -> ModelDemand:
    """Convert a message to a demand."""
    return ModelDemand(
        service=message.service_name,
        ref=ModelRef(message.model, message.adapter or ""),
        requests=message.requests,
        waiting=message.waiting,
        in_flight=message.in_flight,
        priority=message.priority,
    )
