"""From a scenario and a seed to a day: every range drawn, the fleet placed, the load and the faults set.

It owns the streams of random numbers (one for each figure, named by its field, so that one more figure in a
file shifts nothing elsewhere) and what figures follow from others. It must never depend on anything but the
scenario, the seed and the overrides, and never read a file.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

import msgspec

from granitewell.lab import day as d
from granitewell.lab.chaos import chaos
from granitewell.lab.engine import lognormal, stream
from granitewell.lab.faults import CATALOGUE
from granitewell.lab.scenarios import load
from granitewell.lab.scenarios.check import PART, combinations, high, low
from granitewell.lab.scenarios.expand import expand
from granitewell.lab.scenarios.fleet import endpoint_id
from granitewell.lab.scenarios.pen import Drawn, Pen
from granitewell.lab.scenarios.read import Scenario, ScenarioError
from granitewell.lab.scenarios.types import FaultTable, ScenarioTable

CHAOS_ENDS = 0.85  # part of the day


def draw(
    scenario: Scenario,
    seed: int,
    *,
    nodes: int | None = None,
    endpoints: int | None = None,
    rate: float | None = None,
    length_s: float | None = None,
    only_faults: Iterable[int] | None = None,
) -> d.Day:
    """The day that a seed draws.

    `rate` (first tries a second) takes the place of the file's rate or utilisation; faults that would begin
    after `length_s` are left out; `only_faults` counts in `schedule`, and leaves all other draws as they are.
    ScenarioError: an override that can't be, or that leaves a fault without whom it befalls.
    """
    table = _overridden(scenario, nodes, endpoints, rate, length_s)
    pen = Pen(seed)
    day = _world(scenario, table, pen)
    faults = _schedule(table, day, pen)
    keep = range(len(faults)) if only_faults is None else sorted({int(k) for k in only_faults})
    if any(not 0 <= k < len(faults) for k in keep):
        raise ScenarioError([f"only_faults: found {list(keep)}; allowed: 0 to {len(faults) - 1}"])
    return replace(expand(day, faults, keep), notes=dict(sorted(pen.notes.items())))


def schedule(
    scenario: Scenario,
    seed: int,
    *,
    nodes: int | None = None,
    endpoints: int | None = None,
    rate: float | None = None,
    length_s: float | None = None,
) -> tuple[d.Fault, ...]:
    """Return the faults of the file and of its chaos, drawn but not yet expanded.

    They are in the order that `only_faults` counts in. Their kinds and params are those of the catalogue.
    """
    table = _overridden(scenario, nodes, endpoints, rate, length_s)
    pen = Pen(seed)
    return _schedule(table, _world(scenario, table, pen), pen)


def _overridden(
    scenario: Scenario, nodes: int | None, endpoints: int | None, rate: float | None, length_s: float | None
) -> ScenarioTable:
    table, put = scenario.table, msgspec.structs.replace
    told = [
        f"{name}: found {value}; allowed: {least:g} or more"
        for name, value, least in (
            ("nodes", nodes, 1), ("endpoints", endpoints, 1), ("rate", rate, 0.001),
            ("length_s", length_s, 0.1),
        )
        if value is not None and not least <= value < 1e9
    ]  # fmt: skip
    if rate is not None and table.load.trace:
        told.append(f"rate: found {rate}; allowed: none, as the load is a trace")
    if told:
        raise ScenarioError(f"{scenario.file}: {line}" for line in told)
    if nodes is not None:
        table = put(table, nodes=put(table.nodes, count=nodes))
    if endpoints is not None:
        table = put(table, endpoints=put(table.endpoints, count=endpoints))
    if rate is not None:
        table = put(table, load=put(table.load, rate_per_s=rate, utilisation=None))
    problems = combinations(table) if table is not scenario.table else []
    if problems:
        raise ScenarioError(f"{scenario.file}: {line}" for line in problems)
    return table if length_s is None else put(table, length_s=length_s)


def _world(scenario: Scenario, table: ScenarioTable, pen: Pen) -> d.Day:
    """The day without its faults."""
    length_us = pen.us("length_s", table.length_s)
    kinds = [pen.table(f"kind/{k.name}", k) for k in table.kinds]
    day = d.Day(
        name=scenario.name, seed=pen.seed, length_us=length_us, zones=table.zones,
        classes=_classes(table, pen), tenants=(), kinds=tuple(_kind(k) for k in kinds),
        endpoints=_endpoints(table, pen, kinds), nodes=_nodes(table, pen),
        network=_network(pen.table("network", table.network)), conn=_conn(pen.table("conn", table.conn)),
        report=_report(table, pen.table("report", table.report)),
        probe=_probe(pen.table("probe", table.probe)),
        clients=_clients(pen.table("clients", table.clients)),
        front=d.FrontDay(pen.table("front", table.front).us("notice_s")),
        discovery=_discovery(pen.table("discovery", table.discovery)),
        load=d.LoadDay((), (), 0, 0.0), rules=_rules(table, pen.table("rules", table.rules)),
        goal=_goal(pen.table("goal", table.goal)),
    )  # fmt: skip
    figures = pen.table("load", table.load)
    fits = _fits_per_s(day)
    pen.notes["capacity"] = f"{fits:.4g} first tries a second when warm, no key remembered"
    return replace(
        day,
        tenants=_tenants(table, pen, fits * figures.num("allowance_of_capacity")),
        load=_load(scenario, table, figures, day, fits),
    )


def _fits_per_s(day: d.Day) -> float:
    """First tries a second that the warm fleet can just do, where it remembers no key."""
    cores = sum(day.kinds[e.kind].cores * e.speed for e in day.endpoints)
    return 1e6 * cores / sum(c.share * c.work_us for c in day.classes)


def parts(weights: Sequence[float]) -> list[float]:
    """Weights as parts of 1."""
    total = sum(weights)
    return [w / total for w in weights]


def apportion(weights: Sequence[float], count: int) -> list[int]:
    """`count` things by these weights: whole numbers by the largest remainders (Hamilton's method)."""
    exact = [w * count for w in parts(weights)]
    out = [int(x) for x in exact]
    order = sorted(range(len(out)), key=lambda k: (out[k] - exact[k], k))
    for k in order[: count - sum(out)]:
        out[k] += 1
    return out


def _classes(table: ScenarioTable, pen: Pen) -> tuple[d.ClassDay, ...]:
    drawn = [(c.name, pen.table(f"class/{c.name}", c)) for c in table.classes]
    shares = parts([f.num("share") for _, f in drawn])
    return tuple(
        d.ClassDay(
            name=name, share=share, work_us=f.num("work_ms") * 1e3, dist=d.Dist(f.word("dist")),
            cv=f.num("cv"), attempt_noise=f.num("attempt_noise"), aim_us=f.us("aim_ms"),
            deadline_us=f.us("deadline_ms"), worth=f.num("worth"), late_worth=f.num("late_worth"),
            unsafe=f.word("effect") == "unsafe",
        )
        for share, (name, f) in zip(shares, drawn, strict=True)
    )  # fmt: skip


def _tenants(table: ScenarioTable, pen: Pen, allowances: float) -> tuple[d.TenantDay, ...]:
    drawn = [(t.name, pen.table(f"tenant/{t.name}", t)) for t in table.tenants]
    shares = parts([f.num("share") for _, f in drawn])
    traffic = parts([f.num("share") * f.num("usage") for _, f in drawn])
    return tuple(
        d.TenantDay(name, share, sent, round(share * allowances, 1))
        for (name, _), share, sent in zip(drawn, shares, traffic, strict=True)
    )


def _kind(f: Drawn) -> d.KindDay:
    cores = f.whole("cores")
    return d.KindDay(
        name=f.word("name"), cores=cores, slots_per_core=f.whole("slots_per_core"),
        queue_per_core=f.num("queue_per_core"), thrash=f.num("thrash"), thrash_at=f.num("thrash_at"),
        cold_from=f.num("cold_from"), cold_us=f.us("cold_s"), warms=d.Warms(f.word("warm_by")),
        error_rate=f.num("error_rate"), stops=d.Stops(f.word("cancel")),
        drops_expired=f.flag("drops_expired"), pause_us=f.us("pause_ms"),
        pause_every_us=f.us("pause_every_s"), memory_gain=f.num("memory_gain"),
        memory_us=f.us("memory_s"), memory_keys=int(f.num("memory_keys_per_core") * cores),
    )  # fmt: skip


def _endpoints(table: ScenarioTable, pen: Pen, kinds: Sequence[Drawn]) -> tuple[d.EndpointDay, ...]:
    figures = pen.table("endpoints", table.endpoints)
    count, cell_size = figures.whole("count"), figures.whole("cell_size")
    zones = spread(pen.seed, len(table.zones), count, figures.num("zone_skew"))
    counts = apportion([k.num("share") for k in kinds], count)
    deal = stream(pen.seed, "scenario", "endpoints", "kinds").random
    order = sorted((deal(), kind) for kind, n in enumerate(counts) for _ in range(n))
    cells: dict[tuple[int, int], int] = {}
    filled = [0] * len(table.zones)
    out = []
    for k, (zone, (_, kind)) in enumerate(zip(zones, order, strict=True)):
        cell = cells.setdefault((zone, filled[zone] // cell_size), len(cells))
        filled[zone] += 1
        label, f = f"d{k + 1}", kinds[kind]
        speed = lognormal(stream(pen.seed, "scenario", "speed", label), f.num("speed"), f.num("speed_cv"))
        out.append(d.EndpointDay(endpoint_id(pen.seed, label), kind, zone, cell, speed, 0))
    return tuple(out)


def spread(seed: int, zones: int, count: int, skew: float) -> list[int]:
    """The zone of each of `count` things: the zones in turn, as long as their part lasts."""
    rng = stream(seed, "scenario", "endpoints", "zones")
    left = apportion([1.0 + skew * (2.0 * rng.random() - 1.0) + 1e-9 for _ in range(zones)], count)
    out: list[int] = []
    while len(out) < count:
        for zone in range(zones):
            if left[zone]:
                left[zone] -= 1
                out.append(zone)
    return out


def _nodes(table: ScenarioTable, pen: Pen) -> tuple[d.NodeDay, ...]:
    f = pen.table("nodes", table.nodes)
    return tuple(
        d.NodeDay(f"n{k + 1}", k % len(table.zones), f.num("cpu"), f.num("call_us"))
        for k in range(f.whole("count"))
    )


def _network(f: Drawn) -> d.NetworkDay:
    ms = [f.num(name) * 1e3 for name in ("same_ms", "cross_ms", "client_ms")]
    return d.NetworkDay(ms[0], ms[1], ms[2], f.num("jitter"))


def _conn(f: Drawn) -> d.ConnDay:
    return d.ConnDay(
        handshake_rtts=f.num("handshake_rtts"), handshake_us=f.num("handshake_us"), idle_us=f.us("idle_s"),
        dial_timeout_us=f.us("dial_timeout_ms"), cap=f.whole("cap"), full_tax=f.num("full_tax"),
    )  # fmt: skip


def _report(table: ScenarioTable, f: Drawn) -> d.ReportDay:
    return d.ReportDay(table.report.fields, f.us("period_ms"), f.us("delay_ms"), f.num("noise"))


def _probe(f: Drawn) -> d.ProbeDay:
    return d.ProbeDay(
        f.flag("allowed"), f.num("work_us"), f.num("cap_per_s"), f.flag("deep"), f.us("timeout_ms")
    )


def _clients(f: Drawn) -> d.ClientsDay:
    return d.ClientsDay(
        retries=f.whole("retries"), try_share=f.num("try_share"),
        backoff_us=f.us("backoff_ms") if f.word("backoff") == "fixed" else 0, honour=f.num("honour"),
        impatient=f.num("impatient"), rebook=f.num("rebook"), marks_retry=f.flag("marks_retry"),
        max_retry_after_us=f.us("max_retry_after_ms"),
    )  # fmt: skip


def _discovery(f: Drawn) -> d.DiscoveryDay:
    return d.DiscoveryDay(
        notice_us=f.us("notice_s"), silent_us=f.us("silent_notice_s"), add_us=f.us("add_s"),
        period_us=f.us("period_ms"), spread_us=f.us("spread_ms"),
    )  # fmt: skip


def _rules(table: ScenarioTable, f: Drawn) -> d.RulesDay:
    """Nodes are told what holds for every day of the file, not what this day has drawn."""
    return d.RulesDay(
        drain_grace_us=f.us("drain_grace_ms"), fall_multiple=f.num("fall_multiple"), fall_us=f.us("fall_ms"),
        slack_us=f.us("slack_ms"), max_attempts=f.whole("max_attempts"),
        second_copies=f.flag("second_copies"), cancel=f.flag("cancel"), retry_after=f.flag("retry_after"),
        cold_from=min(low(k.cold_from) for k in table.kinds),
        ramp_us=round(1e6 * max(high(k.cold_s) for k in table.kinds)),
    )  # fmt: skip


def _goal(f: Drawn) -> d.GoalDay:
    return d.GoalDay(
        f.num("whole"),
        f.num("worst_window"),
        f.num("worst_class"),
        f.num("worst_tenant"),
        f.us("window_s"),
        f.num("over_share_worth"),
        f.num("cross_zone"),
        f.num("waste"),
        f.num("probe"),
        f.num("late_fail"),
        f.num("handshake"),
    )


def _load(scenario: Scenario, table: ScenarioTable, f: Drawn, day: d.Day, fits_per_s: float) -> d.LoadDay:
    shape, length_us = f.word("shape"), day.length_us
    rate = 0.0
    if table.load.utilisation is not None:
        rate = f.num("utilisation") * fits_per_s
    elif table.load.rate_per_s is not None:
        rate = f.num("rate_per_s")
    shapes: dict[str, Callable[[], load.Points]] = {
        "steady": lambda: load.steady(rate),
        "burst": lambda: load.steady(rate),
        "wave": lambda: load.wave(rate, length_us, f.num("swing"), f.us("period_s")),
        "match_night": lambda: load.match_night(rate, length_us, f.num("peak")),
        "steps": lambda: load.steps(rate, table.load.steps),
    }
    skew = stream(day.seed, "scenario", "load", "zones")
    zones = parts([1.0 + f.num("zone_skew") * (2.0 * skew.random() - 1.0) + 1e-9 for _ in table.zones])
    bursts = shape == "burst"
    return d.LoadDay(
        rate=shapes[shape]() if not scenario.trace else (), zone_share=tuple(zones), keys=f.whole("keys"),
        key_zipf=f.num("key_zipf"), key_churn_us=f.us("key_churn_s"), burst_cv=f.num("burst_cv") * bursts,
        burst_us=f.us("burst_ms") * bursts, trace=tuple(r for r in scenario.trace if r[0] < length_us),
    )  # fmt: skip


def _schedule(table: ScenarioTable, day: d.Day, pen: Pen) -> tuple[d.Fault, ...]:
    own = [_fault(fault, f"fault/{k}", pen) for k, fault in enumerate(table.faults)]
    figures = pen.table("chaos", table.chaos)
    severity = figures.num("severity")
    end = figures.us("until_s") if table.chaos.until_s is not None else int(CHAOS_ENDS * day.length_us)
    rng = stream(pen.seed, "scenario", "chaos")
    drawn = chaos(day, severity, rng, kinds=table.chaos.kinds, from_us=figures.us("from_s"), until_us=end)
    return (*own, *drawn)


def _fault(fault: FaultTable, path: str, pen: Pen) -> d.Fault:
    at = pen.us(f"{path}/at_s", fault.at_s)
    until = -1
    if fault.for_s is not None:
        until = at + pen.us(f"{path}/for_s", fault.for_s)
    elif fault.until_s is not None:
        until = pen.us(f"{path}/until_s", fault.until_s)
    params: list[tuple[str, float | str]] = []
    for param in CATALOGUE[fault.kind].params:
        value = fault.params.get(param.name, param.default)
        drawn = pen.value(f"{path}/{param.name}", value, param.spec)
        params.append((param.name, drawn if isinstance(drawn, str) else float(drawn)))
    target = PART.sub(lambda m: _part(m[1], m[2], pen, path), fault.target)
    return d.Fault(at, until, fault.kind, target, tuple(params))


def _part(lowest: str, highest: str | None, pen: Pen, path: str) -> str:
    ends = float(lowest), float(highest or lowest)
    return f"part:{pen.num(f'{path}/target', ends if highest else ends[0]):.6g}"
