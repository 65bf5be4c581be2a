"""The types of the platform's configuration (`LB_CONFIG`), used by `granitewell check` alone.

They give readable messages for all problems of a file. `granitewell.config.load` decides what a node accepts,
and the check calls it last; the node itself does not use these types. The platform may add keys, so unknown
keys are notes, unless they look like a misspelt name of a missing one.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated, Any, Literal

from msgspec import Meta, field

from granitewell.operator.problem import Problem
from granitewell.operator.table import Table

Address = Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}\Z", extra={"allowed": "host:port"})]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e12)]  # milliseconds
NonNegative = Annotated[float, Meta(ge=0)]
AtLeastOne = Annotated[float, Meta(ge=1, le=1e12)]


class PlatformTable(Table, frozen=True, kw_only=True, rename="camel", forbid_unknown_fields=False):
    """A table that allows unknown keys, as the platform may add some."""


class Limits(PlatformTable, frozen=True, kw_only=True):
    """What one node may use."""

    cores: Annotated[float, Meta(ge=0.01, le=1e12)] = 1.0
    memory_mb: Annotated[float, Meta(ge=16, le=1e12)] = field(name="memory_mb", default=192.0)
    sockets: Annotated[float, Meta(ge=64, le=1e12)] = 1024.0


class KnownEndpoint(PlatformTable, frozen=True, kw_only=True):
    """One entry of discovery's list."""

    id: Name
    host_port: Address = field(name="host_port")
    locality: str
    flavor: str
    cell: int
    phase: Literal["ready", "draining", "gone"]
    size: NonNegative
    up_since_ms: NonNegative = field(name="up_since_ms")


class KnownEndpoints(PlatformTable, frozen=True, kw_only=True):
    """The endpoint list that the node last received from discovery; it may be empty."""

    revision: int = 0
    complete: bool = False
    members: tuple[KnownEndpoint, ...] = ()


class Allowed(PlatformTable, frozen=True, kw_only=True):
    """What the site permits the balancer to do, and its limits."""

    max_attempts: AtLeastOne
    cancel: bool = False
    parallel_tries: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: Milliseconds = 0.0
    conn_idle_ms: Annotated[float, Meta(ge=1, le=1e12)] = 10000.0
    dial_timeout_ms: Annotated[float, Meta(ge=1, le=1e12)] = 250.0
    most_held: AtLeastOne = 20000.0
    may_tell: bool = False
    cpu_us_per_request: NonNegative = 0.0
    cpu_us_per_s: NonNegative = 0.0
    streams_per_conn: AtLeastOne = 1.0


class Contract(PlatformTable, frozen=True, kw_only=True):
    """The figures on which the site's rules depend."""

    drain_grace_ms: Milliseconds
    cold_from: Annotated[float, Meta(ge=0.001, le=1)]
    ramp_time_ms: Milliseconds
    fall_multiple: Annotated[float, Meta(ge=0.001)]
    fall_ms: Milliseconds
    must_ask_in_ms: Milliseconds = 10000.0
    answer_slack_ms: Milliseconds = 0.0


class RequestClass(PlatformTable, frozen=True, kw_only=True):
    """One class of requests."""

    name: Name
    effect: Literal["pure", "token", "side_effect"]
    aim_ms: Milliseconds
    give_up_ms: Annotated[float, Meta(ge=0.001, le=1e12)]
    value: NonNegative = 1.0
    late_share: NonNegative = 0.0
    key_scope: Literal["all", "zone", "cell"] = "all"
    window_ms: Milliseconds = 0.0
    stream: bool = False

    def check(self) -> Iterator[Problem]:
        """Note a latency target above the time that clients wait."""
        if self.aim_ms > self.give_up_ms:
            yield Problem(("aimMs",), f"{self.aim_ms:g}", f"at most giveUpMs, {self.give_up_ms:g}", note=True)


class Tenant(PlatformTable, frozen=True, kw_only=True):
    """A tenant; one without an allowance is not counted."""

    name: Name
    share: NonNegative
    allowance_per_s: Annotated[float, Meta(ge=0)] | None


class Stats(PlatformTable, frozen=True, kw_only=True):
    """Load reports."""

    fields: tuple[str, ...] = ()
    how: Literal["piggyback", "pull", "silent"] = "silent"


class Settings(PlatformTable, frozen=True, kw_only=True):
    """The balancer's settings, in the same form as in the simulator's first message."""

    allowed: Allowed
    balancers: AtLeastOne
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)]
    contract: Contract
    blend: dict[str, float] = field(default_factory=dict)
    clients: dict[str, Any] = field(default_factory=dict)
    discovery: Literal["pushed", "on_request"] = "pushed"
    domain_type: str = ""
    family_info: dict[str, Any] = field(default_factory=dict)
    models: tuple[str, ...] = ()
    over_share_worth: NonNegative = 1.0
    penalties: dict[str, float] = field(default_factory=dict)
    self_index: Annotated[int, Meta(ge=0)] = 0
    stage: int = 0
    stats: Stats = Stats()
    tenants: tuple[Tenant, ...] = ()
    tick_ms: NonNegative = 0.0
    tiers: tuple[str, ...] = ()
    weight_kind: str = ""
    worth_by: str = "request"
    zone: Annotated[int, Meta(ge=0)] = 0
    zones: tuple[str, ...] = ()

    def check(self) -> Iterator[Problem]:
        """Check that names are unique and indices in range."""
        names = {"classes": [x.name for x in self.classes], "tenants": [x.name for x in self.tenants],
                 "zones": self.zones, "models": self.models}  # fmt: skip
        for key, given in names.items():
            yield from _duplicates(key, given)
        if self.zones and self.zone >= len(self.zones):
            yield Problem(("zone",), str(self.zone), f"an index in zones, under {len(self.zones)}")
        if self.self_index >= self.balancers:
            yield Problem(("selfIndex",), str(self.self_index), f"under balancers, {self.balancers:g}")


class Platform(PlatformTable, frozen=True, kw_only=True):
    """The whole file."""

    listen: Address
    discovery: Address
    settings: Settings
    name: Name = "node"
    seed: str | int = 0
    limits: Limits = Limits()
    known: KnownEndpoints | None = None
    console: Address | None = None


def _duplicates(key: str, names: Sequence[str]) -> Iterator[Problem]:
    for k, name in enumerate(names):
        if name in names[:k]:
            yield Problem((key, k), f"{name!r} for the second time", "each name once")
