"""Input of the planner: servers and the weight store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from granitewell.controlplane.placement.limits import WarmLoadTime
from granitewell.domain.servers import LoadedModel, ModelRef


@dataclass(frozen=True, slots=True)
class ServerView:
    """A server as the planner sees it.

    Attributes:
        schedulable: Whether it may get new models.
        orderable: Whether an order may be sent to it now.
        loaded: Loaded models by name.
        free_mb: Free memory in MB, after loads in progress or of unknown outcome.
        free_adapters: Number of adapters that it can still load, counted likewise.
        unloading: Model or adapter of the current unload.
        loading: Model or adapter of the current load.
        purpose: Model or adapter that the current unload frees capacity for.
        reserved_for: Model or adapter that the free capacity is reserved for.
        loaded_before: Models whose weights are on its own disk.
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
        """Return whether the server has loaded a model or adapter and is not unloading it."""
        loaded = self.loaded.get(ref.model)
        if loaded is None or self.unloading == ref or self.unloading == ModelRef(ref.model):
            return False
        return not ref.adapter or ref.adapter in loaded.adapters


@dataclass(frozen=True, slots=True)
class StoreView:
    """Loads that the weight store permits now.

    Attributes:
        tokens: Loads that may begin.
        concurrent_loads: Number of concurrent loads that run at full speed.
        warm: Expected time of a load from a server's own disk.
    """

    tokens: int
    concurrent_loads: int
    warm: WarmLoadTime = field(default_factory=WarmLoadTime)
