"""From the schedule of a scenario to elementary faults: whom each befalls, and what it comes down to.

It owns the batches of a deploy, the staggering and flapping of conditions, the endpoints that come later, and
what faults make of the load; `scenarios.fleet` chooses targets. What is left is the table in `faults`. It
must never draw from a stream that another fault shares: one that is left out changes nothing for the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace

from granitewell.lab.day import Day, EndpointDay, Fault, LoadDay
from granitewell.lab.engine import lognormal, stream
from granitewell.lab.scenarios.fleet import Fleet, in_batches, round_up
from granitewell.lab.scenarios.load import Hot, Swell, arrivals, heated, resampled, swollen

HOT_KEY = 1 << 40  # above all keys of the day, however they churn
MIN_TERM_US, TERM_GRACE_US = 3_000_000, 700_000  # the platform's: SIGKILL comes no sooner after SIGTERM
JITTER_US = 250_000  # for which one delay of a jittering link holds
REPLACED_AFTER_US = 1000  # a quick restart is down for no longer


def expand(day: Day, faults: Sequence[Fault], keep: Iterable[int] | None = None) -> Day:
    """The day with all that comes of these faults of the catalogue.

    Its elementary faults by time, its further endpoints, its load. Of faults not in `keep` (places in
    `faults`; None: all are kept) nothing comes, while targets and figures of the others stay what they are.
    Nothing begins after the day's length.
    """
    plan = _Plan(day)
    for index in sorted(range(len(faults)), key=lambda k: (faults[k].at_us, k)):
        if faults[index].at_us < day.length_us:
            plan.add(index, faults[index])
    return plan.day(list(range(len(faults)) if keep is None else keep))


class _Plan:
    """What has been expanded so far, each piece with the place of the fault that it comes from."""

    def __init__(self, day: Day) -> None:
        self._day, self._fleet, self._source = day, Fleet(day), 0
        self._out: list[tuple[int, Fault]] = []
        self._new: list[tuple[int, EndpointDay]] = []
        self._swells: list[tuple[int, Swell]] = []
        self._hots: list[tuple[int, Hot]] = []
        self._kinds: dict[str, Callable[[Fault], None]] = {
            "condition": self._condition, "pause": self._pause, "kill": self._kill, "restart": self._restart,
            "cold": self._restart, "replace": self._replace, "drain": self._drain, "deploy": self._deploy,
            "shrink": self._shrink, "switch_on": self._switch_on, "node_kill": self._node_end,
            "node_term": self._node_end, "node_hup": self._node_hup, "node_stall": self._node_stall,
            "node_cpu": self._node_cpu, "cut": self._cut, "link": self._link,
            "discovery_silent": self._discovery, "discovery_late": self._discovery,
            "discovery_moved": self._moved, "surge": self._surge, "hot_key": self._hot_key,
            "tenant_surge": self._tenant_surge,
        }  # fmt: skip

    def add(self, source: int, fault: Fault) -> None:
        """Expand one fault; faults come in the order of their begins."""
        self._source = source
        self._kinds[fault.kind](fault)

    def day(self, keep: list[int]) -> Day:
        """The day with what comes of these faults."""
        new: list[EndpointDay] = []
        lost: list[str] = []
        for source, endpoint in self._new:  # who comes after one that is lost has no address to come to
            soon = endpoint.started_us < self._day.length_us
            if soon and source in keep and endpoint.takes_over not in lost:
                new.append(endpoint)
            else:
                lost.append(endpoint.id)
        told = [_without(f, lost) for k, f in self._out if k in keep]
        told = [f for f in told if f.target and f.at_us < self._day.length_us]
        faults = tuple(_heard(sorted(told, key=lambda f: f.at_us)))
        load = self._load(keep)
        return replace(self._day, endpoints=(*self._day.endpoints, *new), faults=faults, load=load)

    def _load(self, keep: list[int]) -> LoadDay:
        """The rate under what is kept; or the arrivals, where any fault, kept or not, needs each of them."""
        load, day = self._day.load, self._day
        swells = [(k, s) for k, s in self._swells if k in keep]
        if not load.trace and not self._hots and all(s.tenant < 0 for _, s in self._swells):
            return replace(load, rate=swollen(load.rate, [s for _, s in swells], day.length_us))
        rows = load.trace or arrivals(day)
        for source, swell in swells:
            rows = resampled(rows, swell, stream(day.seed, "scenario", "swell", source))
        for source, hot in self._hots:
            if source in keep:
                rows = heated(rows, hot, stream(day.seed, "scenario", "hot", source))
        return replace(load, trace=rows, burst_cv=0.0, burst_us=0)

    def _put(self, at: int, until: int, kind: str, target: str, **params: float | str) -> None:
        told = (*params.items(), ("source", float(self._source)))
        self._out.append((self._source, Fault(at, until, kind, target, told)))

    def _pick(self, fault: Fault, pool: list[tuple[str, int, int]]) -> list[str]:
        return self._fleet.pick(self._source, fault.target, pool)

    # Endpoints
    def _condition(self, f: Fault) -> None:
        names = self._pick(f, self._fleet.there(f.at_us))
        stagger, flap = _us(f, "stagger_ms"), _us(f, "flap_ms")
        groups = [[name] for name in names] if stagger else [sorted(names)]
        for k, group in enumerate(groups):
            begin, end = f.at_us + k * stagger, f.until_us
            for at, until in _spans(begin, end, flap, self._day.length_us):
                self._put(at, until, "condition", ",".join(group), **_ill(f))

    def _pause(self, f: Fault) -> None:
        for name in self._pick(f, self._fleet.awake(self._fleet.there(f.at_us), f.at_us)):
            self._fleet.still(name, f.until_us)
            self._put(f.at_us, f.until_us, "pause", name)

    def _kill(self, f: Fault) -> None:
        back = f.at_us + _us(f, "back_s") if f.get("back_s") >= 0 else -1
        for name in self._pick(f, self._fleet.there(f.at_us)):
            until = self._fleet.back(name, f.at_us, back)
            if f.get("silent"):
                self._put(f.at_us, until, "vanish", name)
            else:
                self._ended(f.at_us, until, name)

    def _restart(self, f: Fault) -> None:
        down = _us(f, "down_s") if f.kind == "restart" else REPLACED_AFTER_US
        for name in self._pick(f, self._fleet.ready(f.at_us)):
            self._ended(f.at_us, self._fleet.back(name, f.at_us, f.at_us + down), name)

    def _ended(self, at: int, until: int, name: str) -> None:
        self._put(at, until, "stop" if until < 0 else "restart", name)

    def _drain(self, f: Fault) -> None:
        for name in self._pick(f, self._fleet.staying(f.at_us)):
            self._leaves(name, f.at_us, _us(f, "drain_s"))

    def _replace(self, f: Fault) -> None:
        for name in self._pick(f, self._fleet.staying(f.at_us)):
            self._replaced(name, f.at_us, f)

    def _leaves(self, name: str, at: int, drain_us: int) -> None:
        self._fleet.leaves(name, at, at + drain_us)
        self._put(at, at + drain_us, "drain", name)

    def _replaced(self, name: str, at: int, f: Fault) -> None:
        drain = _us(f, "drain_s")
        self._leaves(name, at, drain)
        start = at + drain + max(_us(f, "down_s"), REPLACED_AFTER_US)
        self._new.append((self._source, self._fleet.successor(self._source, name, start)))

    def _deploy(self, f: Fault) -> None:
        names = self._pick(f, self._fleet.staying(f.at_us))
        chosen = names[: round_up(f.get("part") * len(names))]
        batches = in_batches(chosen, max(round_up(f.get("batch") * len(names)), 1))
        last = max(f.until_us - f.at_us - _us(f, "drain_s") - _us(f, "down_s"), 0)
        for k, batch in enumerate(batches):
            for name in batch:
                self._replaced(name, f.at_us + last * k // max(len(batches) - 1, 1), f)

    def _shrink(self, f: Fault) -> None:
        """The last drain begins as the span ends, when the traffic has fallen as far."""
        there = self._fleet.staying(f.at_us)
        names = self._pick(f, there)[: int((1.0 - f.get("to")) * len(there) + 0.5)]
        span = f.until_us - f.at_us
        for k, name in enumerate(names):
            self._leaves(name, f.at_us + span * (k + 1) // len(names), _us(f, "drain_s"))
        self._swells.append((self._source, Swell(f.at_us, -1, span, f.get("to"))))

    def _switch_on(self, f: Fault) -> None:
        for _ in range(int(f.get("count"))):
            self._new.append((self._source, self._fleet.further(self._source, f.at_us)))

    # Nodes
    def _node_end(self, f: Fault) -> None:
        back = _us(f, "back_s")
        if f.kind == "node_term":
            longest = max(c.deadline_us for c in self._day.classes)
            back = max(back, max(longest, MIN_TERM_US) + TERM_GRACE_US)
        until = f.at_us + back if f.get("back_s") >= 0 else -1
        for name in self._pick(f, self._fleet.nodes(f.at_us)):
            self._fleet.node_away(name, f.at_us, until)
            self._put(f.at_us, until, f.kind, name)

    def _node_hup(self, f: Fault) -> None:
        if f.get("moved"):
            self._put(f.at_us, -1, "discovery_moved", "discovery")
        for name in self._pick(f, self._fleet.nodes(f.at_us)):
            self._put(f.at_us, -1, "node_hup", name)

    def _node_stall(self, f: Fault) -> None:
        until = f.at_us + _us(f, "ms")
        for name in self._pick(f, self._fleet.awake(self._fleet.nodes(f.at_us), f.at_us)):
            self._fleet.still(name, until)
            self._put(f.at_us, until, "node_stall", name)

    def _node_cpu(self, f: Fault) -> None:
        for name in self._pick(f, self._fleet.nodes(f.at_us)):
            self._put(f.at_us, f.until_us, "node_cpu", name, factor=f.get("limit"))

    # Network
    def _cut(self, f: Fault) -> None:
        pool = self._fleet.there(f.at_us)
        if f.target not in ("", "all") and ":" not in f.target:
            pool += [(n.name, n.zone, -1) for n in self._day.nodes]
        whole = f.target.startswith("zone:")
        names = [f.target.removeprefix("zone:")] if whole else self._pick(f, pool)
        for name in names:
            self._put(f.at_us, f.until_us, "cut", name, way=f.text("way"))

    def _link(self, f: Fault) -> None:
        left, _, right = f.target.partition(">")
        nodes = [(n.name, n.zone, -1) for n in self._day.nodes]
        froms = sorted(self._fleet.pick(self._source, left, nodes))
        tos = ["*"]
        if right not in ("", "all"):
            tos = sorted(self._fleet.pick(self._source, right, self._fleet.there(f.at_us)))
        target = ",".join(f"{a}>{b}" for a in froms for b in tos)
        for what, on in (("loss", f.get("loss")), ("silent", f.get("silent")), ("refuse", f.get("refuse"))):
            if on:
                self._put(f.at_us, f.until_us, "link", target, what=what, factor=on)
        if f.get("delay_ms"):
            self._delay(f, target)

    def _delay(self, f: Fault, target: str) -> None:
        mean, cv = f.get("delay_ms") * 1e3, f.get("jitter")
        rng = stream(self._day.seed, "scenario", "jitter", self._source)
        end = f.until_us if f.until_us >= 0 else self._day.length_us
        step = JITTER_US if cv else max(end - f.at_us, 1)
        for at in range(f.at_us, end, step):
            until = f.until_us if at + step >= end else at + step
            self._put(at, until, "link", target, what="delay", factor=round(lognormal(rng, mean, cv)))

    # Discovery
    def _discovery(self, f: Fault) -> None:
        factor = {"factor": float(_us(f, "late_ms"))} if f.kind == "discovery_late" else {}
        self._put(f.at_us, f.until_us, f.kind, "discovery", **factor)

    def _moved(self, f: Fault) -> None:
        self._put(f.at_us, -1, "discovery_moved", "discovery")
        if f.get("hup_s") >= 0:
            at = f.at_us + _us(f, "hup_s")
            for name, _, _ in self._fleet.nodes(at):
                self._put(at, -1, "node_hup", name)

    # Load
    def _surge(self, f: Fault) -> None:
        self._swells.append((self._source, Swell(f.at_us, f.until_us, _us(f, "ramp_s"), f.get("factor"))))

    def _hot_key(self, f: Fault) -> None:
        hot = Hot(f.at_us, f.until_us, HOT_KEY + self._source, f.get("share"))
        self._hots.append((self._source, hot))

    def _tenant_surge(self, f: Fault) -> None:
        tenant = [t.name for t in self._day.tenants].index(f.text("tenant"))
        self._swells.append((self._source, Swell(f.at_us, f.until_us, 1000, f.get("factor"), tenant)))


def _us(fault: Fault, name: str) -> int:
    """A time among the params, in microseconds."""
    return round(fault.get(name) * (1e3 if name.endswith("ms") else 1e6))


def _spans(begin: int, end: int, flap: int, length: int) -> list[tuple[int, int]]:
    """The spans for which a condition is on; an end of -1 stays as it is."""
    if 0 <= end <= begin:
        return []
    if not flap:
        return [(begin, end)]
    last = end if end >= 0 else length
    return [(at, min(at + flap, last)) for at in range(begin, last, 2 * flap)]


def _ill(f: Fault) -> dict[str, float | str]:
    """The params of an elementary condition; what matches all is left out."""
    words: dict[str, float | str] = {"effect": f.text("effect")}
    words |= {name: f.text(name) for name in ("classes", "tenants", "keys", "nodes") if f.text(name)}
    if f.get("before"):
        words["before"] = 1.0
    factor = float(_us(f, "late_ms")) if f.text("effect") == "late" else f.get("factor", 1.0)
    return words | {"share": f.get("share", 1.0), "factor": factor}


def _heard(faults: Iterable[Fault]) -> Iterator[Fault]:
    """Faults by time without drains of those whose process has ended for good before."""
    ended: list[str] = []
    for fault in faults:
        if fault.kind == "stop" or fault.kind == "vanish" and fault.until_us < 0:
            ended.append(fault.target)
        if fault.kind != "drain" or fault.target not in ended:
            yield fault


def _without(fault: Fault, lost: list[str]) -> Fault:
    """A fault without targets that come of a fault that is left out."""
    names = fault.target.split(",")
    left = [x for x in names if x.rpartition(">")[2] not in lost]
    return fault if len(left) == len(names) else replace(fault, target=",".join(left))
