"""What the planner sees of servers and of the weight store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from granitewell.controlplane.placement.limits import WarmLoadTime
from granitewell.domain.servers import LoadedModel, ModelRef


@dataclass(frozen=True, slots=True)
class ServerView:
    """A server as the planner sees it.

    Attributes:
        free_mb: Free memory in MB, with everything that may be loading counted.
        free_adapters: Free adapters, counted likewise.
        going: The current unload.
        coming: The current load.
        purpose: What the unload frees capacity for.
        reserved_for: What the free capacity is reserved for.
        outdated: Models of which it has an older version than another server.
    """

    id: str
    zone: str
    slots: int
    schedulable: bool
    orderable: bool
    loaded: Mapping[str, LoadedModel]
    free_mb: float
    free_adapters: int
    unloading: ModelRef | None = None
    loading: ModelRef | None = None
    purpose: ModelRef | None = None
    reserved_for: ModelRef | None = None
    loaded_before: frozenset[str] | set[str] = frozenset()
    outdated: frozenset[str] = frozenset()

    def has(self, ref: ModelRef) -> bool:
        """Return whether the server has a model or adapter and keeps it."""
        loaded = self.loaded.get(ref.model)
        if loaded is None or self.unloading == ref or self.unloading == ModelRef(ref.model):
            return False
        return not ref.adapter or ref.adapter in loaded.adapters


@dataclass(frozen=True, slots=True)
class StoreView:
    """What the weight store allows now.

    Attributes:
        tokens: Loads that may begin.
        at_once: Concurrent loads at full speed.
        warm: How long a load from a server's own disk takes.
    """

    tokens: int
    concurrent_loads: int
    warm: WarmLoadTime = field(default_factory=WarmLoadTime)
