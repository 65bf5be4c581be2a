"""The `[counts]` table of the operator file: the counts that nodes share.

Defaults come from `shared_counters.types.CounterSettings`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta

from granitewell.operator.problem import Problem
from granitewell.operator.table import Table
from granitewell.shared_counters.types import CounterSettings

DEFAULTS = CounterSettings()
MAX_SLICES_PER_WINDOW = 480  # keeps a full answer to a new node within a few messages


class CountsTable(Table, frozen=True, kw_only=True):
    """What all nodes of the fleet together have taken of each tenant, in a window that slides, with bounds
    that are sure (docs/operate/shared-state.md); without `window_s`, or without a `[cluster]`, nothing is
    counted.
    """

    window_s: Annotated[float, Meta(
        ge=0.0, le=3600.0, description="Length of the window; 0 counts nothing.", extra={"restart": True},
    )] = 0.0  # fmt: skip
    slice_s: Annotated[float, Meta(
        ge=0.05, le=60.0, description="Use is counted in slices of this length; the shorter, the sharper the "
        "window's far edge, and the more is said.", extra={"restart": True},
    )] = DEFAULTS.width_us / 1e6  # fmt: skip
    every_s: Annotated[float, Meta(
        ge=0.05, le=60.0, description="Between two questions to one node, at least.", extra={"restart": True},
    )] = DEFAULTS.poll_interval_us / 1e6  # fmt: skip
    keys: Annotated[int, Meta(
        ge=1, le=120, description="Tenants that a node counts by themselves; what others use is one figure, "
        "and widens theirs.", extra={"restart": True},
    )] = DEFAULTS.keys  # fmt: skip
    ceiling_per_s: Annotated[float, Meta(
        gt=0.0, le=1e6, description="Assumed: no node takes more than so many requests a second. Of a node "
        "that is not heard it is held that it may have.", extra={"restart": True},
    )] = DEFAULTS.ceiling_per_s  # fmt: skip
    growth: Annotated[float, Meta(
        ge=1.0, le=100.0, description="Assumed: while it is not heard, a node takes no more of a tenant than "
        "so many times what it took in its busiest slice of the window ..", extra={"restart": True},
    )] = DEFAULTS.growth  # fmt: skip
    floor_per_s: Annotated[float, Meta(
        gt=0.0, le=1e6, description=".. or so many a second, where that is more.", extra={"restart": True},
    )] = DEFAULTS.floor_per_s  # fmt: skip
    bytes_per_s: Annotated[int, Meta(
        ge=1024, le=100_000_000, description="That a node says for it, at most; where that is not enough, "
        "nodes are asked more rarely, and figures widen.", extra={"restart": True},
    )] = DEFAULTS.bytes_per_s  # fmt: skip
    drift_ppm: Annotated[int, Meta(
        ge=0, le=500_000, description="Assumed: the clocks of two nodes differ in speed by no more than so "
        "many parts in a million.", extra={"restart": True},
    )] = DEFAULTS.drift_ppm  # fmt: skip

    def figures(self) -> CounterSettings | None:
        """Return these settings in the node's own type; None if nothing is counted."""
        if not self.window_s:
            return None
        return CounterSettings(
            round(self.window_s * 1e6), round(self.slice_s * 1e6), round(self.every_s * 1e6), self.keys,
            self.ceiling_per_s, self.growth, self.floor_per_s, self.bytes_per_s, self.drift_ppm,
        )  # fmt: skip

    def check(self) -> Iterator[Problem]:
        """A window has at least four slices and not too many; the floor is below the ceiling."""
        if not self.window_s:
            if self != type(self)():
                yield Problem(("window_s",), "nothing", "nothing is counted", note=True)
            return
        min_slice_s, max_slice_s = self.window_s / MAX_SLICES_PER_WINDOW, self.window_s / 4
        if not min_slice_s <= self.slice_s <= max_slice_s:
            yield Problem(
                ("slice_s",), f"{self.slice_s:g}", f"{min_slice_s:g} to {max_slice_s:g} (of this window)"
            )
        if self.floor_per_s > self.ceiling_per_s:
            allowed = f"at most ceiling_per_s, {self.ceiling_per_s:g}"
            yield Problem(("floor_per_s",), f"{self.floor_per_s:g}", allowed)
