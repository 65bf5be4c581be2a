"""Hard limits: servers' memory and adapters, and the weight store's rate. No I/O.

Within any window, the weight store permits 1.1 times its rate, plus 3 loads.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelRef

STORE_RATE_FRACTION = 0.95  # of the permitted rate
STORE_BURST_LOADS = 2.0  # capacity of the token bucket, in loads; the permitted burst is 3
MEMORY_SLACK_MB = 1.0  # for rounding errors in sums of sizes
INITIAL_CONCURRENT_LOADS = 4  # before the configuration is known
MIN_CONCURRENT_LOADS = 2
MAX_CONCURRENT_LOADS = 32
MIN_SLOW_RATIO = 1.3  # of the usual load time; from here there were too many concurrent loads
INITIAL_WARM_LOAD_FRACTION = 0.4  # of the time from the store, until a warm load has completed
WARM_LOAD_WEIGHT = 0.2  # of the newest sample in the moving average
MAX_FULL_SPEED_RATIO = 1.15  # of the usual load time; up to here concurrent loads run at full speed


@dataclass(frozen=True, slots=True)
class Usage:
    """Committed resources of a server.

    Attributes:
        mb: Memory in MB; infinite if a size is unknown.
        adapters: Number of adapters.
    """

    mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """Total resources of a server: memory in MB, and number of adapters."""

    mb: float
    adapters: int

    def admits(self, usage: Usage) -> bool:
        """Return whether a usage is within the capacity."""
        return usage.mb <= self.mb - MEMORY_SLACK_MB and usage.adapters <= self.adapters


class ModelSizes:
    """Sizes of all models ever configured, also of those that the configuration no longer lists."""

    def __init__(self) -> None:
        self._known: dict[str, Model] = {}

    def learn(self, engine: Engine) -> None:
        """Record the sizes in a configuration."""
        self._known.update((model.name, model) for model in engine.models)

    def weights_mb(self, model: str) -> float:
        """Return the size of a model alone, in MB; infinite if unknown."""
        known = self._known.get(model)
        return known.weights_mb if known else math.inf

    def adapter_mb(self, model: str) -> float:
        """Return the size of an adapter of a model, in MB; infinite if unknown."""
        known = self._known.get(model)
        return known.adapter_mb if known else math.inf

    def ref_mb(self, ref: ModelRef) -> float:
        """Return the size of a model alone, or of one adapter, in MB."""
        return self.adapter_mb(ref.model) if ref.adapter else self.weights_mb(ref.model)

    def loaded_mb(self, loaded: LoadedModel) -> float:
        """Return the size of a model with its loaded adapters, in MB."""
        adapters = len(loaded.adapters) * self.adapter_mb(loaded.name) if loaded.adapters else 0.0
        return self.weights_mb(loaded.name) + adapters


def usage(loaded: Iterable[LoadedModel], loading: Iterable[ModelRef], sizes: ModelSizes) -> Usage:
    """Return the usage of loaded models together with loads in progress or of unknown outcome."""
    mb = 0.0
    adapters = 0
    present: dict[str, LoadedModel] = {}
    for model in loaded:
        present[model.name] = model
        mb += sizes.loaded_mb(model)
        adapters += len(model.adapters)
    for ref in loading:
        if _holds(present, ref):
            continue
        mb += sizes.ref_mb(ref)
        adapters += 1 if ref.adapter else 0
    return Usage(mb, adapters)


def _holds(present: dict[str, LoadedModel], ref: ModelRef) -> bool:
    model = present.get(ref.model)
    return model is not None and (not ref.adapter or ref.adapter in model.adapters)


class LoadBucket:
    """Token bucket of loads from the weight store.

    Empty at the start, because loads just ordered by a previous owner count in the same window.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at = now

    def set_rate(self, now: float, loads_per_s: float) -> None:
        """Set the rate that this service may use from now on, in loads per second."""
        self._fill(now)
        self._rate = loads_per_s * STORE_RATE_FRACTION

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._tokens = min(STORE_BURST_LOADS, self._tokens + passed * self._rate)
        self._at = now

    def available(self, now: float) -> int:
        """Return how many loads may begin now."""
        self._fill(now)
        return int(self._tokens + 1e-9)

    def take(self, now: float) -> bool:
        """Take the token of one load; return False if there is none."""
        if self.available(now) < 1:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a load that is known not to have started."""
        self._tokens = min(STORE_BURST_LOADS, self._tokens + 1.0)

    def next_at(self, now: float) -> float:
        """Return when the next load may begin."""
        if self.available(now) >= 1:
            return now
        if self._rate <= 0:
            return math.inf
        return now + (1.0 - self._tokens) / self._rate


class LoadConcurrency:
    """Number of concurrent loads from the weight store that run at full speed.

    It is learned from how long loads take. Until a load has completed, it is the number of loads that the
    permitted rate keeps in progress.
    """

    def __init__(self) -> None:
        self.concurrent_loads = INITIAL_CONCURRENT_LOADS
        self._min_overhead_s = math.inf

    def expect(self, loads_per_s: float, load_time_s: float) -> None:
        """Record the permitted rate of loads and their mean duration.

        Without effect once a load has completed.
        """
        if math.isinf(self._min_overhead_s):
            under_way = round(loads_per_s * load_time_s)  # Little's law
            self.concurrent_loads = max(MIN_CONCURRENT_LOADS, min(MAX_CONCURRENT_LOADS, under_way))

    def learn(self, concurrent_loads: int, took_s: float, nominal_s: float) -> None:
        """Record the duration of a load.

        Args:
            concurrent_loads: Loads in progress when it started, including itself.
            took_s: Time from the order until a report showed the model, in seconds.
            nominal_s: Configured load time, in seconds.
        """
        overhead = took_s - nominal_s
        self._min_overhead_s = min(self._min_overhead_s, max(overhead, -0.5 * nominal_s))
        slowness = (took_s - self._min_overhead_s) / max(nominal_s, 0.05)
        if slowness >= MIN_SLOW_RATIO and concurrent_loads > MIN_CONCURRENT_LOADS:
            self.concurrent_loads = max(
                MIN_CONCURRENT_LOADS, min(self.concurrent_loads, round(concurrent_loads / slowness))
            )
        elif slowness <= MAX_FULL_SPEED_RATIO and concurrent_loads >= self.concurrent_loads:
            self.concurrent_loads = min(MAX_CONCURRENT_LOADS, concurrent_loads + 1)


class WarmLoadTime:
    """Moving average of the time of warm loads, which read the weights from the server's own disk.

    The time hardly depends on the model: the disk has one rate, and most of the time is fixed overhead.
    """

    def __init__(self) -> None:
        self._mean_s = math.inf

    def estimate(self, nominal_s: float) -> float:
        """Return the expected time until a report shows such a load, in seconds.

        Args:
            nominal_s: Time of a load from the weight store.
        """
        if math.isinf(self._mean_s):
            return INITIAL_WARM_LOAD_FRACTION * nominal_s
        return min(self._mean_s, nominal_s)

    def learn(self, took_s: float) -> None:
        """Record the time from the order of a warm load until a report showed the model."""
        if math.isinf(self._mean_s):
            self._mean_s = took_s
        else:
            self._mean_s += WARM_LOAD_WEIGHT * (took_s - self._mean_s)
